#pragma once

#include "cell_workers.h"

/// When a worker is polled, and which lease end a poll grants.

namespace currantpost::scheduler {

/// Returns when the worker may be polled next, or nothing if that depends on the outcome of a poll
/// in flight. A poll is repeated while its reply is overdue, sooner the less is left of the lease.
std::optional<Millis> NextPollTime(const State& state, const OwnedCell& cell,
                                   const WorkerState& worker);

/// Returns the lease end that the next poll grants, or nothing if it renews no lease. All polls
/// between two replies of the worker grant the same end.
std::optional<LeaseGrant> GrantOfNextPoll(const State& state, const OwnedCell& cell,
                                          const WorkerState& worker);

/// Returns whether the next poll repeats one that has failed or whose reply is overdue.
bool IsRepeat(const OwnedCell& cell, const WorkerState& worker);

/// Returns how long a poll that grants a lease may wait at the worker, so that it can be repeated
/// several times before the earliest end of the present lease if it gets lost.
Millis MaxRenewalWait(const State& state, const WorkerState& worker);

/// Returns the pause after the worker's last poll has failed.
Millis PauseAfterFailedPoll(const State& state, const OwnedCell& cell, const WorkerState& worker);

}  // namespace currantpost::scheduler
