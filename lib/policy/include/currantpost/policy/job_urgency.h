#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/time.h"

namespace currantpost {

/// Priority classes of jobs by the time left until their objective. They matter while more work
/// arrives than fits: in order of arrival all jobs are equally late, which affects small jobs
/// most, and capacity goes to jobs whose result no caller needs any more.

/// How late a job is, and so how useful its result still is to its caller.
enum class Urgency {
  /// The objective has not passed.
  kOnTime,
  /// The objective has passed, but the caller still needs the result.
  kLate,
  /// The caller is assumed not to need the result any more. The job still runs because it was
  /// accepted.
  kOverdue,
};

inline constexpr EnumNames kUrgencyNames(std::to_array<EnumName<Urgency>>({
    {Urgency::kOnTime, "on time"},
    {Urgency::kLate, "late"},
    {Urgency::kOverdue, "overdue"},
}));

/// A job is overdue once its age exceeds this many times its objective. Callers state that they
/// need results for that long.
inline constexpr int64_t kOverdueObjectives = 3;

/// Acceptance time and objective of a job. Times are milliseconds since 1970.
struct JobObjective {
  int64_t accepted_ms = 0;
  /// Target time from acceptance to completion; 0 for none. A job without objective is never late.
  Millis objective;

  /// Returns the time by which the job should be complete.
  int64_t DueAt() const { return accepted_ms + objective.Count(); }
};

/// Returns the urgency of a job at a time.
Urgency UrgencyOf(const JobObjective& job, int64_t now_ms);

}  // namespace currantpost
