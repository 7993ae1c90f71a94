#pragma once

#include "internal.h"

/// Capacity of a cell's workers, and the load that its owner reports.

namespace currantpost::scheduler {

/// Returns whether new tasks may be placed on a worker.
bool AcceptsTasks(const State& state, const WorkerState& worker);

/// Returns the capacity of a service in a cell and what of it is free.
ServiceLoad CountFree(const State& state, const OwnedCell& cell, const std::string& service);

}  // namespace currantpost::scheduler
