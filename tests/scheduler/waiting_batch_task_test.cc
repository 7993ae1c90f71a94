#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "random_source.h"
#include "world.h"

/// Short tasks that are larger than the pieces of capacity that smaller ones leave free.

namespace currantpost::scheduler {
namespace {

/// Deadline of the urgent queues, by which a task has to start where there is room for it.
constexpr Millis kMaxWait = Millis(3'000);
constexpr int32_t kWorkers = 9;
constexpr int64_t kWorkerNeed = 8'000;
constexpr int64_t kLargeNeed = 4'000;
constexpr int64_t kSmallNeed = 1'000;
constexpr Millis kStep = Millis(20);

/// Data centres of one entry and one cell each, with workers of eight cores.
class WaitingBatchTask : public testing::Test {
 protected:
  explicit WaitingBatchTask(int32_t cells = 1)
      : world_(WorldShape{
            .entries = cells, .data_centres = cells, .racks = 1, .workers_per_rack = kWorkers}) {
    world_.planner = [this](const TaskName& name) {
      const StepSpec& step = steps_.at(name.job.Text());
      return RunPlan{
          .duration = step.estimate, .never_ends = step.is_long_running, .need = step.need};
    };
    world_.Run(Millis(5'000));
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  void Record(const std::string& id, int32_t centre, int32_t tasks, int64_t millicores,
              int32_t priority = 0) {
    JobRecord record{.queue = "queue",
                     .service = "service",
                     .priority = priority,
                     .max_attempts = 50,
                     .cell = CellId("dc" + std::to_string(centre) + "/0")};
    record.spec = MakeJob(id, tasks, millicores);
    record.spec.steps[0].is_long_running = id.starts_with("long");
    record.spec.steps[0].estimate = random_.RandomDuration(300, 700);
    steps_[id] = record.spec.steps[0];
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + id, Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
  }

  /// Fills what is left of the workers of a cell with small tasks, and goes on recording more of
  /// them than end.
  void RecordSmall(int32_t centre) {
    for (int32_t job = 0; job < kWorkers; ++job) {
      Record("small" + std::to_string(++jobs_), centre, 2, kSmallNeed);
    }
  }

  /// Lets time pass while small tasks arrive in a cell.
  void RunBesideSmall(Millis span, int32_t centre) {
    for (Millis passed; passed < span; passed = passed + Millis(100)) {
      RecordSmall(centre);
      world_.Run(Millis(100));
    }
  }

  size_t Running(const std::string& job) const { return world_.WorkersOf(job).size(); }
  int32_t Starts(const std::string& job) {
    return world_.starts[TaskName{.job = JobId(job), .occurrence = 0, .step = 0, .index = 0}];
  }

  World world_;
  std::map<std::string, StepSpec> steps_;
  RandomSource random_{1};
  int32_t jobs_ = 0;
};

class WaitingBatchTaskInTwoCells : public WaitingBatchTask {
 protected:
  WaitingBatchTaskInTwoCells() : WaitingBatchTask(2) {}
};

// Guards against large short tasks that waited for as long as smaller ones went on arriving.
TEST_F(WaitingBatchTask, ALargeOneStartsWhileSmallerOnesGoOnArriving) {
  RunBesideSmall(Millis(2'000), 0);
  Record("large", 0, 1, kLargeNeed);
  RunBesideSmall(kMaxWait, 0);

  EXPECT_EQ(Starts("large"), 1);
}

// Guards against the same if only another cell has workers without long-running tasks.
TEST_F(WaitingBatchTaskInTwoCells, ALargeOneStartsInAnotherCellWhileSmallerOnesGoOnArriving) {
  Record("long-fills", 0, kWorkers, kWorkerNeed - kSmallNeed);
  world_.Run(Millis(1'500));
  RunBesideSmall(Millis(2'000), 1);
  Record("large", 0, 1, kLargeNeed);
  RunBesideSmall(kMaxWait, 1);

  EXPECT_EQ(Starts("large"), 1);
}

// Guards against a task that waited for as long as a later job with a hold on its worker had tasks.
TEST_F(WaitingBatchTask, LaterTasksWithAHoldLeaveTheWorkerToAnEarlierOne) {
  constexpr int64_t kLargestNeed = 6'000;
  constexpr int64_t kLaterNeed = 2'000;
  Record("long-fills", 0, kWorkers - 1, kWorkerNeed);
  world_.Run(Millis(1'500));
  for (int32_t number = 0; number < 8; ++number) {
    const std::string id = "small" + std::to_string(number);
    Record(id, 0, 1, kSmallNeed);
    steps_[id].estimate = Millis(1'600 + 150 * number);
  }
  world_.Run(Millis(200));
  Record("largest", 0, 1, kLargestNeed);
  world_.Run(Millis(100));
  Record("later", 0, 200, kLaterNeed);
  world_.Run(Millis(1'200) + kMaxWait);

  EXPECT_EQ(Starts("largest"), 1);
}

// Guards against a worker that is kept for a task from tasks of a more urgent queue.
TEST_F(WaitingBatchTask, AWorkerKeptForOneOfALessUrgentQueueGoesToAMoreUrgentOne) {
  Record("long-fills", 0, kWorkers - 1, kWorkerNeed);
  world_.Run(Millis(1'500));
  Record("small", 0, 8, kSmallNeed, 1);
  steps_["small"].estimate = Millis(20'000);
  world_.Run(Millis(200));
  Record("large", 0, 1, kLargeNeed, 2);
  world_.Run(Millis(1'500));
  ASSERT_FALSE(world_.state("e0").cells.at(CellId("dc0/0")).holds.empty());
  world_.Cancel("e0", "small");
  Record("urgent", 0, 8, kSmallNeed, 0);
  world_.Run(Millis(300));

  EXPECT_EQ(Running("urgent"), 8U);
}

}  // namespace
}  // namespace currantpost::scheduler
