#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/peer.h"

namespace currantpost {

/// What is known of a peer.
struct PeerState {
  KnownEntry known;
  /// When the peer last sent a heartbeat, as seen directly or reported by others.
  Millis last_heard_at;
  /// Racks that the peer claims to own.
  std::vector<RackClaim> racks;
  bool alive = false;
  /// The peer started without access to the platform and requests the list of VMs.
  bool wants_vm_list = false;
  /// When the peer last asked for the leaving upstreams, if it did.
  std::optional<Millis> asked_for_leaving_at;
  /// The peer reported all leaving upstreams that it knows of.
  bool reported_leaving = false;
};

/// The entries of the system that are known to this one.
struct MembershipState {
  std::map<EntryId, PeerState> peers;
  Millis next_heartbeat;
  /// Heartbeat rounds so far; rotates through peers and seeds.
  uint64_t round = 0;
  /// Configuration revision that was last broadcast to the peers with an older one.
  int64_t broadcast_revision = 0;
};

}  // namespace currantpost
