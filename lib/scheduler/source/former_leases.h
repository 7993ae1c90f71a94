#pragma once

#include <map>

#include "cell_workers.h"

/// Leases that an owner of a cell leaves to the next one.

namespace currantpost::scheduler {

/// Returns the remaining time of a lease, 0 if it has expired.
Millis Remaining(Millis expiry, Millis now);

/// Adds a worker's remaining leases to a record.
void AddLease(HandOverRecord& record, const VmId& id, Millis expiry, Millis now);

/// Returns the known addresses of the cell's workers.
std::map<VmId, Address> KnownAddresses(const OwnedCell& cell);

/// Returns the unexpired leases that this entry granted in a cell under a former grant.
HandOverRecord FormerLeases(const State& state, const CellId& cell, KvRevision grant);

}  // namespace currantpost::scheduler
