#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace currantpost {

/// A histogram of fixed size with logarithmic buckets and exponentially decaying samples.
///
/// The caller chooses the unit. The upper bound of each bucket is 15 % above the one before, so a
/// quantile is at most 15 % above the true one, and never below it while no sample has decayed.
class UsageHistogram {
 public:
  /// `half_life` is the number of later samples after which the weight of a sample has halved; must
  /// be above zero.
  explicit UsageHistogram(double half_life);

  /// Adds one sample. Negative samples count as zero.
  void Add(int64_t sample);

  /// Returns a value that at least the share `quantile` of the samples does not exceed; 0 if empty.
  [[nodiscard]] int64_t Quantile(double quantile) const;

  /// Returns the number of samples ever added.
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
