#pragma once

#include <cstdint>

#include "currantpost/base/time.h"
#include "currantpost/model/job.h"

namespace currantpost {

/// Settings of a `RestartPacer`.
struct RestartPacerSettings {
  /// Restarts allowed in the long run.
  double restarts_per_second = 20.0;
  /// Restarts allowed at once after a quiet time; at least 1.
  double burst = 20.0;
  /// Share of the burst that only urgent work may use.
  double urgent_share = 0.5;
};

/// Paces the restarts after many tasks were lost together, so that they do not arrive as a storm.
///
/// A token bucket whose last tokens are kept for urgent work. Meant for tasks that ran before, not
/// for first starts. One for each rack owned.
class RestartPacer {
 public:
  explicit RestartPacer(RestartPacerSettings settings = {})
      : settings_(settings), tokens_(settings.burst) {}

  /// Takes one restart out of the budget; says whether there was one. Offer urgent work first.
  [[nodiscard]] bool TryRestart(Millis now, Priority priority);

 private:
  void Refill(Millis now);

  RestartPacerSettings settings_;
  double tokens_;
  Millis refilled_at_;
};

}  // namespace currantpost
