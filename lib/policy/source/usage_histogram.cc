#include "currantpost/policy/usage_histogram.h"

#include <algorithm>
#include <cmath>

namespace currantpost {
namespace {

/// Upper bound of each bucket as a multiple of the one before.
constexpr double kBucketGrowth = 1.15;
/// Weight of a new sample above which all weights are scaled down, long before a float loses
/// precision.
constexpr double kLargestWeight = 1e6;

size_t BucketOf(int64_t sample, size_t buckets) {
  if (sample <= 1) return 0;

  const double exact = std::log(static_cast<double>(sample)) / std::log(kBucketGrowth);
  return std::min(static_cast<size_t>(std::ceil(exact)), buckets - 1);
}

int64_t UpperBound(size_t bucket) {
  return static_cast<int64_t>(std::ceil(std::pow(kBucketGrowth, static_cast<double>(bucket))));
}

}  // namespace

UsageHistogram::UsageHistogram(double half_life) : growth_(std::exp2(1.0 / half_life)) {}

void UsageHistogram::Add(int64_t sample) {
  sample = std::max<int64_t>(sample, 0);

  weights_[BucketOf(sample, kBuckets)] += static_cast<float>(next_weight_);
  total_ += next_weight_;
  largest_ = std::max(largest_, sample);
  ++count_;

  next_weight_ *= growth_;
  if (next_weight_ > kLargestWeight) Rescale();
}

int64_t UsageHistogram::Quantile(double quantile) const {
  if (count_ == 0) return 0;

  const double target = quantile * total_;
  double covered = 0.0;

  for (size_t bucket = 0; bucket + 1 < kBuckets; ++bucket) {
    covered += weights_[bucket];
    if (weights_[bucket] > 0.0F && covered >= target) return std::min(UpperBound(bucket), largest_);
  }

  return largest_;
}

void UsageHistogram::Rescale() {
  total_ = 0.0;

  for (float& weight : weights_) {
    weight = static_cast<float>(weight / next_weight_);
    total_ += weight;
  }

  next_weight_ = 1.0;
}

}  // namespace currantpost
