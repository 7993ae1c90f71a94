#include <gtest/gtest.h>

#include <algorithm>

#include "world.h"

/// The count of pending jobs: whichever entry is queried, the count includes every job that was
/// accepted and has not started.

namespace currantpost::scheduler {
namespace {

/// Two cells of sixteen cores each, long-running tasks that fill both, and pending jobs.
class PendingJobCount : public testing::Test {
 protected:
  static constexpr int64_t kJobs = 6;

  void SetUp() override { world_.Run(Millis(3'500)); }
  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  void FillWorkers() {
    world_.planner = [](const TaskName& name) {
      return RunPlan{.never_ends = name.job.Text().starts_with("hog"),
                     .need = Resources{.millicores = 1'000, .memory_mib = 100}};
    };

    for (const char* id : {"hog-a", "hog-b"}) {
      JobSpec hog = MakeJob(id, 16);
      hog.steps[0].is_long_running = true;
      world_.Submit("e0", hog);
      world_.Run(Millis(2'000));
    }
  }

  void SubmitJobs() {
    for (int64_t job = 0; job < kJobs; ++job) {
      world_.Submit("e0", MakeJob("j" + std::to_string(job), 1));
    }
  }

  /// Writes jobs as an accepting entry does, but into the given cell.
  void PutJobs(const std::string& cell) {
    for (int64_t job = 0; job < kJobs; ++job) {
      const std::string id = "j" + std::to_string(job);
      const JobRecord record{.queue = "queue",
                             .service = "service",
                             .max_attempts = 3,
                             .cell = CellId(cell),
                             .spec = MakeJob(id, 1)};
      world_.store.Handle(
          WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + id, Encode(record), 0}}},
          world_.now(), [](const StoreReply&) {});
    }
  }

  std::string OwnerOfCell(const std::string& cell) {
    return world_.state("e0").view.cells.at(CellId(cell)).record.owner.Text();
  }

  /// Returns the count that an entry answers, or nothing if it answers that the count is
  /// unavailable.
  std::optional<int64_t> QueryCount(const std::string& entry) {
    world_.answers["pending"].clear();
    world_.RequestPendingCount(entry);
    world_.Run(Millis(5));
    const std::vector<AnswerCaller>& answers = world_.answers["pending"];
    if (answers.size() != 1) {
      ADD_FAILURE() << entry << " gave " << answers.size() << " answers";
      return std::nullopt;
    }

    if (answers[0].outcome == CallerOutcome::kUnavailable) return std::nullopt;
    EXPECT_EQ(answers[0].outcome, CallerOutcome::kPending);
    return answers[0].pending;
  }

  const std::vector<std::string> entries_ = {"e0", "e1", "e2", "e3"};
  World world_{WorldShape{.entries = 4, .data_centres = 2, .racks = 1}};
};

TEST_F(PendingJobCount, AnEntryThatHasNotListedTheRecordsGivesNoCount) {
  FillWorkers();
  SubmitJobs();
  world_.Run(Millis(1'000));

  for (const std::string& entry : entries_) world_.Kill(entry);
  world_.Run(Millis(3'000));
  world_.store.page_size = 2;
  world_.SlowLists("e0", Millis(1'000));
  for (const std::string& entry : entries_) world_.Start(entry);

  int64_t counts = 0;

  for (int round = 0; round < 100; ++round) {
    world_.Run(Millis(100));

    for (const std::string& entry : entries_) {
      const std::optional<int64_t> count = QueryCount(entry);
      if (!count) continue;

      EXPECT_GE(*count, kJobs) << entry << " in round " << round;
      ++counts;
    }
  }

  EXPECT_GT(counts, 300);
}

TEST_F(PendingJobCount, AnEntryFarBehindTheStoreGivesNoCount) {
  FillWorkers();
  world_.SlowWatches("e3", Millis(9'000));
  world_.Run(Millis(3'000));
  SubmitJobs();
  world_.Run(Millis(5'000));

  const std::optional<int64_t> count = QueryCount("e3");
  EXPECT_GE(count.value_or(kJobs), kJobs);
}

TEST_F(PendingJobCount, AJobWhoseStartsAreRefusedIsPending) {
  world_.planner = [](const TaskName&) {
    return RunPlan{.need = Resources{.millicores = 100'000, .memory_mib = 100}};
  };
  SubmitJobs();
  world_.Run(Millis(6'000));

  for (const std::string& entry : entries_) {
    EXPECT_GE(QueryCount(entry).value_or(0), kJobs) << entry;
  }
}

TEST_F(PendingJobCount, AJobThatAFormerOwnerOnlyBoundIsPending) {
  for (const std::string& entry : entries_) {
    for (const char* worker : {"wr0-0-0", "wr0-0-1", "wr1-0-0", "wr1-0-1"}) {
      world_.Cut(entry, worker);
    }
  }
  SubmitJobs();
  world_.Run(Millis(1'000));
  for (const std::string& entry : entries_) world_.Kill(entry);
  world_.Run(Millis(3'000));
  for (const std::string& entry : entries_) world_.Start(entry);
  world_.Run(Millis(5'000));

  for (const std::string& entry : entries_) {
    EXPECT_GE(QueryCount(entry).value_or(0), kJobs) << entry;
  }
}

TEST_F(PendingJobCount, AMovedJobThatWasOnlyBoundIsPending) {
  world_.planner = [](const TaskName&) {
    return RunPlan{.need = Resources{.millicores = 100'000, .memory_mib = 100}};
  };
  JobRecord record{.queue = "queue", .service = "service", .cell = CellId("dc0/0"), .moves = 1};
  record.spec = MakeJob("j", 1);
  record.carried_progress.tasks = {TaskProgress{.run = 3}};
  world_.store.Handle(
      WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + "j", Encode(record), 0}}},
      world_.now(), [](const StoreReply&) {});
  world_.Run(Millis(6'000));
  constexpr int32_t kSamples = 40;
  std::map<std::string, int32_t> exact;

  // The job moves on and on. Just after a move, its former cell's report still contains it.
  for (int32_t sample = 0; sample < kSamples; ++sample) {
    world_.Run(Millis(50));

    for (const std::string& entry : entries_) {
      const int64_t count = QueryCount(entry).value_or(0);
      EXPECT_GE(count, 1) << entry;
      if (count == 1) ++exact[entry];
    }
  }

  for (const std::string& entry : entries_) EXPECT_GT(exact[entry], kSamples / 2) << entry;
}

TEST_F(PendingJobCount, JobsUnknownToAnOwnerFarBehindTheStoreArePending) {
  FillWorkers();
  const std::string owner = OwnerOfCell("dc0/0");
  world_.SlowWatches(owner, Millis(12'000));
  world_.Run(Millis(3'000));
  PutJobs("dc0/0");
  world_.Run(Millis(5'000));

  for (const std::string& entry : entries_) {
    if (entry == owner) continue;
    EXPECT_GE(QueryCount(entry).value_or(0), kJobs) << entry;
  }
}

TEST_F(PendingJobCount, JobsAcceptedAfterTheLastReportOfADeadOwnerArePending) {
  FillWorkers();
  const std::string owner = OwnerOfCell("dc0/0");
  // A successor lists the records before it opens the cell.
  for (const std::string& entry : entries_) world_.SlowLists(entry, Millis(4'000));
  PutJobs("dc0/0");
  world_.Run(Millis(10));
  world_.Kill(owner);
  world_.Run(Millis(5'000));

  for (int round = 0; round < 20; ++round) {
    world_.Run(Millis(50));

    for (const std::string& entry : entries_) {
      if (entry == owner) continue;
      EXPECT_GE(QueryCount(entry).value_or(0), kJobs) << entry;
    }
  }
}

TEST_F(PendingJobCount, EndedJobsAreNotPending) {
  world_.planner = [](const TaskName&) {
    return RunPlan{.need = Resources{.millicores = 100, .memory_mib = 100}};
  };
  for (int64_t job = 0; job < kJobs; ++job) {
    world_.Submit("e0", MakeJob("j" + std::to_string(job), 1, 100));
  }
  world_.Run(Millis(10'000));
  for (const std::string& entry : entries_) EXPECT_EQ(QueryCount(entry), 0) << entry;

  for (const std::string& entry : entries_) world_.Kill(entry);
  world_.Run(Millis(3'000));
  for (const std::string& entry : entries_) world_.Start(entry);

  for (int round = 0; round < 100; ++round) {
    world_.Run(Millis(100));
    for (const std::string& entry : entries_) EXPECT_EQ(QueryCount(entry).value_or(0), 0) << entry;
  }
}

TEST_F(PendingJobCount, AReportWhoseWriteWasLostIsWrittenAgain) {
  FillWorkers();
  const std::set<std::string> owners = {OwnerOfCell("dc0/0"), OwnerOfCell("dc1/0")};
  const auto other = std::ranges::find_if(
      entries_, [&](const std::string& entry) { return !owners.contains(entry); });
  ASSERT_NE(other, entries_.end());

  // The cuts start 0 to 650 ms after the cancellation, so that one of them hits the report that is
  // due then.
  for (int64_t round = 0; round < 14; ++round) {
    const std::string id = "j" + std::to_string(round);
    world_.Submit(*other, MakeJob(id, 1));
    world_.Run(Millis(4'000));
    EXPECT_EQ(QueryCount(*other), 1) << id;

    world_.Cancel(*other, id);
    world_.Run(Millis(50 * round));
    for (const std::string& owner : owners) world_.Cut(owner, "store");
    world_.Run(Millis(100));
    world_.Reconnect();
    world_.Run(Millis(5'000));
    EXPECT_EQ(QueryCount(*other), 0) << id;
  }
}

TEST_F(PendingJobCount, AStartedJobIsNotPending) {
  world_.planner = [](const TaskName&) {
    return RunPlan{.never_ends = true, .need = Resources{.millicores = 1'000, .memory_mib = 100}};
  };
  SubmitJobs();
  world_.Run(Millis(2'500));

  for (const std::string& entry : entries_)
    EXPECT_EQ(QueryCount(entry).value_or(kJobs), 0) << entry;
}

}  // namespace
}  // namespace currantpost::scheduler
