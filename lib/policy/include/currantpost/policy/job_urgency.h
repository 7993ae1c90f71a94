#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/time.h"

namespace currantpost {

/// In which order jobs get room. Answers hours in which more work comes than fits: in order of
/// arrival all jobs are late alike, the small ones most, and room goes to jobs that nobody waits
/// for any more.

/// How much the end of a job is still worth to its caller.
enum class Urgency {
  /// Its objective can still be met.
  kOnTime,
  /// Late, and still wanted.
  kLate,
  /// So late that it is only finished because it was accepted.
  kOverdue,
};

inline constexpr EnumNames kUrgencyNames(std::to_array<EnumName<Urgency>>({
    {Urgency::kOnTime, "on time"},
    {Urgency::kLate, "late"},
    {Urgency::kOverdue, "overdue"},
}));

/// A job is wanted for so many times its objective, as callers say of their work.
inline constexpr int64_t kOverdueObjectives = 3;

/// When a job came and when it should be done. Times are milliseconds since 1970.
struct JobObjective {
  int64_t accepted_ms = 0;
  /// 0 if there is none; such a job is never late.
  Millis objective;

  /// Returns when the job should be done.
  int64_t DueAt() const { return accepted_ms + objective.Count(); }
};

/// Returns how urgent a job is at a time.
Urgency UrgencyOf(const JobObjective& job, int64_t now_ms);

}  // namespace currantpost
