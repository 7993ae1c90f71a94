#include <gtest/gtest.h>

#include "world.h"

/// The lifecycle of a job: acceptance, start, end, answers about its state, and cancellation.

namespace currantpost::scheduler {
namespace {

class JobLifecycle : public testing::Test {
 protected:
  void SetUp() override { world_.Run(Millis(3'500)); }
  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  World world_{WorldShape{}};
};

TEST_F(JobLifecycle, AcceptsAndCompletesAJob) {
  world_.Submit("e0", MakeJob("a", 5));
  world_.Run(Millis(2'000));

  ASSERT_EQ(world_.answers["a"].size(), 1U);
  EXPECT_EQ(world_.answers["a"][0].outcome, CallerOutcome::kAccepted);
  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
  EXPECT_EQ(world_.starts.size(), 5U);
}

TEST_F(JobLifecycle, AnEndedJobLeavesASmallRecordThatStillAnswers) {
  JobSpec spec = MakeJob("a", 2);
  spec.payload = std::string(4'000, 'x');
  world_.Submit("e0", spec);
  world_.Run(Millis(2'000));
  ASSERT_EQ(world_.Phase("a"), JobPhase::kCompleted);

  constexpr size_t kMaxEndedRecordBytes = 200;
  EXPECT_LT(world_.store.Value(std::string(kJobPrefix) + "a")->size(), kMaxEndedRecordBytes);

  for (const char* entry : {"e0", "e1", "e2"}) world_.Kill(entry);
  world_.Run(Millis(3'000));
  for (const char* entry : {"e0", "e1", "e2"}) world_.Start(entry);
  world_.Run(Millis(3'000));
  world_.answers.clear();

  for (const char* entry : {"e0", "e1", "e2"}) {
    world_.RequestStatus(entry, "a");
    world_.Run(Millis(500));
    world_.Submit(entry, spec);
    world_.Run(Millis(500));
  }
  world_.Cancel("e1", "a");
  world_.Run(Millis(1'000));

  ASSERT_EQ(world_.answers["a"].size(), 7U);
  for (size_t number = 0; number < 6; number += 2) {
    EXPECT_EQ(world_.answers["a"][number].phase, JobPhase::kCompleted);
    EXPECT_EQ(world_.answers["a"][number + 1].outcome, CallerOutcome::kAccepted);
  }
  EXPECT_EQ(world_.answers["a"][6].outcome, CallerOutcome::kCancelled);
  for (const auto& [name, count] : world_.starts) EXPECT_EQ(count, 1) << name.index;
}

TEST_F(JobLifecycle, StartsEachTaskOnce) {
  world_.Submit("e1", MakeJob("a", 12));
  world_.Run(Millis(3'000));

  for (const auto& [name, count] : world_.starts) EXPECT_EQ(count, 1) << name.index;
}

TEST_F(JobLifecycle, AnswersARepeatedSubmissionAlike) {
  for (const char* entry : {"e0", "e1", "e2", "e0"}) {
    world_.Submit(entry, MakeJob("a", 2));
    world_.Run(Millis(20));
  }
  world_.Run(Millis(2'000));

  ASSERT_EQ(world_.answers["a"].size(), 4U);
  for (const auto& answer : world_.answers["a"]) {
    EXPECT_EQ(answer.outcome, CallerOutcome::kAccepted);
  }
  EXPECT_EQ(world_.starts.size(), 2U);
}

TEST_F(JobLifecycle, KeepsTheOrderOfSteps) {
  JobSpec spec = MakeJob("a", 3);
  spec.steps.push_back(spec.steps.front());
  spec.steps.back().after = {0};
  std::vector<TaskName> order;
  world_.planner = [&](const TaskName& name) {
    order.push_back(name);
    return RunPlan{.need = Resources{.millicores = 1'000}};
  };
  world_.Submit("e0", spec);
  world_.Run(Millis(400));
  for (const TaskName& name : order) EXPECT_EQ(name.step, 0);

  world_.Run(Millis(3'000));
  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
}

TEST_F(JobLifecycle, CancelsRunningTasks) {
  world_.planner = [](const TaskName&) { return RunPlan{.never_ends = true}; };
  JobSpec spec = MakeJob("a", 3);
  spec.steps[0].is_long_running = true;
  world_.Submit("e0", spec);
  world_.Run(Millis(1'000));
  EXPECT_EQ(world_.WorkersOf("a").size(), 3U);

  world_.Cancel("e1", "a");
  world_.Run(Millis(2'000));
  EXPECT_EQ(world_.answers["a"].back().outcome, CallerOutcome::kCancelled);
  EXPECT_TRUE(world_.WorkersOf("a").empty());
  EXPECT_EQ(world_.Phase("a"), JobPhase::kCancelled);
}

TEST_F(JobLifecycle, ReportsNoSuchJobForAnUnknownId) {
  world_.RequestStatus("e0", "none");
  world_.Cancel("e1", "none");
  world_.Run(Millis(500));

  ASSERT_EQ(world_.answers["none"].size(), 2U);
  for (const auto& answer : world_.answers["none"]) {
    EXPECT_EQ(answer.outcome, CallerOutcome::kNoSuchJob);
  }
}

TEST_F(JobLifecycle, FailsAJobWhoseTaskIsOutOfAttempts) {
  world_.planner = [](const TaskName& name) {
    return RunPlan{.duration = Millis(100),
                   .end = name.index == 1 ? RunEnd::kFailed : RunEnd::kDone};
  };
  world_.Submit("e0", MakeJob("a", 3));
  world_.Run(Millis(20'000));

  EXPECT_EQ(world_.Phase("a"), JobPhase::kFailed);
  EXPECT_EQ((world_.starts[TaskName{JobId("a"), 0, 0, 1}]), 3);
}

TEST_F(JobLifecycle, RestartsALongRunningTaskAfterAnyEnd) {
  int32_t runs = 0;
  world_.planner = [&](const TaskName&) {
    ++runs;
    return RunPlan{.duration = Millis(300), .end = RunEnd::kFailed, .never_ends = runs > 6};
  };
  JobSpec spec = MakeJob("a", 1);
  spec.steps[0].is_long_running = true;
  world_.Submit("e0", spec);
  world_.Run(Millis(30'000));

  EXPECT_EQ(world_.WorkersOf("a").size(), 1U);
  EXPECT_EQ(world_.Phase("a"), JobPhase::kActive);
}

TEST_F(JobLifecycle, NeverExceedsAWorkersCapacity) {
  world_.planner = [](const TaskName&) {
    return RunPlan{.duration = Millis(700),
                   .need = Resources{.millicores = 3'000, .memory_mib = 100}};
  };
  for (int job = 0; job < 6; ++job) {
    world_.Submit("e" + std::to_string(job % 3), MakeJob("j" + std::to_string(job), 7, 3'000));
  }
  world_.Run(Millis(20'000));

  for (int job = 0; job < 6; ++job) {
    EXPECT_EQ(world_.Phase("j" + std::to_string(job)), JobPhase::kCompleted);
  }
}

TEST_F(JobLifecycle, RespectsTheLimitPerWorker) {
  world_.planner = [](const TaskName&) { return RunPlan{.duration = Millis(1'500)}; };
  JobSpec spec = MakeJob("a", 8, 10);
  spec.steps[0].max_per_worker = 1;
  world_.Submit("e0", spec);
  world_.Run(Millis(1'000));

  std::vector<std::string> workers = world_.WorkersOf("a");
  EXPECT_EQ(std::set<std::string>(workers.begin(), workers.end()).size(), workers.size());
  world_.Run(Millis(5'000));
  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
}

}  // namespace
}  // namespace currantpost::scheduler
