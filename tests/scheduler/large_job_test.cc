#include <gtest/gtest.h>

#include <algorithm>

#include "currantpost/scheduler/state.h"
#include "world.h"

/// Jobs with thousands of tasks beside small ones.

namespace currantpost::scheduler {
namespace {

constexpr int32_t kLargeCount = 4'000;
constexpr int64_t kLargeNeed = 10;
/// Maximum number of tasks that one event may bind in a cell.
constexpr size_t kMaxBindingsPerEvent = 500;
/// Maximum number of tasks of a cell whose start a worker may be waiting for.
constexpr size_t kMaxUnstartedPerWorker = 100;

bool IsUnstarted(const TaskState& task) {
  return task.phase == TaskPhase::kBinding ||
         (task.phase == TaskPhase::kStarting && !task.start_sent);
}

/// Three cells of 96 cores each.
class LargeJob : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [](const TaskName& name) {
      const bool is_large = name.job.Text() == "large";
      return RunPlan{.duration = Millis(500),
                     .need = Resources{.millicores = is_large ? kLargeNeed : 1'000,
                                       .memory_mib = is_large ? 1 : 100}};
    };
    world_.Run(Millis(5'000));
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  JobSpec MakeLargeJob() {
    JobSpec spec = MakeJob("large", kLargeCount, kLargeNeed);
    spec.steps[0].need.memory_mib = 1;
    return spec;
  }

  /// Runs for `span` and notes the largest increase of bound tasks in one step of simulated time,
  /// and the largest number of tasks whose start one worker has to be sent.
  void Observe(Millis span) {
    for (Millis passed; passed < span; passed = passed + Millis(5)) {
      world_.Run(Millis(5));
      for (const std::string& entry : world_.Entries()) ObserveEntry(entry);
    }
  }

  void ObserveEntry(const std::string& entry) {
    for (auto& [id, cell] : world_.state(entry).cells) {
      size_t bound = 0;

      for (const auto& [worker_id, worker] : cell.workers) {
        bound += worker.tasks.size();
        const auto unstarted = static_cast<size_t>(std::ranges::count_if(
            worker.tasks,
            [&cell = cell](const TaskRef& ref) { return IsUnstarted(Task(cell, ref)); }));
        most_unstarted_ = std::max(most_unstarted_, unstarted);
      }

      size_t& before = bound_[{entry, id}];
      if (bound > before) most_bound_at_once_ = std::max(most_bound_at_once_, bound - before);
      before = bound;
    }
  }

  static const TaskState& Task(const OwnedCell& cell, const TaskRef& ref) {
    return cell.jobs.at(ref.job)
        .occurrences[static_cast<size_t>(ref.occurrence)]
        .steps[static_cast<size_t>(ref.step)]
        .tasks[static_cast<size_t>(ref.index)];
  }

  World world_{WorldShape{.entries = 3,
                          .data_centres = 3,
                          .racks = 1,
                          .workers_per_rack = 3,
                          .capacity = {.millicores = 32'000, .memory_mib = 64'000}}};
  std::map<std::pair<std::string, CellId>, size_t> bound_;
  size_t most_bound_at_once_ = 0;
  size_t most_unstarted_ = 0;
};

// Guards against an owner that stands still: one placement round bound all tasks of a job, and the
// owner's lease at the store ended before the round did.
TEST_F(LargeJob, OnePlacementRoundBindsALimitedNumberOfTasks) {
  world_.Submit("e0", MakeLargeJob());
  Observe(Millis(3'000));

  EXPECT_GT(world_.starts.size(), 0U);
  EXPECT_LE(most_bound_at_once_, kMaxBindingsPerEvent);
}

// Guards against turns that cost more the more tasks are bound: each event of a worker looks at all
// tasks that are bound there.
TEST_F(LargeJob, AWorkerHasALimitedNumberOfTasksToStart) {
  world_.Submit("e0", MakeLargeJob());
  Observe(Millis(3'000));

  EXPECT_LE(most_unstarted_, kMaxUnstartedPerWorker);
}

// Guards against small jobs that wait behind all tasks of a large one.
TEST_F(LargeJob, SmallJobsCompleteBesideIt) {
  world_.Submit("e0", MakeLargeJob());

  for (int32_t number = 0; number < 20; ++number) {
    world_.Submit("e" + std::to_string(number % 3), MakeJob("j" + std::to_string(number), 2));
    world_.Run(Millis(200));
  }
  world_.Run(Millis(3'000));

  for (int32_t number = 0; number < 20; ++number) {
    EXPECT_EQ(world_.Phase("j" + std::to_string(number)), JobPhase::kCompleted) << number;
  }
}

TEST_F(LargeJob, AllItsTasksRunOnce) {
  world_.Submit("e0", MakeLargeJob());
  world_.Run(Millis(40'000));

  EXPECT_EQ(world_.Phase("large"), JobPhase::kCompleted);
  EXPECT_EQ(world_.starts.size(), static_cast<size_t>(kLargeCount));
  for (const auto& [name, count] : world_.starts) EXPECT_EQ(count, 1) << name.index;
}

// Guards against a successor that stands still in the same way, and the next one after it.
TEST_F(LargeJob, ItSurvivesTheLossOfItsOwner) {
  world_.Submit("e0", MakeLargeJob());
  world_.Run(Millis(1'500));
  const std::string owner = world_.OwnerOf("large");
  world_.Kill(owner);
  Observe(Millis(8'000));
  EXPECT_LE(most_bound_at_once_, kMaxBindingsPerEvent);

  world_.Start(owner);
  world_.Run(Millis(35'000));
  EXPECT_EQ(world_.Phase("large"), JobPhase::kCompleted);
}

}  // namespace
}  // namespace currantpost::scheduler
