#include <gtest/gtest.h>

#include "fake_world.h"

namespace currantpost {
namespace {

const EntryId kFirst("e00");

/// Runs the world until `until` while the entry reports `in_flight` requests in flight.
void RunWithTraffic(FakeWorld& world, int64_t in_flight, Millis until) {
  while (world.Now() < until) {
    world.Report(kFirst, TrafficReported{.requests_in_flight = in_flight});
    world.Run(Millis(200));
  }
}

TEST(GracefulShutdown, ContinuesServingUntilTheBalancerHasNoticed) {
  FakeWorld world(1, {});
  world.Run(Millis(4'000));
  world.Shutdown(kFirst);
  world.Run(Millis(1'500));

  EXPECT_FALSE(world.Routing(kFirst)->draining);
  world.Run(Millis(1'000));
  EXPECT_TRUE(world.Routing(kFirst)->draining);
}

TEST(GracefulShutdown, WaitsForTheLastRequest) {
  FakeWorld world(2, {});
  world.Run(Millis(4'000));
  world.Shutdown(kFirst);

  RunWithTraffic(world, 1, world.Now() + Millis(60'000));
  EXPECT_FALSE(world.HasExited(kFirst));

  RunWithTraffic(world, 0, world.Now() + Millis(2'000));
  EXPECT_TRUE(world.HasExited(kFirst));
}

TEST(GracefulShutdown, IgnoresReportsMadeBeforeItRefusesRequests) {
  FakeWorld world(3, {});
  world.Run(Millis(4'000));
  world.Shutdown(kFirst);

  RunWithTraffic(world, 0, world.Now() + Millis(1'000));
  EXPECT_FALSE(world.HasExited(kFirst));
}

TEST(GracefulShutdown, HandsItsRacksOver) {
  FakeWorld world(4, {});
  world.Run(Millis(15'000));
  world.Shutdown(kFirst);
  RunWithTraffic(world, 0, world.Now() + Millis(5'000));
  ASSERT_TRUE(world.HasExited(kFirst));
  world.Run(Millis(5'000));

  size_t owned = 0;
  for (const char* entry : {"e01", "e02"}) {
    owned += world.StateOf(EntryId(entry)).work.owned.size();
  }

  EXPECT_EQ(owned, 2U);
}

TEST(GracefulShutdown, EndsWhileThePlatformIsDown) {
  FakeWorld world(5, {});
  world.Run(Millis(15'000));
  world.SetKvDown(true);
  world.Shutdown(kFirst);
  RunWithTraffic(world, 0, world.Now() + Millis(15'000));

  EXPECT_TRUE(world.HasExited(kFirst));
}

}  // namespace
}  // namespace currantpost
