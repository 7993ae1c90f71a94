#include <gtest/gtest.h>

#include "world.h"

/// Jobs that are moved while some entries see the move late, or not at all.

namespace currantpost::scheduler {
namespace {

/// Two cells of sixteen cores each, and entries that own no cell.
class MovedJob : public testing::Test {
 protected:
  static constexpr const char* kHomeCell = "dc0/0";
  static constexpr const char* kRemoteCell = "dc1/0";

  void SetUp() override {
    world_.planner = [](const TaskName& name) {
      const bool hog = name.job.Text() == "hog";
      return RunPlan{.duration = Millis(200),
                     .never_ends = hog,
                     .need = Resources{.millicores = hog ? 1'000 : 0, .memory_mib = 100}};
    };
    world_.Run(Millis(3'500));
  }
  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  static std::string JobKeyOf(const std::string& job) { return std::string(kJobPrefix) + job; }
  static std::string ProgressKeyOf(const std::string& cell, const std::string& job) {
    return std::string(kProgressPrefix) + cell + "/" + job;
  }

  void Write(WriteRecords write) {
    world_.store.Handle(write, world_.now(), [](const StoreReply&) {});
  }

  void PutJob(const std::string& cell, const JobSpec& spec) {
    JobRecord record{.queue = "queue", .service = "service", .cell = CellId(cell), .spec = spec};
    record.max_attempts = 3;
    Write({.puts = {RecordPut{JobKeyOf(spec.job.Text()), Encode(record), 0}}});
  }

  /// Moves a job as an owner does: with its progress.
  void MoveJob(const std::string& job, const std::string& to) {
    JobRecord record = *DecodeJob(*world_.store.Value(JobKeyOf(job)));
    const std::string progress = ProgressKeyOf(record.cell.Text(), job);
    const auto value = world_.store.Value(progress);
    if (value) record.carried_progress = *DecodeProgress(*value);
    record.cell = CellId(to);
    ++record.moves;
    Write({.puts = {RecordPut{JobKeyOf(job), Encode(record), 0}}, .removals = {progress}});
  }

  std::string OwnerOfCell(const std::string& cell) {
    return world_.state("e0").view.cells.at(CellId(cell)).record.owner.Text();
  }

  std::string EntryWithoutCell() {
    for (const char* entry : {"e0", "e1", "e2", "e3"}) {
      if (world_.state(entry).cells.empty()) return entry;
    }
    ADD_FAILURE() << "every entry has a cell";
    return {};
  }

  /// Fills a whole cell with long-running tasks.
  void FillHomeCell() {
    JobSpec hog = MakeJob("hog", 16);
    hog.steps[0].is_long_running = true;
    hog.steps[0].need.memory_mib = 4'000;
    PutJob(kHomeCell, hog);
    world_.Run(Millis(2'000));
  }

  JobPhase QueryPhase(const std::string& entry, const std::string& job) {
    world_.answers[job].clear();
    world_.RequestStatus(entry, job);
    world_.Run(Millis(1'000));
    EXPECT_EQ(world_.answers[job].size(), 1U);
    if (world_.answers[job].empty()) return JobPhase::kQueued;
    EXPECT_EQ(world_.answers[job][0].outcome, CallerOutcome::kPhase);
    return world_.answers[job][0].phase;
  }

  World world_{WorldShape{.entries = 4, .data_centres = 2, .racks = 1}};
};

TEST_F(MovedJob, AnEntryUnawareOfAMoveReportsTheCurrentPhase) {
  FillHomeCell();
  JobSpec spec = MakeJob("a", 1);
  spec.steps[0].need.millicores = 20'000;
  PutJob(kHomeCell, spec);
  world_.Run(Millis(1'500));
  const std::string lagging_entry = EntryWithoutCell();
  world_.SlowWatches(lagging_entry, Millis(30'000));
  world_.Run(Millis(4'000));

  for (const char* id : {"wr1-0-0", "wr1-0-1"}) {
    world_.worker(id).info().capacity.millicores = 40'000;
  }
  MoveJob("a", kRemoteCell);
  world_.Run(Millis(4'000));
  ASSERT_EQ(world_.Phase("a"), JobPhase::kCompleted);

  EXPECT_EQ(QueryPhase(lagging_entry, "a"), JobPhase::kCompleted);
}

TEST_F(MovedJob, AnEntryUnawareOfARemovalReportsNoSuchJob) {
  PutJob(kRemoteCell, MakeJob("a", 1));
  world_.Run(Millis(3'000));
  ASSERT_EQ(world_.Phase("a"), JobPhase::kCompleted);
  const std::string lagging_entry = EntryWithoutCell();
  world_.SlowWatches(lagging_entry, Millis(30'000));
  world_.Run(Millis(4'000));
  Write({.removals = {JobKeyOf("a"), ProgressKeyOf(kRemoteCell, "a")}});
  world_.Run(Millis(500));
  world_.RequestStatus(lagging_entry, "a");
  world_.Run(Millis(1'000));

  ASSERT_EQ(world_.answers["a"].size(), 1U);
  EXPECT_EQ(world_.answers["a"][0].outcome, CallerOutcome::kNoSuchJob);
}

TEST_F(MovedJob, AJobMovedAwayAndBackUnseenContinues) {
  JobSpec spec = MakeJob("a", 1);
  spec.steps.push_back(spec.steps.front());
  spec.steps[1].after = {0};
  spec.steps[1].need.millicores = 20'000;
  PutJob(kHomeCell, spec);
  world_.Run(Millis(2'000));
  ASSERT_TRUE(world_.store.Value(ProgressKeyOf(kHomeCell, "a")));

  world_.Cut(OwnerOfCell(kHomeCell), "store");
  MoveJob("a", kRemoteCell);
  MoveJob("a", kHomeCell);
  world_.store.CompactHistory();
  world_.Run(Millis(100));
  world_.Reconnect();
  world_.Run(Millis(5'000));

  for (const char* id : {"wr0-0-0", "wr0-0-1"}) {
    world_.worker(id).info().capacity.millicores = 40'000;
  }
  world_.Run(Millis(6'000));

  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
  for (const auto& [name, count] : world_.starts) EXPECT_EQ(count, 1) << name.step;
}

// Guards against lost progress: a move was sent again against the record of the job that had
// returned meanwhile, and overwrote the progress made in the other cell.
TEST_F(MovedJob, AMoveThatIsSentAgainOverwritesNoProgress) {
  FillHomeCell();
  JobSpec spec = MakeJob("a", 1);
  spec.steps[0].best_effort = true;
  spec.steps[0].need.memory_mib = 40'000;
  spec.steps.push_back(spec.steps.front());
  spec.steps[1].after = {0};
  spec.steps[1].need.millicores = 20'000;
  const std::string owner = OwnerOfCell(kHomeCell);
  world_.SlowWatches(owner, Millis(8'000));
  world_.Run(Millis(2'500));
  PutJob(kHomeCell, spec);
  world_.Push(owner, StoreItem{.key = JobKeyOf("a"),
                               .revision = world_.store.revision(),
                               .value = *world_.store.Value(JobKeyOf("a"))});

  // The answer to the move is lost.
  const auto moving = [&] {
    const auto& jobs = world_.state(owner).cells.at(CellId(kHomeCell)).jobs;
    const auto job = jobs.find(JobId("a"));
    return job != jobs.end() && job->second.move && job->second.move->request != 0;
  };
  for (int round = 0; round < 400 && !moving(); ++round) world_.Run(Millis(5));
  ASSERT_TRUE(moving());
  world_.Cut(owner, "store");
  world_.Run(Millis(20));
  world_.Reconnect();

  world_.Run(Millis(1'200));
  ASSERT_EQ((world_.starts[TaskName{JobId("a"), 0, 0, 0}]), 1);
  ASSERT_TRUE(world_.store.Value(ProgressKeyOf(kRemoteCell, "a")));
  MoveJob("a", kHomeCell);
  world_.Push(owner, StoreItem{.key = JobKeyOf("a"),
                               .revision = world_.store.revision(),
                               .value = *world_.store.Value(JobKeyOf("a"))});
  world_.Run(Millis(4'000));

  EXPECT_EQ((world_.starts[TaskName{JobId("a"), 0, 0, 0}]), 1);
}

// The write of a job's end also changes its record, and the changed record may arrive before the
// answer to that write.
TEST_F(MovedJob, AnEndIsNotTakenForAMove) {
  PutJob(kHomeCell, MakeJob("a", 1));
  const std::string owner = OwnerOfCell(kHomeCell);
  const auto ending = [&] {
    const auto& cell = world_.state(owner).cells.at(CellId(kHomeCell));
    const auto job = cell.jobs.find(JobId("a"));
    return job != cell.jobs.end() && IsTerminal(job->second.phase) && cell.write.request != 0;
  };
  for (int round = 0; round < 600 && !ending(); ++round) world_.Run(Millis(5));
  ASSERT_TRUE(ending());
  world_.Cut(owner, "store");
  world_.Run(Millis(20));
  world_.Reconnect();
  world_.Push(owner, StoreItem{.key = JobKeyOf("a"),
                               .revision = world_.store.revision(),
                               .value = *world_.store.Value(JobKeyOf("a"))});
  ASSERT_TRUE(world_.state(owner).view.jobs.at(JobId("a")).head.ended);
  world_.Run(Millis(4'000));

  EXPECT_EQ(QueryPhase(owner, "a"), JobPhase::kCompleted);
}

}  // namespace
}  // namespace currantpost::scheduler
