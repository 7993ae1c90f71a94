#pragma once

#include <cstdint>

#include "currantpost/base/time.h"

namespace currantpost {

/// Watches over the wait for an answer.
class ReadWatch {
 public:
  /// Later than any point in time.
  static constexpr Millis kNever = Millis(INT64_MAX);
  static constexpr int kNoSocket = -1;

  virtual ~ReadWatch() = default;

  /// Returns when to be asked `GivesUp`, as long as no byte of the answer came.
  [[nodiscard]] virtual Millis NextCheck() const { return kNever; }

  /// Says whether the wait is to end, as if the deadline had passed.
  virtual bool GivesUp() { return false; }

  /// Returns a descriptor that becomes readable once the answer is no longer wanted.
  [[nodiscard]] virtual int AbandonSocket() const { return kNoSocket; }
};

}  // namespace currantpost
