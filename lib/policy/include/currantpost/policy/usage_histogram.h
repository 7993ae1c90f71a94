#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace currantpost {

/// A histogram of fixed size with logarithmic buckets, in which older samples count less.
///
/// The unit is the caller's. Each bucket ends 15 % above the one before it, so that a percentile is
/// at most 15 % above the true one, and never below it as long as nothing has decayed.
class UsageHistogram {
 public:
  /// `half_life` is the number of samples after which a sample counts half; must be above zero.
  explicit UsageHistogram(double half_life);

  /// Takes in one sample. Negative ones count as zero.
  void Add(int64_t sample);

  /// Returns a value that at least the share `quantile` of the samples does not exceed, 0 if empty.
  [[nodiscard]] int64_t Quantile(double quantile) const;

  /// Returns the number of samples ever taken in.
  [[nodiscard]] int64_t Count() const { return count_; }

 private:
  static constexpr size_t kBuckets = 144;

  void Rescale();

  std::array<float, kBuckets> weights_{};
  double growth_;
  double next_weight_ = 1.0;
  double total_ = 0.0;
  int64_t count_ = 0;
  int64_t largest_ = 0;
};

}  // namespace currantpost
