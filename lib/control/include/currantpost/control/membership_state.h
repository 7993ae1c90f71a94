#pragma once

#include <map>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/peer.h"

namespace currantpost {

/// A peer that was heard of.
struct PeerState {
  KnownEntry known;
  /// When the peer itself was last heard, directly or through others.
  Millis heard_at;
  std::vector<RackClaim> racks;
  bool alive = false;
};

/// The entries of the system, as far as this one knows.
struct MembershipState {
  std::map<EntryId, PeerState> peers;
  Millis next_heartbeat;
  /// Turns through the peers of other data centres.
  uint64_t round = 0;
};

}  // namespace currantpost
