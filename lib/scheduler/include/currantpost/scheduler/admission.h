#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "currantpost/base/time.h"

/// What an entry remembers of the load reports, to decide whether it accepts long-running jobs.

namespace currantpost::scheduler {

/// What all cells together reported for a service, in thousandths of a core.
struct CapacitySample {
  Millis at;
  /// Demand of interrupted long-running tasks.
  int64_t waiting_interrupted = 0;
  /// The largest long-running task that fits on a worker.
  int64_t largest_long_running = 0;
};

/// The last seconds of the load reports for a service, without gaps.
struct CapacityHistory {
  std::deque<CapacitySample> samples;
  /// Since when new long-running tasks yield to interrupted ones.
  std::optional<Millis> yielding_since;
  Millis next_log;
};

}  // namespace currantpost::scheduler
