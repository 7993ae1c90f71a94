#include <gtest/gtest.h>

#include "world.h"

/// Workers that restart as a new incarnation under the same name.

namespace currantpost::scheduler {
namespace {

// Guards against duplicate starts of tasks whose starts meet an incarnation that the registry has
// not announced.
TEST(WorkerIncarnation, AStartForTheFormerIncarnationRunsOnceInTheNewOne) {
  World world(WorldShape{.entries = 1, .racks = 1});
  world.planner = [](const TaskName&) {
    return RunPlan{.duration = Millis(5'000),
                   .need = Resources{.millicores = 1'000, .memory_mib = 100}};
  };
  world.Run(Millis(3'500));
  for (const char* id : {"wr0-0-0", "wr0-0-1"}) {
    SimWorker& worker = world.worker(id);
    worker.Restart(worker.info().incarnation + 1);
  }
  world.Submit("e0", MakeJob("a", 6));
  world.Run(Millis(12'000));

  EXPECT_EQ(world.Phase("a"), JobPhase::kCompleted);
  EXPECT_EQ(world.starts.size(), 6U);
  for (const auto& [name, count] : world.starts) EXPECT_EQ(count, 1) << name.index;
  EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST(WorkerIncarnation, AWorkerThatTheRegistryDroppedAcceptsOrdersOnceItIsBack) {
  World world(WorldShape{.entries = 1, .racks = 1, .workers_per_rack = 1});
  world.Run(Millis(3'500));
  world.LoseAnswers("wr0-0-0", true);
  world.Submit("e0", MakeJob("a", 1));
  world.Run(Millis(3'000));
  world.LoseAnswers("wr0-0-0", false);
  world.Run(Millis(12'000));
  ASSERT_EQ(world.Phase("a"), JobPhase::kCompleted);

  world.WithdrawWorker("wr0-0-0");
  world.Run(Millis(4'000));
  world.Submit("e0", MakeJob("b", 1));
  world.Run(Millis(4'000));

  EXPECT_EQ(world.Phase("b"), JobPhase::kCompleted);
  EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST(WorkerIncarnation, EndsOfANewIncarnationAreRetainedPastFormerEndNumbers) {
  World world(WorldShape{.entries = 1, .racks = 1, .workers_per_rack = 1});
  world.Run(Millis(3'500));
  world.Submit("e0", MakeJob("a", 2));
  world.Run(Millis(3'000));
  ASSERT_EQ(world.Phase("a"), JobPhase::kCompleted);
  world.SlowWatches("e0", Millis(2'000));
  world.Run(Millis(3'000));

  world.RestartWorker("wr0-0-0");
  world.Submit("e0", MakeJob("b", 1));
  for (int32_t round = 0; round < 100 && world.starts.size() < 3; ++round) world.Run(Millis(5));
  world.LoseAnswers("wr0-0-0", true);
  world.Run(Millis(1'000));
  world.LoseAnswers("wr0-0-0", false);
  world.Run(Millis(6'000));

  EXPECT_EQ(world.Phase("b"), JobPhase::kCompleted);
  EXPECT_EQ((world.starts[TaskName{JobId("b"), 0, 0, 0}]), 1);
  EXPECT_EQ(world.violations, std::vector<std::string>());
}

}  // namespace
}  // namespace currantpost::scheduler
