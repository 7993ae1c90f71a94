#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "currantpost/base/time.h"
#include "currantpost/policy/interference_model.h"

namespace currantpost {

/// History of the batch load on one VM, so that a delayed report is attributed to the tasks that
/// ran at the time of the measurement.
class ResidencyHistory {
 public:
  /// Keeps at most `max_changes` changes; drops the oldest first.
  explicit ResidencyHistory(size_t max_changes = 64) : max_changes_(max_changes) {}

  /// Records the batch load from `now` on. Times must not decrease; an earlier time is treated as
  /// the latest time recorded.
  void Record(Millis now, std::vector<KindLoad> batch);

  /// Returns the batch load at a time, or null if the time precedes the recorded history.
  [[nodiscard]] const std::vector<KindLoad>* At(Millis time) const;

  /// Returns whether the batch load did not change within a period, so that a measurement over the
  /// period covers a single set of tasks.
  [[nodiscard]] bool UnchangedBetween(Millis from, Millis to) const;

 private:
  struct Change {
    Millis since;
    std::vector<KindLoad> batch;
  };

  size_t max_changes_;
  std::deque<Change> changes_;
};

}  // namespace currantpost
