#pragma once

#include <cstdint>
#include <map>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/peer.h"
#include "currantpost/model/vm.h"

namespace currantpost {

/// What is known of one upstream.
struct UpstreamRecord {
  VmRecord vm;
  /// Reports in a row with failed attempts and no completed one.
  int32_t bad_reports = 0;
  /// Ejections in a row; each makes the next one longer.
  int32_t ejections = 0;
  bool ejected = false;
  Millis ejected_until;
  /// Predicted slowdown by the batch tasks on the VM; 1.0 is undisturbed.
  double predicted_slowdown = 1.0;
  /// The reading of the platform's list that named the VM last.
  int64_t last_list_read = 0;
};

/// The platform's VMs, the upstreams among them, and the lives of upstreams that are leaving.
struct UpstreamState {
  std::map<VmId, UpstreamRecord> upstreams;
  /// Lives of upstreams known to leave, and since when; kept, as the platform's list lags.
  std::map<LeavingUpstream, Millis> leaving;
  /// The platform's list as last read, of the own data centre. Of other data centres only the
  /// upstreams are kept.
  std::map<VmId, VmRecord> vms;
  /// Readings of the list so far.
  int64_t list_reads = 0;
  /// Whether the list was learned, from the platform or a peer.
  bool list_known = false;
  /// When the list was last learned.
  Millis list_read_at;
  /// Whether readiness was announced.
  bool ready = false;
  int64_t snapshot_revision = 0;
  /// Something changed since the last snapshot.
  bool snapshot_outdated = true;
};

}  // namespace currantpost
