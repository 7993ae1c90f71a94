#pragma once

#include <mutex>

#include "currantpost/base/time.h"
#include "currantpost/traffic/traffic_report.h"

namespace currantpost {

/// The counters of `TrafficMetrics`. Usable from any thread.
class TrafficCounters {
 public:
  /// Adds one to a counter.
  void Count(int64_t TrafficMetrics::*counter) { Add(counter, 1); }

  /// Adds to a counter or gauge.
  void Add(int64_t TrafficMetrics::*counter, int64_t amount) {
    const std::lock_guard lock(mutex_);
    metrics_.*counter += amount;
  }

  /// Counts the latency of a completed request.
  void CountLatency(Millis latency) {
    const std::lock_guard lock(mutex_);
    size_t bucket = 0;

    while (bucket < kLatencyBoundsMillis.size() && latency.Count() > kLatencyBoundsMillis[bucket]) {
      ++bucket;
    }

    ++metrics_.latency_buckets[bucket];
    metrics_.latency_sum_millis += latency.Count();
  }

  [[nodiscard]] TrafficMetrics Read() const {
    const std::lock_guard lock(mutex_);
    return metrics_;
  }

 private:
  mutable std::mutex mutex_;
  TrafficMetrics metrics_;
};

}  // namespace currantpost
