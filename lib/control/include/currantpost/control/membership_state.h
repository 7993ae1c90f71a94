#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/peer.h"

namespace currantpost {

/// A peer that was heard of.
struct PeerState {
  KnownEntry known;
  /// When the peer itself was last heard, directly or through others.
  Millis last_heard_at;
  /// Racks that the peer said it owns.
  std::vector<RackClaim> racks;
  bool alive = false;
  /// The peer started without the platform and asks for the list of VMs.
  bool wants_vm_list = false;
};

/// The entries of the system, as far as this one knows.
struct MembershipState {
  std::map<EntryId, PeerState> peers;
  Millis next_heartbeat;
  /// Heartbeat rounds so far; turns through peers and seeds.
  uint64_t round = 0;
  /// Revision of the configuration that was last sent to all peers behind it.
  int64_t broadcast_revision = 0;
};

}  // namespace currantpost
