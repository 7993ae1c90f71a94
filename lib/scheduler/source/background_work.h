#pragma once

#include "internal.h"

/// Work that can wait while the entry is behind with what keeps promises: the search for capacity
/// for waiting tasks, and upkeep of the records.

namespace currantpost::scheduler {

/// Runs a slice of background work if one is due.
void RunBackgroundWork(State& state, Effects& effects);

/// Returns whether a reply to a request for capacity may be followed by the next request at once.
bool MaySearchAtOnce(const State& state);

}  // namespace currantpost::scheduler
