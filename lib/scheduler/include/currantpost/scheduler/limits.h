#pragma once

#include <cstdint>
#include <string>

#include "currantpost/scheduler/job_spec.h"

/// Bounds on what requests, records and replies may say, whoever wrote them. They are far beyond
/// any use, and sums and products of values within them fit into 64 bits.

namespace currantpost::scheduler {

/// Maximum amount of a resource, in the units of `Resources`.
inline constexpr int64_t kMaxAmount = 1'000'000'000;
/// Maximum duration, about 100 years.
inline constexpr Millis kMaxDuration = Millis(3'200'000'000'000);
/// Maximum time of day, in milliseconds since 1970; before 1970, the same.
inline constexpr int64_t kMaxUnixMillis = 1'000'000'000'000'000;
/// Maximum number of a run, and of failures of a task.
inline constexpr int32_t kMaxRun = 1'000'000'000;
inline constexpr int kMaxPort = 65'535;
/// Maximum length of a host, that of a name in DNS.
inline constexpr size_t kMaxHostLength = 253;
/// Maximum number of tasks of one step. Callers send a few hundred at most.
inline constexpr int32_t kMaxTasksPerStep = 10'000;
/// Maximum number of tasks of a job in all its occurrences. Their progress is one value in the
/// store, and the owner of the job's cell holds the state of all of them.
inline constexpr int64_t kMaxTasksPerJob = 20'000;

/// Describes the first value of a job that is out of range. Returns an empty string if there is
/// none.
std::string FindFault(const JobSpec& spec);

}  // namespace currantpost::scheduler
