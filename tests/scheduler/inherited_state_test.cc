#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>

#include "world.h"

/// What an owner of a cell knew, and what its successor assumes instead.

namespace currantpost::scheduler {
namespace {

/// The only task of job "a".
TaskName OnlyTask() { return TaskName{JobId("a"), 0, 0, 0}; }

JobSpec Lasting(const std::string& id, int32_t tasks, int64_t millicores = 1'000) {
  JobSpec spec = MakeJob(id, tasks, millicores);
  spec.steps[0].lasting = true;
  return spec;
}

class InheritedState : public testing::Test {
 protected:
  /// Makes a world and waits until its cells are owned.
  void Build(const WorldShape& shape) {
    world_.emplace(shape);
    world_->Run(Millis(3'500));
    world_->planner = [](const TaskName&) { return RunPlan{.lasts = true}; };
  }

  void TearDown() override { EXPECT_EQ(world_->violations, std::vector<std::string>()); }

  /// Runs until something holds, and returns how long that took, at most the limit.
  template <typename Holds>
  int64_t Await(Millis limit, Holds holds) {
    const Millis begin = world_->now();
    while (!holds() && world_->now() - begin < limit) world_->Run(Millis(5));
    return (world_->now() - begin).Count();
  }

  /// Runs until another entry than the owner has opened the cell of job "a".
  void AwaitSuccessor() {
    const std::string former = owner_;

    Await(Millis(10'000), [&] {
      owner_ = world_->OwnerOf("a");
      return !owner_.empty() && owner_ != former && IsOpen(owner_);
    });
    ASSERT_NE(owner_, former);
    ASSERT_TRUE(IsOpen(owner_));
  }

  /// Runs until the only task of job "a" runs, and notes where and for whom.
  void AwaitStart() {
    Await(Millis(1'000), [&] { return !world_->WorkersOf("a").empty(); });
    ASSERT_EQ(world_->WorkersOf("a").size(), 1U);
    worker_ = world_->WorkersOf("a").front();
    owner_ = world_->OwnerOf("a");
  }

  void CutOff(const std::string& worker) {
    for (const char* entry : {"e0", "e1", "e2", "e3"}) world_->Cut(entry, worker);
  }

  /// Binds four tasks of job "a" to a worker right after it was cut off from all entries: one start
  /// is lost, and the others never leave.
  void BindToASilentWorker() {
    Build(WorldShape{.racks = 1});
    world_->Submit("e0", Lasting("first", 1));
    world_->Run(Millis(1'000));
    worker_ = world_->WorkersOf("first").front();
    owner_ = world_->OwnerOf("first");
    CutOff(worker_);
    // Tasks of one image go where one of them is.
    world_->Submit("e0", Lasting("a", 4));
    world_->Run(Millis(500));
    ASSERT_EQ(world_->state(owner_).cells.begin()->second.jobs.at(JobId("a")).bound, 4);
    ASSERT_TRUE(world_->WorkersOf("a").empty());
  }

  /// Starts a task on a worker whose clock is 2 % slow and was last read a minute ago, as nothing
  /// ran there.
  void StartOnARestedWorker() {
    Build(WorldShape{.racks = 1});
    for (const std::string& id : world_->Workers()) world_->worker(id).clock_slow_percent = 2;
    world_->Run(Millis(60'000));
    world_->Submit("e0", Lasting("a", 1));
    AwaitStart();
    world_->Run(Millis(20));
  }

  /// Starts a task on a worker that has just begun a new life, so that its lease is by the former
  /// life's clock and as long as the worker grants.
  void StartInANewLife() {
    Build(WorldShape{.racks = 1});

    for (const std::string& id : world_->Workers()) {
      world_->worker(id).clock_begins_anew = true;
      world_->RestartWorker(id);
    }

    world_->Submit("e0", Lasting("a", 1));
    AwaitStart();
  }

  /// Lets the worker of a task begin a new life that no entry reaches.
  void BeginALifeOutOfReach() {
    Build(WorldShape{.racks = 1});
    world_->Submit("e0", Lasting("a", 1));
    AwaitStart();
    world_->Run(Millis(1'500));
    world_->RestartWorker(worker_);
    CutOff(worker_);
  }

  /// Lets a short task take all processors of the only worker for 3 s, so that filling work there
  /// is slowed to nothing.
  void SlowToNothing() {
    Build(WorldShape{.racks = 1, .workers_per_rack = 1});
    world_->planner = [](const TaskName& name) {
      const bool brief = name.job.Text() == "brief";
      return RunPlan{.duration = Millis(brief ? 3'000 : 60'000),
                     .need = Resources{.millicores = brief ? 8'000 : 0}};
    };
    JobSpec fills = MakeJob("a", 1, 6'000);
    fills.steps[0].filling = true;
    fills.steps[0].image = "image";
    world_->Submit("e0", fills);
    world_->Run(Millis(1'000));
    world_->Submit("e0", MakeJob("brief", 1, 8'000));
    world_->Run(Millis(2'000));
    ASSERT_EQ(world_->worker("wr0-0-0").pace.at(OnlyTask()), 0);
    owner_ = world_->OwnerOf("a");
  }

  /// Lets a task fail twice on a worker that fails all that it starts, the only one with room, and
  /// makes room on the other.
  void FailTwice() {
    Build(WorldShape{.racks = 1});
    worker_ = "wr0-0-0";
    world_->on_start_order = [this](const StartSeen& start) { starting_ = start.worker; };
    world_->planner = [this](const TaskName& name) {
      if (name != OnlyTask()) return RunPlan{.lasts = true, .need = Resources{.millicores = 8'000}};

      return RunPlan{.duration = Millis(300),
                     .end = starting_ == worker_ ? RunEnd::kFailed : RunEnd::kDone,
                     .need = Resources{.millicores = 1'000}};
    };
    world_->Submit("e0", Lasting("first", 1, 8'000));
    world_->Run(Millis(300));
    world_->Submit("e0", Lasting("second", 1, 8'000));
    world_->Run(Millis(300));
    ASSERT_EQ(world_->WorkersOf("first").front(), worker_);
    world_->Cancel("e0", "first");
    world_->Run(Millis(300));
    world_->Submit("e0", MakeJob("a", 1));
    Await(Millis(3'000), [&] { return world_->ends[OnlyTask()][RunEnd::kFailed] == 2; });
    world_->Run(Millis(20));
    owner_ = world_->OwnerOf("a");
    world_->Cancel("e0", "second");
  }

  /// Runs a job of two steps whose first one is wider than its cell, so that the rest of it is
  /// lent.
  void Lend() {
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

  /// Returns whether a task of the second step has begun.
  bool SecondStepBegan() {
    return std::ranges::any_of(world_->starts, [](const auto& row) { return row.first.step == 1; });
  }

  std::optional<World> world_;
  std::string owner_;
  std::string worker_;
  std::string starting_;

 private:
  bool IsOpen(const std::string& entry) {
    if (!world_->IsUp(entry)) return false;

    const auto& cells = world_->state(entry).cells;
    return !cells.empty() &&
           std::ranges::all_of(cells, [](const auto& row) { return row.second.open; });
  }
};

TEST_F(InheritedState, TasksWhoseStartsNeverLeftForASilentWorkerRunElsewhere) {
  BindToASilentWorker();

  EXPECT_LE(Await(Millis(60'000), [&] { return world_->WorkersOf("a").size() == 4U; }), 8'000);
}

TEST_F(InheritedState, StartsThatAFormerOwnerNeverSentAreNotWaitedForAsLeases) {
  BindToASilentWorker();
  world_->Stop(owner_);
  AwaitSuccessor();

  EXPECT_LE(Await(Millis(60'000), [&] { return world_->WorkersOf("a").size() >= 3U; }), 2'000);
}

TEST_F(InheritedState, ALeaseByAClockReadLongAgoLapsesBeforeItsTaskStartsElsewhere) {
  StartOnARestedWorker();
  CutOff(worker_);
  world_->Run(Millis(9'000));

  EXPECT_EQ(world_->WorkersOf("a").size(), 1U);
}

TEST_F(InheritedState, ALeaseOfAFormerOwnerByAClockReadLongAgoLapsesBeforeItsTaskStartsElsewhere) {
  StartOnARestedWorker();
  world_->Stop(owner_);
  AwaitSuccessor();
  world_->Run(Millis(50));
  CutOff(worker_);
  world_->Run(Millis(9'000));

  EXPECT_EQ(world_->WorkersOf("a").size(), 1U);
}

TEST_F(InheritedState, ALeaseByAFormerLifesClockLapsesBeforeItsTaskStartsElsewhere) {
  StartInANewLife();
  world_->Run(Millis(50));
  CutOff(worker_);
  world_->Run(Millis(14'000));

  EXPECT_EQ(world_->WorkersOf("a").size(), 1U);
}

TEST_F(InheritedState, ALeaseOfAFormerOwnerByAFormerLifesClockLapsesBeforeItsTaskStartsElsewhere) {
  StartInANewLife();
  world_->Stop(owner_);
  AwaitSuccessor();
  world_->Run(Millis(50));
  CutOff(worker_);
  world_->Run(Millis(14'000));

  EXPECT_EQ(world_->WorkersOf("a").size(), 1U);
}

TEST_F(InheritedState, ARunOfAFormerLifeIsNotWaitedFor) {
  BeginALifeOutOfReach();

  EXPECT_LE(Await(Millis(30'000), [&] { return !world_->WorkersOf("a").empty(); }), 2'500);
}

TEST_F(InheritedState, ARunOfAFormerLifeThatAFormerOwnerSawIsNotWaitedFor) {
  BeginALifeOutOfReach();
  world_->Kill(owner_);
  AwaitSuccessor();

  EXPECT_LE(Await(Millis(30'000), [&] { return !world_->WorkersOf("a").empty(); }), 2'500);
}

TEST_F(InheritedState, WorkThatIsSlowedToNothingIsGivenItsPaceBack) {
  SlowToNothing();
  world_->Run(Millis(8'000));

  EXPECT_GT(world_->worker("wr0-0-0").pace.at(OnlyTask()), 0);
}

TEST_F(InheritedState, WorkThatAFormerOwnerSlowedToNothingIsGivenItsPaceBack) {
  SlowToNothing();
  world_->Kill(owner_);
  world_->Run(Millis(8'000));

  EXPECT_EQ(world_->Phase("brief"), JobPhase::kCompleted);
  EXPECT_GT(world_->worker("wr0-0-0").pace.at(OnlyTask()), 0);
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

TEST_F(InheritedState, AStepBeginsOnceALenderTakesOverWhoseLentTasksHaveEnded) {
  Lend();
  world_->Kill(owner_);
  AwaitSuccessor();
  ASSERT_TRUE(world_->WorkersOf("a").empty());

  EXPECT_LE(Await(Millis(20'000), [&] { return SecondStepBegan(); }), 1'000);
}

TEST_F(InheritedState, AStepBeginsThoughLendersFollowOneAnother) {
  Lend();
  world_->Kill(owner_);
  AwaitSuccessor();
  ASSERT_TRUE(world_->WorkersOf("a").empty());
  world_->Run(Millis(2'000));
  world_->Stop(owner_);
  AwaitSuccessor();

  EXPECT_LE(Await(Millis(20'000), [&] { return SecondStepBegan(); }), 1'000);
}

TEST_F(InheritedState, AnEntryThatTakesItsOwnCellAgainKnowsSinceWhenAWorkerIsSilent) {
  Build(WorldShape{.entries = 1, .racks = 1});
  world_->Submit("e0", Lasting("a", 1));
  AwaitStart();
  world_->Run(Millis(500));
  world_->CrashWorker(worker_);
  world_->Run(Millis(4'000));
  world_->store.Revoke(world_->store.LeaseOf("shared/entries/e0"), false, world_->now());

  EXPECT_LE(Await(Millis(30'000), [&] { return !world_->WorkersOf("a").empty(); }), 4'000);
}

}  // namespace
}  // namespace currantpost::scheduler
