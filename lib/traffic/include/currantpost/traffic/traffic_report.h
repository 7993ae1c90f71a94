#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "currantpost/model/routing.h"

namespace currantpost {

/// What the traffic threads tell the control thread.
struct TrafficReport {
  /// What was seen since the last report.
  std::vector<UpstreamObservation> upstreams;
  /// Requests read from callers and not yet answered.
  int64_t requests_in_flight = 0;
};

/// Upper bounds of the latency histogram's buckets; the last bucket has none.
inline constexpr std::array<int64_t, 11> kLatencyBoundsMillis = {1,   2,   5,     10,    25,    50,
                                                                 100, 250, 1'000, 2'500, 10'000};

/// Counters since the start, and gauges.
struct TrafficMetrics {
  int64_t completed = 0;
  int64_t not_run = 0;
  int64_t unknown = 0;
  /// Requests that were refused to keep the load down; part of `not_run`.
  int64_t shed = 0;
  int64_t attempts = 0;
  int64_t retries = 0;
  int64_t hedges = 0;
  /// Extra attempts that the budgets did not allow.
  int64_t budget_refusals = 0;
  /// Connections that were given up after they went silent.
  int64_t silent_connections = 0;
  int64_t crossed_answers = 0;
  int64_t connections_made = 0;
  /// Requests that wait for a slot now.
  int64_t queue_length = 0;
  int64_t requests_in_flight = 0;
  /// Completed requests in each bucket; not cumulative.
  std::array<int64_t, kLatencyBoundsMillis.size() + 1> latency_buckets{};
  int64_t latency_sum_millis = 0;
};

}  // namespace currantpost
