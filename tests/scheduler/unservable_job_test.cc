#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "world.h"

/// Which submissions of long-running jobs are refused because their tasks could not start.

namespace currantpost::scheduler {
namespace {

/// Time after which a shortage has lasted long enough that new long-running jobs are refused.
constexpr Millis kShortage = Millis(5'000);
constexpr Millis kMaxStart = Millis(1'000);
constexpr Millis kMaxRetryAfter = Millis(60'000);
/// The store carries out a write this long after it was sent.
constexpr Millis kLateWrite = Millis(6'000);
/// Every late write was carried out after this time, and its job has started.
constexpr Millis kAllWritesDone = Millis(12'000);
constexpr int32_t kWorkers = 9;
constexpr int64_t kWorkerNeed = 8'000;
constexpr int64_t kHalfNeed = 4'000;
constexpr int64_t kShortNeed = 1'000;

/// Two entries and one cell of nine workers with eight cores each.
class UnservableJob : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [](const TaskName& name) {
      return RunPlan{.duration = Millis(500),
                     .never_ends = name.job.Text().starts_with("long"),
                     .need = Resources{.millicores = 100, .memory_mib = 100}};
    };
    world_.Run(Millis(5'000));
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  static JobSpec MakeSpec(const std::string& id, int32_t tasks, int64_t millicores) {
    JobSpec spec = MakeJob(id, tasks, millicores);
    spec.steps[0].is_long_running = id.starts_with("long");
    return spec;
  }

  static JobRecord MakeRecord(const JobSpec& spec) {
    JobRecord record{
        .queue = "queue", .service = "service", .max_attempts = 50, .cell = CellId("dc0/0")};
    record.spec = spec;
    return record;
  }

  /// Writes a job as an entry does that accepts it.
  void Store(const JobRecord& record) {
    const std::string key = std::string(kJobPrefix) + record.spec.job.Text();
    world_.store.Handle(WriteRecords{.puts = {RecordPut{key, Encode(record), 0}}}, world_.now(),
                        [](const StoreReply&) {});
  }

  /// Starts long-running jobs of one task, each on a worker of its own.
  void Fill(int32_t workers) {
    for (int32_t number = 0; number < workers; ++number) {
      Store(MakeRecord(MakeSpec("long-fills" + std::to_string(number), 1, kWorkerNeed)));
    }
    world_.Run(kMaxStart);
  }

  /// Adds a long-running task that has run before and waits.
  void AddInterrupted(const std::string& id, int64_t millicores, const std::string& label = {}) {
    JobRecord record = MakeRecord(MakeSpec(id, 1, millicores));
    record.spec.steps[0].worker_label = label;
    record.carried_progress.tasks = {TaskProgress{.run = 1}};
    Store(record);
  }

  /// Fills all workers, and lets an interrupted task wait for so long that new jobs are refused.
  void MakeShortage() {
    Fill(kWorkers);
    AddInterrupted("long-interrupted", kWorkerNeed);
    world_.Run(kShortage);
  }

  /// Submits a job and returns its answer if there is exactly one new answer in time.
  std::optional<AnswerCaller> Submit(const JobSpec& spec, const std::string& entry = "e0") {
    const std::vector<AnswerCaller>& answers = world_.answers[spec.job.Text()];
    const size_t before = answers.size();
    world_.Submit(entry, spec);
    world_.Run(kMaxStart);
    if (answers.size() != before + 1) return std::nullopt;
    return answers.back();
  }

  std::optional<CallerOutcome> OutcomeOf(const JobSpec& spec, const std::string& entry = "e0") {
    const std::optional<AnswerCaller> answer = Submit(spec, entry);
    return answer ? std::optional(answer->outcome) : std::nullopt;
  }

  size_t Running(const std::string& job) const { return world_.WorkersOf(job).size(); }

  bool HasStarted(const std::string& job) const {
    return std::ranges::any_of(world_.starts,
                               [&](const auto& row) { return row.first.job == JobId(job); });
  }

  World world_{WorldShape{.entries = 2, .racks = 1, .workers_per_rack = kWorkers}};
};

// Guards against long-running jobs that were accepted while new tasks yield to interrupted ones.
TEST_F(UnservableJob, IsRefusedWhileNewTasksYieldAndNeverStarts) {
  MakeShortage();
  EXPECT_EQ(OutcomeOf(MakeSpec("long-new", 1, kHalfNeed)), CallerOutcome::kRefused);
  EXPECT_EQ(OutcomeOf(MakeSpec("long-other", 1, kHalfNeed), "e1"), CallerOutcome::kRefused);

  for (int32_t number = 0; number < kWorkers; ++number) {
    world_.Cancel("e0", "long-fills" + std::to_string(number));
  }
  world_.Run(kAllWritesDone);
  EXPECT_FALSE(HasStarted("long-new"));
  EXPECT_FALSE(HasStarted("long-other"));
}

TEST_F(UnservableJob, IsRefusedIfItHasFittedOnNoWorkerForSeconds) {
  Fill(kWorkers);
  world_.Run(kShortage * 2);
  EXPECT_EQ(OutcomeOf(MakeSpec("long-new", 1, kHalfNeed)), CallerOutcome::kRefused);

  world_.Cancel("e0", "long-fills0");
  world_.Run(kMaxStart);
  EXPECT_EQ(OutcomeOf(MakeSpec("long-later", 1, kHalfNeed)), CallerOutcome::kAccepted);
  EXPECT_EQ(Running("long-later"), 1U);
}

TEST_F(UnservableJob, IsAcceptedWhereThereIsRoomBesideInterruptedTasks) {
  AddInterrupted("long-interrupted", kHalfNeed, "missing");
  world_.Run(kShortage);
  EXPECT_EQ(OutcomeOf(MakeSpec("long-new", 1, kHalfNeed)), CallerOutcome::kAccepted);
  EXPECT_EQ(Running("long-new"), 1U);
}

TEST_F(UnservableJob, IsAcceptedAgainOnceInterruptedTasksHaveTheirWorkers) {
  MakeShortage();
  ASSERT_EQ(OutcomeOf(MakeSpec("long-new", 1, kHalfNeed)), CallerOutcome::kRefused);

  for (const char* job : {"long-fills0", "long-fills1"}) world_.Cancel("e0", job);
  world_.Run(Millis(2'000));
  ASSERT_EQ(Running("long-interrupted"), 1U);
  EXPECT_EQ(OutcomeOf(MakeSpec("long-later", 1, kHalfNeed)), CallerOutcome::kAccepted);
  EXPECT_EQ(Running("long-later"), 1U);
}

TEST_F(UnservableJob, IsAcceptedAtTheTimeThatItsCallerWasTold) {
  MakeShortage();
  const JobSpec spec = MakeSpec("long-new", 1, kHalfNeed);
  const std::optional<AnswerCaller> answer = Submit(spec);
  ASSERT_TRUE(answer.has_value());
  ASSERT_EQ(answer->outcome, CallerOutcome::kRefused);

  for (const char* job : {"long-fills0", "long-fills1"}) world_.Cancel("e0", job);
  world_.Run(answer->retry_after);
  EXPECT_EQ(OutcomeOf(spec), CallerOutcome::kAccepted);
  EXPECT_EQ(Running("long-new"), 1U);
}

TEST_F(UnservableJob, HasABoundedRetryTimeThatDiffersBetweenCallers) {
  constexpr int32_t kJobs = 20;
  constexpr size_t kMinTimes = 4;
  MakeShortage();

  std::set<int64_t> seconds;
  for (int32_t number = 0; number < kJobs; ++number) {
    const std::string id = "long-new" + std::to_string(number);
    const std::optional<AnswerCaller> answer = Submit(MakeSpec(id, 1, kHalfNeed));
    ASSERT_TRUE(answer.has_value());
    ASSERT_EQ(answer->outcome, CallerOutcome::kRefused);
    EXPECT_GE(answer->retry_after, Millis(1'000));
    EXPECT_LE(answer->retry_after, kMaxRetryAfter);
    seconds.insert((answer->retry_after.Count() + 999) / 1'000);
  }
  EXPECT_GE(seconds.size(), kMinTimes);
}

TEST_F(UnservableJob, ShortJobsAreAcceptedDuringAShortage) {
  MakeShortage();
  EXPECT_EQ(OutcomeOf(MakeSpec("short", 2, kShortNeed)), CallerOutcome::kAccepted);
}

// Guards against callers who were told that a stored job was not accepted.
TEST_F(UnservableJob, ARetryOfAStoredJobIsAccepted) {
  const JobSpec spec = MakeSpec("long-stored", 1, kHalfNeed);
  ASSERT_EQ(OutcomeOf(spec), CallerOutcome::kAccepted);
  MakeShortage();
  EXPECT_EQ(OutcomeOf(spec, "e0"), CallerOutcome::kAccepted);
  EXPECT_EQ(OutcomeOf(spec, "e1"), CallerOutcome::kAccepted);
}

// Guards against the same where the copy of the records doesn't have the job yet.
TEST_F(UnservableJob, ARetryOfAJobThatWasJustStoredIsAccepted) {
  MakeShortage();
  const JobSpec spec = MakeSpec("long-stored", 1, kHalfNeed);
  Store(MakeRecord(spec));
  EXPECT_EQ(OutcomeOf(spec, "e1"), CallerOutcome::kAccepted);
}

// Guards against a refused job that ran, as an earlier attempt at another entry was stored late.
TEST_F(UnservableJob, DoesNotRunAfterItsRefusalByALateWriteOfAnEarlierAttempt) {
  const JobSpec spec = MakeSpec("long-late", 1, kHalfNeed);
  Fill(kWorkers);
  AddInterrupted("long-interrupted", kWorkerNeed);
  world_.Run(Millis(100));
  world_.DelayWrites("e0", std::string(kJobPrefix) + "long-late", kLateWrite);
  world_.Submit("e0", spec);
  world_.Run(kShortage);
  const std::optional<AnswerCaller> answer = Submit(spec, "e1");
  ASSERT_TRUE(answer.has_value());
  ASSERT_EQ(answer->outcome, CallerOutcome::kRefused);

  for (int32_t number = 0; number < kWorkers; ++number) {
    world_.Cancel("e1", "long-fills" + std::to_string(number));
  }
  world_.Run(kAllWritesDone);
  EXPECT_FALSE(HasStarted("long-late"));
}

TEST_F(UnservableJob, IsAcceptedByAnEntryWhoseReportsAreOld) {
  constexpr Millis kOld = Millis(8'000);
  world_.SlowWatches("e1", kOld);
  MakeShortage();
  world_.Run(kOld);
  EXPECT_EQ(OutcomeOf(MakeSpec("long-new", 1, kHalfNeed), "e1"), CallerOutcome::kAccepted);
}

TEST_F(UnservableJob, IsAcceptedIfAnInterruptionHasJustBegun) {
  Fill(kWorkers);
  AddInterrupted("long-interrupted", kHalfNeed);
  world_.Run(Millis(900));
  EXPECT_EQ(OutcomeOf(MakeSpec("long-new", 1, kHalfNeed)), CallerOutcome::kAccepted);
}

}  // namespace
}  // namespace currantpost::scheduler
