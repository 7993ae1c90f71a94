#pragma once

#include <cstdint>

#include "currantpost/base/time.h"
#include "currantpost/model/job.h"

namespace currantpost {

/// Settings of a `RestartPacer`.
struct RestartPacerSettings {
  /// Restarts allowed in the long run.
  double restarts_per_second = 20.0;
  /// Restarts allowed at once after an idle period; at least 1.
  double burst = 20.0;
  /// Share of the burst reserved for urgent tasks.
  double urgent_share = 0.5;
};

/// Limits the rate of restarts after many tasks were lost together, to avoid a restart storm.
///
/// A token bucket whose last tokens are reserved for urgent tasks. Meant for tasks that ran before,
/// not for first starts. Use one instance per owned rack.
class RestartPacer {
 public:
  explicit RestartPacer(RestartPacerSettings settings = {})
      : settings_(settings), tokens_(settings.burst) {}

  /// Takes one token for a restart; returns false if none is available. Call it for urgent tasks
  /// first.
  [[nodiscard]] bool TryRestart(Millis now, Priority priority);

 private:
  void Refill(Millis now);

  RestartPacerSettings settings_;
  double tokens_;
  Millis refilled_at_;
};

}  // namespace currantpost
