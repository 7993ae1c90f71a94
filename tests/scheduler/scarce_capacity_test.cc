#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "world.h"

/// Which long-running tasks get capacity while workers leave: those that run already, and those
/// that have lost their workers, before new ones, but only where there is not enough for all.

namespace currantpost::scheduler {
namespace {

/// Time in which a long-running task runs again after the loss of its worker.
constexpr Millis kMaxAbsence = Millis(9'000);
/// Time in which a long-running task starts that has room.
constexpr Millis kMaxStart = Millis(1'000);
constexpr int32_t kWorkers = 9;
constexpr int64_t kWorkerNeed = 8'000;
constexpr int64_t kHalfNeed = 4'000;
constexpr int64_t kShortNeed = 1'000;
constexpr Millis kShortDuration = Millis(2'000);
/// More short tasks than end during a test.
constexpr int32_t kShortTasks = 2'000;

/// One entry that owns one cell of nine workers with eight cores each.
class ScarceCapacity : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [](const TaskName& name) {
      // Short tasks end one by one.
      return RunPlan{.duration = kShortDuration + Millis(int64_t{name.index} % 8 * 125),
                     .never_ends = name.job.Text().starts_with("long"),
                     .need = Resources{.millicores = 100, .memory_mib = 100}};
    };
    world_.Run(Millis(5'000));
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  static JobRecord MakeRecord(const std::string& id, int32_t tasks, int64_t millicores) {
    JobRecord record{
        .queue = "queue", .service = "service", .max_attempts = 50, .cell = CellId("dc0/0")};
    record.spec = MakeJob(id, tasks, millicores);
    record.spec.steps[0].is_long_running = id.starts_with("long");
    return record;
  }

  void Write(const JobRecord& record) {
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + record.spec.job.Text(),
                                        Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
  }

  void Record(const std::string& id, int32_t tasks, int64_t millicores) {
    Write(MakeRecord(id, tasks, millicores));
    world_.Run(kMaxStart);
  }

  /// Starts jobs of one long-running task, each on a worker of its own.
  void Fill(int32_t workers) {
    for (int32_t number = 0; number < workers; ++number) {
      Record("long-fills" + std::to_string(number), 1, kWorkerNeed);
    }
  }

  size_t Running(const std::string& job) const { return world_.WorkersOf(job).size(); }

  World world_{WorldShape{.entries = 1, .racks = 1, .workers_per_rack = kWorkers}};
};

// Guards against new tasks that waited for seconds beside free workers, because an interrupted task
// waited that fits on no worker.
TEST_F(ScarceCapacity, NewTasksStartWhereThereIsRoomBesideInterruptedOnes) {
  JobRecord interrupted = MakeRecord("long-interrupted", 1, kHalfNeed);
  interrupted.spec.steps[0].worker_label = "missing";
  interrupted.carried_progress.tasks = {TaskProgress{.run = 1}};
  Write(interrupted);
  world_.Run(Millis(1'500));
  Record("long-new", 2, kWorkerNeed);

  EXPECT_EQ(Running("long-new"), 2U);
}

// Guards against a new task that took the room to which a task on a leaving worker could have
// moved.
TEST_F(ScarceCapacity, ATaskOnALeavingWorkerMovesBeforeANewTaskStarts) {
  Fill(kWorkers - 1);
  Record("long-leaving", 1, kWorkerNeed);
  ASSERT_EQ(Running("long-leaving"), 1U);
  const std::string leaving = world_.WorkersOf("long-leaving")[0];
  world_.DrainWorker(leaving);
  world_.Run(Millis(1'000));
  Record("long-new", 1, kWorkerNeed);
  world_.Cancel("e0", "long-fills0");
  world_.Run(Millis(2'000));

  const std::vector<std::string> workers = world_.WorkersOf("long-leaving");
  ASSERT_EQ(workers.size(), 1U);
  EXPECT_NE(workers[0], leaving);
  EXPECT_EQ(Running("long-new"), 0U);
}

// Guards against interrupted tasks that waited until a worker was kept for them, as the cell kept
// workers for a few tasks at a time.
TEST_F(ScarceCapacity, WorkersAreKeptForAllInterruptedTasksAtOnce) {
  constexpr int32_t kTasks = 8;
  constexpr int32_t kLeavingWorkers = kTasks / 2;
  Record("long", kTasks, kHalfNeed);
  ASSERT_EQ(Running("long"), static_cast<size_t>(kTasks));
  Record("short", kShortTasks, kShortNeed);
  const std::vector<std::string> workers = world_.WorkersOf("long");
  const std::set<std::string> leaving(workers.begin(), workers.end());
  ASSERT_EQ(leaving.size(), static_cast<size_t>(kLeavingWorkers));
  for (const std::string& worker : leaving) world_.LeaveWorker(worker);
  world_.Run(kMaxAbsence);

  EXPECT_EQ(Running("long"), static_cast<size_t>(kTasks));
}

}  // namespace
}  // namespace currantpost::scheduler
