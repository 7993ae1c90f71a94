#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "world.h"

/// Long-running tasks that are larger than the pieces of capacity that short tasks leave free.

namespace currantpost::scheduler {
namespace {

/// Longest time that a long-running task may wait while short tasks come and go.
constexpr Millis kMaxWait = Millis(3'000);
constexpr int64_t kShortNeed = 1'000;
constexpr int64_t kLargeNeed = 6'000;
/// More short tasks than end during a test.
constexpr int32_t kShortTasks = 3'000;
constexpr const char* kLabel = "special";

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

  /// Fills all cells with short tasks.
  void RecordShortTasks() {
    for (const char* centre : {"dc0", "dc1", "dc2"}) {
      Record(std::string("short-") + centre, std::string(centre) + "/0", kShortTasks, kShortNeed);
    }
    world_.Run(Millis(3'000));
  }

  World world_{WorldShape{.entries = 3, .data_centres = 3, .racks = 1, .workers_per_rack = 4}};
  std::mt19937_64 random_{1};
};

// Guards against large long-running tasks that stayed down for as long as short tasks waited: these
// took each piece of capacity as it became free.
TEST_F(LargeTask, ALongRunningTaskGetsAWorkerFromShortTasks) {
  RecordShortTasks();
  Record("long", "dc0/0", 1, kLargeNeed);
  world_.Run(kMaxWait);

  EXPECT_EQ(world_.WorkersOf("long").size(), 1U);
  EXPECT_LT(world_.starts.size(), static_cast<size_t>(kShortTasks));
}

// Guards against the same if only another cell has a suitable worker.
TEST_F(LargeTask, ALongRunningTaskGetsAWorkerFromShortTasksOfAnotherCell) {
  for (int32_t number = 0; number < 4; ++number) {
    world_.worker("wr1-0-" + std::to_string(number)).info().labels.emplace_back(kLabel);
  }
  RecordShortTasks();
  Record("long", "dc0/0", 1, kLargeNeed, kLabel);
  world_.Run(kMaxWait);

  EXPECT_EQ(world_.WorkersOf("long").size(), 1U);
  EXPECT_LT(world_.starts.size(), static_cast<size_t>(kShortTasks));
}

// Guards against a worker that stays kept for a task that no longer needs it.
TEST_F(LargeTask, AWorkerIsNotKeptOnceTheTaskIsGone) {
  RecordShortTasks();
  Record("long", "dc0/0", 1, kLargeNeed);
  world_.Run(Millis(1'300));
  world_.Cancel("e0", "long");
  world_.Run(Millis(4'000));

  // A kept worker would have room for two short tasks.
  std::map<std::string, size_t> most;
  for (Millis passed; passed < Millis(1'000); passed = passed + Millis(20)) {
    world_.Run(Millis(20));
    for (const std::string& worker : world_.Workers()) {
      most[worker] = std::max(most[worker], world_.worker(worker).Running().size());
    }
  }
  for (const auto& [worker, running] : most) EXPECT_GT(running, 2U) << worker;
}

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
