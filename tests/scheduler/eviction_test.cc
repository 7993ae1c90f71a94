#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "world.h"

/// Interrupted long-running tasks get a worker although short tasks fill the fleet and go on for
/// long.

namespace currantpost::scheduler {
namespace {

/// Time in which a long-running task runs again after the loss of its worker.
constexpr Millis kMaxAbsence = Millis(9'000);
constexpr Millis kShortDuration = Millis(20'000);
constexpr Millis kSaveInterval = Millis(500);
constexpr int32_t kWorkers = 4;
constexpr int64_t kWorkerNeed = 8'000;
constexpr int64_t kShortNeed = 2'000;
constexpr int32_t kShortTasksPerWorker = 4;
constexpr int32_t kUrgent = 0;
constexpr int32_t kLessUrgent = 2;

/// Data centres of one entry and one cell each, whose short tasks take 20 s.
class Eviction : public testing::Test {
 protected:
  explicit Eviction(int32_t cells = 1)
      : world_(WorldShape{
            .entries = cells, .data_centres = cells, .racks = 1, .workers_per_rack = kWorkers}) {
    world_.planner = [this](const TaskName& name) {
      const bool is_long_running = name.job.Text().starts_with("long");
      return RunPlan{
          .duration = kShortDuration,
          .never_ends = is_long_running,
          .need =
              Resources{.millicores = is_long_running ? kLargeNeed : kShortNeed, .memory_mib = 100},
          .save_interval = name.job.Text().starts_with("short-saves") ? kSaveInterval : Millis(0)};
    };
    world_.on_run_end = [this](const std::string&, const TaskName& name, RunEnd end) {
      if (end == RunEnd::kStopped) ++stopped_[name.job.Text()];
    };
    world_.on_start = [this](const ObservedStart& start) {
      if (!start.order.checkpoint.empty()) ++resumed_[start.order.task.job.Text()];
    };
    world_.Run(Millis(5'000));
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  void Record(const std::string& id, int32_t centre, int32_t tasks, int64_t millicores,
              int32_t priority) {
    JobRecord record{.queue = "queue",
                     .service = "service",
                     .max_attempts = 50,
                     .cell = CellId("dc" + std::to_string(centre) + "/0")};
    record.priority = priority;
    record.spec = MakeJob(id, tasks, millicores);
    record.spec.steps[0].is_long_running = id.starts_with("long");
    record.spec.steps[0].checkpointing = id.starts_with("short-saves");
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + id, Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
    world_.Run(Millis(1'500));
  }

  /// Starts a long-running task in a cell, then short tasks that take all other capacity there, and
  /// takes the worker of the long-running task away.
  void InterruptAmongShortTasks(const std::string& short_job, int32_t short_priority) {
    Record("long", 0, 1, kLargeNeed, kUrgent);
    ASSERT_EQ(Running("long"), 1U);
    constexpr int32_t kBeside = (kWorkerNeed - kLargeNeed) / kShortNeed;
    Record(short_job, 0, kShortTasksPerWorker * (kWorkers - 1) + kBeside, kShortNeed,
           short_priority);
    world_.LeaveWorker(world_.WorkersOf("long")[0]);
  }

  size_t Running(const std::string& job) const { return world_.WorkersOf(job).size(); }

  static constexpr int64_t kLargeNeed = kShortNeed * 3;
  std::map<std::string, int32_t> stopped_;
  std::map<std::string, int32_t> resumed_;
  World world_;
};

class EvictionInTwoCells : public Eviction {
 protected:
  EvictionInTwoCells() : Eviction(2) {}
};

// Guards against an interrupted task that stayed down for as long as the short tasks went on at the
// worker that was kept for it.
TEST_F(Eviction, AnInterruptedTaskDoesNotWaitForShortTasksOfLowerPriority) {
  InterruptAmongShortTasks("short", kLessUrgent);
  world_.Run(kMaxAbsence);

  EXPECT_EQ(Running("long"), 1U);
}

// Guards against the same if only another cell has a worker for it.
TEST_F(EvictionInTwoCells, AnInterruptedTaskDoesNotWaitForShortTasksOfAnotherCell) {
  Record("long-fills", 0, kWorkers - 1, kWorkerNeed, kUrgent);
  Record("long", 0, 1, kLargeNeed, kUrgent);
  ASSERT_EQ(Running("long"), 1U);
  ASSERT_TRUE(world_.WorkersOf("long")[0].starts_with("wr0-"));
  Record("short", 1, kShortTasksPerWorker * kWorkers, kShortNeed, kLessUrgent);
  world_.LeaveWorker(world_.WorkersOf("long")[0]);
  world_.Run(kMaxAbsence);

  EXPECT_EQ(Running("long"), 1U);
}

TEST_F(Eviction, OnlyAsManyTasksAreStoppedAsAreInTheWay) {
  InterruptAmongShortTasks("short", kLessUrgent);
  world_.Run(kMaxAbsence);

  EXPECT_EQ(stopped_["short"], kLargeNeed / kShortNeed);
}

TEST_F(Eviction, OneTaskLessIsStoppedBesideAFreePlace) {
  Record("long", 0, 1, kLargeNeed, kUrgent);
  Record("short", 0, kShortTasksPerWorker * (kWorkers - 1), kShortNeed, kLessUrgent);
  world_.LeaveWorker(world_.WorkersOf("long")[0]);
  world_.Run(kMaxAbsence);

  EXPECT_EQ(stopped_["short"], kLargeNeed / kShortNeed - 1);
}

TEST_F(Eviction, TasksOfTheSamePriorityAreNotStopped) {
  InterruptAmongShortTasks("short", kUrgent);
  world_.Run(kMaxAbsence);

  EXPECT_EQ(stopped_["short"], 0);
  EXPECT_EQ(Running("long"), 0U);
}

TEST_F(Eviction, NothingIsStoppedForANewTask) {
  Record("short", 0, kShortTasksPerWorker * kWorkers, kShortNeed, kLessUrgent);
  Record("long", 0, 1, kLargeNeed, kUrgent);
  world_.Run(kMaxAbsence);

  EXPECT_EQ(stopped_["short"], 0);
}

TEST_F(Eviction, NothingIsStoppedIfThatIsNotEnough) {
  Record("long", 0, 1, kWorkerNeed, kUrgent);
  ASSERT_EQ(Running("long"), 1U);
  // One task of each worker has the priority of the long-running one.
  Record("short-urgent", 0, kWorkers - 1, kShortNeed, kUrgent);
  Record("short", 0, (kShortTasksPerWorker - 1) * (kWorkers - 1), kShortNeed, kLessUrgent);
  world_.LeaveWorker(world_.WorkersOf("long")[0]);
  world_.Run(kMaxAbsence);

  EXPECT_EQ(stopped_["short"], 0);
}

TEST_F(Eviction, StoppedTasksResumeFromTheirCheckpointsAndCompleteOnce) {
  InterruptAmongShortTasks("short-saves", kLessUrgent);
  world_.Run(kMaxAbsence + kShortDuration * 3);

  EXPECT_EQ(stopped_["short-saves"], kLargeNeed / kShortNeed);
  EXPECT_EQ(resumed_["short-saves"], kLargeNeed / kShortNeed);
  EXPECT_EQ(world_.Phase("short-saves"), JobPhase::kCompleted);
}

TEST_F(Eviction, TasksWithCheckpointsAreStoppedFirst) {
  Record("long", 0, 1, kLargeNeed, kUrgent);
  ASSERT_EQ(Running("long"), 1U);
  Record("short-saves", 0, 3 * (kWorkers - 1), kShortNeed, kLessUrgent);
  Record("short", 0, kWorkers - 1, kShortNeed, kLessUrgent);
  world_.LeaveWorker(world_.WorkersOf("long")[0]);
  world_.Run(kMaxAbsence);

  EXPECT_EQ(Running("long"), 1U);
  EXPECT_EQ(stopped_["short"], 0);
}

}  // namespace
}  // namespace currantpost::scheduler
