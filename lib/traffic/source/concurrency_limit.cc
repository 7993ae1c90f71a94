#include "currantpost/traffic/concurrency_limit.h"

#include <algorithm>

namespace currantpost {
namespace {

/// Latency above this multiple of the usual one, plus `kSlackMillis`, counts as overload.
constexpr double kSlowFactor = 2.0;
constexpr double kSlackMillis = 5.0;
constexpr double kDecreaseFactor = 0.7;
/// Weight of a new sample in the usual latency: quick to fall, slow to rise.
constexpr double kFallWeight = 0.25;
constexpr double kRiseWeight = 0.01;

}  // namespace

int32_t ConcurrencyLimit::Allowed(int32_t share) const {
  if (share <= 0) return 0;
  if (limit_ < 0) return share;

  return std::clamp(static_cast<int32_t>(limit_), 1, share);
}

void ConcurrencyLimit::OnAnswer(Millis latency, int32_t share) {
  const auto sample = static_cast<double>(latency.Count());

  if (limit_ < 0) limit_ = std::max(share, 1);
  if (baseline_ < 0) baseline_ = sample;

  const bool is_slow = sample > baseline_ * kSlowFactor + kSlackMillis;
  baseline_ += (sample - baseline_) * (sample < baseline_ ? kFallWeight : kRiseWeight);
  cooldown_ = std::max(cooldown_ - 1, 0);

  if (is_slow) {
    Decrease(share);
    return;
  }

  limit_ = std::min(limit_ + 1.0 / std::max(limit_, 1.0), static_cast<double>(std::max(share, 1)));
}

void ConcurrencyLimit::OnTimeout(int32_t share) {
  if (limit_ < 0) limit_ = std::max(share, 1);

  Decrease(share);
}

void ConcurrencyLimit::Decrease(int32_t share) {
  // Requests that were in flight together tell of one overload, not of several.
  if (cooldown_ > 0) return;

  limit_ = std::max(std::min(limit_, static_cast<double>(share)) * kDecreaseFactor, 1.0);
  cooldown_ = static_cast<int32_t>(limit_);
}

}  // namespace currantpost
