#include <gtest/gtest.h>

#include <algorithm>

#include "world.h"

/// Cancellation of lent and moved tasks, of starts in flight, and during a change of a cell's
/// owner.

namespace currantpost::scheduler {
namespace {

/// Time after which no task of a cancelled job runs: the time for a start plus the time for a stop.
/// Both are values of a deployment.
constexpr Millis kMaxRunAfterCancel = Millis(4'900);

std::string JobKeyOf(const std::string& job) { return std::string(kJobPrefix) + job; }

class CancelReach : public testing::Test {
 protected:
  explicit CancelReach(WorldShape shape) : world_(shape) {}
  void SetUp() override { world_.Run(Millis(3'500)); }
  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  [[nodiscard]] bool Logged(const std::string& message) const {
    return std::ranges::any_of(world_.log, [&](const std::string& line) {
      return line.find(message) != std::string::npos;
    });
  }

  /// Runs the world until the log contains the message, for 10 s at most.
  void RunUntilLogged(const std::string& message) {
    const Millis end = world_.now() + Millis(10'000);
    while (!Logged(message) && world_.now() < end) world_.Run(Millis(5));
    ASSERT_TRUE(Logged(message)) << message;
  }

  void Write(WriteRecords write) {
    world_.store.Handle(write, world_.now(), [](const StoreReply&) {});
  }

  /// Writes a cancel to the store directly, so that only watches report it.
  void CancelInStore(const std::string& job) {
    Write({.puts = {RecordPut{std::string(kCancelPrefix) + job, "{}", 0}}});
  }

  [[nodiscard]] int32_t StartsOf(const std::string& job) const {
    int32_t count = 0;
    for (const auto& [name, starts] : world_.starts) {
      if (name.job.Text() == job) count += starts;
    }
    return count;
  }

  World world_;
};

// One cell.

class CancelReachOneCell : public CancelReach {
 protected:
  CancelReachOneCell() : CancelReach({.entries = 2, .racks = 1, .workers_per_rack = 1}) {
    world_.planner = [](const TaskName&) {
      return RunPlan{.never_ends = true, .need = Resources{.millicores = 1'000}};
    };
  }

  void SubmitLongRunning() {
    JobSpec spec = MakeJob("a", 1);
    spec.steps[0].is_long_running = true;
    world_.Submit("e0", spec);
  }

  WorkerState& OnlyWorker() {
    State& state = world_.state(world_.OwnerOf("a"));
    return state.cells.begin()->second.workers.begin()->second;
  }
};

TEST_F(CancelReachOneCell, AStartThatWasFencedOffIsNotSentAgain) {
  SubmitLongRunning();
  const auto starting = [&] {
    if (!world_.store.Value(JobKeyOf("a"))) return false;
    return std::holds_alternative<StartTask>(OnlyWorker().order) && OnlyWorker().order_request != 0;
  };
  for (int round = 0; round < 400 && !starting(); ++round) world_.Run(Millis(1));
  ASSERT_TRUE(starting());

  // A poll with a higher fencing token overtakes the start.
  const std::string owner = world_.OwnerOf("a");
  const OwnedCell& cell = world_.state(owner).cells.begin()->second;
  const std::string worker = OnlyWorker().info.id.Text();
  OnlyWorker().fence += 1;
  OnlyWorker().confirmed = false;
  world_.worker(worker).Handle(cell.grant * (FencingToken{1} << 20U) + OnlyWorker().fence,
                               PollWorker{}, world_.now(), [](const WorkerReply&) {});
  CancelInStore("a");
  world_.Push(owner, StoreItem{.key = std::string(kCancelPrefix) + "a",
                               .revision = world_.store.revision(),
                               .value = "{}"});
  world_.Run(kMaxRunAfterCancel);

  EXPECT_EQ(StartsOf("a"), 0);
  EXPECT_EQ(world_.Phase("a"), JobPhase::kCancelled);
}

TEST_F(CancelReachOneCell, ACancelWaitsForAJobBeingAccepted) {
  world_.Cut("e0", "store");
  SubmitLongRunning();
  world_.Run(Millis(50));
  world_.Reconnect();
  world_.Cancel("e0", "a");
  world_.Run(Millis(5'000));

  const std::vector<AnswerCaller>& answers = world_.answers["a"];
  ASSERT_EQ(answers.size(), 2U);
  EXPECT_EQ(answers[0].outcome, CallerOutcome::kAccepted);
  EXPECT_EQ(answers[1].outcome, CallerOutcome::kCancelled);
  EXPECT_TRUE(world_.WorkersOf("a").empty());
}

TEST_F(CancelReachOneCell, LeasesOfRunsWhoseStopsAreLostExpire) {
  SubmitLongRunning();
  world_.Run(Millis(2'000));
  ASSERT_EQ(world_.WorkersOf("a").size(), 1U);

  for (const std::string& worker : world_.Workers()) world_.LoseStops(worker, true);
  world_.Cancel("e0", "a");
  world_.Run(Millis(6'000));

  EXPECT_TRUE(world_.WorkersOf("a").empty());
}

// Lent and moved tasks.

/// Delay of watches that is longer than any of these tests waits.
constexpr Millis kWatchDelay = Millis(30'000);

/// Two cells of sixteen cores each, and two entries that own no cell.
class CancelReachTwoCells : public CancelReach {
 protected:
  static constexpr const char* kHomeCell = "dc0/0";
  static constexpr const char* kRemoteCell = "dc1/0";

  CancelReachTwoCells() : CancelReach({.entries = 4, .data_centres = 2, .racks = 1}) {
    world_.planner = [](const TaskName& name) {
      return RunPlan{.duration = Millis(200),
                     .never_ends = name.job.Text() != "short",
                     .need = Resources{.millicores = name.job.Text() == "short" ? 0 : 1'000,
                                       .memory_mib = 100}};
    };
  }

  void SetUp() override {
    CancelReach::SetUp();
    home_owner_ = OwnerOfCell(kHomeCell);
    remote_owner_ = OwnerOfCell(kRemoteCell);
    for (const char* entry : {"e0", "e1", "e2", "e3"}) {
      if (world_.state(entry).cells.empty()) entry_without_cell_ = entry;
    }
    ASSERT_FALSE(entry_without_cell_.empty());
    ASSERT_NE(home_owner_, remote_owner_);
  }

  [[nodiscard]] std::string OwnerOfCell(const std::string& cell) {
    const auto& cells = world_.state("e0").view.cells;
    const auto view = cells.find(CellId(cell));
    return view == cells.end() ? std::string() : view->second.record.owner.Text();
  }

  /// Delays an entry's watches, so that it sees only records that it writes or that peers push to
  /// it.
  void DelayRecordWatches(const std::string& entry) { world_.SlowWatches(entry, kWatchDelay); }

  /// Writes a job into a cell and pushes it to the cell's owner.
  void PutJob(const std::string& cell, const JobSpec& spec) {
    JobRecord record{.queue = "queue", .service = "service", .cell = CellId(cell), .spec = spec};
    record.max_attempts = 3;
    const std::string key = JobKeyOf(spec.job.Text());
    Write({.puts = {RecordPut{key, Encode(record), 0}}});
    world_.Push(OwnerOfCell(cell), StoreItem{.key = key,
                                             .revision = world_.store.revision(),
                                             .value = *world_.store.Value(key)});
  }

  [[nodiscard]] static JobSpec MakeLongRunningJob(const std::string& id, int32_t tasks) {
    JobSpec spec = MakeJob(id, tasks);
    spec.steps[0].is_long_running = true;
    return spec;
  }

  std::string home_owner_;
  std::string remote_owner_;
  std::string entry_without_cell_;
};

TEST_F(CancelReachTwoCells, TasksOfACancelledJobAreNotLent) {
  DelayRecordWatches(home_owner_);
  DelayRecordWatches(remote_owner_);
  world_.Run(Millis(2'500));
  PutJob(kHomeCell, MakeLongRunningJob("a", 20));
  RunUntilLogged("lending tasks");
  CancelInStore("a");
  world_.Run(kMaxRunAfterCancel);

  EXPECT_TRUE(world_.WorkersOf("a").empty());
}

TEST_F(CancelReachTwoCells, ACancelledJobIsNotMoved) {
  JobSpec hog = MakeLongRunningJob("hog", 16);
  hog.steps[0].need.memory_mib = 4'000;
  PutJob(kHomeCell, hog);
  world_.Run(Millis(2'000));
  DelayRecordWatches(home_owner_);
  DelayRecordWatches(remote_owner_);
  world_.Run(Millis(2'500));
  JobSpec spec = MakeJob("short", 1);
  spec.steps[0].best_effort = true;
  spec.steps[0].need.memory_mib = 40'000;
  PutJob(kHomeCell, spec);
  RunUntilLogged("moving job");
  CancelInStore("short");
  world_.Run(kMaxRunAfterCancel);

  EXPECT_EQ(StartsOf("short"), 0);
  EXPECT_EQ(world_.Phase("short"), JobPhase::kCancelled);
}

TEST_F(CancelReachTwoCells, ACancelReachesTheBorrowerWhileTheLoanIsInFlight) {
  DelayRecordWatches(remote_owner_);
  world_.Run(Millis(2'500));
  PutJob(kHomeCell, MakeLongRunningJob("a", 20));
  RunUntilLogged("lending tasks");
  world_.Run(Millis(5));
  world_.Cut(home_owner_, "store");
  world_.Cancel(entry_without_cell_, "a");
  world_.Run(Millis(50));
  world_.Reconnect();
  ASSERT_EQ(world_.answers["a"].back().outcome, CallerOutcome::kCancelled);
  world_.Run(kMaxRunAfterCancel);

  EXPECT_TRUE(world_.WorkersOf("a").empty());
}

TEST_F(CancelReachTwoCells, ACancelledLoanCancelsItsJob) {
  PutJob(kHomeCell, MakeLongRunningJob("hog", 4));
  world_.Run(Millis(1'000));
  PutJob(kHomeCell, MakeLongRunningJob("a", 16));
  DelayRecordWatches(home_owner_);
  world_.Run(Millis(4'000));
  ASSERT_EQ(world_.WorkersOf("a").size(), 16U);

  // Frees capacity for tasks that return.
  world_.Cancel(entry_without_cell_, "hog");
  world_.Run(Millis(1'000));
  world_.Cut(home_owner_, entry_without_cell_);
  world_.Cancel(entry_without_cell_, "a");
  world_.Run(Millis(50));
  ASSERT_EQ(world_.answers["a"].back().outcome, CallerOutcome::kCancelled);
  world_.Run(kMaxRunAfterCancel);

  EXPECT_TRUE(world_.WorkersOf("a").empty());
  EXPECT_EQ(StartsOf("a"), 16);
}

TEST_F(CancelReachTwoCells, ANewOwnerForwardsACancelToBorrowers) {
  PutJob(kHomeCell, MakeLongRunningJob("a", 20));
  world_.Run(Millis(2'000));
  DelayRecordWatches(remote_owner_);
  world_.Run(Millis(2'500));
  ASSERT_EQ(world_.WorkersOf("a").size(), 20U);

  world_.Kill(home_owner_);
  world_.Run(Millis(500));
  world_.Cut(remote_owner_, entry_without_cell_);
  world_.Cancel(entry_without_cell_, "a");
  world_.Run(Millis(100));
  ASSERT_EQ(world_.answers["a"].back().outcome, CallerOutcome::kCancelled);
  world_.Reconnect();
  world_.Run(Millis(8'000));

  EXPECT_TRUE(world_.WorkersOf("a").empty());
}

}  // namespace
}  // namespace currantpost::scheduler
