#include "currantpost/daemon/control_thread.h"

#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include <string>

#include "currantpost/daemon/command_gateway.h"
#include "fakes.h"

namespace currantpost {
namespace {

constexpr Millis kLongWait(10'000);

class ControlThreadTest : public testing::Test {
 protected:
  MonotonicClock clock_;
  EventQueue events_;
  Metrics metrics_;
  ProcessStatus status_{clock_};
  CommandGateway commands_{LoneEntrySettings().identity, events_};
  ReplySink sink_{commands_};
  ControlThread control_{LoneEntrySettings(), clock_, events_, sink_, metrics_, status_};
};

TEST_F(ControlThreadTest, AnswersACommand) {
  control_.Start();

  const CommandReply reply = commands_.Ask(DumpState{}, kLongWait);

  EXPECT_FALSE(reply.error.code) << ErrorName(reply.error.code);
  EXPECT_NE(reply.body.find("entry-1"), std::string::npos);
}

TEST_F(ControlThreadTest, TicksWithoutEvents) {
  control_.Start();
  const std::string wanted = "currantpost_events_total{kind=\"tick\"} ";

  // Bounded by the test's own time limit.
  while (true) {
    const std::string text = metrics_.Text();
    const size_t place = text.find(wanted);
    ASSERT_NE(place, std::string::npos);
    if (std::stod(text.substr(place + wanted.size())) >= 3) break;
    absl::SleepFor(absl::Milliseconds(10));
  }

  EXPECT_LT(status_.SinceTick(), kLongWait);
}

TEST_F(ControlThreadTest, ACommandWithoutReplyHasAnUnknownOutcome) {
  const CommandReply reply = commands_.Ask(ListPresets{}, Millis(10));

  EXPECT_EQ(reply.error.code, ErrorCode::kOutcomeUnknown);
}

TEST_F(ControlThreadTest, ACommandThatIsNotTakenIsRefused) {
  events_.Close();

  EXPECT_EQ(commands_.Ask(ListPresets{}, kLongWait).error.code, ErrorCode::kOverloaded);
}

TEST_F(ControlThreadTest, ALateReplyReachesNobody) {
  const CommandReply lost = commands_.Ask(ListPresets{}, Millis(1));
  commands_.Complete(CommandReply{.command = lost.command, .body = "late"});
  control_.Start();

  EXPECT_NE(commands_.Ask(DumpState{}, kLongWait).body, "late");
}

}  // namespace
}  // namespace currantpost
