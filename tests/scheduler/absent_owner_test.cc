#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "world.h"

/// Owners that were away, or are behind, when a worker's lease expires, while the worker answers.

namespace currantpost::scheduler {
namespace {

using Names = std::vector<std::string>;

constexpr Millis kStart = Millis(8'000);
constexpr Millis kRound = Millis(10);
/// The run begins within this time.
constexpr Millis kStartTime = Millis(500);
/// The run ends while its worker is out of reach.
constexpr Millis kRunTime = Millis(2'500);
/// The owner is away for this long before and after the lease expires.
constexpr Millis kAwayBefore = Millis(800);
constexpr Millis kAwayAfter = Millis(500);
/// Time for the end of the run to be recorded.
constexpr Millis kSettleTime = Millis(4'000);
/// Time that a connection to the worker takes, longer than the start of a task elsewhere.
constexpr Millis kConnectTime = Millis(300);
/// Time after a lease until the task runs again: to write the record and to start it.
constexpr Millis kRestartTime = Millis(300);
/// A machine for which this number of queries is more than a second of work.
constexpr Machine kSlowMachine = {.per_event = Millis(300), .max_wait = Millis(5'000)};
constexpr int32_t kQueries = 12;
/// A machine that is kept busy by a query each of these, and handles each event 1.5 s late then.
constexpr Machine kBusyMachine = {.per_event = Millis(55), .max_wait = Millis(1'500)};
constexpr Millis kQueryInterval = Millis(10);
/// Time to decide for an owner that is behind: what has arrived is handled, then the worker is
/// asked, and what has arrived meanwhile is handled.
constexpr Millis kMaxDecisionTime =
    (kBusyMachine.max_wait + kBusyMachine.per_event) * 2 + Millis(800);

class AbsentOwner : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [this](const TaskName&) {
      return RunPlan{.duration = kRunTime,
                     .never_ends = never_ends_,
                     .need = Resources{.millicores = 1'000, .memory_mib = 100}};
    };
    world_.Run(kStart);
    world_.Submit("e0", MakeJob("a", 1));
    world_.Run(kStartTime);
    const Names workers = world_.WorkersOf("a");
    ASSERT_EQ(workers.size(), 1U);
    worker_ = workers.front();
    owner_ = world_.OwnerOf("a");
  }

  [[nodiscard]] const WorkerState& Worker() {
    const auto& cells = world_.state(owner_).cells;
    const auto cell = std::ranges::find_if(
        cells, [&](const auto& row) { return row.second.workers.contains(VmId(worker_)); });
    return cell->second.workers.at(VmId(worker_));
  }

  [[nodiscard]] Millis Expiry() { return Worker().lease.Expiry(); }
  [[nodiscard]] const std::vector<PollInFlight>& Polls() { return Worker().polls; }

  void RunUntil(Millis end) {
    while (world_.now() < end) world_.Run(kRound);
  }

  /// Cuts the worker off until shortly before its lease expires.
  void CutOff() {
    world_.Cut(owner_, worker_);
    RunUntil(world_.now() + kRunTime);
    RunUntil(Expiry() - kAwayBefore);
  }

  /// Connections to the worker are established late.
  void DelayConnections() {
    world_.connect_time = [this](const WorkerCall& call) {
      return call.worker.Text() == worker_ ? kConnectTime : Millis(0);
    };
  }

  [[nodiscard]] bool WasTreatedAsLost() const {
    return std::ranges::any_of(world_.log, [](const std::string& line) {
      return line.find("its runs are treated as lost") != std::string::npos;
    });
  }

  void ExpectOneRun() {
    EXPECT_EQ(world_.violations, Names());
    EXPECT_FALSE(WasTreatedAsLost());
    EXPECT_EQ(world_.starts.size(), 1U);
    for (const auto& [name, count] : world_.starts) EXPECT_EQ(count, 1) << name.index;
    EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
  }

  World world_{WorldShape{.entries = 1, .racks = 1, .workers_per_rack = 3}};
  bool never_ends_ = false;
  std::string worker_;
  std::string owner_;
};

// Guards against a run treated as lost whose end waits unread in the owner's queue.
TEST_F(AbsentOwner, ReadsTheEndThatWaitsBeforeItTreatsTheRunAsLost) {
  CutOff();
  world_.Reconnect();
  DelayConnections();
  while (Polls().empty() || Polls().back().sent_at < Expiry() - kAwayBefore) world_.Run(kRound);
  ASSERT_LT(world_.now(), Expiry() - kConnectTime);

  // What arrives before the answer takes the owner until after the expiry.
  world_.SetMachine(owner_, kSlowMachine);
  for (int32_t query = 0; query < kQueries; ++query) world_.RequestStatus(owner_, "unknown");
  RunUntil(Expiry() + kAwayAfter);
  world_.SetMachine(owner_, Machine());
  world_.Run(kSettleTime);

  ExpectOneRun();
}

// Guards against a task that is started again although its worker would tell of the end at once: no
// poll was in flight when the lease expired, as the owner was away.
TEST_F(AbsentOwner, AsksOnItsReturnBeforeItTreatsTheRunAsLost) {
  CutOff();
  world_.Pause(owner_);
  world_.Reconnect();
  RunUntil(Expiry() + kAwayAfter);
  DelayConnections();
  world_.Resume(owner_);
  world_.Run(kSettleTime);

  ExpectOneRun();
}

// Guards against an owner that returns just before the lease expires, too late for an answer.
TEST_F(AbsentOwner, AsksOnItsReturnJustBeforeTheLeaseExpires) {
  CutOff();
  world_.Pause(owner_);
  world_.Reconnect();
  RunUntil(Expiry() - kRound);
  DelayConnections();
  world_.Resume(owner_);
  world_.Run(kSettleTime);

  ExpectOneRun();
}

// Guards against an owner that waits for the answer of a worker which is gone.
TEST_F(AbsentOwner, StartsTheTaskElsewhereIfNobodyAnswersOnItsReturn) {
  CutOff();
  world_.Pause(owner_);
  RunUntil(Expiry() + kAwayAfter);
  world_.Resume(owner_);
  world_.Run(kSettleTime);

  EXPECT_EQ(world_.starts.size(), 1U);
  for (const auto& [name, count] : world_.starts) EXPECT_EQ(count, 2) << name.index;
}

// Guards against an owner that never decides, as it is behind all the time.
TEST_F(AbsentOwner, DecidesThoughItIsBehindForLong) {
  CutOff();
  world_.SetMachine(owner_, kBusyMachine);
  const Millis end = Expiry() + kMaxDecisionTime;
  while (world_.now() < end) {
    world_.RequestStatus(owner_, "unknown");
    world_.Run(kQueryInterval);
  }

  EXPECT_TRUE(WasTreatedAsLost());
  EXPECT_GT(world_.max_wait, kBusyMachine.max_wait / 2);
}

// Guards against a longer absence of tasks whose worker is gone, if the owner was never away.
TEST_F(AbsentOwner, DoesNotAskAgainIfItWasNotAway) {
  world_.Cut(owner_, worker_);
  RunUntil(world_.now() + kRunTime);
  RunUntil(Expiry() + kRestartTime);

  for (const auto& [name, count] : world_.starts) EXPECT_EQ(count, 2) << name.index;
}

}  // namespace
}  // namespace currantpost::scheduler
