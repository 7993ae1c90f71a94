#include <gtest/gtest.h>

#include "world.h"

/// Tasks of a cancelled job: none starts, and running ones are stopped in time.

namespace currantpost::scheduler {
namespace {

/// The latest time after a job's cancellation at which one of its tasks may start, and the
/// additional time within which a running task must have stopped. Values of a deployment.
constexpr Millis kMaxStartAfterCancel = Millis(4'000);
constexpr Millis kMaxStopTime = Millis(900);

class CancelledJob : public testing::Test {
 protected:
  void SetUp() override { world_.Run(Millis(3'500)); }
  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  /// Fills all workers with a job of long-running tasks, and sets `owner_` to the cell's owner and
  /// `other_` to the other entry.
  void OccupyWorkers() {
    world_.planner = [this](const TaskName& name) {
      return RunPlan{.never_ends = name.job.Text() == "holder",
                     .need = Resources{.millicores = name.job.Text() == "holder" ? 8'000 : 1'000}};
    };
    JobSpec spec = MakeJob("holder", 2, 8'000);
    spec.steps[0].is_long_running = true;
    world_.Submit("e0", spec);
    world_.Run(Millis(1'000));
    ASSERT_EQ(world_.WorkersOf("holder").size(), 2U);

    owner_ = world_.OwnerOf("holder");
    other_ = owner_ == "e0" ? "e1" : "e0";
  }

  /// Cancels a job at the entry that does not own its cell, and waits for the answer.
  void CancelAtOtherEntry(const std::string& job) {
    world_.Cancel(other_, job);
    world_.Run(Millis(50));
    ASSERT_EQ(world_.answers[job].back().outcome, CallerOutcome::kCancelled);
    cancelled_at_ = world_.now();
  }

  /// Makes the owner receive many changes one by one, and only through its watch.
  void MakeOwnerLag() {
    world_.Cut(owner_, other_);
    world_.store.changes_in_answer = 1;
    for (int32_t number = 0; number < 30; ++number) {
      world_.Submit(other_, MakeJob("other" + std::to_string(number), 1));
    }
    world_.Run(Millis(500));
  }

  [[nodiscard]] int32_t StartsOf(const std::string& job) {
    int32_t count = 0;
    for (const auto& [name, starts] : world_.starts) {
      if (name.job.Text() == job) count += starts;
    }
    return count;
  }

  World world_{WorldShape{.entries = 2, .racks = 1, .workers_per_rack = 2}};
  std::string owner_;
  std::string other_;
  Millis cancelled_at_;
};

TEST_F(CancelledJob, AnOwnerWithStaleRecordsStartsNoneOfItsTasks) {
  OccupyWorkers();
  world_.Submit(owner_, MakeJob("waits", 4));
  world_.SlowWatches(owner_, Millis(9'000));
  world_.Cut(owner_, other_);
  world_.Run(Millis(2'500));
  CancelAtOtherEntry("waits");
  world_.Run(kMaxStartAfterCancel);

  // Frees the workers.
  world_.Cancel(owner_, "holder");
  world_.Run(Millis(12'000));
  EXPECT_EQ(StartsOf("waits"), 0);
  EXPECT_EQ(world_.Phase("waits"), JobPhase::kCancelled);
}

TEST_F(CancelledJob, AnOwnerThatRelistsTheRecordsStartsNoneOfItsTasks) {
  OccupyWorkers();
  world_.Submit(owner_, MakeJob("waits", 4));
  world_.Cut(owner_, other_);
  world_.Cut(owner_, "store");
  world_.Submit(other_, MakeJob("unrelated", 1));
  world_.Run(Millis(500));
  world_.store.CompactHistory();
  world_.store.page_size = 1;
  world_.SlowLists(owner_, Millis(1'000));
  world_.Reconnect(owner_, "store");
  world_.Run(Millis(4'000));
  CancelAtOtherEntry("waits");
  world_.Run(kMaxStartAfterCancel);

  world_.Cancel(owner_, "holder");
  world_.Run(Millis(12'000));
  EXPECT_EQ(StartsOf("waits"), 0);
}

TEST_F(CancelledJob, AnOwnerThatCatchesUpInSmallRepliesStartsNoneOfItsTasks) {
  OccupyWorkers();
  world_.Submit(owner_, MakeJob("waits", 4));
  MakeOwnerLag();
  CancelAtOtherEntry("waits");
  world_.Run(kMaxStartAfterCancel);

  world_.Cancel(owner_, "holder");
  world_.Run(Millis(3'000));
  EXPECT_EQ(StartsOf("waits"), 0);
}

TEST_F(CancelledJob, AStopWithoutAnAnswerIsRepeatedAtOnce) {
  OccupyWorkers();
  for (const std::string& worker : world_.Workers()) world_.LoseStops(worker, true);
  CancelAtOtherEntry("holder");
  world_.Run(Millis(3'000));
  for (const std::string& worker : world_.Workers()) world_.LoseStops(worker, false);
  world_.Run(cancelled_at_ + kMaxStartAfterCancel + kMaxStopTime - world_.now());

  EXPECT_TRUE(world_.WorkersOf("holder").empty());
}

TEST_F(CancelledJob, AnEntryThatReleasesItsCellsStopsItsTasks) {
  OccupyWorkers();
  world_.Cut(owner_, "store");
  world_.Stop(owner_);
  CancelAtOtherEntry("holder");
  world_.Run(kMaxStopTime);

  EXPECT_TRUE(world_.WorkersOf("holder").empty());
}

TEST_F(CancelledJob, ACancelThatTheStoreAcceptsLateIsNotAbandoned) {
  OccupyWorkers();
  world_.Cut(owner_, "store");
  world_.Cut(other_, "store");
  world_.Cancel(other_, "holder");
  world_.Run(Millis(3'500));
  ASSERT_EQ(world_.answers["holder"].back().outcome, CallerOutcome::kUnknown);
  world_.Reconnect();
  world_.Run(kMaxStartAfterCancel + kMaxStopTime);

  EXPECT_TRUE(world_.WorkersOf("holder").empty());
}

TEST_F(CancelledJob, AnOwnerThatCatchesUpInSmallRepliesStopsItsTasksInTime) {
  OccupyWorkers();
  MakeOwnerLag();
  CancelAtOtherEntry("holder");
  world_.Run(kMaxStartAfterCancel + kMaxStopTime);

  EXPECT_TRUE(world_.WorkersOf("holder").empty());
}

TEST_F(CancelledJob, LostStopsDoNotDelayTheCellReleaseOfAStoppingEntry) {
  OccupyWorkers();
  for (const std::string& worker : world_.Workers()) world_.LoseStops(worker, true);
  CancelAtOtherEntry("holder");
  world_.Stop(owner_);
  world_.Run(Millis(2'000));

  EXPECT_TRUE(world_.state(owner_).cells.empty());
}

TEST_F(CancelledJob, ALostStopDoesNotDelayStartsOnItsWorker) {
  world_.planner = [](const TaskName& name) {
    return RunPlan{.never_ends = name.job.Text() == "lasts",
                   .need = Resources{.millicores = 1'000}};
  };
  JobSpec spec = MakeJob("lasts", 2);
  spec.steps[0].is_long_running = true;
  world_.Submit("e0", spec);
  world_.Run(Millis(1'000));
  for (const std::string& worker : world_.Workers()) world_.LoseStops(worker, true);
  world_.Cancel("e0", "lasts");
  world_.Run(Millis(50));
  world_.Submit("e0", MakeJob("later", 1));
  world_.Run(Millis(2'000));

  EXPECT_EQ(StartsOf("later"), 1);
}

}  // namespace
}  // namespace currantpost::scheduler
