#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <variant>

#include "currantpost/base/time.h"
#include "currantpost/control/events.h"

namespace currantpost {

/// What happened, before the control thread puts a time to it.
using EventBody = decltype(Event::body);

/// Number of kinds of event.
inline constexpr size_t kEventKinds = std::variant_size_v<EventBody>;

/// Events that wait for the control thread, in order.
///
/// Kinds that may be lost are bounded each; the others answer the control thread's own effects,
/// whose number it bounds itself, and are always taken.
class EventQueue {
 public:
  /// Appends an event. Returns false if the queue holds the most of its kind already, or is
  /// closed; the event is then dropped.
  bool Push(EventBody body) ABSL_LOCKS_EXCLUDED(mutex_);

  /// Takes the first event, waiting for one up to a span. Returns nothing if none came.
  std::optional<EventBody> Pop(Millis longest_wait) ABSL_LOCKS_EXCLUDED(mutex_);

  /// Refuses all further events and wakes the waiting thread.
  void Close() ABSL_LOCKS_EXCLUDED(mutex_);

  /// Returns the number of waiting events.
  [[nodiscard]] size_t Size() const ABSL_LOCKS_EXCLUDED(mutex_);

  /// Returns the number of events dropped so far.
  [[nodiscard]] int64_t Dropped() const ABSL_LOCKS_EXCLUDED(mutex_);

 private:
  [[nodiscard]] bool IsReady() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  std::deque<EventBody> events_ ABSL_GUARDED_BY(mutex_);
  std::array<size_t, kEventKinds> counts_ ABSL_GUARDED_BY(mutex_) = {};
  int64_t dropped_ ABSL_GUARDED_BY(mutex_) = 0;
  bool closed_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace currantpost
