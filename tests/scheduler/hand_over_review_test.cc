#include <gtest/gtest.h>

#include <algorithm>

#include "world.h"

/// Leases that the owners of a cell misjudge as it changes hands.

namespace currantpost::scheduler {
namespace {

using Names = std::vector<std::string>;

RunPlan Long() {
  return RunPlan{.duration = Millis(40'000),
                 .need = Resources{.millicores = 1'000, .memory_mib = 100}};
}

class HandOverReview : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [](const TaskName&) { return Long(); };
    for (const std::string& id : world_.Workers()) world_.worker(id).clock_begins_anew = true;
    world_.Run(Millis(20'000));
  }

  /// Workers begin a new life that nobody announces for a while.
  void RestartWorkersUnseen() {
    for (const std::string& id : world_.Workers()) {
      world_.Cut(id, "store");
      world_.worker(id).Restart(world_.worker(id).info().born + 1);
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

  /// Nobody reaches the worker of the task.
  void CutWorkerOff() {
    for (const char* entry : {"e0", "e1", "e2"}) world_.Cut(entry, worker_);
    world_.Cut(worker_, "store");
  }

  void MendOthers() {
    for (const std::string& id : world_.Workers()) {
      if (id != worker_) world_.Mend(id, "store");
    }
  }

  /// A task starts at a new life of its worker, which nobody reaches from then on.
  void StartAtUnseenLife() {
    RestartWorkersUnseen();
    world_.Submit("e0", MakeJob("a", 1));
    RunUntilStarted();
    CutWorkerOff();
    MendOthers();
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

TEST_F(HandOverReview, StartAtNewLifeOfWorkerOutlivesNewLifeOfOwner) {
  StartAtUnseenLife();
  world_.Kill(owner_);
  world_.Run(Millis(300));
  world_.Start(owner_);
  world_.Run(Millis(20'000));
  EXPECT_EQ(world_.violations, Names()) << Log();
}

TEST_F(HandOverReview, StartAtNewLifeOfWorkerOutlivesPlannedStopOfOwner) {
  StartAtUnseenLife();
  world_.Stop(owner_);
  world_.Run(Millis(20'000));
  EXPECT_EQ(world_.violations, Names()) << Log();
}

TEST_F(HandOverReview, StartAtNewLifeOfWorkerOutlivesAnswerOfOwner) {
  StartAtUnseenLife();
  world_.Cut(owner_, "store");
  world_.Run(Millis(20'000));
  EXPECT_EQ(world_.violations, Names()) << Log();
}

TEST_F(HandOverReview, StartAtNewLifeOfWorkerOutlivesWaitOfSameOwner) {
  StartAtUnseenLife();
  world_.Run(Millis(20'000));
  EXPECT_EQ(world_.violations, Names()) << Log();
}

TEST_F(HandOverReview, LifeThatIsAnnouncedAfterWorkerWasNamedCountsForNextOwner) {
  StartAtUnseenLife();
  world_.Run(Millis(3'000));
  world_.store.Announce(world_.worker(worker_).info(), world_.now());
  world_.Run(Millis(500));
  world_.Kill(owner_);
  world_.Run(Millis(300));
  world_.Start(owner_);
  world_.Run(Millis(20'000));
  EXPECT_EQ(world_.violations, Names()) << Log();
}

TEST_F(HandOverReview, WaitOfNamedWorkerGoesOnThoughItsOwnerDies) {
  world_.planner = [](const TaskName&) {
    RunPlan plan = Long();
    plan.lasts = true;
    return plan;
  };
  JobSpec spec = MakeJob("a", 1);
  spec.steps[0].lasting = true;
  world_.Submit("e0", spec);
  RunUntilStarted();
  world_.Run(Millis(3'000));
  const Millis lost_at = world_.now();
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
  // What the first owner may have granted has lapsed 12.9 s after the end of its lease, and each
  // change of owner takes up to 3 s.
  EXPECT_LE((world_.now() - lost_at).Count(), 19'000) << Log();
  EXPECT_EQ(world_.violations, Names());
}

TEST(HandOverReviewAlone, WorkerThatWasSilentWhileStartsWaitedTakesTasksAgain) {
  World world(WorldShape{.entries = 1, .racks = 1, .workers_per_rack = 1});
  world.Run(Millis(6'000));
  // The entry does not know of cancels, so that no start leaves.
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

TEST(HandOverReviewAlone, TaskStaysOnDrainingWorkerWhileNoStartMayLeave) {
  World world(WorldShape{.entries = 1, .racks = 1, .workers_per_rack = 2});
  world.planner = [](const TaskName& name) {
    return RunPlan{.duration = Millis(8'000),
                   .lasts = name.job == JobId("a"),
                   .need = Resources{.millicores = 8'000, .memory_mib = 100}};
  };
  world.Run(Millis(6'000));
  JobSpec spec = MakeJob("a", 1, 8'000);
  spec.steps[0].lasting = true;
  world.Submit("e0", spec);
  world.Submit("e0", MakeJob("b", 1, 8'000));
  world.Run(Millis(1'500));
  ASSERT_EQ(world.WorkersOf("a").size(), 1U);
  ASSERT_EQ(world.WorkersOf("b").size(), 1U);
  const std::string worker = world.WorkersOf("a").front();
  world.DrainWorker(worker);
  world.Run(Millis(2'000));
  // The entry does not know of cancels, so that no start leaves.
  world.SlowWatches("e0", Millis(12'000));
  world.SlowLists("e0", Millis(12'000));
  Millis away;

  for (int32_t step = 0; step < 500; ++step) {
    world.Run(Millis(20));
    if (world.WorkersOf("a").empty()) away = away + Millis(20);
  }

  std::string text;
  for (const std::string& line : world.log) text += line + "\n";
  EXPECT_LE(away.Count(), 500) << text;
}

/// What becomes of the second of three owners.
enum class SecondEnd { kNewLife, kPlannedStop, kCutOff };

struct CutOffCase {
  SecondEnd end;
  /// From the grant of the second owner.
  Millis after;
};

/// The first owner is cut off from all but the worker, which nobody else reaches.
class FirstOwnerCutOff : public HandOverReview, public testing::WithParamInterface<CutOffCase> {};

TEST_P(FirstOwnerCutOff, KeepsItsWordThroughSecondOwner) {
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
    case SecondEnd::kNewLife:
      world_.Kill(second);
      world_.Run(Millis(300));
      world_.Start(second);
      break;
    case SecondEnd::kPlannedStop:
      world_.Stop(second);
      break;
    case SecondEnd::kCutOff:
      world_.Cut(second, "store");
      break;
  }

  world_.Run(Millis(25'000));
  EXPECT_EQ(world_.violations, Names()) << Log();
}

std::vector<CutOffCase> CutOffCases() {
  std::vector<CutOffCase> cases;

  for (const SecondEnd end : {SecondEnd::kNewLife, SecondEnd::kPlannedStop, SecondEnd::kCutOff}) {
    for (const int64_t after : {0,   5,   10,  20,    50,    100,   200,   300,   320,   340,
                                400, 600, 800, 1'000, 1'200, 1'500, 2'000, 3'000, 5'000, 7'000}) {
      cases.push_back(CutOffCase{end, Millis(after)});
    }
  }

  return cases;
}

INSTANTIATE_TEST_SUITE_P(HandOverReview, FirstOwnerCutOff, testing::ValuesIn(CutOffCases()));

TEST_F(HandOverReview, LostAnswerToFirstRecordOfOwnerLeavesTasksRunning) {
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
  world_.Mend();
  world_.Run(Millis(6'000));
  int32_t lapsed = 0;
  for (auto& [task, ends] : world_.ends) lapsed += ends[RunEnd::kLapsed];
  EXPECT_EQ(lapsed, 0) << Log();
}

}  // namespace
}  // namespace currantpost::scheduler
