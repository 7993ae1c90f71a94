#pragma once

#include <cstdint>
#include <vector>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/configuration.h"
#include "currantpost/model/vm.h"

namespace currantpost {

/// One upstream in the routing snapshot.
struct RoutedUpstream {
  VmId vm;
  Incarnation incarnation = 0;
  Address address;
  DataCentreId data_centre;
  /// Gets no new requests.
  bool leaving = false;
  /// Gets no new requests until the ejection ends.
  bool ejected = false;
  /// Connections that this entry may keep open: its share of the upstream's fixed limit.
  int32_t connection_share = 0;
  /// Requests that this entry may have in flight: its share of the upstream's fixed limit.
  int32_t slot_share = 0;
  /// Predicted slowdown caused by batch tasks on the same VM; 1.0 means no interference.
  double predicted_slowdown = 1.0;
};

/// Complete, immutable routing state for the traffic threads.
struct RoutingSnapshot {
  int64_t revision = 0;
  DataCentreId own_data_centre;
  Preset preset;
  std::vector<RoutedUpstream> upstreams;
  /// Set when the entry shuts down: new requests are rejected as not run.
  bool draining = false;
};

/// Counts and latencies of one upstream since the last report of the traffic threads.
struct UpstreamObservation {
  VmId vm;
  Incarnation incarnation = 0;
  int32_t completed = 0;
  /// Attempts that ended without a complete and matching answer.
  int32_t failed = 0;
  /// Failed connection attempts.
  int32_t refused = 0;
  /// The upstream itself announced that it is leaving.
  bool said_leaving = false;
  Millis latency_p50;
  Millis latency_p99;
};

}  // namespace currantpost
