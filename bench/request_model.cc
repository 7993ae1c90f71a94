#include "request_model.h"

#include <algorithm>
#include <cmath>

namespace currantpost::bench {
namespace {

/// Time that a request takes alone on a VM: lognormal, in seconds.
constexpr double kMedianSeconds = 0.1;
constexpr double kSigma = 0.5;
/// Round trip between client and entry, and entry and upstream.
constexpr double kNetworkMillis = 8.0;
/// An answer later than this is late.
constexpr double kDeadlineMillis = 600.0;
constexpr double kBucketGrowth = 1.01;
constexpr double kMillisPerSecond = 1'000.0;

}  // namespace

void LatencyHistogram::Add(double latency) {
  const double bucket = std::log(std::max(latency, 1.0)) / std::log(kBucketGrowth);

  ++counts_[std::min(static_cast<size_t>(bucket), kBuckets - 1)];
  ++total_;
  if (latency > kDeadlineMillis) ++late_;
}

void LatencyHistogram::AddLate() {
  ++counts_[kBuckets - 1];
  ++total_;
  ++late_;
}

double LatencyHistogram::Quantile(double quantile) const {
  const double wanted = quantile * static_cast<double>(total_);
  int64_t seen = 0;

  for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += counts_[bucket];
    if (static_cast<double>(seen) >= wanted) {
      return std::pow(kBucketGrowth, static_cast<double>(bucket) + 0.5);
    }
  }

  return 0.0;
}

double LatencyHistogram::LateShare() const {
  return total_ == 0 ? 0.0 : static_cast<double>(late_) / static_cast<double>(total_);
}

RequestModel::RequestModel(const UserProfile& user, uint64_t seed)
    : slots_(user.slots), connections_(user.connections), generator_(seed) {}

void RequestModel::RunSecond(int32_t second, double rate, const std::vector<double>& slowdowns,
                             bool counted, LatencyHistogram& histogram) {
  free_at_.resize(slowdowns.size(), Slots(static_cast<size_t>(slots_), 0.0));

  std::vector<size_t> live;
  for (size_t worker = 0; worker < slowdowns.size(); ++worker) {
    if (slowdowns[worker] > 0.0) live.push_back(worker);
  }

  std::poisson_distribution<int> arrivals(rate * static_cast<double>(slowdowns.size()));
  std::lognormal_distribution<double> alone(std::log(kMedianSeconds), kSigma);
  const int count = arrivals(generator_);

  for (int request = 0; request < count; ++request) {
    const double arrival = second + (request + 0.5) / count;
    const double work = alone(generator_);

    if (live.empty()) {
      if (counted) histogram.AddLate();
      continue;
    }

    const size_t worker = Choose(live);
    auto& slot = *std::min_element(free_at_[worker].begin(), free_at_[worker].end());
    const double start = std::max(arrival, slot);

    // A queue longer than the connections allow is shed: the mean wait of so many requests.
    const double longest_wait = (connections_ - slots_) * kMedianSeconds / slots_ * 2.0;
    if (start - arrival > longest_wait) {
      if (counted) histogram.AddLate();
      continue;
    }

    slot = start + work * slowdowns[worker];
    if (counted) histogram.Add((slot - arrival) * kMillisPerSecond + kNetworkMillis);
  }
}

double RequestModel::EarliestFree(size_t worker) const {
  return *std::min_element(free_at_[worker].begin(), free_at_[worker].end());
}

size_t RequestModel::Choose(const std::vector<size_t>& live) {
  const uint64_t draw = generator_();
  const size_t first = live[(draw & 0xffffffffU) % live.size()];
  const size_t second = live[(draw >> 32U) % live.size()];

  return EarliestFree(first) <= EarliestFree(second) ? first : second;
}

}  // namespace currantpost::bench
