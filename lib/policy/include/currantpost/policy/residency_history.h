#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "currantpost/base/time.h"
#include "currantpost/policy/interference_model.h"

namespace currantpost {

/// Remembers which batch ran on one VM when, so that a late report is attributed to those that ran
/// at the time measured.
class ResidencyHistory {
 public:
  /// Remembers at most `most_changes` changes; older ones are forgotten first.
  explicit ResidencyHistory(size_t max_changes = 64) : max_changes_(max_changes) {}

  /// Says what runs from `now` on. Times must not fall; a fall counts as the latest time.
  void Record(Millis now, std::vector<KindLoad> batch);

  /// Returns what ran at a time, or null if that is no longer, or not yet, known.
  [[nodiscard]] const std::vector<KindLoad>* At(Millis time) const;

  /// Says whether nothing changed within a span of time, so that a measurement over it is of one
  /// set of tasks.
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
