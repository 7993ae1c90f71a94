#include <gtest/gtest.h>

#include "world.h"

/// Choice of a cell for long-running tasks, best-effort tasks and short jobs, under simulated loads
/// on several cells.

namespace currantpost::scheduler {
namespace {

constexpr int32_t kCells = 4;

class CellChoice : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [](const TaskName& name) {
      const char kind = name.job.Text().front();
      return RunPlan{.duration = Millis(2'000),
                     .never_ends = kind == 'l',
                     .last_measurement = kind == 'l' ? 40 : 900,
                     .need = Resources{.millicores = kind == 'f' ? 0 : 1'000, .memory_mib = 100}};
    };
    world_.Run(Millis(4'000));
    ASSERT_EQ(world_.state("e0").view.cells.size(), static_cast<size_t>(kCells));
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  /// Submits jobs of long-running tasks with two alternating images through all entries.
  void StartLongRunning(int32_t jobs) {
    for (int32_t number = 0; number < jobs; ++number) {
      JobSpec spec = MakeJob("l" + std::to_string(number), 12);
      spec.steps[0].is_long_running = true;
      spec.steps[0].image = number % 2 == 0 ? "even" : "odd";
      spec.steps[0].latency_target = Millis(150);
      world_.Submit("e" + std::to_string(number % 4), spec);
      world_.Run(Millis(600));
    }
  }

  /// Returns the cell that a job was assigned to.
  CellId CellOf(const std::string& job) {
    return DecodeJobHead(world_.store.Value(std::string(kJobPrefix) + job).value())->cell;
  }

  World world_{WorldShape{.entries = 4, .racks = kCells, .workers_per_rack = 12}};
};

TEST_F(CellChoice, LongRunningTasksOfAnImageShareACell) {
  StartLongRunning(8);
  std::map<std::string, std::set<CellId>> cells;

  for (int32_t number = 0; number < 8; ++number) {
    cells[number % 2 == 0 ? "even" : "odd"].insert(CellOf("l" + std::to_string(number)));
  }

  // Four jobs of 12 cores fill half a cell of 96.
  EXPECT_EQ(cells["even"].size(), 1U);
  EXPECT_EQ(cells["odd"].size(), 1U);
}

TEST_F(CellChoice, BestEffortTasksGoWhereTheySlowNoService) {
  StartLongRunning(8);
  const std::vector<KindLoad> load = {{.kind = "fills", .load = 0.4}};

  for (const char* entry : {"e0", "e1", "e2", "e3"}) {
    for (int report = 0; report < 60; ++report) {
      InterferenceModel& model = world_.state(entry).interference;
      model.Observe({.service_kind = "even", .batch = load, .slowdown = 1.5});
      model.Observe({.service_kind = "odd", .batch = load, .slowdown = 1.0});
    }
  }

  int32_t harmful = 0;
  constexpr int32_t kJobs = 30;

  for (int32_t number = 0; number < kJobs; ++number) {
    const std::string id = "f" + std::to_string(number);
    JobSpec spec = MakeJob(id, 4);
    spec.steps[0].best_effort = true;
    spec.steps[0].image = "fills";
    world_.Submit("e" + std::to_string(number % 4), spec);
    world_.Run(Millis(200));
    if (CellOf(id) == CellOf("l0")) ++harmful;
  }

  EXPECT_LE(harmful, kJobs / 10);
}

// Guards against herding: all entries chose the cell with the best load report until the next
// report.
TEST_F(CellChoice, ABurstThroughAllEntriesIsSpread) {
  std::map<CellId, int32_t> jobs;

  for (int32_t number = 0; number < 32; ++number) {
    const std::string id = "s" + std::to_string(number);
    world_.Submit("e" + std::to_string(number % 4), MakeJob(id, 4));
  }

  world_.Run(Millis(1'000));
  for (int32_t number = 0; number < 32; ++number) ++jobs[CellOf("s" + std::to_string(number))];

  EXPECT_EQ(jobs.size(), static_cast<size_t>(kCells));
  for (const auto& [cell, count] : jobs) EXPECT_LE(count, 16) << cell.Text();
}

}  // namespace
}  // namespace currantpost::scheduler
