#pragma once

#include <cstdint>
#include <vector>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/configuration.h"
#include "currantpost/model/vm.h"

namespace currantpost {

/// One upstream as the traffic threads see it.
struct RoutedUpstream {
  VmId vm;
  Incarnation incarnation = 0;
  Address address;
  DataCentreId data_centre;
  /// Takes no new request.
  bool leaving = false;
  /// Takes no new request until it is released again.
  bool ejected = false;
  /// Connections that this entry may hold open; its share of the upstream's fixed limit.
  int32_t connection_share = 0;
  /// Requests that this entry may have in flight; its share of the upstream's fixed limit.
  int32_t slot_share = 0;
  /// Predicted slowdown by the batch tasks beside it; 1.0 is undisturbed.
  double predicted_slowdown = 1.0;
};

/// All that the traffic threads need to know. Published whole and never changed afterwards.
struct RoutingSnapshot {
  int64_t revision = 0;
  DataCentreId own_data_centre;
  Preset preset;
  std::vector<RoutedUpstream> upstreams;
  /// Set once the entry shuts down: new requests are refused as not run.
  bool draining = false;
};

/// What the traffic threads saw of one upstream since the last report.
struct UpstreamObservation {
  VmId vm;
  Incarnation incarnation = 0;
  int32_t completed = 0;
  /// Attempts that ended without a whole and matching answer.
  int32_t failed = 0;
  /// Connections that could not be made.
  int32_t refused = 0;
  /// The upstream itself said that it is leaving.
  bool said_leaving = false;
  Millis latency_p50;
  Millis latency_p99;
};

}  // namespace currantpost
