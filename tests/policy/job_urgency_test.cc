#include "currantpost/policy/job_urgency.h"

#include <gtest/gtest.h>

namespace currantpost {
namespace {

TEST(JobUrgency, IsLateAfterTheObjectiveAndOverdueAfterThreeTimesTheObjective) {
  const JobObjective job{.accepted_ms = 10'000, .objective = Millis(2'000)};

  EXPECT_EQ(job.DueAt(), 12'000);
  EXPECT_EQ(UrgencyOf(job, 12'000), Urgency::kOnTime);
  EXPECT_EQ(UrgencyOf(job, 12'001), Urgency::kLate);
  EXPECT_EQ(UrgencyOf(job, 16'000), Urgency::kLate);
  EXPECT_EQ(UrgencyOf(job, 16'001), Urgency::kOverdue);
}

TEST(JobUrgency, AJobWithoutAnObjectiveIsNeverLate) {
  EXPECT_EQ(UrgencyOf({.accepted_ms = 0, .objective = Millis(0)}, 1'000'000), Urgency::kOnTime);
}

TEST(JobUrgency, AClockThatStepsBackMakesNoJobLate) {
  EXPECT_EQ(UrgencyOf({.accepted_ms = 5'000, .objective = Millis(100)}, 0), Urgency::kOnTime);
}

}  // namespace
}  // namespace currantpost
