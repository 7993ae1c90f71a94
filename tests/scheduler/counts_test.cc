#include "currantpost/scheduler/counts.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "world.h"

/// The scheduler's counts follow what happens.

namespace currantpost::scheduler {
namespace {

constexpr std::array<int64_t, 2> kBounds = {10, 20};

TEST(Durations, CountsEachInTheFirstBucketThatCoversIt) {
  Durations<kBounds> durations;
  for (const int64_t duration : {0, 10, 11, 20, 21, 5'000}) durations.Add(Millis(duration));

  const std::vector<uint64_t> buckets(durations.Buckets().begin(), durations.Buckets().end());
  EXPECT_EQ(buckets, (std::vector<uint64_t>{2, 2, 2}));
  EXPECT_EQ(durations.Number(), 6U);
  EXPECT_EQ(durations.Sum(), Millis(5'062));
}

TEST(Counts, EachLabelHasAName) {
  EXPECT_EQ(decltype(Counts::refusals)::kSize, kRefusalNames.Rows().size());
  EXPECT_EQ(decltype(Counts::lost_runs)::kSize, kLossReasonNames.Rows().size());
  EXPECT_EQ(decltype(Counts::capacity_requests)::kSize, kCapacityOutcomeNames.Rows().size());
  EXPECT_EQ(decltype(Counts::holds)::kSize, kHoldEventNames.Rows().size());
  EXPECT_EQ(decltype(Counts::search)::kSize, kSearchVisitNames.Rows().size());
}

uint64_t StoreCalls(const Counts& counts, StoreCallKind kind, StoreStatus status) {
  return counts.store_calls[static_cast<size_t>(kind)][static_cast<size_t>(status)].Number();
}

class PlayedCounts : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [](const TaskName&) {
      return RunPlan{.never_ends = true, .need = Resources{.millicores = 1'000, .memory_mib = 100}};
    };
    world_.Run(Millis(3'500));
  }
  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  const Counts& counts() { return world_.state("e0").counts; }

  World world_{WorldShape{.entries = 1, .racks = 1}};
};

TEST_F(PlayedCounts, RenewalsAndStoreCallsOfACalmFleet) {
  world_.Submit("e0", MakeJob("a", 4));
  world_.Run(Millis(10'000));

  // Two workers, whose leases last 3 s and are renewed about once a second.
  EXPECT_GE(counts().lease_rests.Number(), 12U);
  EXPECT_EQ(counts().lease_rests.Buckets().front(), 0U);
  EXPECT_GE(StoreCalls(counts(), StoreCallKind::kLease, StoreStatus::kOk), 5U);
  EXPECT_EQ(StoreCalls(counts(), StoreCallKind::kLease, StoreStatus::kUnknown), 0U);
  EXPECT_GT(counts().search.Get(SearchVisit::kPass), 0U);
  EXPECT_EQ(counts().lost_runs.Get(LossReason::kLeaseExpired), 0U);
}

// Guards against renewals that seemed late because the worker had been idle before.
TEST_F(PlayedCounts, RenewalsAfterAnIdleTimeAreNotLate) {
  for (const char* job : {"a", "b"}) {
    world_.Submit("e0", MakeJob(job, 4));
    world_.Run(Millis(5'000));
    world_.Cancel("e0", job);
    world_.Run(Millis(10'000));
  }

  EXPECT_GE(counts().lease_rests.Number(), 8U);
  EXPECT_EQ(counts().lease_rests.Buckets().front(), 0U);
}

TEST_F(PlayedCounts, RunsOfASilentWorkerAreLostByItsLease) {
  world_.Submit("e0", MakeJob("a", 4));
  world_.Run(Millis(2'000));
  const std::vector<std::string> workers = world_.WorkersOf("a");
  ASSERT_FALSE(workers.empty());
  const auto runs = std::ranges::count(workers, workers.front());
  world_.Cut("e0", workers.front());
  world_.Run(Millis(10'000));

  EXPECT_EQ(counts().lost_runs.Get(LossReason::kLeaseExpired), static_cast<uint64_t>(runs));
  EXPECT_EQ(counts().lost_runs.Get(LossReason::kWorkerRestarted), 0U);
}

TEST_F(PlayedCounts, CallsToASilentStoreAreUnanswered) {
  world_.Cut("e0", "store");
  world_.Run(Millis(5'000));

  EXPECT_GT(StoreCalls(counts(), StoreCallKind::kLease, StoreStatus::kUnknown) +
                StoreCalls(counts(), StoreCallKind::kLease, StoreStatus::kUnavailable),
            0U);
}

TEST_F(PlayedCounts, AWorkerIsKeptForALargeTaskUntilItFits) {
  world_.Submit("e0", MakeJob("small", 16));
  world_.Run(Millis(1'000));
  JobSpec large = MakeJob("large", 1, 6'000);
  large.steps[0].is_long_running = true;
  world_.Submit("e0", large);
  world_.Run(Millis(3'000));
  EXPECT_EQ(counts().holds.Get(HoldEvent::kGranted), 1U);
  EXPECT_EQ(counts().holds.Get(HoldEvent::kUsed), 0U);

  world_.Cancel("e0", "small");
  world_.Run(Millis(2'000));

  EXPECT_EQ(counts().holds.Get(HoldEvent::kUsed), 1U);
}

TEST_F(PlayedCounts, RepliesToRequestsForCapacityByOutcome) {
  ReservationReply reply{.from = CellId("dc0/0"), .job = JobId("a")};
  const auto push = [&](int32_t tasks, bool keeps) {
    reply.tasks = tasks;
    reply.keeps = keeps;
    world_.Push("e0", StoreItem{.key = std::string(kReservationReplyPrefix) + "elsewhere/0",
                                .value = Encode(reply)});
    world_.Run(Millis(20));
  };
  push(2, false);
  push(0, true);
  push(0, false);
  push(0, false);

  EXPECT_EQ(counts().capacity_requests.Get(CapacityOutcome::kGranted), 1U);
  EXPECT_EQ(counts().capacity_requests.Get(CapacityOutcome::kWorkerKept), 1U);
  EXPECT_EQ(counts().capacity_requests.Get(CapacityOutcome::kDeclined), 2U);
}

TEST(RefusedJobs, AreCountedByReason) {
  World world(WorldShape{.entries = 1, .racks = 1, .workers_per_rack = 0});
  world.Run(Millis(3'500));
  world.Submit("e0", MakeJob("a", 1));
  world.Run(Millis(1'000));

  EXPECT_EQ(world.state("e0").counts.refusals.Get(Refusal::kNoWorkerKnown), 1U);
  EXPECT_EQ(world.state("e0").counts.refusals.Get(Refusal::kStoreSilent), 0U);
}

}  // namespace
}  // namespace currantpost::scheduler
