#include "currantpost/daemon/own_heartbeat.h"

#include <gtest/gtest.h>

#include "fakes.h"

namespace currantpost {
namespace {

/// Two entries that ask in their answers would reply to each other without end.
TEST(OwnHeartbeat, AnAnswerNeitherAsksForLeavingUpstreamsNorReportsThemAll) {
  const MonotonicClock clock;
  OwnHeartbeat own(LoneEntrySettings().identity, clock);
  own.Keep(Heartbeat{.leaving_upstreams = {LeavingUpstream{VmId("vm-1"), 1}},
                     .wants_leaving = true,
                     .leaving_report = LeavingReport{.is_whole = true}});

  const Heartbeat answer = own.AnswerTo(Heartbeat{});
  EXPECT_FALSE(answer.wants_leaving);
  EXPECT_FALSE(answer.leaving_report.has_value());
  EXPECT_EQ(answer.leaving_upstreams.size(), 1U);
}

}  // namespace
}  // namespace currantpost
