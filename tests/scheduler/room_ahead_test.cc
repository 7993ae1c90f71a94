#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "world.h"

/// Room that is made ready for long-running tasks on draining workers while they still run.

namespace currantpost::scheduler {
namespace {

/// Time that a worker announces before it leaves.
constexpr Millis kDrainTime = Millis(6'000);
/// Time in which a task that is moved runs again.
constexpr Millis kMaxPause = Millis(1'000);
constexpr Millis kEndlessDuration = Millis(60'000);
constexpr Millis kShortDuration = Millis(2'500);
/// Time until an owner knows of a change of the registry.
constexpr Millis kMaxUntilKnown = Millis(1'500);
/// Time after which a worker that nobody asks for is no longer kept.
constexpr Millis kMaxUnusedHold = Millis(2'000);
/// Time until a task's worker counts as lost.
constexpr Millis kMaxUntilLost = Millis(6'000);
constexpr Millis kStep = Millis(10);
constexpr int64_t kWorkerNeed = 8'000;
constexpr int64_t kLargeNeed = 6'000;
constexpr int64_t kShortNeed = 2'000;
/// More short tasks than end during a test.
constexpr int32_t kShortTasks = 400;
constexpr int32_t kUrgent = 0;
constexpr int32_t kLessUrgent = 2;

/// Cells of four workers, the first one filled by short tasks beside the long-running ones.
class RoomAhead : public testing::Test {
 protected:
  explicit RoomAhead(int32_t entries = 1, int32_t centres = 1)
      : world_(WorldShape{
            .entries = entries, .data_centres = centres, .racks = 1, .workers_per_rack = 4}) {}

  void SetUp() override {
    world_.planner = [](const TaskName& name) {
      const std::string& job = name.job.Text();
      const Millis spread = Millis(int64_t{name.index} % 8 * 300);
      return RunPlan{
          .duration = job.starts_with("short-ends") ? kShortDuration + spread : kEndlessDuration,
          .never_ends = job.starts_with("long"),
          .need = Resources{.millicores = 100, .memory_mib = 100}};
    };
    world_.on_run_end = [this](const std::string&, const TaskName& name, RunEnd) {
      ended_at_[name] = world_.now();
    };
    world_.on_start = [this](const ObservedStart& start) {
      const auto ended = ended_at_.find(start.order.task);
      if (ended == ended_at_.end()) return;

      pauses_[start.order.task.job.Text()] = world_.now() - ended->second;
    };
    world_.Run(Millis(5'000));
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  void Record(const std::string& id, int32_t tasks, int64_t millicores, int32_t priority,
              const std::string& cell = "dc0/0") {
    JobRecord record{
        .queue = "queue", .service = "service", .max_attempts = 50, .cell = CellId(cell)};
    record.priority = priority;
    record.spec = MakeJob(id, tasks, millicores);
    record.spec.steps[0].is_long_running = id.starts_with("long");
    if (!id.starts_with("long")) {
      record.spec.steps[0].estimate =
          id.starts_with("short-ends") ? kShortDuration : kEndlessDuration;
    }
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + id, Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
    world_.Run(Millis(1'500));
  }

  std::string WorkerOf(const std::string& job) const {
    const std::vector<std::string> workers = world_.WorkersOf(job);
    return workers.empty() ? std::string() : workers[0];
  }

  std::string DrainWorkerOf(const std::string& job, Millis remaining = kDrainTime) {
    const std::string worker = WorkerOf(job);
    DrainWorker(worker, remaining);
    return worker;
  }

  void DrainWorker(const std::string& worker, Millis remaining) {
    world_.worker(worker).info().drain_remaining = remaining;
    world_.DrainWorker(worker);
  }

  void ExpectMoved(const std::string& job, const std::string& from) {
    EXPECT_NE(WorkerOf(job), from) << job;
    EXPECT_NE(WorkerOf(job), "") << job;
    EXPECT_LE(pauses_[job].Count(), kMaxPause.Count()) << job;
  }

  OwnedCell& Cell(const std::string& id = "dc0/0") {
    for (const std::string& entry : world_.Entries()) {
      const auto cell = world_.state(entry).cells.find(CellId(id));
      if (cell != world_.state(entry).cells.end()) return cell->second;
    }
    throw std::out_of_range(id);
  }

  int64_t Holds(const std::string& job, const std::string& cell = "dc0/0") {
    return std::ranges::count(Cell(cell).holds, JobId(job), &WorkerHold::job);
  }

  int64_t LongRunningHolds(const std::string& cell) {
    return std::ranges::count(Cell(cell).holds, true, &WorkerHold::is_long_running);
  }

  World world_;
  std::map<TaskName, Millis> ended_at_;
  /// The last pause of a job.
  std::map<std::string, Millis> pauses_;
};

class RoomAheadElsewhere : public RoomAhead {
 protected:
  explicit RoomAheadElsewhere(int32_t entries = 2) : RoomAhead(entries, 2) {}

  /// Fills the first cell with long-running tasks, and the second one with short ones.
  void Fill(int32_t priority) {
    Record("long-fills", 3, kWorkerNeed, kUrgent);
    Record("long", 1, kWorkerNeed, kUrgent);
    Record("short", kShortTasks, kShortNeed, priority, "dc1/0");
    ASSERT_TRUE(WorkerOf("long").starts_with("wr0-"));
    ASSERT_EQ(world_.WorkersOf("short").size(), 16U);
  }

  void ExpectMovedByDrain() {
    const std::string from = DrainWorkerOf("long");
    world_.Run(kDrainTime);
    ExpectMoved("long", from);
  }
};

class RoomAheadInAnotherCell : public RoomAheadElsewhere {
 protected:
  RoomAheadInAnotherCell() : RoomAheadElsewhere(1) {}
};

// Guards against a task that ran on until its worker left, as short tasks of lower priority filled
// the other ones.
TEST_F(RoomAhead, ATaskMovesToAWorkerThatIsClearedOfLessUrgentTasks) {
  Record("long", 1, kLargeNeed, kUrgent);
  Record("short", kShortTasks, kShortNeed, kLessUrgent);
  const std::string from = DrainWorkerOf("long");
  world_.Run(kDrainTime);

  ExpectMoved("long", from);
}

// Guards against the same where the next short task took each piece that one had left.
TEST_F(RoomAhead, ATaskMovesOnceEnoughShortTasksOfItsPriorityHaveEnded) {
  Record("long", 1, kLargeNeed, kUrgent);
  Record("short-ends", kShortTasks, kShortNeed, kUrgent);
  const std::string from = DrainWorkerOf("long");
  world_.Run(kDrainTime);

  ExpectMoved("long", from);
}

TEST_F(RoomAhead, AllTasksOfADrainingWorkerMove) {
  Record("long-a", 1, kLargeNeed, kUrgent);
  Record("long-b", 1, kShortNeed, kUrgent);
  Record("short", kShortTasks, kShortNeed, kLessUrgent);
  ASSERT_EQ(WorkerOf("long-a"), WorkerOf("long-b"));
  const std::string from = DrainWorkerOf("long-a");
  world_.Run(kDrainTime);

  ExpectMoved("long-a", from);
  ExpectMoved("long-b", from);
}

// Guards against a worker kept for a task that still runs, while one without a run needs it.
TEST_F(RoomAhead, ATaskWithoutARunTakesTheKeptWorker) {
  Record("long-fills", 1, kWorkerNeed, kUrgent);
  Record("long-drains", 1, kWorkerNeed, kUrgent);
  Record("long-lost", 1, kWorkerNeed, kLessUrgent);
  Record("short", kShortTasks, kShortNeed, kUrgent);
  DrainWorkerOf("long-drains", kDrainTime * 2);
  world_.Run(kMaxUntilKnown);
  ASSERT_EQ(Holds("long-drains"), 1);
  world_.LeaveWorker(WorkerOf("long-lost"));
  world_.Run(kMaxUntilLost);

  EXPECT_EQ(Holds("long-lost"), 1);
  EXPECT_EQ(Holds("long-drains"), 0);
}

TEST_F(RoomAhead, TheTaskWhoseWorkerLeavesFirstGetsTheWorker) {
  Record("long-fills", 1, kWorkerNeed, kUrgent);
  Record("long-later", 1, kWorkerNeed, kUrgent);
  Record("long-sooner", 1, kWorkerNeed, kUrgent);
  Record("short", kShortTasks, kShortNeed, kUrgent);
  DrainWorkerOf("long-later", kDrainTime * 2);
  world_.Run(kMaxUntilKnown);
  ASSERT_EQ(Holds("long-later"), 1);
  DrainWorkerOf("long-sooner", kDrainTime);
  world_.Run(kMaxUntilKnown);

  EXPECT_EQ(Holds("long-sooner"), 1);
  EXPECT_EQ(Holds("long-later"), 0);
}

TEST_F(RoomAhead, NoWorkerStaysKeptForATaskThatHasMoved) {
  Record("long", 1, kLargeNeed, kUrgent);
  Record("short", kShortTasks, kShortNeed, kLessUrgent);
  DrainWorkerOf("long");
  world_.Run(kDrainTime);

  EXPECT_EQ(LongRunningHolds("dc0/0"), 0);
}

TEST_F(RoomAhead, NoWorkerStaysKeptForACancelledTask) {
  Record("long", 1, kLargeNeed, kUrgent);
  Record("short", kShortTasks, kShortNeed, kUrgent);
  DrainWorkerOf("long", kDrainTime * 2);
  world_.Run(kMaxUntilKnown);
  ASSERT_EQ(Holds("long"), 1);
  world_.Cancel("e0", "long");
  world_.Run(kMaxUnusedHold);

  EXPECT_EQ(LongRunningHolds("dc0/0"), 0);
}

// Guards against a task that lost its worker before enough short tasks had ended, and the worker
// kept for it too.
TEST_F(RoomAhead, TheWorkerStaysKeptWhenTheOtherOneLeaves) {
  Record("long", 1, kLargeNeed, kUrgent);
  Record("short", kShortTasks, kShortNeed, kUrgent);
  const std::string from = DrainWorkerOf("long");
  world_.Run(kMaxUntilKnown);
  ASSERT_EQ(Holds("long"), 1);
  world_.LeaveWorker(from);

  for (Millis passed; passed < kMaxUntilLost; passed = passed + kStep) {
    world_.Run(kStep);
    ASSERT_EQ(Holds("long"), 1) << passed.Count();
  }
}

// Guards against a task that ran on until its worker left, as its own cell has no worker to clear.
TEST_F(RoomAheadElsewhere, ATaskMovesToAWorkerThatAnotherEntryClears) {
  Fill(kLessUrgent);
  ExpectMovedByDrain();
}

TEST_F(RoomAheadInAnotherCell, ATaskMovesToAWorkerThatIsCleared) {
  Fill(kLessUrgent);
  ExpectMovedByDrain();
}

TEST_F(RoomAheadElsewhere, ATaskRunsOnUntilTheKeptWorkerHasRoom) {
  Fill(kUrgent);
  const std::string from = DrainWorkerOf("long", kDrainTime * 2);
  world_.Run(kDrainTime);

  EXPECT_EQ(WorkerOf("long"), from);
  EXPECT_TRUE(ended_at_.empty());
}

TEST_F(RoomAheadElsewhere, NoWorkerStaysKeptForACancelledTask) {
  Fill(kUrgent);
  DrainWorkerOf("long", kDrainTime * 2);
  world_.Run(kMaxUntilKnown);
  ASSERT_EQ(Holds("long", "dc1/0"), 1);
  world_.Cancel("e0", "long");
  world_.Run(kMaxUnusedHold);

  EXPECT_EQ(LongRunningHolds("dc1/0"), 0);
}

// Guards against a worker kept for a task of another cell that still runs, while one without a run
// needs it.
TEST_F(RoomAheadElsewhere, ATaskWithoutARunTakesTheKeptWorker) {
  Record("long-fills", 2, kWorkerNeed, kUrgent);
  Record("long-drains", 1, kWorkerNeed, kUrgent);
  Record("long-lost", 1, kWorkerNeed, kLessUrgent);
  Record("long-fills-elsewhere", 3, kWorkerNeed, kUrgent, "dc1/0");
  Record("short", kShortTasks, kShortNeed, kUrgent, "dc1/0");
  DrainWorkerOf("long-drains", kDrainTime * 2);
  world_.Run(kMaxUntilKnown);
  ASSERT_EQ(Holds("long-drains", "dc1/0"), 1);
  world_.LeaveWorker(WorkerOf("long-lost"));
  world_.Run(kMaxUntilLost);

  EXPECT_EQ(Holds("long-drains", "dc1/0"), 0);
  EXPECT_EQ(LongRunningHolds("dc1/0"), 1);
}

class RoomAheadInThreeCells : public RoomAhead {
 protected:
  RoomAheadInThreeCells() : RoomAhead(3, 3) {}
};

// Guards against tasks of one job that waited for each other: a second cell was asked to keep a
// worker only after the first task had moved.
TEST_F(RoomAheadInThreeCells, WorkersAreKeptForAllTasksOfAJobAtOnce) {
  Record("long-fills", 2, kWorkerNeed, kUrgent);
  Record("long", 2, kWorkerNeed, kUrgent);
  Record("short-ends-1", kShortTasks, kShortNeed, kUrgent, "dc1/0");
  Record("short-ends-2", kShortTasks, kShortNeed, kUrgent, "dc2/0");
  for (const std::string& worker : world_.WorkersOf("long")) DrainWorker(worker, kDrainTime);
  world_.Run(kDrainTime);

  const std::vector<std::string> workers = world_.WorkersOf("long");
  EXPECT_EQ(workers.size(), 2U);
  for (const std::string& worker : workers) EXPECT_FALSE(worker.starts_with("wr0-")) << worker;
  EXPECT_EQ(
      std::ranges::count(ended_at_, JobId("long"), [](const auto& row) { return row.first.job; }),
      2);
  EXPECT_LE(pauses_["long"].Count(), kMaxPause.Count());
}

// Guards against the only room that went to the task with the first worker by name.
TEST_F(RoomAheadElsewhere, TheTaskWhoseWorkerLeavesFirstMoves) {
  Record("long-fills", 2, kWorkerNeed, kUrgent);
  Record("long", 2, kWorkerNeed, kUrgent);
  Record("long-fills-elsewhere", 3, kWorkerNeed, kUrgent, "dc1/0");
  std::vector<std::string> workers = world_.WorkersOf("long");
  ASSERT_EQ(workers.size(), 2U);
  std::ranges::sort(workers);
  Record("short", kShortTasks, kShortNeed, kLessUrgent, "dc1/0");
  DrainWorker(workers[0], kDrainTime * 2);
  DrainWorker(workers[1], kDrainTime);
  world_.Run(kDrainTime);

  EXPECT_EQ(world_.worker(workers[0]).Running().size(), 1U);
  EXPECT_EQ(world_.worker(workers[1]).Running().size(), 0U);
}

}  // namespace
}  // namespace currantpost::scheduler
