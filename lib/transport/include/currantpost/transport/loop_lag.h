#pragma once

#include <memory>
#include <optional>

#include "currantpost/base/time.h"
#include "currantpost/transport/event_loop.h"

namespace currantpost {

/// Measures how far an event loop is behind with what arrives at its sockets.
///
/// A measurement goes through the loop's queue several times, behind everything that is ready then.
/// Once it is through, everything that had arrived at its beginning has been handled.
class LoopLag {
 public:
  LoopLag(EventLoop& loop, const Clock& clock);
  ~LoopLag();
  LoopLag(const LoopLag&) = delete;
  LoopLag& operator=(const LoopLag&) = delete;

  /// Begins a measurement unless one is under way. To be called for each handled event: an idle
  /// loop is not measured.
  void Measure();

  /// Returns how long what arrives waits: the duration of the last measurement, or the age of the
  /// present one if that is longer.
  [[nodiscard]] Millis Lateness() const;

  /// Returns when the last complete measurement began, nothing before the first one.
  [[nodiscard]] std::optional<Millis> HandledUpTo() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace currantpost
