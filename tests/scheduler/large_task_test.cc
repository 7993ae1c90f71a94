#include <gtest/gtest.h>

#include <random>

#include "world.h"

/// Long-running tasks that are larger than the pieces of capacity that short tasks leave free.

namespace currantpost::scheduler {
namespace {

/// Longest time that a long-running task may wait while short tasks come and go.
constexpr Millis kMaxWait = Millis(3'000);
constexpr int64_t kShortNeed = 1'000;
constexpr int64_t kLargeNeed = 6'000;

/// Cells of four workers with eight cores each, one in each data centre.
class LargeTask : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [this](const TaskName& name) {
      const bool is_long_running = name.job.Text().starts_with("long");
      return RunPlan{.duration = Millis(std::uniform_int_distribution<int64_t>(300, 700)(random_)),
                     .never_ends = is_long_running,
                     .need = Resources{.millicores = kShortNeed, .memory_mib = 100}};
    };
    world_.Run(Millis(4'000));
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  void Record(const std::string& id, const std::string& cell, int32_t tasks, int64_t millicores,
              const std::string& label = "") {
    JobRecord record{
        .queue = "queue", .service = "service", .max_attempts = 50, .cell = CellId(cell)};
    record.spec = MakeJob(id, tasks, millicores);
    record.spec.steps[0].is_long_running = id.starts_with("long");
    record.spec.steps[0].worker_label = label;
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + id, Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
  }

  World world_{WorldShape{.entries = 3, .data_centres = 3, .racks = 1, .workers_per_rack = 4}};
  std::mt19937_64 random_{1};
};

// Guards against long-running tasks that never asked another cell: the jobs first in order took
// each turn.
TEST_F(LargeTask, EachWaitingJobAsksOtherCells) {
  for (int32_t centre = 0; centre < 3; ++centre) {
    Record("long-fills" + std::to_string(centre), "dc" + std::to_string(centre) + "/0", 32,
           kShortNeed);
  }
  world_.Run(Millis(3'000));
  constexpr int32_t kJobs = 8;
  for (int32_t job = 0; job < kJobs; ++job) {
    Record("long" + std::to_string(job), "dc0/0", 1, kLargeNeed);
  }
  world_.Run(kMaxWait);

  const std::string owner = world_.state("e0").view.cells.at(CellId("dc0/0")).record.owner.Text();
  const OwnedCell& cell = world_.state(owner).cells.at(CellId("dc0/0"));
  for (int32_t job = 0; job < kJobs; ++job) {
    const JobId id("long" + std::to_string(job));
    EXPECT_FALSE(cell.jobs.at(id).declined_until.empty()) << id.Text();
  }
}

}  // namespace
}  // namespace currantpost::scheduler
