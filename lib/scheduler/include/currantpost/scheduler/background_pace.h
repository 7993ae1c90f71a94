#pragma once

#include "currantpost/base/time.h"

namespace currantpost::scheduler {

/// Decides when background work runs, from how late the entry handles events.
///
/// Background work runs in slices. The pause after a slice is a multiple of the longest time that
/// an event has waited since, whatever the reason. So it leaves most of the time to the events
/// while it delays them, and does not pause while it does not.
class BackgroundPace {
 public:
  /// Notes how long the present event has waited.
  void Observe(Millis lateness);

  /// Returns the longest time that an event has waited since the last slice.
  [[nodiscard]] Millis Lateness() const { return lateness_; }

  /// Returns how long after the beginning of the last slice the next one may begin.
  [[nodiscard]] Millis Pause() const;

  /// Returns when the next slice may begin, with the present lateness.
  [[nodiscard]] Millis NextSlice() const { return slice_began_ + Pause(); }

  /// Returns whether the pause is longer than the interval of background work of an idle entry.
  [[nodiscard]] bool IsBehind() const { return Pause() > kPassInterval; }

  /// Begins a slice.
  void BeginSlice(Millis now);

  /// Minimum time between the beginnings of two passes over all jobs. Shorter than any wait before
  /// tasks are lent or a job is moved.
  static constexpr Millis kPassInterval = Millis(40);

 private:
  /// Longest wait of an event since the last slice.
  Millis lateness_;
  Millis slice_began_;
};

}  // namespace currantpost::scheduler
