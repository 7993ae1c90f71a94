#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "world.h"

/// Tests of ends that a worker lists after its owner has treated the runs as lost.

namespace currantpost::scheduler {
namespace {

/// One cell with two workers of one core each.
class EndOfLostRun : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [this](const TaskName& name) { return plans_[name.job.Text()]; };
    world_.on_start_order = [this](const ObservedStart& start) { orders_.push_back(start.order); };
    world_.Run(Millis(4'000));
  }
  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  static RunPlan PlanFor(Millis duration) {
    return RunPlan{.duration = duration, .need = Resources{.millicores = 1'000, .memory_mib = 100}};
  }

  /// Starts a job with one task and returns its worker.
  std::string StartJob(const std::string& job, const RunPlan& plan) {
    plans_[job] = plan;
    world_.Submit("e0", MakeJob(job, 1));
    for (int round = 0; round < 400 && world_.WorkersOf(job).empty(); ++round) {
      world_.Run(Millis(5));
    }
    const std::vector<std::string> workers = world_.WorkersOf(job);
    return workers.empty() ? "" : workers.front();
  }

  void CutFromEntries(const std::string& worker) {
    for (const std::string& entry : world_.Entries()) world_.Cut(entry, worker);
  }
  void ReconnectToEntries(const std::string& worker) {
    for (const std::string& entry : world_.Entries()) world_.Reconnect(entry, worker);
  }

  [[nodiscard]] int32_t StartCount(const std::string& job) const {
    const auto count = world_.starts.find(TaskName{JobId(job)});
    return count == world_.starts.end() ? 0 : count->second;
  }

  /// Returns the only task of a job, or null if no entry holds the job.
  const TaskState* TaskOf(const std::string& job) {
    for (const std::string& entry : world_.Entries()) {
      for (auto& [id, cell] : world_.state(entry).cells) {
        const auto found = cell.jobs.find(JobId(job));
        if (found != cell.jobs.end()) {
          return found->second.occurrences.front().steps.front().tasks.data();
        }
      }
    }
    return nullptr;
  }

  bool RunUntilPhase(const std::string& job, TaskPhase phase) {
    for (int round = 0; round < 4'000; ++round) {
      const TaskState* task = TaskOf(job);
      if (task != nullptr && task->phase == phase) return true;
      world_.Run(Millis(5));
    }
    return false;
  }

  std::map<std::string, RunPlan> plans_;
  std::vector<StartTask> orders_;
  World world_{WorldShape{.entries = 2,
                          .racks = 1,
                          .workers_per_rack = 2,
                          .capacity = Resources{.millicores = 1'000, .memory_mib = 1'000}}};
};

// Guards against a second run: the end of a run that the owner had treated as lost was discarded.
TEST_F(EndOfLostRun, CompletesTheTaskIfNoLaterRunWasStarted) {
  const std::string hog = StartJob("hog", PlanFor(Millis(30'000)));
  const std::string worker = StartJob("a", PlanFor(Millis(3'000)));
  ASSERT_FALSE(hog.empty() || worker.empty());
  world_.Run(Millis(500));
  CutFromEntries(worker);
  ASSERT_TRUE(RunUntilPhase("a", TaskPhase::kWaiting));
  ReconnectToEntries(worker);
  world_.Run(Millis(8'000));

  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
  EXPECT_EQ(StartCount("a"), 1);
}

// Guards against the same after the next run was bound to another worker.
TEST_F(EndOfLostRun, CompletesTheTaskIfTheNextRunIsBoundAndItsStartWasNotSent) {
  const std::string hog = StartJob("hog", PlanFor(Millis(11'000)));
  const Millis hog_ends_at = world_.now() + Millis(11'000);
  const std::string worker = StartJob("a", PlanFor(Millis(3'000)));
  ASSERT_FALSE(hog.empty() || worker.empty());
  world_.Run(Millis(500));
  CutFromEntries(worker);
  ASSERT_TRUE(RunUntilPhase("a", TaskPhase::kWaiting));
  ASSERT_LT(world_.now(), hog_ends_at - Millis(600));
  world_.Run(hog_ends_at - Millis(600) - world_.now());
  const std::string owner = world_.OwnerOf("a");
  world_.Cut(owner, "store");
  ASSERT_TRUE(RunUntilPhase("a", TaskPhase::kBinding));
  ReconnectToEntries(worker);
  world_.Run(Millis(300));
  world_.Reconnect(owner, "store");
  world_.Run(Millis(8'000));

  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
  EXPECT_EQ(StartCount("a"), 1);
}

// Guards against lost work: the checkpoint of such a run was discarded with its end.
TEST_F(EndOfLostRun, LeavesItsCheckpointToTheNextRun) {
  const std::string hog = StartJob("hog", PlanFor(Millis(60'000)));
  RunPlan plan = PlanFor(Millis(20'000));
  plan.save_interval = Millis(1'000);
  const std::string worker = StartJob("a", plan);
  ASSERT_FALSE(hog.empty() || worker.empty());
  world_.Run(Millis(1'500));
  CutFromEntries(worker);
  ASSERT_TRUE(RunUntilPhase("a", TaskPhase::kWaiting));
  const std::string last =
      worker + "-1-" + std::to_string(world_.checkpoints.begin()->second.size());
  ReconnectToEntries(worker);
  world_.Run(Millis(4'000));

  ASSERT_EQ(StartCount("a"), 2);
  EXPECT_EQ(orders_.back().checkpoint, last);
}

}  // namespace
}  // namespace currantpost::scheduler
