#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>

#include "world.h"

/// Tests what the next owner of a cell assumes about state that only the former owner had.

namespace currantpost::scheduler {
namespace {

/// The only task of job "a".
TaskName OnlyTask() { return TaskName{JobId("a"), 0, 0, 0}; }

/// Longest wait for the leases of a worker that was cut off: 5.05 s for a lease of 4.8 s by a slow
/// clock, and 1 s in which the task is placed, recorded and started.
constexpr Millis kMaxLeaseWait = Millis(6'050);

/// How late a successor has the records of the jobs.
constexpr Millis kSlowRecords = Millis(1'000);

JobSpec LongRunningJob(const std::string& id, int32_t tasks, int64_t millicores = 1'000) {
  JobSpec spec = MakeJob(id, tasks, millicores);
  spec.steps[0].is_long_running = true;
  return spec;
}

class InheritedState : public testing::Test {
 protected:
  /// Creates a world and runs it until its cells have owners.
  void Build(const WorldShape& shape) {
    world_.emplace(shape);
    world_->Run(Millis(3'500));
    world_->planner = [](const TaskName&) { return RunPlan{.never_ends = true}; };
  }

  void TearDown() override { EXPECT_EQ(world_->violations, std::vector<std::string>()); }

  /// Runs until the condition holds or the limit has passed, and returns the elapsed time in
  /// milliseconds.
  template <typename Condition>
  int64_t RunUntil(Millis limit, Condition condition) {
    const Millis begin = world_->now();
    while (!condition() && world_->now() - begin < limit) world_->Run(Millis(5));
    return (world_->now() - begin).Count();
  }

  /// Runs until an entry other than `owner_` has opened the cell of job "a", and makes it `owner_`.
  void RunUntilSuccessorOpensCell() {
    const std::string former = owner_;

    RunUntil(Millis(10'000), [&] {
      owner_ = world_->OwnerOf("a");
      return !owner_.empty() && owner_ != former && IsOpen(owner_);
    });
    ASSERT_NE(owner_, former);
    ASSERT_TRUE(IsOpen(owner_));
  }

  /// Runs until the only task of job "a" runs, and sets `worker_` and `owner_`.
  void RunUntilStarted() {
    RunUntil(Millis(1'000), [&] { return !world_->WorkersOf("a").empty(); });
    ASSERT_EQ(world_->WorkersOf("a").size(), 1U);
    worker_ = world_->WorkersOf("a").front();
    owner_ = world_->OwnerOf("a");
  }

  /// Returns whether the task of job "a" runs on another worker than `worker_`.
  bool RunsElsewhere() {
    return std::ranges::any_of(world_->WorkersOf("a"),
                               [&](const std::string& id) { return id != worker_; });
  }

  void IsolateWorker(const std::string& worker) {
    for (const char* entry : {"e0", "e1", "e2", "e3"}) world_->Cut(entry, worker);
  }

  /// Binds four tasks of job "a" to a worker right after it was cut off from all entries: one start
  /// is lost, and the others are never sent.
  void BindToAnUnresponsiveWorker() {
    Build(WorldShape{.racks = 1});
    world_->Submit("e0", LongRunningJob("first", 1));
    world_->Run(Millis(1'000));
    worker_ = world_->WorkersOf("first").front();
    owner_ = world_->OwnerOf("first");
    IsolateWorker(worker_);
    // Placement prefers a worker that already runs a task of the same image.
    world_->Submit("e0", LongRunningJob("a", 4));
    world_->Run(Millis(500));
    ASSERT_EQ(world_->state(owner_).cells.begin()->second.jobs.at(JobId("a")).bound, 4);
    ASSERT_TRUE(world_->WorkersOf("a").empty());
  }

  /// Starts a task on a worker whose clock is 2 % slow and was last read a minute ago, because
  /// nothing ran there.
  void StartOnAnIdleWorker() {
    Build(WorldShape{.racks = 1});
    for (const std::string& id : world_->Workers()) world_->worker(id).clock_slow_percent = 2;
    world_->Run(Millis(60'000));
    world_->Submit("e0", LongRunningJob("a", 1));
    RunUntilStarted();
    world_->Run(Millis(20));
  }

  /// Starts a task on a worker that has just restarted. Its clock begins anew, so an order with a
  /// lease end by the clock of the former incarnation would grant the longest lease.
  void StartInANewIncarnation() {
    Build(WorldShape{.racks = 1});

    for (const std::string& id : world_->Workers()) {
      world_->worker(id).clock_resets_on_restart = true;
      world_->RestartWorker(id);
    }

    world_->Submit("e0", LongRunningJob("a", 1));
    RunUntilStarted();
  }

  /// Restarts the worker of a task and cuts the new incarnation off from all entries.
  void RestartWorkerOutOfReach() {
    Build(WorldShape{.racks = 1});
    world_->Submit("e0", LongRunningJob("a", 1));
    RunUntilStarted();
    world_->Run(Millis(1'500));
    world_->RestartWorker(worker_);
    IsolateWorker(worker_);
  }

  /// Runs a short task that takes all processors of the only worker for 3 s, so that the
  /// best-effort task there is throttled to zero.
  void ThrottleToZero() {
    Build(WorldShape{.racks = 1, .workers_per_rack = 1});
    world_->planner = [](const TaskName& name) {
      const bool is_short = name.job.Text() == "brief";
      return RunPlan{.duration = Millis(is_short ? 3'000 : 60'000),
                     .need = Resources{.millicores = is_short ? 8'000 : 0}};
    };
    JobSpec best_effort_job = MakeJob("a", 1, 6'000);
    best_effort_job.steps[0].best_effort = true;
    best_effort_job.steps[0].image = "image";
    world_->Submit("e0", best_effort_job);
    world_->Run(Millis(1'000));
    world_->Submit("e0", MakeJob("brief", 1, 8'000));
    world_->Run(Millis(2'000));
    ASSERT_EQ(world_->worker("wr0-0-0").speed.at(OnlyTask()), 0);
    owner_ = world_->OwnerOf("a");
  }

  /// Lets a task fail twice on the only worker with capacity, where each run of it fails, and then
  /// frees capacity on the other worker.
  void FailTwice() {
    Build(WorldShape{.racks = 1});
    worker_ = "wr0-0-0";
    world_->on_start_order = [this](const ObservedStart& start) {
      starting_worker_ = start.worker;
    };
    world_->planner = [this](const TaskName& name) {
      if (name != OnlyTask()) {
        return RunPlan{.never_ends = true, .need = Resources{.millicores = 8'000}};
      }

      return RunPlan{.duration = Millis(300),
                     .end = starting_worker_ == worker_ ? RunEnd::kFailed : RunEnd::kDone,
                     .need = Resources{.millicores = 1'000}};
    };
    world_->Submit("e0", LongRunningJob("first", 1, 8'000));
    world_->Run(Millis(300));
    world_->Submit("e0", LongRunningJob("second", 1, 8'000));
    world_->Run(Millis(300));
    ASSERT_EQ(world_->WorkersOf("first").front(), worker_);
    world_->Cancel("e0", "first");
    world_->Run(Millis(300));
    world_->Submit("e0", MakeJob("a", 1));
    RunUntil(Millis(3'000), [&] { return world_->ends[OnlyTask()][RunEnd::kFailed] == 2; });
    world_->Run(Millis(20));
    owner_ = world_->OwnerOf("a");
    world_->Cancel("e0", "second");
  }

  /// Runs a job of two steps. The first step has more tasks than its cell has cores, so the
  /// remaining tasks are lent.
  void LendTasks() {
    Build(WorldShape{.entries = 4, .data_centres = 2, .racks = 1});
    world_->planner = [](const TaskName&) {
      return RunPlan{.duration = Millis(1'500),
                     .need = Resources{.millicores = 1'000, .memory_mib = 100}};
    };
    JobSpec spec = MakeJob("a", 26);
    spec.steps.push_back(spec.steps.front());
    spec.steps[1].task_count = 2;
    spec.steps[1].after = {0};
    world_->Submit("e0", spec);
    world_->Run(Millis(1'000));
    ASSERT_EQ(world_->WorkersOf("a").size(), 26U);
    owner_ = world_->OwnerOf("a");
  }

  /// Returns whether a task of the second step has started.
  bool SecondStepHasStarted() {
    return std::ranges::any_of(world_->starts, [](const auto& row) { return row.first.step == 1; });
  }

  std::optional<World> world_;
  std::string owner_;
  std::string worker_;
  std::string starting_worker_;

 private:
  bool IsOpen(const std::string& entry) {
    if (!world_->IsUp(entry)) return false;

    const auto& cells = world_->state(entry).cells;
    return !cells.empty() &&
           std::ranges::all_of(cells, [](const auto& row) { return row.second.open; });
  }
};

TEST_F(InheritedState, TasksWhoseStartsWereNeverSentToAnUnresponsiveWorkerRunElsewhere) {
  BindToAnUnresponsiveWorker();

  EXPECT_LE(RunUntil(Millis(60'000), [&] { return world_->WorkersOf("a").size() == 4U; }), 8'000);
}

TEST_F(InheritedState, StartsThatAFormerOwnerNeverSentAreNotWaitedForAsLeases) {
  BindToAnUnresponsiveWorker();
  world_->Stop(owner_);
  RunUntilSuccessorOpensCell();

  EXPECT_LE(RunUntil(Millis(60'000), [&] { return world_->WorkersOf("a").size() >= 3U; }), 2'000);
}

TEST_F(InheritedState, ALeaseByAClockReadLongAgoExpiresBeforeItsTaskStartsElsewhere) {
  StartOnAnIdleWorker();
  IsolateWorker(worker_);
  world_->Run(Millis(9'000));

  EXPECT_EQ(world_->WorkersOf("a").size(), 1U);
}

TEST_F(InheritedState, ALeaseOfAFormerOwnerByAClockReadLongAgoExpiresBeforeItsTaskStartsElsewhere) {
  StartOnAnIdleWorker();
  world_->Stop(owner_);
  RunUntilSuccessorOpensCell();
  world_->Run(Millis(50));
  IsolateWorker(worker_);
  world_->Run(Millis(9'000));

  EXPECT_EQ(world_->WorkersOf("a").size(), 1U);
}

TEST_F(InheritedState, ATaskOfANewIncarnationIsBackOnceALeaseByTheNewClockHasExpired) {
  StartInANewIncarnation();
  world_->Run(Millis(50));
  IsolateWorker(worker_);

  EXPECT_LE(RunUntil(Millis(14'000), [&] { return RunsElsewhere(); }), kMaxLeaseWait.Count());
  world_->Run(Millis(14'000));

  EXPECT_EQ(world_->WorkersOf("a").size(), 1U);
}

TEST_F(InheritedState,
       ATaskOfANewIncarnationIsBackOnceALeaseOfAFormerOwnerByTheNewClockHasExpired) {
  StartInANewIncarnation();
  world_->Stop(owner_);
  RunUntilSuccessorOpensCell();
  world_->Run(Millis(50));
  IsolateWorker(worker_);

  EXPECT_LE(RunUntil(Millis(14'000), [&] { return RunsElsewhere(); }), kMaxLeaseWait.Count());
  world_->Run(Millis(14'000));

  EXPECT_EQ(world_->WorkersOf("a").size(), 1U);
}

TEST_F(InheritedState, ARunOfAFormerIncarnationIsNotWaitedFor) {
  RestartWorkerOutOfReach();

  EXPECT_LE(RunUntil(Millis(30'000), [&] { return !world_->WorkersOf("a").empty(); }), 2'500);
}

TEST_F(InheritedState, ARunOfAFormerLifeThatAFormerOwnerSawIsNotWaitedFor) {
  RestartWorkerOutOfReach();
  world_->Kill(owner_);
  RunUntilSuccessorOpensCell();

  EXPECT_LE(RunUntil(Millis(30'000), [&] { return !world_->WorkersOf("a").empty(); }), 2'500);
}

TEST_F(InheritedState, WorkThatIsThrottledToZeroGetsItsSpeedBack) {
  ThrottleToZero();
  world_->Run(Millis(8'000));

  EXPECT_GT(world_->worker("wr0-0-0").speed.at(OnlyTask()), 0);
}

TEST_F(InheritedState, WorkThatAFormerOwnerThrottledToZeroGetsItsSpeedBack) {
  ThrottleToZero();
  world_->Kill(owner_);
  world_->Run(Millis(8'000));

  EXPECT_EQ(world_->Phase("brief"), JobPhase::kCompleted);
  EXPECT_GT(world_->worker("wr0-0-0").speed.at(OnlyTask()), 0);
}

TEST_F(InheritedState, ATaskIsTriedElsewhereThanWhereItFailed) {
  FailTwice();
  world_->Run(Millis(5'000));

  EXPECT_EQ(world_->Phase("a"), JobPhase::kCompleted);
}

TEST_F(InheritedState, ATaskIsTriedElsewhereThanWhereAFormerOwnerSawItFail) {
  FailTwice();
  world_->Stop(owner_);
  world_->Run(Millis(5'000));

  EXPECT_EQ(world_->Phase("a"), JobPhase::kCompleted);
}

TEST_F(InheritedState, AStepStartsOnceTheLendingCellHasANewOwnerAfterTheLentTasksEnded) {
  LendTasks();
  world_->Kill(owner_);
  RunUntilSuccessorOpensCell();
  ASSERT_TRUE(world_->WorkersOf("a").empty());

  EXPECT_LE(RunUntil(Millis(20'000), [&] { return SecondStepHasStarted(); }), 1'000);
}

TEST_F(InheritedState, AStepStartsThoughTheLendingCellChangesOwnerTwice) {
  LendTasks();
  world_->Kill(owner_);
  RunUntilSuccessorOpensCell();
  ASSERT_TRUE(world_->WorkersOf("a").empty());
  world_->Run(Millis(2'000));
  world_->Stop(owner_);
  RunUntilSuccessorOpensCell();

  EXPECT_LE(RunUntil(Millis(20'000), [&] { return SecondStepHasStarted(); }), 1'000);
}

// Guards against an absence that began anew: the worker had restarted before the successor knew of
// the run.
TEST_F(InheritedState, AnAbsenceAfterARestartOfTheWorkerCountsFromTheTakeover) {
  Build(WorldShape{.racks = 1});
  world_->Submit("e0", LongRunningJob("a", 1));
  RunUntilStarted();
  world_->Run(Millis(1'500));
  world_->RestartWorker(worker_);
  world_->Kill(owner_);
  for (const std::string& entry : world_->Entries()) {
    if (entry != owner_) world_->SlowRecords(entry, kSlowRecords);
  }
  RunUntilSuccessorOpensCell();

  const OwnedCell& cell = world_->state(owner_).cells.begin()->second;
  ASSERT_GE((world_->now() - cell.taken_over_at).Count(), kSlowRecords.Count());
  const TaskState& task = cell.jobs.at(JobId("a")).occurrences[0].steps[0].tasks[0];
  EXPECT_EQ(task.waiting_since.Count(), cell.taken_over_at.Count());
}

TEST_F(InheritedState, AnEntryThatTakesOverItsOwnCellAgainKnowsSinceWhenAWorkerIsUnresponsive) {
  Build(WorldShape{.entries = 1, .racks = 1});
  world_->Submit("e0", LongRunningJob("a", 1));
  RunUntilStarted();
  world_->Run(Millis(500));
  world_->CrashWorker(worker_);
  world_->Run(Millis(4'000));
  world_->store.Revoke(world_->store.LeaseOf(std::string(kEntryPrefix) + "e0"), false,
                       world_->now());

  EXPECT_LE(RunUntil(Millis(30'000), [&] { return !world_->WorkersOf("a").empty(); }), 4'000);
}

}  // namespace
}  // namespace currantpost::scheduler
