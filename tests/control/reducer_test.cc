#include "currantpost/control/reducer.h"

#include <gtest/gtest.h>

namespace currantpost {
namespace {

TEST(Reducer, DumpsItsState) {
  ControlSettings settings;
  settings.identity.entry = EntryId("kumamoto-1");
  State state(settings);
  Effects effects;

  Reduce(state, Event{Millis(5), CommandReceived{.command = 9, .body = DumpState{}}}, effects);

  ASSERT_FALSE(effects.empty());
  const auto& reply = std::get<CommandReply>(effects.back());
  EXPECT_EQ(reply.command, 9U);
  EXPECT_NE(reply.body.find("kumamoto-1"), std::string::npos);
}

}  // namespace
}  // namespace currantpost
