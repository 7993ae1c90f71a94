#include <gtest/gtest.h>

#include <algorithm>

#include "world.h"

/// Tasks that do not fit in their own cell run in another one: jobs larger than a cell, and cells
/// with uneven load.

namespace currantpost::scheduler {
namespace {

/// Two cells of sixteen cores each.
class Lending : public testing::Test {
 protected:
  void SetUp() override { world_.Run(Millis(3'500)); }
  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  JobSpec PrepareWideJob(const std::string& id, int32_t tasks, bool is_long_running) {
    world_.planner = [is_long_running](const TaskName&) {
      return RunPlan{.duration = Millis(1'500),
                     .never_ends = is_long_running,
                     .need = Resources{.millicores = 1'000, .memory_mib = 100}};
    };
    JobSpec spec = MakeJob(id, tasks);
    spec.steps[0].is_long_running = is_long_running;
    return spec;
  }

  World world_{WorldShape{.entries = 4, .data_centres = 2, .racks = 1}};
};

TEST_F(Lending, AJobLargerThanItsCellRunsInBothCells) {
  world_.Submit("e0", PrepareWideJob("a", 28, true));
  world_.Run(Millis(6'000));

  EXPECT_EQ(world_.WorkersOf("a").size(), 28U);
}

TEST_F(Lending, AJobEndsOnceAllItsTasksHave) {
  world_.Submit("e0", PrepareWideJob("a", 30, false));
  world_.Run(Millis(1'000));
  EXPECT_GT(world_.WorkersOf("a").size(), 16U);

  world_.Run(Millis(8'000));
  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
  EXPECT_EQ(world_.starts.size(), 30U);
  for (const auto& [name, count] : world_.starts) EXPECT_EQ(count, 1) << name.index;
}

TEST_F(Lending, LaterStepsWaitForLentTasks) {
  JobSpec spec = PrepareWideJob("a", 26, false);
  spec.steps.push_back(spec.steps.front());
  spec.steps[1].task_count = 2;
  spec.steps[1].after = {0};
  std::map<int32_t, Millis> first;
  std::map<int32_t, Millis> last;
  world_.planner = [&](const TaskName& name) {
    if (!first.contains(name.step)) first[name.step] = world_.now();
    last[name.step] = world_.now();
    return RunPlan{.duration = Millis(1'500),
                   .need = Resources{.millicores = 1'000, .memory_mib = 100}};
  };
  world_.Submit("e1", spec);
  world_.Run(Millis(12'000));

  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
  EXPECT_GE(first[1], last[0] + Millis(1'500));
}

TEST_F(Lending, CancellingReachesLentTasks) {
  world_.Submit("e0", PrepareWideJob("a", 28, true));
  world_.Run(Millis(6'000));
  world_.Cancel("e1", "a");
  world_.Run(Millis(2'500));

  EXPECT_TRUE(world_.WorkersOf("a").empty());
  EXPECT_EQ(world_.Phase("a"), JobPhase::kCancelled);
}

// Guards against late cancellations: borrowers saw them only through their watch, which was seconds
// behind on a small machine.
TEST_F(Lending, BorrowersAreNotifiedOfACancellationAtOnce) {
  world_.Submit("e0", PrepareWideJob("a", 28, true));
  world_.Run(Millis(6'000));

  // Keeps all entries from watching the records.
  for (int round = 0; round < 300; ++round) {
    for (const char* entry : {"e0", "e1", "e2", "e3"}) {
      FeedState& feed = world_.state(entry).feeds[Feed::kRecords];
      if (feed.request == 0) feed.next_at = world_.now() + Millis(5'000);
    }
    world_.Run(Millis(10));
  }
  for (const char* entry : {"e0", "e1", "e2", "e3"}) {
    ASSERT_EQ(world_.state(entry).feeds[Feed::kRecords].request, 0U);
  }

  world_.Cancel(world_.OwnerOf("a"), "a");
  world_.Run(Millis(700));
  EXPECT_TRUE(world_.WorkersOf("a").empty());
}

// Guards against a cancelled job that never ends: an owner that missed the end of the lent tasks
// accepted no later reply about them, so the job was never recorded as ended and never removed.
TEST_F(Lending, ACancelledJobEndsThoughTheEndsOfItsLentTasksWereLost) {
  world_.Submit("e0", PrepareWideJob("a", 28, true));
  world_.Run(Millis(6'000));
  const std::string lender = world_.OwnerOf("a");
  world_.Kill(lender);
  world_.Cancel(lender == "e1" ? "e2" : "e1", "a");
  world_.Run(Millis(25'000));

  EXPECT_TRUE(world_.WorkersOf("a").empty());
  EXPECT_EQ(world_.Phase("a"), JobPhase::kCancelled);
}

// Guards against a pending count that is too low: a job counted as started once its tasks were
// lent, though they were still pending at the borrower.
TEST_F(Lending, AJobIsPendingUntilALentTaskStarts) {
  const std::string lender = world_.state("e0").view.cells.at(CellId("dc0/0")).record.owner.Text();
  const std::string borrower =
      world_.state("e0").view.cells.at(CellId("dc1/0")).record.owner.Text();
  world_.DrainWorker("wr0-0-0");
  world_.DrainWorker("wr0-0-1");
  world_.Run(Millis(2'000));
  world_.Pause(borrower);

  // Needs more than half of a cell, so that the job is not moved as a whole.
  JobRecord record{.queue = "queue", .service = "service", .cell = CellId("dc0/0")};
  record.max_attempts = 3;
  record.spec = PrepareWideJob("a", 14, false);
  world_.store.Handle(
      WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + "a", Encode(record), 0}}},
      world_.now(), [](const StoreReply&) {});
  world_.Run(Millis(1'500));

  std::set<JobId> lent;
  for (const auto& [id, job] : world_.state(lender).view.jobs) {
    if (!job.head.parent.Empty()) lent.insert(job.head.parent);
  }
  ASSERT_FALSE(lent.empty());

  world_.RequestPendingCount(lender);
  world_.Run(Millis(50));
  ASSERT_EQ(world_.answers["pending"].size(), 1U);
  EXPECT_GE(world_.answers["pending"][0].pending, static_cast<int64_t>(lent.size()));

  world_.Resume(borrower);
  world_.Run(Millis(12'000));
  world_.RequestPendingCount(lender);
  world_.Run(Millis(50));
  ASSERT_EQ(world_.answers["pending"].size(), 2U);
  EXPECT_EQ(world_.answers["pending"][1].pending, 0);
}

// Guards against a false count of zero: an entry that had just started had no reports from the
// cells of others, and answered that no job was pending.
TEST_F(Lending, JobsOfCellsWithoutAReportCountAsPending) {
  for (const char* hog : {"hog-a", "hog-b"}) {
    world_.Submit("e0", PrepareWideJob(hog, 16, true));
    world_.Run(Millis(2'000));
  }
  for (int job = 0; job < 6; ++job)
    world_.Submit("e0", PrepareWideJob("j" + std::to_string(job), 1, false));
  world_.Run(Millis(1'000));

  const std::vector<std::string> entries = {"e0", "e1", "e2", "e3"};
  for (const std::string& entry : entries) world_.Kill(entry);
  world_.Run(Millis(3'000));
  for (const std::string& entry : entries) world_.Start(entry);

  // Queries every entry continuously from the moment at which it is ready.
  int asked = 0;
  for (int round = 0; round < 400; ++round) {
    world_.Run(Millis(5));

    for (const std::string& entry : entries) {
      if (!world_.state(entry).ready) continue;

      world_.answers.clear();
      world_.RequestPendingCount(entry);
      world_.Run(Millis(2));
      ASSERT_EQ(world_.answers["pending"].size(), 1U);
      EXPECT_GE(world_.answers["pending"][0].pending, 3) << entry << " in round " << round;
      ++asked;
    }
  }

  EXPECT_GT(asked, 400);
}

// Guards against unused capacity: large pending tasks counted against free capacity that they do
// not fit into. Cells with such tasks lent each other nothing, and long-running tasks stayed
// pending although another cell had room for them.
TEST_F(Lending, ALongRunningTaskIsLentDespiteLargerPendingTasksThere) {
  const std::map<std::string, int64_t> needs = {
      {"hog-a", 6'000}, {"hog-b", 4'000}, {"large", 7'000}, {"small", 4'000}};
  world_.planner = [needs](const TaskName& name) {
    return RunPlan{.never_ends = true,
                   .need = Resources{.millicores = needs.at(name.job.Text()), .memory_mib = 100}};
  };
  const auto put = [&](const std::string& id, int32_t tasks, const std::string& cell) {
    JobRecord record{.queue = "queue", .service = "service", .cell = CellId(cell)};
    record.spec = MakeJob(id, tasks, needs.at(id));
    record.spec.steps[0].is_long_running = true;
    record.spec.steps[0].max_per_worker = 1;
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + id, Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
    world_.Run(Millis(1'500));
  };

  // Leaves two cores free on each worker of one cell, and four on each worker of the other.
  put("hog-a", 2, "dc0/0");
  put("hog-b", 2, "dc1/0");
  put("large", 2, "dc1/0");
  put("small", 1, "dc0/0");
  world_.Run(Millis(3'000));

  EXPECT_TRUE(world_.WorkersOf("large").empty());
  EXPECT_EQ(world_.WorkersOf("small").size(), 1U);
}

TEST_F(Lending, LentTasksSurviveTheLossOfAllEntries) {
  world_.Submit("e0", PrepareWideJob("a", 28, true));
  world_.Run(Millis(6'000));
  for (const char* entry : {"e0", "e1", "e2", "e3"}) world_.Kill(entry);
  world_.Run(Millis(500));
  for (const char* entry : {"e0", "e1", "e2", "e3"}) world_.Start(entry);
  world_.Run(Millis(8'000));

  EXPECT_EQ(world_.WorkersOf("a").size(), 28U);
  world_.Cancel("e1", "a");
  world_.Run(Millis(3'000));
  EXPECT_TRUE(world_.WorkersOf("a").empty());
  EXPECT_EQ(world_.Phase("a"), JobPhase::kCancelled);
}

// Guards against lost ends: a task that ran only as a lent task has no run of its own, and its end
// was not recorded.
TEST_F(Lending, EndsOfLentTasksSurviveTheLossOfAllEntries) {
  JobSpec spec = PrepareWideJob("a", 26, false);
  spec.steps.push_back(spec.steps.front());
  spec.steps[1].after = {0};
  world_.Submit("e0", spec);
  world_.Run(Millis(2'600));
  for (const char* entry : {"e0", "e1", "e2", "e3"}) world_.Kill(entry);
  world_.Run(Millis(500));
  for (const char* entry : {"e0", "e1", "e2", "e3"}) world_.Start(entry);
  world_.Run(Millis(25'000));

  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
  for (const auto& [name, count] : world_.starts) {
    if (name.step != 0) continue;

    EXPECT_EQ(count, 1) << name.index;
  }
}

// Each long-running task is lent as a separate job, so the limit must hold across jobs.
TEST_F(Lending, LentTasksRespectTheLimitPerWorker) {
  JobSpec spec = PrepareWideJob("a", 4, true);
  spec.steps[0].max_per_worker = 1;
  world_.Submit("e0", spec);
  world_.Run(Millis(6'000));

  const std::vector<std::string> workers = world_.WorkersOf("a");
  EXPECT_EQ(workers.size(), 4U);
  EXPECT_EQ(std::set<std::string>(workers.begin(), workers.end()).size(), 4U);
}

// Guards against reused names: the owner numbered lent jobs from one again each time it took over
// the job, so a second loan mistook the job of the first loan for its own.
TEST_F(Lending, LoansOfAReturnedJobHaveUniqueNames) {
  JobSpec spec = PrepareWideJob("a", 28, false);
  spec.steps.push_back(spec.steps.front());
  spec.steps[1].after = {0};
  spec.steps[1].task_count = 6;
  spec.steps[1].need.millicores = 20'000;
  world_.planner = [](const TaskName& name) {
    return RunPlan{.duration = Millis(1'000),
                   .need = Resources{.millicores = name.step == 0 ? 1'000 : 20'000}};
  };
  world_.Submit("e0", spec);
  world_.Run(Millis(5'000));

  // The second step fits nowhere yet. The job is moved to the other cell and back.
  auto record = DecodeJob(*world_.store.Value(std::string(kJobPrefix) + "a"));
  ASSERT_TRUE(record);
  const CellId home = record->cell;
  for (const CellId& cell : {CellId(home.Text() == "dc0/0" ? "dc1/0" : "dc0/0"), home}) {
    // Moves the job as an owner does: with its progress.
    const std::string progress = std::string(kProgressPrefix) + record->cell.Text() + "/a";
    if (const auto value = world_.store.Value(progress)) {
      record->carried_progress = *DecodeProgress(*value);
    }
    record->cell = cell;
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + "a", Encode(*record), 0}},
                     .removals = {progress}},
        world_.now(), [](const StoreReply&) {});
    world_.Run(Millis(1'000));
  }

  for (const char* id : {"wr0-0-0", "wr0-0-1", "wr1-0-0", "wr1-0-1"}) {
    world_.worker(id).info().capacity.millicores = 40'000;
  }
  world_.Run(Millis(12'000));

  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
}

TEST_F(Lending, ALoanWithALostAnswerIsRecognisedAfterItsTasksEnded) {
  world_.planner = [](const TaskName&) {
    return RunPlan{.duration = Millis(300),
                   .need = Resources{.millicores = 1'000, .memory_mib = 100}};
  };
  JobSpec wide = MakeJob("a", 24);
  wide.steps.push_back(wide.steps.front());
  wide.steps[1].task_count = 1;
  wide.steps[1].after = {0};
  world_.Submit("e0", wide);

  const auto logged = [&](const std::string& message) {
    return std::ranges::any_of(world_.log, [&](const std::string& line) {
      return line.find(message) != std::string::npos;
    });
  };
  while (!logged("lending tasks") && world_.now() < Millis(10'000)) world_.Run(Millis(5));
  ASSERT_TRUE(logged("lending tasks"));

  const std::string lender = world_.OwnerOf("a");
  world_.Run(Millis(5));
  world_.Cut(lender, "store");
  world_.Run(Millis(20));
  world_.Reconnect();
  const Millis lent_at = world_.now();
  while (world_.Phase("a") != JobPhase::kCompleted && world_.now() < Millis(30'000)) {
    world_.Run(Millis(50));
  }

  EXPECT_FALSE(logged("taking a job over again"));
  EXPECT_LT(world_.now() - lent_at, Millis(4'000));
  for (const auto& [name, count] : world_.starts) EXPECT_EQ(count, 1) << name.index;
}

TEST_F(Lending, LostAnswersLendNothingTwice) {
  world_.loss = 0.15;
  for (int round = 0; round < 4; ++round) {
    world_.Submit("e" + std::to_string(round),
                  PrepareWideJob("j" + std::to_string(round), 14, false));
    world_.Run(Millis(700));
  }
  world_.Run(Millis(25'000));
  world_.loss = 0.0;
  world_.Run(Millis(20'000));

  for (int round = 0; round < 4; ++round) {
    const std::string id = "j" + std::to_string(round);
    if (!world_.store.Value(std::string(kJobPrefix) + id)) continue;
    EXPECT_EQ(world_.Phase(id), JobPhase::kCompleted) << id;
  }
}

TEST_F(Lending, ALentTaskThatIsOutOfAttemptsFailsItsJob) {
  JobSpec spec = PrepareWideJob("a", 28, false);
  world_.planner = [](const TaskName& name) {
    return RunPlan{.duration = Millis(name.index == 27 ? 50 : 1'500),
                   .end = name.index == 27 ? RunEnd::kFailed : RunEnd::kDone,
                   .need = Resources{.millicores = 1'000, .memory_mib = 100}};
  };
  world_.Submit("e0", spec);
  world_.Run(Millis(20'000));

  EXPECT_EQ(world_.Phase("a"), JobPhase::kFailed);
  EXPECT_EQ((world_.starts[TaskName{JobId("a"), 0, 0, 27}]), 3);
}

}  // namespace
}  // namespace currantpost::scheduler
