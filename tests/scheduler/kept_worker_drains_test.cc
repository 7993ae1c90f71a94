#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "world.h"

/// Replacement of a worker that is kept for an interrupted task, if it begins to drain.

namespace currantpost::scheduler {
namespace {

constexpr int32_t kWorkers = 9;
constexpr int64_t kWorkerNeed = 8'000;
constexpr int64_t kShortNeed = 1'000;
constexpr Millis kShortDuration = Millis(5'000);
/// More short tasks than end during a test.
constexpr int32_t kShortTasks = 500;
/// Time until a task's worker counts as lost and another one is kept for it.
constexpr Millis kMaxUntilKept = Millis(6'000);
/// Time from the end of the short tasks on a worker until a task for which it is kept runs there.
constexpr Millis kMaxStart = Millis(500);
/// Time until an owner knows of a change of the registry.
constexpr Millis kMaxUntilKnown = Millis(1'500);
constexpr Millis kStep = Millis(5);
/// A task is overtaken by one that lost its worker later by more than 2 s.
constexpr Millis kLater = Millis(2'500);

/// One cell of nine workers, of which two run short tasks and the others one long-running task
/// each.
class KeptWorkerDrains : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [](const TaskName& name) {
      return RunPlan{.duration = kShortDuration,
                     .never_ends = name.job.Text().starts_with("long"),
                     .need = Resources{.millicores = 100, .memory_mib = 100}};
    };
    world_.Run(Millis(5'000));
    Record("long-fills", kWorkers - 4, kWorkerNeed);
    Record("long-first", 1, kWorkerNeed);
    Record("long-second", 1, kWorkerNeed);
    Record("short", kShortTasks, kShortNeed);
    ASSERT_TRUE(Runs("long-first") && Runs("long-second"));
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  void Record(const std::string& id, int32_t tasks, int64_t millicores) {
    JobRecord record{
        .queue = "queue", .service = "service", .max_attempts = 50, .cell = CellId("dc0/0")};
    record.spec = MakeJob(id, tasks, millicores);
    record.spec.steps[0].is_long_running = id.starts_with("long");
    // The short tasks are more urgent, so that none of them is stopped.
    record.priority = id.starts_with("long") ? 1 : 0;
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + id, Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
    world_.Run(Millis(1'000));
  }

  bool Runs(const std::string& job) const { return !world_.WorkersOf(job).empty(); }

  void LoseWorkerOf(const std::string& job) { world_.LeaveWorker(world_.WorkersOf(job)[0]); }

  OwnedCell& Cell() { return world_.state("e0").cells.at(CellId("dc0/0")); }

  /// Returns the worker that is kept for a job, empty if there is none.
  std::string KeptWorker(const std::string& job) {
    for (const WorkerHold& hold : Cell().holds) {
      if (hold.job.Text() == job) return hold.worker.Text();
    }
    return "";
  }

  std::string AwaitKeptWorker(const std::string& job) {
    for (Millis passed; passed < kMaxUntilKept; passed = passed + kStep) {
      world_.Run(kStep);
      if (const std::string kept = KeptWorker(job); !kept.empty()) return kept;
    }
    return "";
  }

  /// Makes a worker drain, and lets time pass up to the turn in which its owner knows.
  void Drain(const std::string& worker) {
    world_.DrainWorker(worker);
    for (Millis passed; passed < kMaxUntilKnown; passed = passed + kStep) {
      world_.Run(kStep);
      if (Cell().workers.at(VmId(worker)).info.draining) return;
    }
    FAIL() << "the owner does not know";
  }

  World world_{WorldShape{.entries = 1, .racks = 1, .workers_per_rack = kWorkers}};
};

// Guards against tasks that took the room of the last worker that could be kept instead.
TEST_F(KeptWorkerDrains, AnotherWorkerIsKeptAtOnce) {
  LoseWorkerOf("long-first");
  const std::string kept = AwaitKeptWorker("long-first");
  ASSERT_NE(kept, "");
  Drain(kept);

  const std::string replacement = KeptWorker("long-first");
  EXPECT_NE(replacement, "");
  EXPECT_NE(replacement, kept);
  world_.Run(kShortDuration + kMaxStart);

  EXPECT_TRUE(Runs("long-first"));
}

// Guards against a task whose kept worker drained, and that had to wait behind a task that lost its
// worker later.
TEST_F(KeptWorkerDrains, TheWorkerOfATaskThatWasLostLaterIsKeptInstead) {
  LoseWorkerOf("long-first");
  world_.Run(kLater);
  LoseWorkerOf("long-second");
  const std::string kept = AwaitKeptWorker("long-first");
  ASSERT_NE(kept, "");
  const std::string other = AwaitKeptWorker("long-second");
  ASSERT_NE(other, "");
  Drain(kept);

  EXPECT_EQ(KeptWorker("long-first"), other);
  world_.Run(kShortDuration + kMaxStart);

  EXPECT_TRUE(Runs("long-first"));
  EXPECT_FALSE(Runs("long-second"));
}

}  // namespace
}  // namespace currantpost::scheduler
