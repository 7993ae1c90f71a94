#include <gtest/gtest.h>

#include "world.h"

/// Throttling of best-effort tasks beside long-running tasks whose tail latency is over its target.

namespace currantpost::scheduler {
namespace {

class Throttling : public testing::Test {
 protected:
  /// Runs a long-running task with the given tail latency, and beside it a best-effort task of
  /// `best_effort` millicores.
  void RunBoth(int64_t tail, int64_t best_effort) {
    world_.planner = [tail](const TaskName& name) {
      const bool is_long_running = name.job.Text() == "serves";
      return RunPlan{.duration = Millis(60'000),
                     .never_ends = is_long_running,
                     .last_measurement = is_long_running ? tail : 100,
                     .need = Resources{.memory_mib = 100}};
    };
    JobSpec serves = MakeJob("serves", 1, 4'000);
    serves.steps[0].is_long_running = true;
    serves.steps[0].image = "a";
    serves.steps[0].latency_target = Millis(150);
    world_.Submit("e0", serves);
    world_.Run(Millis(500));

    JobSpec fills = MakeJob("fills", 1, best_effort);
    fills.steps[0].best_effort = true;
    fills.steps[0].image = "b";
    world_.Submit("e0", fills);
    world_.Run(Millis(4'500));
  }

  /// Returns the last speed that was sent for the best-effort task, in percent; 100 if none was
  /// sent.
  int32_t SpeedPercent() {
    const auto& speeds = world_.worker("wr0-0-0").speed;
    const auto sent = speeds.find(TaskName{JobId("fills"), 0, 0, 0});
    return sent == speeds.end() ? 100 : sent->second;
  }

  World world_{WorldShape{.racks = 1, .workers_per_rack = 1}};
};

TEST_F(Throttling, LeavesHarmlessTasksAtFullSpeed) {
  world_.Run(Millis(2'000));
  RunBoth(40, 300);

  EXPECT_EQ(SpeedPercent(), 100);
}

// Guards against a task that is never throttled: one with a low estimated effect kept its speed,
// however long the tail latency beside it was over its target.
TEST_F(Throttling, StopsAllBestEffortTasksBesideATailThatStaysOverItsTarget) {
  world_.Run(Millis(2'000));
  RunBoth(200, 300);

  EXPECT_EQ(SpeedPercent(), 0);
}

}  // namespace
}  // namespace currantpost::scheduler
