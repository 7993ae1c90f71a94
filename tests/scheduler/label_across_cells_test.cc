#include <gtest/gtest.h>

#include <algorithm>

#include "world.h"

/// Best-effort tasks that only some cells can run: because of a label, or of a limit per worker.

namespace currantpost::scheduler {
namespace {

constexpr const char* kLabel = "special";
constexpr int32_t kCells = 6;
constexpr int32_t kWorkersPerCell = 4;
constexpr int64_t kLastingNeed = 2'000;
constexpr int64_t kNeed = 500;

/// Six cells of 128 cores each. Only the workers of some cells have the label.
class LabelAcrossCells : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [](const TaskName& name) {
      const bool lasts = name.job.Text().starts_with("lasting");
      return RunPlan{.duration = Millis(500),
                     .never_ends = lasts,
                     .last_measurement = lasts ? 20 : 400,
                     .need = Resources{.memory_mib = 100}};
    };
    LabelCell(kCells - 1);
    world_.Run(Millis(6'000));
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  static std::string WorkerOf(int32_t cell, int32_t number) {
    return "wr" + std::to_string(cell) + "-0-" + std::to_string(number);
  }

  void LabelCell(int32_t cell) {
    for (int32_t number = 0; number < kWorkersPerCell; ++number) {
      world_.worker(WorkerOf(cell, number)).info().labels.emplace_back(kLabel);
    }
  }

  static JobSpec FillingJob(const std::string& id, int32_t tasks) {
    JobSpec spec = MakeJob(id, tasks, kNeed);
    spec.steps[0].best_effort = true;
    spec.steps[0].worker_label = kLabel;
    spec.steps[0].image = "soup";
    return spec;
  }

  void SubmitAnywhere(const JobSpec& spec) {
    world_.Submit("e" + std::to_string(submitted_++ % kCells), spec);
  }

  /// Long-running tasks that hold half of the capacity of the last cell.
  void FillLabelledCell() {
    for (int32_t number = 0; number < 16; ++number) {
      JobSpec spec = MakeJob("lasting" + std::to_string(number), 2, kLastingNeed);
      spec.steps[0].is_long_running = true;
      spec.steps[0].worker_label = kLabel;
      spec.steps[0].image = "watch";
      SubmitAnywhere(spec);
      world_.Run(Millis(100));
    }
    world_.Run(Millis(3'000));
  }

  int32_t CountNotCompleted(int32_t jobs) {
    int32_t count = 0;
    for (int32_t number = 0; number < jobs; ++number) {
      if (world_.Phase("j" + std::to_string(number)) != JobPhase::kCompleted) ++count;
    }
    return count;
  }

  World world_{WorldShape{.entries = kCells,
                          .data_centres = kCells,
                          .racks = 1,
                          .workers_per_rack = kWorkersPerCell,
                          .capacity = {.millicores = 32'000, .memory_mib = 64'000}}};
  int32_t submitted_ = 0;
};

// Guards against jobs that wander between cells: best-effort tasks went where the load reports
// showed most free capacity, and the reports do not tell labels.
TEST_F(LabelAcrossCells, BestEffortTasksReachTheOnlyCellWithTheirLabel) {
  FillLabelledCell();
  constexpr int32_t kJobs = 150;

  for (int32_t number = 0; number < kJobs; ++number) {
    SubmitAnywhere(FillingJob("j" + std::to_string(number), 2));
    world_.Run(Millis(100));
  }
  world_.Run(Millis(10'000));

  EXPECT_EQ(CountNotCompleted(kJobs), 0);
}

// Guards against the same for long-running best-effort tasks.
TEST_F(LabelAcrossCells, LongRunningBestEffortTasksReachTheOnlyCellWithTheirLabel) {
  constexpr size_t kTasks = 20;
  for (size_t number = 0; number < kTasks; ++number) {
    JobSpec spec = FillingJob("lasting" + std::to_string(number), 1);
    spec.steps[0].is_long_running = true;
    SubmitAnywhere(spec);
  }
  world_.Run(Millis(12'000));

  size_t running = 0;
  for (size_t number = 0; number < kTasks; ++number) {
    running += world_.WorkersOf("lasting" + std::to_string(number)).size();
  }
  EXPECT_EQ(running, kTasks);
}

// Guards against lent tasks that never start: the tasks of one request did not count for each
// other, so more of them were lent than the limit per worker lets the borrower place.
TEST_F(LabelAcrossCells, TasksWithALimitPerWorkerSpreadOverCells) {
  for (int32_t cell = 0; cell < kCells - 1; ++cell) LabelCell(cell);
  world_.Run(Millis(3'000));
  world_.planner = [](const TaskName&) {
    return RunPlan{.never_ends = true, .need = Resources{.memory_mib = 100}};
  };
  for (const bool best_effort : {true, false}) {
    const std::string id = best_effort ? "filling" : "plain";
    JobSpec spec = FillingJob(id, kCells * kWorkersPerCell);
    spec.steps[0].best_effort = best_effort;
    spec.steps[0].max_per_worker = 1;
    SubmitAnywhere(spec);
    world_.Run(Millis(20'000));

    EXPECT_EQ(world_.WorkersOf(id).size(), static_cast<size_t>(kCells * kWorkersPerCell)) << id;
  }
}

// Guards against the same for lent tasks whose borrower loses its workers with the label.
TEST_F(LabelAcrossCells, BestEffortTasksLeaveACellThatLosesItsLabelledWorkers) {
  LabelCell(0);
  world_.Run(Millis(3'000));
  FillLabelledCell();
  constexpr int32_t kJobs = 40;

  for (int32_t number = 0; number < kJobs; ++number) {
    SubmitAnywhere(FillingJob("j" + std::to_string(number), 2));
    world_.Run(Millis(100));
    if (number != kJobs / 2) continue;

    for (int32_t worker = 0; worker < kWorkersPerCell; ++worker) {
      world_.DrainWorker(WorkerOf(0, worker));
    }
  }
  world_.Run(Millis(10'000));

  EXPECT_EQ(CountNotCompleted(kJobs), 0);
}

}  // namespace
}  // namespace currantpost::scheduler
