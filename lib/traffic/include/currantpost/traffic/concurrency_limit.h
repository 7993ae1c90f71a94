#pragma once

#include <cstdint>

#include "currantpost/base/time.h"

namespace currantpost {

/// Adapts how many requests one upstream is given at a time: additive increase while answers come
/// at their usual speed, multiplicative decrease on silence or when they slow down.
class ConcurrencyLimit {
 public:
  /// Returns the requests allowed in flight: at least 1 and at most `share`, or 0 if that is 0.
  [[nodiscard]] int32_t Allowed(int32_t share) const;

  /// Learns from an answer.
  void OnAnswer(Millis latency, int32_t share);

  /// Learns from an attempt that timed out.
  void OnTimeout(int32_t share);

 private:
  void Decrease(int32_t share);

  /// Below zero until the first answer: the whole share is allowed.
  double limit_ = -1.0;
  /// Usual latency in milliseconds, slow to rise.
  double baseline_ = -1.0;
  /// Answers left until the limit may fall again.
  int32_t cooldown_ = 0;
};

}  // namespace currantpost
