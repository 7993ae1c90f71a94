#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "world.h"

/// Long-running tasks on a worker that drains move where there is room for them before it leaves.

namespace currantpost::scheduler {
namespace {

constexpr Millis kDrainTime = Millis(3'000);
/// Time in which a task that is moved runs again.
constexpr Millis kMaxPause = Millis(1'000);
constexpr int64_t kWorkerNeed = 8'000;
constexpr int64_t kTaskNeed = 1'000;
constexpr int32_t kTasks = 8;

class DrainingMoves : public testing::Test {
 protected:
  /// Starts data centres of one cell with two workers each.
  void Begin(int32_t entries, int32_t centres, int32_t workers = 2) {
    world_ = std::make_unique<World>(WorldShape{
        .entries = entries, .data_centres = centres, .racks = 1, .workers_per_rack = workers});
    world_->planner = [](const TaskName& name) {
      const bool is_large = name.job.Text().starts_with("large");
      return RunPlan{
          .never_ends = true,
          .need = Resources{.millicores = is_large ? kWorkerNeed : kTaskNeed, .memory_mib = 100}};
    };
    world_->on_run_end = [this](const std::string&, const TaskName& name, RunEnd) {
      ended_at_[name] = world_->now();
    };
    world_->on_start = [this](const ObservedStart& start) {
      const auto ended = ended_at_.find(start.order.task);
      if (ended == ended_at_.end()) return;

      longest_pause_ = std::max(longest_pause_, world_->now() - ended->second);
    };
    world_->Run(Millis(5'000));
  }

  void TearDown() override { EXPECT_EQ(world_->violations, std::vector<std::string>()); }

  void Record(const std::string& id, int32_t tasks, int64_t millicores,
              const std::string& label = "", bool interrupted = false,
              const std::string& cell = "dc0/0") {
    JobRecord record{
        .queue = "queue", .service = "service", .max_attempts = 50, .cell = CellId(cell)};
    record.spec = MakeJob(id, tasks, millicores);
    record.spec.steps[0].is_long_running = true;
    record.spec.steps[0].worker_label = label;
    if (interrupted) record.carried_progress.tasks = {TaskProgress{.run = 1}};
    world_->store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + id, Encode(record), 0}}},
        world_->now(), [](const StoreReply&) {});
    world_->Run(Millis(1'500));
  }

  /// Fills the workers of the first cell: all but one with one task each, the last one with small
  /// tasks of one job, or of one job each.
  void Fill(int32_t large, bool in_one_job) {
    if (large > 0) Record("large", large, kWorkerNeed);
    if (in_one_job) {
      Record("small", kTasks, kTaskNeed);
      jobs_ = {"small"};
    } else {
      for (int32_t number = 0; number < kTasks; ++number) {
        jobs_.push_back("small" + std::to_string(number));
        Record(jobs_.back(), 1, kTaskNeed);
      }
    }
    const std::vector<std::string> workers = world_->WorkersOf(jobs_[0]);
    ASSERT_FALSE(workers.empty());
    draining_ = workers[0];
    ASSERT_EQ(world_->worker(draining_).Running().size(), static_cast<size_t>(kTasks));
  }

  void Drain() {
    world_->worker(draining_).info().drain_remaining = kDrainTime;
    world_->DrainWorker(draining_);
    world_->Run(kDrainTime);
  }

  void ExpectAllMoved() {
    EXPECT_EQ(world_->worker(draining_).Running().size(), 0U);
    size_t running = 0;
    for (const std::string& job : jobs_) running += world_->WorkersOf(job).size();
    EXPECT_EQ(running, static_cast<size_t>(kTasks));
    EXPECT_LE(longest_pause_.Count(), kMaxPause.Count());
  }

  std::unique_ptr<World> world_;
  std::vector<std::string> jobs_;
  std::string draining_;
  std::map<TaskName, Millis> ended_at_;
  Millis longest_pause_;
};

TEST_F(DrainingMoves, TasksMoveWithinTheirCell) {
  Begin(1, 1);
  Fill(0, true);
  Drain();
  ExpectAllMoved();
}

TEST_F(DrainingMoves, TasksOfOneJobMoveToAnotherCellOfTheEntry) {
  Begin(1, 2);
  Fill(1, true);
  Drain();
  ExpectAllMoved();
}

TEST_F(DrainingMoves, TasksOfManyJobsMoveToAnotherCellOfTheEntry) {
  Begin(1, 2);
  Fill(1, false);
  Drain();
  ExpectAllMoved();
}

TEST_F(DrainingMoves, TasksOfOneJobMoveToACellOfAnotherEntry) {
  Begin(2, 2);
  Fill(1, true);
  Drain();
  ExpectAllMoved();
}

TEST_F(DrainingMoves, TasksOfManyJobsMoveToACellOfAnotherEntry) {
  Begin(2, 2);
  Fill(1, false);
  Drain();
  ExpectAllMoved();
}

// Guards against tasks that stayed on a draining worker, because another task waited for a worker
// that their cell doesn't have.
TEST_F(DrainingMoves, TasksMoveToAnotherCellBesideATaskThatFitsNowhere) {
  Begin(2, 2);
  Fill(1, true);
  Record("large-waits", 1, kWorkerNeed, "missing", true);
  Drain();
  ExpectAllMoved();
}

// Guards against a task that was stopped although no other cell had room for it.
TEST_F(DrainingMoves, TasksRunOnWhileNoCellHasRoom) {
  Begin(2, 2);
  Fill(1, true);
  Record("large-elsewhere", 2, kWorkerNeed);
  ASSERT_EQ(world_->WorkersOf("large-elsewhere").size(), 2U);
  Drain();

  EXPECT_EQ(world_->worker(draining_).Running().size(), static_cast<size_t>(kTasks));
  EXPECT_TRUE(ended_at_.empty());
}

// Guards against tasks of two cells that were stopped for the same piece of a third one.
TEST_F(DrainingMoves, TasksThatGetNoRoomRunOn) {
  Begin(3, 3);
  for (const char* cell : {"dc0/0", "dc1/0"}) {
    Record(std::string("large-") + cell[2], 1, kWorkerNeed, "", false, cell);
    Record(std::string("small-") + cell[2], kTasks, kTaskNeed, "", false, cell);
  }
  Record("large-2", 1, kWorkerNeed, "", false, "dc2/0");
  Record("small-2", kTasks - 1, kTaskNeed, "", false, "dc2/0");

  for (const char* job : {"small-0", "small-1"}) {
    const std::vector<std::string> workers = world_->WorkersOf(job);
    ASSERT_EQ(workers.size(), static_cast<size_t>(kTasks));
    ASSERT_EQ(std::ranges::count(workers, workers[0]), kTasks);
    world_->worker(workers[0]).info().drain_remaining = kDrainTime;
    world_->DrainWorker(workers[0]);
  }
  world_->Run(kDrainTime);

  EXPECT_EQ(world_->WorkersOf("small-0").size() + world_->WorkersOf("small-1").size(),
            static_cast<size_t>(kTasks) * 2);
  EXPECT_EQ(ended_at_.size(), 1U);
  EXPECT_LE(longest_pause_.Count(), kMaxPause.Count());
}

// Guards against a task that was stopped without room for it, as another cell had replied to a
// request for a smaller one of its job.
TEST_F(DrainingMoves, AReplyForOneStepStopsNoTaskOfAnotherStep) {
  constexpr int64_t kLargeNeed = kWorkerNeed - kTaskNeed;
  Begin(2, 2);
  JobRecord record{
      .queue = "queue", .service = "service", .max_attempts = 50, .cell = CellId("dc0/0")};
  record.spec = MakeJob("two-steps", 1, kLargeNeed);
  record.spec.steps.push_back(record.spec.steps[0]);
  record.spec.steps[1].need.millicores = kTaskNeed;
  for (StepSpec& step : record.spec.steps) step.is_long_running = true;
  world_->store.Handle(
      WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + "two-steps", Encode(record), 0}}},
      world_->now(), [](const StoreReply&) {});
  world_->Run(Millis(1'500));
  Record("large", 1, kWorkerNeed);
  Record("large-elsewhere", 1, kWorkerNeed, "", false, "dc1/0");
  Record("small-elsewhere", 1, kLargeNeed, "", false, "dc1/0");
  const std::vector<std::string> workers = world_->WorkersOf("two-steps");
  ASSERT_EQ(workers.size(), 2U);
  ASSERT_EQ(workers[0], workers[1]);
  draining_ = workers[0];
  Drain();

  EXPECT_TRUE(ended_at_.contains(TaskName{.job = JobId("two-steps"), .step = 1}));
  EXPECT_FALSE(ended_at_.contains(TaskName{.job = JobId("two-steps"), .step = 0}));
  EXPECT_EQ(world_->WorkersOf("two-steps").size(), 2U);
}

}  // namespace
}  // namespace currantpost::scheduler
