#pragma once

#include "currantpost/base/time.h"

namespace currantpost::soak {

/// The time bounds of the deployment that the soak plays, as its rules and settings state them.
struct Bounds {
  Millis contact = Millis(3'000);
  Millis grace = Millis(6'000);
  Millis drain = Millis(2'000);
  Millis recovery = Millis(12'000);
  Millis max_worker_lease = Millis(10'000);
  Millis stop = Millis(400);
  Millis cancel = Millis(3'000);
  Millis visible = Millis(3'000);
  Millis finish = Millis(14'000);
  Millis heartbeat = Millis(1'500);
  Millis min_store_lease = Millis(1'000);
  /// A long-running task is owed from this long after its last run, ...
  Millis absence = Millis(6'000);
  /// ... and missing if it stays away for this long, ...
  Millis absence_observed = Millis(3'000);
  /// ... which counts only if this long before it was calm as well.
  Millis calm_before_absence = Millis(4'000);
  /// No run starts later than this after the end of its task was taken note of or shown.
  Millis start_after_end = Millis(1'000);
};

inline constexpr Bounds kBounds;

}  // namespace currantpost::soak
