#include "currantpost/scheduler/background_pace.h"

#include <gtest/gtest.h>

/// How often background work runs, by how late the entry is.

namespace currantpost::scheduler {
namespace {

constexpr Millis kStart = Millis(10'000);
/// Events that wait this long are handled as they arrive.
constexpr Millis kShortWait = Millis(5);
constexpr Millis kLongWait = Millis(100);
/// The longest time between two slices.
constexpr Millis kMaxPause = Millis(1'000);

TEST(BackgroundPace, DoesNotPauseWhileEventsDoNotWait) {
  BackgroundPace pace;
  pace.BeginSlice(kStart);
  pace.Observe(Millis(0));

  EXPECT_EQ(pace.NextSlice(), kStart);
  EXPECT_FALSE(pace.IsBehind());
}

TEST(BackgroundPace, KeepsTheIntervalOfPassesWhileEventsHardlyWait) {
  BackgroundPace pace;
  pace.BeginSlice(kStart);
  pace.Observe(kShortWait);

  EXPECT_LE(pace.Pause(), BackgroundPace::kPassInterval);
  EXPECT_FALSE(pace.IsBehind());
}

// Guards against fewer searches on calm days of entries with a small share of a core.
TEST(BackgroundPace, DoesNotPauseWhileEventsWaitLessThanBetweenPasses) {
  BackgroundPace pace;
  pace.BeginSlice(kStart);
  pace.Observe(BackgroundPace::kPassInterval);

  EXPECT_EQ(pace.Pause(), Millis(0));
  EXPECT_FALSE(pace.IsBehind());
}

TEST(BackgroundPace, LeavesMostOfTheTimeToEventsThatWait) {
  BackgroundPace pace;
  pace.BeginSlice(kStart);
  pace.Observe(kLongWait);

  EXPECT_GE(pace.Pause(), kLongWait * 4);
  EXPECT_TRUE(pace.IsBehind());
}

TEST(BackgroundPace, GoesByTheLongestWaitSinceTheLastSlice) {
  BackgroundPace pace;
  pace.BeginSlice(kStart);
  pace.Observe(kLongWait);
  pace.Observe(Millis(0));
  EXPECT_TRUE(pace.IsBehind());

  pace.BeginSlice(kStart + kMaxPause);
  pace.Observe(Millis(0));
  EXPECT_FALSE(pace.IsBehind());
}

TEST(BackgroundPace, NeverEndsHoweverLongEventsWait) {
  BackgroundPace pace;
  pace.BeginSlice(kStart);
  pace.Observe(Millis(60'000));

  EXPECT_LE(pace.NextSlice(), kStart + kMaxPause);
}

}  // namespace
}  // namespace currantpost::scheduler
