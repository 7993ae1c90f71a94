#include <gtest/gtest.h>

#include <algorithm>

#include "hand_over_record.h"
#include "world.h"

/// Tests how the owners of a cell judge the leases of its workers while it changes owner: no task
/// starts elsewhere before its lease has expired, and no wait takes longer than needed.

namespace currantpost::scheduler {
namespace {

using Names = std::vector<std::string>;

RunPlan LongRunPlan() {
  return RunPlan{.duration = Millis(40'000),
                 .need = Resources{.millicores = 1'000, .memory_mib = 100}};
}

class HandOverLeases : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [](const TaskName&) { return LongRunPlan(); };
    for (const std::string& id : world_.Workers()) world_.worker(id).clock_resets_on_restart = true;
    world_.Run(Millis(20'000));
  }

  /// Restarts the workers while they are cut off from the store, so that their new incarnations are
  /// not announced.
  void RestartWorkersUnannounced() {
    for (const std::string& id : world_.Workers()) {
      world_.Cut(id, "store");
      world_.worker(id).Restart(world_.worker(id).info().incarnation + 1);
    }
  }

  void RunUntilStarted() {
    for (int32_t step = 0; step < 200 && world_.WorkersOf("a").empty(); ++step) {
      world_.Run(Millis(5));
    }
    ASSERT_EQ(world_.WorkersOf("a").size(), 1U);
    worker_ = world_.WorkersOf("a").front();
    owner_ = world_.OwnerOf("a");
  }

  /// Cuts the worker of the task off from all entries and the store.
  void IsolateWorker() {
    for (const char* entry : {"e0", "e1", "e2"}) world_.Cut(entry, worker_);
    world_.Cut(worker_, "store");
  }

  void ReconnectOtherWorkers() {
    for (const std::string& id : world_.Workers()) {
      if (id != worker_) world_.Reconnect(id, "store");
    }
  }

  /// Starts a task on an unannounced incarnation of a worker, then cuts that worker off.
  void StartAtUnannouncedIncarnation() {
    RestartWorkersUnannounced();
    world_.Submit("e0", MakeJob("a", 1));
    RunUntilStarted();
    IsolateWorker();
    ReconnectOtherWorkers();
  }

  [[nodiscard]] std::string Log() const {
    std::string text;
    for (const std::string& line : world_.log) text += line + "\n";
    return text;
  }

  World world_{WorldShape{.entries = 3, .data_centres = 1, .racks = 2, .workers_per_rack = 2}};
  std::string worker_;
  std::string owner_;
};

TEST_F(HandOverLeases, LeaseOfUnannouncedIncarnationIsWaitedForAfterRestartOfOwner) {
  StartAtUnannouncedIncarnation();
  world_.Kill(owner_);
  world_.Run(Millis(300));
  world_.Start(owner_);
  world_.Run(Millis(20'000));
  EXPECT_EQ(world_.violations, Names()) << Log();
}

TEST_F(HandOverLeases, LeaseOfUnannouncedIncarnationIsWaitedForAfterPlannedStopOfOwner) {
  StartAtUnannouncedIncarnation();
  world_.Stop(owner_);
  world_.Run(Millis(20'000));
  EXPECT_EQ(world_.violations, Names()) << Log();
}

TEST_F(HandOverLeases, LeaseOfUnannouncedIncarnationIsWaitedForAfterAnswerOfFormerOwner) {
  StartAtUnannouncedIncarnation();
  world_.Cut(owner_, "store");
  world_.Run(Millis(20'000));
  EXPECT_EQ(world_.violations, Names()) << Log();
}

TEST_F(HandOverLeases, LeaseOfUnannouncedIncarnationIsWaitedForBySameOwner) {
  StartAtUnannouncedIncarnation();
  world_.Run(Millis(20'000));
  EXPECT_EQ(world_.violations, Names()) << Log();
}

TEST_F(HandOverLeases, IncarnationAnnouncedAfterWorkerWasRecordedIsWaitedForByNextOwner) {
  StartAtUnannouncedIncarnation();
  world_.Run(Millis(3'000));
  world_.store.Announce(world_.worker(worker_).info(), world_.now());
  world_.Run(Millis(500));
  world_.Kill(owner_);
  world_.Run(Millis(300));
  world_.Start(owner_);
  world_.Run(Millis(20'000));
  EXPECT_EQ(world_.violations, Names()) << Log();
}

TEST_F(HandOverLeases, WaitForRecordedWorkerDoesNotStartOverWhenItsOwnerRestarts) {
  world_.planner = [](const TaskName&) {
    RunPlan plan = LongRunPlan();
    plan.never_ends = true;
    return plan;
  };
  JobSpec spec = MakeJob("a", 1);
  spec.steps[0].is_long_running = true;
  world_.Submit("e0", spec);
  RunUntilStarted();
  world_.Run(Millis(3'000));
  const Millis lost_at = world_.now();
  DropWitnesses(world_, worker_.starts_with("wr0") ? "dc0/0" : "dc1/0");
  world_.LoseWorker(worker_);
  world_.KillForGood(owner_);
  world_.Run(Millis(12'000));
  const std::string second = world_.OwnerOf("a");
  ASSERT_NE(second, owner_);
  ASSERT_TRUE(world_.WorkersOf("a").empty()) << Log();
  world_.Kill(second);
  world_.Run(Millis(300));
  world_.Start(second);

  while (world_.WorkersOf("a").empty() && world_.now() < lost_at + Millis(60'000)) {
    world_.Run(Millis(20));
  }
  // Leases that the first owner may have granted have expired 10.9 s after the end of its own
  // lease, and each change of owner takes up to 3 s.
  EXPECT_LE((world_.now() - lost_at).Count(), 17'000) << Log();
  EXPECT_EQ(world_.violations, Names());
}

TEST(HandOverSingleEntry, WorkerThatDidNotAnswerWhileStartsWerePendingAcceptsTasksAgain) {
  World world(WorldShape{.entries = 1, .racks = 1, .workers_per_rack = 1});
  world.Run(Millis(6'000));
  // The entry's knowledge of cancellations is out of date, so it sends no starts.
  world.SlowWatches("e0", Millis(8'000));
  world.SlowLists("e0", Millis(8'000));
  world.Run(Millis(4'000));
  world.LoseAnswers("wr0-0-0", true);
  world.Submit("e0", MakeJob("a", 1));
  world.Run(Millis(6'000));
  world.LoseAnswers("wr0-0-0", false);
  world.SlowWatches("e0", Millis(0));
  world.SlowLists("e0", Millis(0));
  world.Run(Millis(20'000));

  std::string text;
  for (const std::string& line : world.log) text += line + "\n";
  EXPECT_EQ(world.Phase("a"), JobPhase::kCompleted) << text;
}

TEST(HandOverSingleEntry, TaskStaysOnDrainingWorkerWhileNoStartMayBeSent) {
  World world(WorldShape{.entries = 1, .racks = 1, .workers_per_rack = 2});
  world.planner = [](const TaskName& name) {
    return RunPlan{.duration = Millis(8'000),
                   .never_ends = name.job == JobId("a"),
                   .need = Resources{.millicores = 8'000, .memory_mib = 100}};
  };
  world.Run(Millis(6'000));
  JobSpec spec = MakeJob("a", 1, 8'000);
  spec.steps[0].is_long_running = true;
  world.Submit("e0", spec);
  world.Submit("e0", MakeJob("b", 1, 8'000));
  world.Run(Millis(1'500));
  ASSERT_EQ(world.WorkersOf("a").size(), 1U);
  ASSERT_EQ(world.WorkersOf("b").size(), 1U);
  const std::string worker = world.WorkersOf("a").front();
  world.DrainWorker(worker);
  world.Run(Millis(2'000));
  // The entry's knowledge of cancellations is out of date, so it sends no starts.
  world.SlowWatches("e0", Millis(12'000));
  world.SlowLists("e0", Millis(12'000));
  Millis time_not_running;

  for (int32_t step = 0; step < 500; ++step) {
    world.Run(Millis(20));
    if (world.WorkersOf("a").empty()) time_not_running = time_not_running + Millis(20);
  }

  std::string text;
  for (const std::string& line : world.log) text += line + "\n";
  EXPECT_LE(time_not_running.Count(), 500) << text;
}

/// How the second of three owners loses the cell.
enum class SecondOwnerEnd { kRestart, kPlannedStop, kCutOff };

struct CutOffCase {
  SecondOwnerEnd end;
  /// Time from the second owner's grant until then.
  Millis after;
};

/// The first owner reaches only the worker, and no other entry reaches that worker.
class FirstOwnerCutOff : public HandOverLeases, public testing::WithParamInterface<CutOffCase> {};

TEST_P(FirstOwnerCutOff, ItsLeasesAreWaitedForAfterASecondOwner) {
  world_.Submit("e0", MakeJob("a", 1));
  RunUntilStarted();
  world_.Run(Millis(3'000));
  world_.Cut(owner_, "store");

  for (const char* entry : {"e0", "e1", "e2"}) {
    if (entry == owner_) continue;
    world_.Cut(owner_, entry);
    world_.Cut(entry, worker_);
  }

  for (int32_t step = 0; step < 1'000; ++step) {
    world_.Run(Millis(5));
    if (!world_.OwnerOf("a").empty() && world_.OwnerOf("a") != owner_) break;
  }

  const std::string second = world_.OwnerOf("a");
  ASSERT_FALSE(second.empty());
  ASSERT_NE(second, owner_);
  world_.Run(GetParam().after);

  switch (GetParam().end) {
    case SecondOwnerEnd::kRestart:
      world_.Kill(second);
      world_.Run(Millis(300));
      world_.Start(second);
      break;
    case SecondOwnerEnd::kPlannedStop:
      world_.Stop(second);
      break;
    case SecondOwnerEnd::kCutOff:
      world_.Cut(second, "store");
      break;
  }

  world_.Run(Millis(25'000));
  EXPECT_EQ(world_.violations, Names()) << Log();
}

std::vector<CutOffCase> CutOffCases() {
  std::vector<CutOffCase> cases;

  for (const SecondOwnerEnd end :
       {SecondOwnerEnd::kRestart, SecondOwnerEnd::kPlannedStop, SecondOwnerEnd::kCutOff}) {
    for (const int64_t after : {0,   5,   10,  20,    50,    100,   200,   300,   320,   340,
                                400, 600, 800, 1'000, 1'200, 1'500, 2'000, 3'000, 5'000, 7'000}) {
      cases.push_back(CutOffCase{end, Millis(after)});
    }
  }

  return cases;
}

INSTANTIATE_TEST_SUITE_P(HandOverLeases, FirstOwnerCutOff, testing::ValuesIn(CutOffCases()));

TEST_F(HandOverLeases, LostReplyToFirstRecordOfOwnerLeavesTasksRunning) {
  world_.Submit("e0", MakeJob("a", 8));
  for (int32_t step = 0; step < 200 && world_.WorkersOf("a").size() < 8; ++step) {
    world_.Run(Millis(5));
  }
  owner_ = world_.OwnerOf("a");
  world_.Run(Millis(3'000));
  world_.Kill(owner_);
  std::string second;

  for (int32_t step = 0; step < 1'000 && second.empty(); ++step) {
    world_.Run(Millis(5));
    for (const std::string& entry : world_.Entries()) {
      for (const auto& [id, cell] : world_.state(entry).cells) {
        if (cell.hand_over.write_request != 0) second = entry;
      }
    }
  }

  ASSERT_FALSE(second.empty());
  world_.Cut(second, "store");
  world_.Run(Millis(10));
  world_.Reconnect();
  world_.Run(Millis(6'000));
  int32_t expired = 0;
  for (auto& [task, ends] : world_.ends) expired += ends[RunEnd::kLeaseExpired];
  EXPECT_EQ(expired, 0) << Log();
}

}  // namespace
}  // namespace currantpost::scheduler
