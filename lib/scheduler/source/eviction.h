#pragma once

#include "internal.h"

/// Stops short tasks on workers that are kept for interrupted long-running tasks. A kept worker
/// gets no new short tasks, but those that run there may go on for long, while somebody relies on
/// the interrupted task.

namespace currantpost::scheduler {

/// Returns what the short tasks on a worker hold that may be stopped for a task of a priority:
/// running ones of queues that come after it.
Resources EvictableOn(const OwnedCell& cell, const WorkerState& worker, int32_t priority);

/// Stops short tasks where a worker has been kept for an interrupted task for a while and that task
/// would fit without them. They resume elsewhere from their checkpoints.
void EvictForInterrupted(State& state, Effects& effects, OwnedCell& cell);

}  // namespace currantpost::scheduler
