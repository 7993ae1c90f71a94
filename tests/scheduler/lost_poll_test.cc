#include <gtest/gtest.h>

#include <limits>

#include "long_running_job.h"

/// Polls that get lost, or whose replies do, while the worker is up and its owner reaches it again
/// in time.

namespace currantpost::scheduler {
namespace {

constexpr const char* kJob = "a";
constexpr int32_t kTasks = 4;
/// A long-running task counts as lost this long after its last run at the earliest.
constexpr Millis kRestartTime = Millis(6'000);

/// Which part of a poll gets lost.
enum class LostPart { kOrder, kReply };

/// Of `period` polls of a worker in a row, the last `lost` get lost.
struct LossPattern {
  LostPart part = LostPart::kOrder;
  int32_t period = 0;
  int32_t lost = 0;
  /// Also runs best-effort tasks, for which workers are polled more often.
  bool mixed_load = false;
};

void PrintTo(const LossPattern& pattern, std::ostream* out) {
  *out << (pattern.part == LostPart::kOrder ? "order" : "reply") << "_" << pattern.lost << "_of_"
       << pattern.period << (pattern.mixed_load ? "_mixed_load" : "");
}

class LostPoll : public testing::TestWithParam<LossPattern> {
 protected:
  void SetUp() override {
    world_.DropUnresponsiveWorkers();
    world_.planner = [](const TaskName&) {
      return RunPlan{.never_ends = true, .need = Resources{.millicores = 1'000, .memory_mib = 100}};
    };
    world_.Run(Millis(3'500));
    JobSpec spec = MakeJob(kJob, kTasks);
    spec.steps[0].is_long_running = true;
    world_.Submit("e0", spec);

    if (GetParam().mixed_load) {
      JobSpec filler = MakeJob("b", kTasks);
      filler.steps[0].best_effort = true;
      world_.Submit("e0", filler);
    }
    world_.Run(Millis(2'000));
    ASSERT_EQ(world_.WorkersOf(kJob).size(), static_cast<size_t>(kTasks));
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  /// Loses polls by the pattern from now on.
  void LosePolls() {
    const LossPattern pattern = GetParam();
    const auto loses = [this, pattern](const WorkerCall& call) {
      if (!std::holds_alternative<PollWorker>(call.order)) return false;
      return polls_[call.worker]++ % pattern.period >= pattern.period - pattern.lost;
    };
    (pattern.part == LostPart::kOrder ? world_.loses_order : world_.loses_reply) = loses;
  }

  World world_{WorldShape{}};
  std::map<VmId, int32_t> polls_;
};

TEST_P(LostPoll, NoRunLapsesAtAWorkerThatItsOwnerReachesBetweenLosses) {
  LosePolls();
  world_.Run(Millis(30'000));

  for (int32_t index = 0; index < kTasks; ++index) {
    const TaskName name{JobId(kJob), 0, 0, index};
    EXPECT_EQ(world_.ends[name][RunEnd::kLeaseExpired], 0) << index;
    EXPECT_EQ(world_.starts[name], 1) << index;
  }
}

TEST_P(LostPoll, TasksOfAWorkerThatIsLostMeanwhileStartElsewhereInTime) {
  LosePolls();
  world_.Run(Millis(7'000));
  world_.CrashWorker(world_.WorkersOf(kJob).front());
  world_.Run(kRestartTime);

  EXPECT_EQ(world_.WorkersOf(kJob).size(), static_cast<size_t>(kTasks));
}

INSTANTIATE_TEST_SUITE_P(Patterns, LostPoll,
                         testing::Values(LossPattern{LostPart::kOrder, 2, 1},
                                         LossPattern{LostPart::kReply, 2, 1},
                                         LossPattern{LostPart::kOrder, 3, 2},
                                         LossPattern{LostPart::kReply, 3, 2},
                                         LossPattern{LostPart::kOrder, 2, 1, true},
                                         LossPattern{LostPart::kOrder, 3, 2, true}));

/// A worker whose polls get lost for a while, and that answers again while its owner cannot write
/// to the store.
class LostPollBesideAnOutage : public testing::Test {
 protected:
  void SetUp() override {
    StartWithLongRunningJob(world_, kJob, 1);
    owner_ = world_.OwnerOf(kJob);
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  /// Loses polls of the task's worker, up to a number or until `EndLoss`, and returns after the
  /// last of them or after the first one.
  /// @{
  void LosePolls(int32_t count) {
    LosePolls();
    max_lost_ = count;
    while (lost_ < count) world_.Run(Millis(10));
  }
  void LosePolls() {
    const std::string worker = world_.WorkersOf(kJob).front();
    world_.loses_order = [this, worker](const WorkerCall& call) {
      const bool loses = call.worker.Text() == worker && lost_ < max_lost_;
      if (loses) ++lost_;
      return loses;
    };
    while (lost_ == 0) world_.Run(Millis(10));
  }
  /// @}

  void EndLoss() { max_lost_ = 0; }

  void ExpectNoLapse() {
    const TaskName name{JobId(kJob), 0, 0, 0};
    EXPECT_EQ(world_.ends[name][RunEnd::kLeaseExpired], 0);
    EXPECT_EQ(world_.starts[name], 1);
  }

  World world_{WorldShape{}};
  std::string owner_;
  int32_t lost_ = 0;
  int32_t max_lost_ = std::numeric_limits<int32_t>::max();
};

TEST_F(LostPollBesideAnOutage, ARunLastsWhoseWorkerAnswersAgainWhileTheStoreIsAway) {
  LosePolls(2);
  world_.Cut(owner_, "store");
  world_.Run(Millis(2'500));
  world_.Reconnect(owner_, "store");
  world_.Run(Millis(3'000));

  ExpectNoLapse();
}

// Guards against renewals that wait for the store: the handover record named the worker as silent
// while its lease lasted, and the lease ended before a write without the name was confirmed.
TEST_F(LostPollBesideAnOutage, ARunLastsWhoseWorkerAnswersAgainBeforeItsLeaseEnds) {
  LosePolls();
  world_.Run(Millis(2'400));
  world_.Cut(owner_, "store");
  world_.Run(Millis(500));
  EndLoss();
  world_.Run(Millis(2'000));
  world_.Reconnect(owner_, "store");
  world_.Run(Millis(3'000));

  ExpectNoLapse();
}

class SilentWorker : public testing::Test {
 protected:
  World world_{WorldShape{}};
};

// Repeated renewals must not keep a run alive after its task was started elsewhere.
TEST_F(SilentWorker, ARunWhoseOwnerGetsNoRepliesEndsBeforeItsTaskStartsElsewhere) {
  for (const std::string& id : world_.Workers()) world_.worker(id).clock_slow_percent = 2;
  StartWithLongRunningJob(world_, kJob, kTasks);
  const std::string silent = world_.WorkersOf(kJob).front();
  world_.LoseAnswers(silent, true);
  world_.Run(Millis(15'000));

  EXPECT_EQ(world_.WorkersOf(kJob).size(), static_cast<size_t>(kTasks));
  EXPECT_EQ(world_.violations, std::vector<std::string>());
}

}  // namespace
}  // namespace currantpost::scheduler
