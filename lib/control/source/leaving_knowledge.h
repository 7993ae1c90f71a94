#pragma once

#include <vector>

#include "currantpost/control/state.h"
#include "currantpost/model/peer.h"

namespace currantpost {

/// Returns the addresses of the seeds that match no known peer.
std::vector<Address> UnreachedSeeds(const State& state);

/// Returns whether this entry may send requests to upstreams. An entry that has started first
/// learns from its peers which upstreams are leaving, as the platform's list may still call them
/// live. It does not wait longer than it takes to consider silent peers dead.
bool MayRoute(const State& state);

/// Returns all leaving upstreams that this entry knows of.
LeavingReport MakeLeavingReport(const State& state);

/// Updates whether this entry knows what its peers know of leaving upstreams. Called after the
/// upstreams that a heartbeat reports were taken over.
void UpdateLeavingKnowledge(State& state, const Heartbeat* received);

}  // namespace currantpost
