#pragma once

#include <map>

#include "internal.h"

/// Release of owned cells to other entries.

namespace currantpost::scheduler {

/// Offers a cell that has a better owner to it. Only one cell at a time, because no tasks start in
/// a cell while it is released.
void RebalanceCells(State& state, Effects& effects, const std::map<EntryId, size_t>& owned);

/// Gives up an offer that is not accepted in time, and releases a cell that is to be released.
void UpdateRelease(State& state, Effects& effects, OwnedCell& cell);

}  // namespace currantpost::scheduler
