#pragma once

#include <cstdint>
#include <map>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/peer.h"
#include "currantpost/model/vm.h"

namespace currantpost {

/// State of one upstream.
struct UpstreamRecord {
  VmRecord vm;
  /// Consecutive reports with failed attempts and no completed one.
  int32_t bad_reports = 0;
  /// Consecutive ejections; each makes the next one longer.
  int32_t ejections = 0;
  bool ejected = false;
  Millis ejected_until;
  /// Predicted slowdown caused by the batch tasks on the VM; 1.0 means none.
  double predicted_slowdown = 1.0;
  /// Number of the most recent read of the platform's list that contained the VM.
  int64_t last_list_read = 0;
};

/// The platform's VMs, the upstreams among them, and the upstream incarnations that are leaving.
struct UpstreamState {
  std::map<VmId, UpstreamRecord> upstreams;
  /// Upstream incarnations known to be leaving, and since when. They are kept because the
  /// platform's list lags behind.
  std::map<LeavingUpstream, Millis> leaving;
  /// Whether what the peers knew of leaving upstreams when this entry started is among them.
  bool leaving_known = false;
  /// Whether the snapshot contains the upstreams.
  bool routing = false;
  /// The platform's list as last read. For other data centres, only the upstreams are kept.
  std::map<VmId, VmRecord> vms;
  /// Reads of the list so far.
  int64_t list_reads = 0;
  /// Whether the list was ever received, from the platform or a peer.
  bool list_known = false;
  /// When the list was last received.
  Millis list_read_at;
  /// The readiness last reported to the balancer.
  bool ready = false;
  int64_t snapshot_revision = 0;
  /// Something changed since the last snapshot.
  bool snapshot_outdated = true;
};

}  // namespace currantpost
