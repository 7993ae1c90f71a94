#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <vector>

#include "fleet_truth.h"

namespace currantpost::bench {

/// Latencies in buckets that grow by 1 %.
class LatencyHistogram {
 public:
  /// Counts a latency in milliseconds.
  void Add(double latency);

  /// Counts a request that got no answer in time.
  void AddLate();

  /// Returns a quantile in milliseconds.
  [[nodiscard]] double Quantile(double quantile) const;

  /// Returns the share of requests that were answered too late or not at all.
  [[nodiscard]] double LateShare() const;

 private:
  static constexpr size_t kBuckets = 1'024;

  std::array<int64_t, kBuckets> counts_{};
  int64_t total_ = 0;
  int64_t late_ = 0;
};

/// Callers' requests to one service of one data centre, each worker with its slots and a queue.
///
/// Requests go to the less busy one of two workers drawn at random. The stream of requests depends
/// on the seed alone, so that all policies see the same.
class RequestModel {
 public:
  RequestModel(const UserProfile& user, uint64_t seed);

  /// Runs one second of requests over the workers, of which `slowdowns` has the present slowdown,
  /// or 0 for one that is down. `rate` is in requests a second for each worker.
  void RunSecond(int32_t second, double rate, const std::vector<double>& slowdowns, bool counted,
                 LatencyHistogram& histogram);

 private:
  using Slots = std::vector<double>;

  [[nodiscard]] double EarliestFree(size_t worker) const;
  size_t Choose(const std::vector<size_t>& live);

  int32_t slots_;
  int32_t connections_;
  std::mt19937_64 generator_;
  /// When each slot of each worker is free again, in seconds.
  std::vector<Slots> free_at_;
};

}  // namespace currantpost::bench
