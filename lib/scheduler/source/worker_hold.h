#pragma once

#include "reservations.h"

/// Keeps one worker of a cell free for a long-running task that has waited long. Short tasks take
/// each small piece of capacity as it becomes free, so without this a large task would wait until
/// enough of them happen to end together.

namespace currantpost::scheduler {

/// How long a long-running task waits before a worker is kept for it. Requests to all other cells
/// take less.
inline constexpr Millis kHoldDelay = Millis(1'000);

/// Keeps a worker for a task that fits on none now, or goes on keeping it. A cell keeps one worker
/// at a time. Returns whether one is kept for the task's step.
bool KeepWorker(const State& state, OwnedCell& cell, const PlacementRequest& request);

/// Ends the hold for a step once capacity was found for a task of it.
void EndHold(OwnedCell& cell, const StepName& name);

/// Ends a hold that nobody has asked for again.
void ExpireHold(State& state, OwnedCell& cell);

/// Returns what is kept on a worker from the tasks of a step.
Resources KeptFrom(const OwnedCell& cell, const StepName& name, const WorkerState& worker);

}  // namespace currantpost::scheduler
