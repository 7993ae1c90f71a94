#include "currantpost/scheduler/background_pace.h"

#include <algorithm>

namespace currantpost::scheduler {
namespace {

/// The pause after a slice, as a multiple of the time that events wait. A slice that delays events
/// by its whole duration leaves them four fifths of the time.
constexpr int64_t kPauseFactor = 4;
/// Maximum pause, so that tasks find capacity however late the entry is.
constexpr Millis kMaxPause = Millis(1'000);

}  // namespace

void BackgroundPace::Observe(Millis lateness) { lateness_ = std::max(lateness_, lateness); }

Millis BackgroundPace::Pause() const {
  // Events that wait for less than the interval of passes don't show that the entry is behind: on
  // a small share of a core each of them takes milliseconds.
  if (lateness_ <= kPassInterval) return Millis(0);

  return std::min(lateness_ * kPauseFactor, kMaxPause);
}

void BackgroundPace::BeginSlice(Millis now) {
  slice_began_ = now;
  lateness_ = Millis(0);
}

}  // namespace currantpost::scheduler
