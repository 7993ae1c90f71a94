#pragma once

#include <vector>

#include "currantpost/base/ids.h"
#include "currantpost/control/state.h"
#include "currantpost/model/peer.h"

namespace currantpost {

/// Returns the live entries of the own data centre that are not leaving, in ascending order. This
/// entry is included unless it is shutting down.
std::vector<EntryId> LiveEntries(const State& state);

/// Returns the description of this entry that its heartbeats carry.
KnownEntry DescribeSelf(const State& state);

}  // namespace currantpost
