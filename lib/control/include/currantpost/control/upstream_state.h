#pragma once

#include <map>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/peer.h"
#include "currantpost/model/routing.h"
#include "currantpost/model/vm.h"

namespace currantpost {

/// What is known of one upstream.
struct UpstreamRecord {
  VmRecord vm;
  /// Consecutive reports with failures and no completed request.
  int32_t bad_reports = 0;
  Millis ejected_until;
  /// Ejections in a row; each makes the next one longer.
  int32_t ejections = 0;
  double predicted_slowdown = 1.0;
};

/// The upstreams, and those of their lives that are leaving.
struct UpstreamState {
  std::map<VmId, UpstreamRecord> upstreams;
  /// Lives of upstreams seen to leave, and when that was; sticky, as the platform's list lags.
  std::map<LeavingUpstream, Millis> leaving;
  /// The platform's list as last read, of all data centres.
  std::map<VmId, VmRecord> vms;
  Millis list_read_at;
  bool list_known = false;
  int64_t snapshot_revision = 0;
  /// Something changed since the last snapshot.
  bool changed = true;
};

}  // namespace currantpost
