#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hand_over_record.h"
#include "world.h"

/// How long a successor waits for leases at a worker that it does not reach: not before they have
/// surely expired, and no longer than docs/design/platform.md says.

namespace currantpost::scheduler {
namespace {

using Names = std::vector<std::string>;

/// The longest lease by a clock that is 2 % slow, and the same with the time of its way.
constexpr Millis kLongestLease = Millis(4'896);
constexpr Millis kMaxWait = Millis(5'050);
/// Time from the end of the wait until the task runs.
constexpr Millis kStartTime = Millis(1'000);
/// Longest time of a change of owner.
constexpr Millis kTakeover = Millis(3'000);
constexpr Millis kLimit = Millis(25'000);
constexpr Millis kRound = Millis(5);
constexpr int32_t kCases = 20;
constexpr Millis kCaseStep = Millis(67);
constexpr int32_t kSlowPercent = 2;

class HandOverBound : public testing::Test {
 protected:
  /// Runs a long-running task on one of several workers whose clocks are slow.
  void Begin(int32_t data_centres) {
    world_ = std::make_unique<World>(
        WorldShape{.entries = 4, .data_centres = data_centres, .racks = 1, .workers_per_rack = 4});
    world_->planner = [](const TaskName&) {
      return RunPlan{.never_ends = true, .need = Resources{.millicores = 1'000, .memory_mib = 100}};
    };
    for (const std::string& id : world_->Workers()) {
      world_->worker(id).clock_slow_percent = kSlowPercent;
    }
    world_->Run(Millis(6'000));
    JobSpec spec = MakeJob("a", 1);
    spec.steps[0].is_long_running = true;
    world_->Submit("e0", spec);
    world_->Run(Millis(4'000));
    ASSERT_EQ(world_->WorkersOf("a").size(), 1U);
    worker_ = world_->WorkersOf("a").front();
    owner_ = world_->OwnerOf("a");
  }

  /// Cuts the worker of the task off from the store and from all entries but one.
  void IsolateWorker(const std::string& but = {}) {
    for (const std::string& entry : world_->Entries()) {
      if (entry != but) world_->Cut(entry, worker_);
    }
    world_->Cut(worker_, "store");
  }

  /// Cuts the owner off from all but the worker of the task.
  void IsolateOwner() {
    Names others = world_->Entries();
    std::ranges::copy(world_->Workers(), std::back_inserter(others));
    others.emplace_back("store");
    for (const std::string& other : others) {
      if (other != owner_ && other != worker_) world_->Cut(owner_, other);
    }
  }

  /// Returns when the task began to run on another worker.
  std::optional<Millis> RunUntilStartedElsewhere() {
    const Millis end = world_->now() + kLimit;

    while (world_->now() < end) {
      world_->Run(kRound);
      const bool runs = std::ranges::any_of(world_->WorkersOf("a"),
                                            [&](const std::string& id) { return id != worker_; });
      if (runs) return world_->now();
    }

    return std::nullopt;
  }

  /// Returns the cell of the task at its present owner.
  [[nodiscard]] OwnedCell& Cell() {
    return world_->state(world_->OwnerOf("a")).cells.at(CellId(cell_));
  }

  std::unique_ptr<World> world_;
  std::string worker_;
  std::string owner_;
  std::string cell_ = "dc0/0";
};

TEST_F(HandOverBound, AfterADenialLeasesAreWaitedForFromTheEndOfTheOwnersLeaseAtTheStore) {
  for (int32_t number = 0; number < kCases; ++number) {
    SCOPED_TRACE(number);
    ASSERT_NO_FATAL_FAILURE(Begin(2));
    world_->Run(kCaseStep * number);
    IsolateOwner();
    IsolateWorker(owner_);
    // The owner takes its lease for valid until it would have ended.
    world_->store.Revoke(world_->store.LeaseOf(std::string(kEntryPrefix) + owner_), false,
                         world_->now());
    const std::optional<Millis> started_at = RunUntilStartedElsewhere();

    ASSERT_TRUE(started_at);
    const std::optional<Millis> ended_at = Cell().hand_over.former_lease_ended_at;
    ASSERT_TRUE(ended_at);
    EXPECT_LE((*started_at - *ended_at).Count(), (kMaxWait + kStartTime).Count());
    EXPECT_EQ(world_->violations, Names());
  }
}

TEST_F(HandOverBound, AfterARestartOfTheOwnerItsLongestLeaseIsWaitedFor) {
  for (int32_t number = 0; number < kCases; ++number) {
    SCOPED_TRACE(number);
    ASSERT_NO_FATAL_FAILURE(Begin(1));
    world_->Run(kCaseStep * number);
    DropWitnesses(*world_, cell_);
    IsolateWorker();
    world_->Kill(owner_);
    world_->Run(kCaseStep * number);
    const Millis restarted_at = world_->now();
    world_->Start(owner_);
    const std::optional<Millis> started_at = RunUntilStartedElsewhere();

    ASSERT_TRUE(started_at);
    EXPECT_LE((*started_at - restarted_at).Count(), (kTakeover + kMaxWait + kStartTime).Count());
    EXPECT_EQ(world_->violations, Names());
  }
}

TEST_F(HandOverBound, LongestLeaseIsWaitedForAtASecondIncarnationOfTheWorker) {
  for (int32_t number = 0; number < kCases; ++number) {
    SCOPED_TRACE(number);
    ASSERT_NO_FATAL_FAILURE(Begin(1));
    world_->Stop(owner_);
    world_->Run(kTakeover + kCaseStep * number);
    ASSERT_NE(world_->OwnerOf("a"), owner_);
    const WorkerState& worker = Cell().workers.at(VmId(worker_));
    ASSERT_TRUE(worker.contacted);

    const int64_t former = worker.info.incarnation;
    world_->RestartWorker(worker_);
    while (worker.fenced_incarnation == former) world_->Run(Millis(1));
    const Millis wait = worker.lease.Expiry() - world_->now();

    EXPECT_GE(wait.Count(), kLongestLease.Count());
    EXPECT_LE(wait.Count(), kMaxWait.Count());
    EXPECT_EQ(world_->violations, Names());
  }
}

}  // namespace
}  // namespace currantpost::scheduler
