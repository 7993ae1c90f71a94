#include "currantpost/policy/restart_pacer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace currantpost {
namespace {

int Restarts(RestartPacer& pacer, Millis now, Priority priority, int wanted) {
  int restarts = 0;
  while (restarts < wanted && pacer.TryRestart(now, priority)) ++restarts;

  return restarts;
}

TEST(RestartPacer, ReservesTheLastTokensForUrgentTasks) {
  RestartPacer pacer({.restarts_per_second = 10, .burst = 8, .urgent_share = 0.25});

  EXPECT_EQ(Restarts(pacer, Millis(0), Priority::kNormal, 100), 6);
  EXPECT_EQ(Restarts(pacer, Millis(0), Priority::kUrgent, 100), 2);
}

TEST(RestartPacer, RefillsOverTime) {
  RestartPacer pacer({.restarts_per_second = 10, .burst = 4, .urgent_share = 0.0});

  EXPECT_EQ(Restarts(pacer, Millis(0), Priority::kNormal, 100), 4);
  EXPECT_EQ(Restarts(pacer, Millis(200), Priority::kNormal, 100), 2);
  EXPECT_EQ(Restarts(pacer, Millis(60'000), Priority::kNormal, 100), 4);
}

TEST(RestartPacer, LeavesATokenToTasksThatAreNotUrgent) {
  RestartPacer pacer({.restarts_per_second = 1, .burst = 1, .urgent_share = 1.0});

  EXPECT_EQ(Restarts(pacer, Millis(0), Priority::kNormal, 5), 1);
}

RC_GTEST_PROP(RestartPacerProperty, NeverExceedsBurstAndRate, ()) {
  const double rate = *rc::gen::inRange(1, 50);
  const double burst = *rc::gen::inRange(1, 30);
  RestartPacer pacer({.restarts_per_second = rate, .burst = burst});
  Millis now(0);
  Millis latest(0);
  int restarts = 0;

  for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(-50, 500))) {
    // Events may carry a time slightly in the past, which must not add tokens.
    now = now + Millis(step);
    latest = std::max(latest, now);
    restarts += Restarts(pacer, now, Priority::kUrgent, 1'000);
  }

  const double seconds = static_cast<double>(latest.Count()) / 1'000.0;
  RC_ASSERT(restarts <= burst + rate * seconds + 1e-6);
}

}  // namespace
}  // namespace currantpost
