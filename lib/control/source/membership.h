#pragma once

#include <vector>

#include "currantpost/base/ids.h"
#include "currantpost/control/state.h"
#include "currantpost/model/peer.h"

namespace currantpost {

/// Returns the entries of the own data centre that are up and staying, this one among them unless
/// it is stopping. In rising order.
std::vector<EntryId> LiveEntries(const State& state);

/// Returns what this entry says of itself.
KnownEntry DescribeSelf(const State& state);

}  // namespace currantpost
