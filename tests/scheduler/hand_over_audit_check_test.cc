#include <gtest/gtest.h>

#include "run_audit.h"

/// The audit of hand-overs finds what must never be.

namespace currantpost::scheduler {
namespace {

class RunAuditTest : public testing::Test {
 protected:
  void SetUp() override {
    world_.on_answer = [this](const Told& told) { audit_.Take(told); };
    world_.planner = [this](const TaskName& name) {
      return RunPlan{.lasts = name.job == JobId("job"), .need = need_};
    };
    world_.Run(Millis(3'500));
  }

  void StartLasting(int64_t millicores) {
    need_ = Resources{.millicores = millicores, .memory_mib = 100};
    JobSpec spec = MakeJob("job", 1, millicores);
    spec.steps[0].lasting = true;
    world_.Submit("e0", spec);
    Run(Millis(6'000));
    ASSERT_EQ(world_.WorkersOf("job").size(), 1U);
    ASSERT_EQ(found_, std::vector<std::string>());
  }

  /// Nobody is left to start anything.
  void KillEntries() {
    for (const char* entry : {"e0", "e1"}) {
      world_.Kill(entry);
      world_.Forsake(entry);
    }
    world_.Disrupt();
  }

  void LoseTask() {
    const std::string worker = world_.WorkersOf("job").front();
    world_.CrashWorker(worker);
    world_.Forsake(worker);
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
  std::vector<std::string> found_;
  RunAudit audit_{
      world_, [this](const std::string& check, const std::string&) { found_.push_back(check); }};
};

using Found = std::vector<std::string>;
const TaskName kTask{JobId("job")};

TEST_F(RunAuditTest, FindsALastingTaskThatIsAwayInCalm) {
  StartLasting(1'000);
  KillEntries();
  LoseTask();
  Run(Millis(8'900));
  EXPECT_EQ(found_, Found());

  Run(Millis(300));
  EXPECT_EQ(found_, Found{"LOST"});
}

TEST_F(RunAuditTest, FindsALastingTaskOfAWorkerThatLeftAsPlanned) {
  StartLasting(1'000);
  KillEntries();
  const std::string worker = world_.WorkersOf("job").front();
  world_.DrainWorker(worker);
  Run(Millis(2'000));
  world_.LeaveWorker(worker);
  Run(Millis(8'900));
  EXPECT_EQ(found_, Found());
  EXPECT_GT(world_.Calm(), Millis(10'000));

  Run(Millis(300));
  EXPECT_EQ(found_, Found{"LOST"});
}

TEST_F(RunAuditTest, FindsALastingTaskThatNeverBegins) {
  JobSpec spec = MakeJob("job", 1);
  spec.steps[0].lasting = true;
  world_.submitted[spec.job] = spec;
  audit_.Take(Told{.subject = "job", .answer = {.outcome = CallerOutcome::kAccepted}});
  Run(Millis(9'300));
  EXPECT_EQ(found_, Found{"LOST"});
}

TEST_F(RunAuditTest, FindsNothingLostUntilItIsCalmForSevenSeconds) {
  StartLasting(1'000);
  KillEntries();
  LoseTask();

  for (int32_t round = 0; round < 4; ++round) {
    Run(Millis(6'800));
    world_.Disrupt();
  }
  EXPECT_EQ(found_, Found());

  Run(Millis(7'300));
  EXPECT_EQ(found_, Found{"LOST"});
}

TEST_F(RunAuditTest, FindsNothingLostWithoutRoomForTwo) {
  StartLasting(5'000);
  KillEntries();
  LoseTask();
  for (const std::string& id : world_.Workers()) {
    if (!world_.worker(id).up) continue;
    world_.worker(id).info().draining = true;
    break;
  }
  Run(Millis(12'000));
  EXPECT_EQ(found_, Found());
}

TEST_F(RunAuditTest, FindsNothingLostOnceTheJobIsCancelled) {
  StartLasting(1'000);
  KillEntries();
  LoseTask();
  world_.cancel_sent_at[JobId("job")] = world_.now();
  Run(Millis(12'000));
  EXPECT_EQ(found_, Found());
}

TEST_F(RunAuditTest, FindsNothingWhereTheTaskComesBack) {
  StartLasting(1'000);
  LoseTask();
  Run(Millis(20'000));
  EXPECT_EQ(found_, Found());
  EXPECT_EQ(audit_.restarts, 1);
  EXPECT_GT(audit_.longest_absence, Millis(1'000));
  EXPECT_TRUE(audit_.IsSettled());
}

TEST_F(RunAuditTest, FindsWhatIsNotSettledAtTheEnd) {
  StartLasting(1'000);
  world_.Submit("e0", MakeJob("short", 1));
  Run(Millis(100));
  EXPECT_FALSE(audit_.IsSettled());
  KillEntries();
  LoseTask();
  audit_.CheckEnd();
  EXPECT_EQ(found_, (Found{"doesn't run at the end", "not completed at the end"}));
}

/// The world's own checks of what runs twice, with runs that workers only report.
class RunsTwice : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [](const TaskName&) { return RunPlan{.lasts = true}; };
  }

  void Start(int32_t worker, scheduler::Run run) {
    StartTask order;
    order.task = kTask;
    order.run = run;
    order.lease_until_ms = world_.now().Count() + 5'000;
    Worker(worker).Handle(0, order, world_.now(), [](const WorkerReply&) {});
  }
  void Begin(int32_t worker, scheduler::Run run) { Worker(worker).on_start(kTask, run); }
  void EndDone(int32_t worker) { Worker(worker).on_end(kTask, RunEnd::kDone); }
  void Forget(int32_t worker, scheduler::Run run, RunEnd end, bool lapsed) {
    Worker(worker).on_forget(EndedTask{1, kTask, run, end, ""}, lapsed);
  }
  [[nodiscard]] SimWorker& Worker(int32_t number) {
    return world_.worker("wr0-0-" + std::to_string(number));
  }

  World world_{WorldShape{.entries = 2, .racks = 1, .workers_per_rack = 3}};
};

TEST_F(RunsTwice, AStartAfterAnEndThatWasNotedIsFound) {
  Begin(0, 1);
  EndDone(0);
  Forget(0, 1, RunEnd::kDone, false);
  EXPECT_TRUE(world_.violations.empty());
  Begin(1, 2);
  ASSERT_EQ(world_.violations.size(), 1U);
  EXPECT_NE(world_.violations[0].find("started after done"), std::string::npos);
}

TEST_F(RunsTwice, AStartBeforeTheEndIsNotedIsFoundThen) {
  Begin(0, 1);
  EndDone(0);
  Begin(1, 2);
  EXPECT_TRUE(world_.violations.empty());
  Forget(0, 1, RunEnd::kDone, false);
  ASSERT_EQ(world_.violations.size(), 1U);
  EXPECT_NE(world_.violations[0].find("noted later"), std::string::npos);
}

TEST_F(RunsTwice, TheEndOfTheLastRunIsNoneTooMany) {
  Begin(0, 1);
  Worker(0).on_end(kTask, RunEnd::kStopped);
  Forget(0, 1, RunEnd::kStopped, false);
  Begin(1, 2);
  EndDone(1);
  Forget(1, 2, RunEnd::kDone, false);
  EXPECT_EQ(world_.violations, Found());
}

TEST_F(RunsTwice, AnEndWhoseLeaseLapsedBindsNobody) {
  Begin(0, 1);
  EndDone(0);
  Begin(1, 2);
  Forget(0, 1, RunEnd::kDone, true);
  Begin(2, 3);
  EXPECT_EQ(world_.violations, Found());
}

TEST_F(RunsTwice, TwoRunsAtTheSameTimeAreFound) {
  Start(0, 1);
  EXPECT_EQ(world_.violations, Found());
  Start(1, 2);
  ASSERT_EQ(world_.violations.size(), 1U);
  EXPECT_NE(world_.violations[0].find("runs twice"), std::string::npos);
}

TEST_F(RunsTwice, ARunOnAWorkerThatCrashedCountsNoMore) {
  Start(0, 1);
  world_.CrashWorker("wr0-0-0");
  Start(1, 2);
  EXPECT_EQ(world_.violations, Found());
}

}  // namespace
}  // namespace currantpost::scheduler
