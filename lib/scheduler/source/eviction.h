#pragma once

#include "internal.h"

/// Stops short tasks on workers that are kept for interrupted long-running tasks. A kept worker
/// gets no new short tasks, but those that run there may go on for long, while somebody relies on
/// the interrupted task.

namespace currantpost::scheduler {

/// Returns whether a short task may be stopped for an interrupted task of a priority: it runs, and
/// its queue comes after that priority, up to a few times. One of the same priority may be stopped
/// once, if it has just begun or resumes from a checkpoint.
bool IsEvictable(const State& state, const JobState& job, const TaskRef& ref, int32_t priority);

/// Stops short tasks where a worker is kept for an interrupted task, that task would fit without
/// them, and they would go on for longer than the stop takes. They resume elsewhere from their
/// checkpoints.
void EvictForInterrupted(State& state, Effects& effects, OwnedCell& cell);

}  // namespace currantpost::scheduler
