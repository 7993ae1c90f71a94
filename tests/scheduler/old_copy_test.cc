#include <gtest/gtest.h>

#include "world.h"

/// Decisions of an entry whose copy of the store's records is stale.

namespace currantpost::scheduler {
namespace {

class OldCopy : public testing::Test {
 protected:
  void SetUp() override { world_.Run(Millis(3'500)); }
  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  /// Fills all workers with a job of long-running tasks, and sets `owner_` to the cell's owner and
  /// `other_` to the other entry.
  void OccupyWorkers() {
    world_.planner = [](const TaskName& name) {
      const bool holds = name.job.Text() == "holder";
      return RunPlan{.never_ends = holds, .need = Resources{.millicores = holds ? 8'000 : 1'000}};
    };
    JobSpec spec = MakeJob("holder", 2, 8'000);
    spec.steps[0].is_long_running = true;
    world_.Submit("e0", spec);
    world_.Run(Millis(1'000));
    owner_ = world_.OwnerOf("holder");
    other_ = owner_ == "e0" ? "e1" : "e0";
  }

  World world_{WorldShape{.entries = 2, .racks = 1, .workers_per_rack = 2}};
  std::string owner_;
  std::string other_;
};

TEST_F(OldCopy, AnEntryThatCatchesUpBySmallAnswersCountsNoJobsThatWait) {
  OccupyWorkers();
  world_.Cut(owner_, other_);
  world_.store.changes_in_answer = 1;
  for (int32_t number = 0; number < 60; ++number) {
    world_.Submit(other_, MakeJob("unrelated" + std::to_string(number), 1, 100'000));
  }
  world_.Run(Millis(5'200));
  world_.RequestPendingCount(owner_);
  world_.Run(Millis(50));

  const AnswerCaller& answer = world_.answers["pending"].back();
  EXPECT_TRUE(answer.outcome != CallerOutcome::kPending || answer.pending >= 30) << answer.pending;
}

TEST_F(OldCopy, AnEntryWhoseWatchesTakeSecondsLearnsOfJobs) {
  OccupyWorkers();
  world_.Cut(owner_, other_);
  world_.DelayWatches(owner_, Millis(4'000));
  world_.Run(Millis(500));
  world_.Submit(other_, MakeJob("elsewhere", 1));
  world_.Run(Millis(12'000));

  EXPECT_TRUE(world_.state(owner_).view.jobs.contains(JobId("elsewhere")));
}

TEST_F(OldCopy, AnOwnerWithAnOldRegistryStartsNothingOnAWorkerThatDrains) {
  OccupyWorkers();
  const std::string worker = world_.WorkersOf("holder").front();
  world_.SlowWatches(owner_, Millis(9'000));
  world_.Run(Millis(2'500));
  world_.DrainWorker(worker);
  world_.Run(Millis(2'500));
  const int32_t before = world_.worker(worker).starts;
  world_.Cancel(owner_, "holder");
  world_.Submit(owner_, MakeJob("later", 8));
  world_.Run(Millis(2'000));

  EXPECT_EQ(world_.worker(worker).starts, before);
}

TEST_F(OldCopy, AnEntryWithAnOldConfigurationAcceptsNothingForARemovedQueue) {
  world_.SlowWatches("e0", Millis(9'000));
  world_.Run(Millis(2'500));
  Routing routing;
  routing.version = 2;
  routing.services["service"] = Service{.name = "service"};
  world_.store.Configure(routing, world_.now());
  world_.Run(Millis(2'500));
  world_.Submit("e0", MakeJob("late", 1));
  world_.Run(Millis(100));

  EXPECT_EQ(world_.answers["late"].back().outcome, CallerOutcome::kNoSuchQueue);
}

}  // namespace
}  // namespace currantpost::scheduler
