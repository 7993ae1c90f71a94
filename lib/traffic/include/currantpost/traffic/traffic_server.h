#pragma once

#include <cstdint>
#include <memory>

#include "currantpost/base/error.h"
#include "currantpost/base/time.h"
#include "currantpost/model/routing.h"
#include "currantpost/model/traffic_settings.h"
#include "currantpost/traffic/claim_store.h"
#include "currantpost/traffic/traffic_report.h"

namespace currantpost {

/// Takes callers' requests and carries them to upstreams, on threads of its own. Its functions are
/// usable from any thread.
class TrafficServer {
 public:
  /// `clock` and `claims` must outlive the server. `seed` makes request ids and random choices
  /// differ between entries.
  TrafficServer(TrafficSettings settings, const Clock& clock, ClaimStore& claims, uint64_t seed);
  ~TrafficServer();

  TrafficServer(const TrafficServer&) = delete;
  TrafficServer& operator=(const TrafficServer&) = delete;

  /// Binds, at any port if the settings say 0, and begins to serve. Returns the port, or
  /// `kUnavailable`.
  Result<int> Start();

  /// Takes over a snapshot. Until the first, requests are refused as not run.
  void Publish(std::shared_ptr<const RoutingSnapshot> snapshot);

  /// Returns what was seen since the last call.
  TrafficReport TakeReport();

  /// Returns counters and gauges.
  [[nodiscard]] TrafficMetrics Metrics() const;

  /// Refuses new requests, stops accepting, and returns when the last request has its answer.
  void Stop();

 private:
  class Parts;

  std::unique_ptr<Parts> parts_;
};

}  // namespace currantpost
