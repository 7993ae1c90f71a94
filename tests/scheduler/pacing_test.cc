#include <gtest/gtest.h>

#include "world.h"

/// Filling work beside lasting tasks whose tails are over their targets.

namespace currantpost::scheduler {
namespace {

class Pacing : public testing::Test {
 protected:
  /// Runs a lasting task with a tail, and filling work of so many thousandths of a core beside it.
  void RunBoth(int64_t tail, int64_t filling) {
    world_.planner = [tail](const TaskName& name) {
      const bool lasting = name.job.Text() == "serves";
      return RunPlan{.duration = Millis(60'000),
                     .lasts = lasting,
                     .recent = lasting ? tail : 100,
                     .need = Resources{.memory_mib = 100}};
    };
    JobSpec serves = MakeJob("serves", 1, 4'000);
    serves.steps[0].lasting = true;
    serves.steps[0].image = "a";
    serves.steps[0].latency_target = Millis(150);
    world_.Submit("e0", serves);
    world_.Run(Millis(500));

    JobSpec fills = MakeJob("fills", 1, filling);
    fills.steps[0].filling = true;
    fills.steps[0].image = "b";
    world_.Submit("e0", fills);
    world_.Run(Millis(4'500));
  }

  /// Returns the last pace that the filling task was told, 100 if none.
  int32_t Pace() {
    const auto& paces = world_.worker("wr0-0-0").pace;
    const auto told = paces.find(TaskName{JobId("fills"), 0, 0, 0});
    return told == paces.end() ? 100 : told->second;
  }

  World world_{WorldShape{.racks = 1, .workers_per_rack = 1}};
};

TEST_F(Pacing, LeavesWorkAloneThatHarmsNobody) {
  world_.Run(Millis(2'000));
  RunBoth(40, 300);

  EXPECT_EQ(Pace(), 100);
}

// Work that is thought to add next to nothing was never slowed down, however long a tail was over
// its target beside it.
TEST_F(Pacing, StopsAllFillingWorkBesideATailThatStaysOverItsTarget) {
  world_.Run(Millis(2'000));
  RunBoth(200, 300);

  EXPECT_EQ(Pace(), 0);
}

}  // namespace
}  // namespace currantpost::scheduler
