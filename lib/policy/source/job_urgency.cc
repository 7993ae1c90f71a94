#include "currantpost/policy/job_urgency.h"

namespace currantpost {

Urgency UrgencyOf(const JobObjective& job, int64_t now_ms) {
  if (job.objective <= Millis(0)) return Urgency::kOnTime;

  const int64_t age = now_ms - job.accepted_ms;
  if (age <= job.objective.Count()) return Urgency::kOnTime;

  return age <= kOverdueObjectives * job.objective.Count() ? Urgency::kLate : Urgency::kOverdue;
}

}  // namespace currantpost
