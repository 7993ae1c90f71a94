#include <gtest/gtest.h>

#include "run_audit.h"

/// Checks that the audit of hand-overs reports each violation, and reports nothing else.

namespace currantpost::scheduler {
namespace {

class RunAuditTest : public testing::Test {
 protected:
  void SetUp() override {
    world_.on_answer = [this](const ObservedAnswer& caller_answer) {
      audit_.RecordAnswer(caller_answer);
    };
    world_.planner = [this](const TaskName& name) {
      return RunPlan{.never_ends = name.job == JobId("job"), .need = need_};
    };
    world_.Run(Millis(3'500));
  }

  void StartLongRunning(int64_t millicores) {
    need_ = Resources{.millicores = millicores, .memory_mib = 100};
    JobSpec spec = MakeJob("job", 1, millicores);
    spec.steps[0].is_long_running = true;
    world_.Submit("e0", spec);
    Run(Millis(6'000));
    ASSERT_EQ(world_.WorkersOf("job").size(), 1U);
    ASSERT_EQ(findings_, std::vector<std::string>());
  }

  /// Kills all entries, so that no task can be started.
  void KillEntries() {
    for (const char* entry : {"e0", "e1"}) {
      world_.Kill(entry);
      world_.MarkPermanentlyDown(entry);
    }
    world_.RecordDisruption();
  }

  void CrashTaskWorker() {
    const std::string worker = world_.WorkersOf("job").front();
    world_.CrashWorker(worker);
    world_.MarkPermanentlyDown(worker);
  }

  void Run(Millis span) {
    for (Millis passed; passed < span; passed = passed + Millis(100)) {
      world_.Run(Millis(100));
      audit_.Check();
    }
  }

  [[nodiscard]] SimWorker& Worker(int32_t number) {
    return world_.worker("wr0-0-" + std::to_string(number));
  }

  Resources need_;
  World world_{WorldShape{.entries = 2, .racks = 1, .workers_per_rack = 3}};
  std::vector<std::string> findings_;
  RunAudit audit_{
      world_, [this](const std::string& check, const std::string&) { findings_.push_back(check); }};
};

using Findings = std::vector<std::string>;
const TaskName kTask{JobId("job")};

TEST_F(RunAuditTest, ReportsALongRunningTaskThatStaysDownWithoutDisruption) {
  StartLongRunning(1'000);
  KillEntries();
  CrashTaskWorker();
  Run(Millis(8'900));
  EXPECT_EQ(findings_, Findings());

  Run(Millis(300));
  EXPECT_EQ(findings_, Findings{"LOST"});
}

TEST_F(RunAuditTest, ReportsALongRunningTaskOfAWorkerThatDrainedAndLeft) {
  StartLongRunning(1'000);
  KillEntries();
  const std::string worker = world_.WorkersOf("job").front();
  world_.DrainWorker(worker);
  Run(Millis(2'000));
  world_.LeaveWorker(worker);
  Run(Millis(8'900));
  EXPECT_EQ(findings_, Findings());
  EXPECT_GT(world_.UndisruptedTime(), Millis(10'000));

  Run(Millis(300));
  EXPECT_EQ(findings_, Findings{"LOST"});
}

TEST_F(RunAuditTest, ReportsALongRunningTaskThatNeverStarts) {
  JobSpec spec = MakeJob("job", 1);
  spec.steps[0].is_long_running = true;
  world_.submitted[spec.job] = spec;
  audit_.RecordAnswer(
      ObservedAnswer{.subject = "job", .answer = {.outcome = CallerOutcome::kAccepted}});
  Run(Millis(9'300));
  EXPECT_EQ(findings_, Findings{"LOST"});
}

TEST_F(RunAuditTest, ReportsNoLostTaskBeforeSevenSecondsWithoutDisruption) {
  StartLongRunning(1'000);
  KillEntries();
  CrashTaskWorker();

  for (int32_t round = 0; round < 4; ++round) {
    Run(Millis(6'800));
    world_.RecordDisruption();
  }
  EXPECT_EQ(findings_, Findings());

  Run(Millis(7'300));
  EXPECT_EQ(findings_, Findings{"LOST"});
}

TEST_F(RunAuditTest, ReportsNoLostTaskWithoutRoomForTwoCopies) {
  StartLongRunning(5'000);
  KillEntries();
  CrashTaskWorker();
  for (const std::string& id : world_.Workers()) {
    if (!world_.worker(id).up) continue;
    world_.worker(id).info().draining = true;
    break;
  }
  Run(Millis(12'000));
  EXPECT_EQ(findings_, Findings());
}

TEST_F(RunAuditTest, ReportsNoLostTaskOfACancelledJob) {
  StartLongRunning(1'000);
  KillEntries();
  CrashTaskWorker();
  world_.cancel_sent_at[JobId("job")] = world_.now();
  Run(Millis(12'000));
  EXPECT_EQ(findings_, Findings());
}

TEST_F(RunAuditTest, ReportsNothingIfTheTaskRestarts) {
  StartLongRunning(1'000);
  CrashTaskWorker();
  Run(Millis(20'000));
  EXPECT_EQ(findings_, Findings());
  EXPECT_EQ(audit_.restarts, 1);
  EXPECT_GT(audit_.max_absence, Millis(1'000));
  EXPECT_TRUE(audit_.IsSettled());
}

TEST_F(RunAuditTest, ReportsUnsettledJobsAtTheEnd) {
  StartLongRunning(1'000);
  world_.Submit("e0", MakeJob("short", 1));
  Run(Millis(100));
  EXPECT_FALSE(audit_.IsSettled());
  KillEntries();
  CrashTaskWorker();
  audit_.CheckEnd();
  EXPECT_EQ(findings_, (Findings{"doesn't run at the end", "not completed at the end"}));
}

/// Tests the checks of `World` for tasks that run twice. Most runs here are only reported, not
/// started at a worker.
class DuplicateRunTest : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [](const TaskName&) { return RunPlan{.never_ends = true}; };
  }

  void Start(int32_t worker, scheduler::Run run) {
    StartTask order;
    order.task = kTask;
    order.run = run;
    order.lease_until_ms = world_.now().Count() + 5'000;
    Worker(worker).Handle(0, order, world_.now(), [](const WorkerReply&) {});
  }
  void ReportStart(int32_t worker, scheduler::Run run) { Worker(worker).on_start(kTask, run); }
  void ReportDone(int32_t worker) { Worker(worker).on_end(kTask, RunEnd::kDone); }
  void ReportForgotten(int32_t worker, scheduler::Run run, RunEnd end, bool lease_expired) {
    Worker(worker).on_forget(EndedTask{1, kTask, run, end, ""}, lease_expired);
  }
  [[nodiscard]] SimWorker& Worker(int32_t number) {
    return world_.worker("wr0-0-" + std::to_string(number));
  }

  World world_{WorldShape{.entries = 2, .racks = 1, .workers_per_rack = 3}};
};

TEST_F(DuplicateRunTest, ReportsAStartAfterARecordedEnd) {
  ReportStart(0, 1);
  ReportDone(0);
  ReportForgotten(0, 1, RunEnd::kDone, false);
  EXPECT_TRUE(world_.violations.empty());
  ReportStart(1, 2);
  ASSERT_EQ(world_.violations.size(), 1U);
  EXPECT_NE(world_.violations[0].find("started after done"), std::string::npos);
}

TEST_F(DuplicateRunTest, ReportsAStartBeforeTheEndOnceTheEndIsRecorded) {
  ReportStart(0, 1);
  ReportDone(0);
  ReportStart(1, 2);
  EXPECT_TRUE(world_.violations.empty());
  ReportForgotten(0, 1, RunEnd::kDone, false);
  ASSERT_EQ(world_.violations.size(), 1U);
  EXPECT_NE(world_.violations[0].find("noted later"), std::string::npos);
}

TEST_F(DuplicateRunTest, AllowsTheEndOfTheLastRun) {
  ReportStart(0, 1);
  Worker(0).on_end(kTask, RunEnd::kStopped);
  ReportForgotten(0, 1, RunEnd::kStopped, false);
  ReportStart(1, 2);
  ReportDone(1);
  ReportForgotten(1, 2, RunEnd::kDone, false);
  EXPECT_EQ(world_.violations, Findings());
}

TEST_F(DuplicateRunTest, AllowsAStartAfterAnEndWithAnExpiredLease) {
  ReportStart(0, 1);
  ReportDone(0);
  ReportStart(1, 2);
  ReportForgotten(0, 1, RunEnd::kDone, true);
  ReportStart(2, 3);
  EXPECT_EQ(world_.violations, Findings());
}

TEST_F(DuplicateRunTest, ReportsTwoConcurrentRuns) {
  Start(0, 1);
  EXPECT_EQ(world_.violations, Findings());
  Start(1, 2);
  ASSERT_EQ(world_.violations.size(), 1U);
  EXPECT_NE(world_.violations[0].find("runs twice"), std::string::npos);
}

TEST_F(DuplicateRunTest, IgnoresARunOnACrashedWorker) {
  Start(0, 1);
  world_.CrashWorker("wr0-0-0");
  Start(1, 2);
  EXPECT_EQ(world_.violations, Findings());
}

}  // namespace
}  // namespace currantpost::scheduler
