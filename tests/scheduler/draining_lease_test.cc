#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "run_audit.h"
#include "world.h"

/// Leases of workers that drain: short once a worker may leave, so that its tasks start elsewhere
/// soon after it has left, and ordinary before.

namespace currantpost::scheduler {
namespace {

/// Time from an announced departure to the next start of a task of which nothing else is awaited.
constexpr Millis kMaxPause = Millis(1'000);
/// Time in which a long-running task runs again after the loss of its worker.
constexpr Millis kMaxAbsence = Millis(9'000);
/// Longer than the lease that a worker may have got just before it announced that it drains.
constexpr Millis kDrainTime = Millis(5'000);
constexpr Millis kLongDrainTime = Millis(8'000);
/// How long workers go on after their drain time.
constexpr int32_t kDepartures = 20;
constexpr Millis kDepartureStep = Millis(73);
constexpr int64_t kWorkerNeed = 8'000;
/// A new worker of the first rack.
constexpr int32_t kNewWorker = 9;

/// Workers of which each runs one long-running task that takes all of it.
class DrainingLease : public testing::Test {
 protected:
  void Begin(int32_t entries) {
    drain_ends_at_.reset();
    world_ = std::make_unique<World>(
        WorldShape{.entries = entries, .racks = 1, .workers_per_rack = kWorkers});
    world_->ended_workers_refuse = true;
    world_->planner = [](const TaskName&) {
      return RunPlan{.never_ends = true,
                     .need = Resources{.millicores = kWorkerNeed, .memory_mib = 100}};
    };
    for (const std::string& id : world_->Workers()) world_->worker(id).clock_slow_percent = 2;
    world_->on_answer = [this](const ObservedAnswer& answer) { audit_->RecordAnswer(answer); };
    audit_ = std::make_unique<RunAudit>(*world_,
                                        [this](const std::string& check, const std::string& text) {
                                          findings_.push_back(check + ": " + text);
                                        });
    Run(Millis(3'500));
    JobSpec spec = MakeJob("long", kWorkers, kWorkerNeed);
    spec.steps[0].is_long_running = true;
    world_->Submit("e0", spec);
    Run(Millis(3'000));
    ASSERT_EQ(Running(), static_cast<size_t>(kWorkers));
  }

  void TearDown() override {
    EXPECT_EQ(world_->violations, std::vector<std::string>());
    EXPECT_EQ(findings_, std::vector<std::string>());
  }

  void Run(Millis span) {
    constexpr Millis kRound = Millis(10);
    const Millis end = world_->now() + span;

    while (world_->now() < end) {
      if (drain_ends_at_) {
        world_->worker(kLeaving).info().drain_remaining =
            std::max(*drain_ends_at_ - world_->now(), Millis(0));
      }
      world_->Run(kRound);
      audit_->Check();
    }
  }

  /// Drains the worker that is to leave.
  void Drain(Millis remaining) {
    drain_ends_at_ = world_->now() + remaining;
    world_->worker(kLeaving).info().drain_remaining = remaining;
    world_->DrainWorker(kLeaving);
  }

  /// Drains the worker for the minimum time and longer by `span`, and lets it leave as a new worker
  /// joins. Returns how long the task there did not run.
  std::optional<Millis> PauseAfterDeparture(Millis span) {
    Drain(kDrainTime);
    Run(kDrainTime + span);
    return RestartTime();
  }

  /// Lets the worker leave as a new one joins, and returns how long the task there did not run.
  std::optional<Millis> RestartTime() {
    const Millis left_at = world_->now();
    std::optional<Millis> started_at;
    world_->on_start = [&](const ObservedStart&) {
      if (!started_at) started_at = world_->now();
    };
    world_->LeaveWorker(kLeaving);
    world_->AddWorkerTo(0, 0, kNewWorker);
    Run(kMaxAbsence);
    world_->on_start = nullptr;
    return started_at ? std::optional(*started_at - left_at) : std::nullopt;
  }

  void CutOffFromEntries(const std::string& worker) {
    for (const std::string& entry : world_->Entries()) world_->Cut(worker, entry);
  }

  size_t Running() const { return world_->WorkersOf("long").size(); }

  /// Returns how many runs have ended because their leases expired.
  int32_t LapsedRuns() const {
    int32_t lapsed = 0;
    for (const auto& [task, ends] : world_->ends) {
      const auto row = ends.find(RunEnd::kLeaseExpired);
      if (row != ends.end()) lapsed += row->second;
    }

    return lapsed;
  }

  std::string Owner() const { return world_->OwnerOf("long"); }

  static constexpr int32_t kWorkers = 4;
  const std::string kLeaving = "wr0-0-0";
  std::unique_ptr<World> world_;
  std::unique_ptr<RunAudit> audit_;
  std::vector<std::string> findings_;
  std::optional<Millis> drain_ends_at_;
};

// Guards against tasks that waited for most of an ordinary lease after an announced departure.
TEST_F(DrainingLease, TasksStartElsewhereSoonAfterAnAnnouncedDeparture) {
  for (int32_t number = 1; number <= kDepartures; ++number) {
    Begin(1);
    const std::optional<Millis> pause = PauseAfterDeparture(kDepartureStep * number);
    ASSERT_TRUE(pause);
    EXPECT_LE(pause->Count(), kMaxPause.Count()) << number;
    EXPECT_EQ(world_->violations, std::vector<std::string>());
  }
}

TEST_F(DrainingLease, TasksStartElsewhereSoonAlsoIfTheDrainTimeIsUnknown) {
  Begin(1);
  world_->DrainWorker(kLeaving);
  Run(kDrainTime);
  const std::optional<Millis> pause = RestartTime();

  ASSERT_TRUE(pause);
  EXPECT_LE(pause->Count(), kMaxPause.Count());
}

TEST_F(DrainingLease, RunsGoOnUntilTheirWorkerLeavesHoweverLongItDrains) {
  Begin(1);
  Drain(Millis(0));
  Run(Millis(30'000));

  EXPECT_EQ(LapsedRuns(), 0);
  EXPECT_EQ(world_->worker(kLeaving).Running().size(), 1U);
}

TEST_F(DrainingLease, RunsSurviveAnOwnerChangeWhileTheirWorkerDrains) {
  Begin(3);
  Drain(kLongDrainTime);
  Run(Millis(1'000));
  world_->KillForGood(Owner());
  Run(kLongDrainTime - Millis(1'000));

  EXPECT_EQ(LapsedRuns(), 0);
  EXPECT_EQ(world_->worker(kLeaving).Running().size(), 1U);
}

TEST_F(DrainingLease, TasksRunOnceAfterAnOwnerChangeAtTheEndOfTheDrainTime) {
  for (int32_t number = 0; number < kDepartures; ++number) {
    Begin(3);
    Drain(kDrainTime);
    Run(kDrainTime - Millis(700) + kDepartureStep * number);
    world_->KillForGood(Owner());
    Run(Millis(300));
    EXPECT_TRUE(RestartTime()) << number;
    EXPECT_EQ(Running(), static_cast<size_t>(kWorkers)) << number;
    EXPECT_EQ(world_->violations, std::vector<std::string>());
  }
}

TEST_F(DrainingLease, RunsGoOnWhileACellIsPassedOnInTheDrainTime) {
  Begin(3);
  Drain(kLongDrainTime);
  Run(Millis(1'000));
  world_->Stop(Owner());
  Run(kLongDrainTime - Millis(1'000));

  EXPECT_EQ(LapsedRuns(), 0);
  EXPECT_EQ(world_->worker(kLeaving).Running().size(), 1U);
}

// Guards against tasks that waited for an ordinary lease after a departure, because the cell had
// just got another owner.
TEST_F(DrainingLease, TasksStartElsewhereSoonAlsoIfTheCellWasPassedOnJustBefore) {
  for (int32_t number = 1; number <= kDepartures; ++number) {
    Begin(3);
    Drain(kDrainTime);
    Run(kDrainTime - Millis(1'500));
    world_->Stop(Owner());
    Run(Millis(1'500) + kDepartureStep * number);
    const std::optional<Millis> pause = RestartTime();
    ASSERT_TRUE(pause);
    EXPECT_LE(pause->Count(), kMaxPause.Count()) << number;
    EXPECT_EQ(world_->violations, std::vector<std::string>());
  }
}

TEST_F(DrainingLease, ATaskRunsOnceIfItsWorkerIsCutOffWhileItDrains) {
  for (int32_t number = 0; number < kDepartures; ++number) {
    Begin(2);
    Drain(kDrainTime);
    Run(kDepartureStep * number * 3);
    CutOffFromEntries(kLeaving);
    world_->Cut(kLeaving, "store");
    world_->AddWorkerTo(0, 0, kNewWorker);
    Run(kMaxAbsence);
    EXPECT_EQ(Running(), static_cast<size_t>(kWorkers)) << number;
    world_->Reconnect();
    Run(Millis(5'000));
    EXPECT_EQ(Running(), static_cast<size_t>(kWorkers)) << number;
    EXPECT_EQ(world_->violations, std::vector<std::string>());
  }
}

TEST_F(DrainingLease, RunsGoOnIfOnlyTheRegistryLosesTheirWorker) {
  Begin(1);
  world_->DropUnresponsiveWorkers();
  Drain(kDrainTime);
  Run(Millis(1'000));
  world_->Cut(kLeaving, "store");
  Run(Millis(15'000));

  EXPECT_FALSE(world_->IsListed(kLeaving));
  EXPECT_EQ(LapsedRuns(), 0);
  EXPECT_EQ(world_->worker(kLeaving).Running().size(), 1U);
}

TEST_F(DrainingLease, RunsGoOnWhileTheOwnerMissesTheStore) {
  Begin(1);
  Drain(kDrainTime);
  Run(kDrainTime + Millis(500));
  world_->Cut(Owner(), "store");
  Run(Millis(1'500));
  world_->Reconnect();
  Run(Millis(3'000));

  EXPECT_EQ(LapsedRuns(), 0);
}

TEST_F(DrainingLease, RunsGoOnAtAnOwnerThatHandlesRepliesLate) {
  for (const Millis delay : {Millis(50), Millis(150), Millis(300), Millis(450)}) {
    Begin(1);
    for (const std::string& id : world_->Workers()) {
      world_->worker(id).clock_slow_percent = 0;
    }
    world_->SetMachine("e0", Machine{.per_event = delay, .max_wait = delay});
    Run(Millis(5'000));
    Drain(kDrainTime);
    Run(kDrainTime + Millis(10'000));

    EXPECT_GE(world_->max_wait.Count(), delay.Count() / 2);
    EXPECT_EQ(LapsedRuns(), 0) << delay.Count();
  }
}

TEST_F(DrainingLease, ARestartedWorkerHasTheOrdinaryLeaseAgain) {
  Begin(1);
  Drain(Millis(500));
  Run(Millis(2'000));
  drain_ends_at_.reset();
  world_->worker(kLeaving).info().draining = false;
  world_->worker(kLeaving).info().drain_remaining.reset();
  world_->RestartWorker(kLeaving);
  Run(kMaxAbsence);
  ASSERT_EQ(Running(), static_cast<size_t>(kWorkers));
  world_->Pause("e0");
  Run(Millis(2'000));
  world_->Resume("e0");
  Run(Millis(2'000));

  EXPECT_EQ(LapsedRuns(), 0);
}

}  // namespace
}  // namespace currantpost::scheduler
