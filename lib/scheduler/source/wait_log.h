#pragma once

#include "reservations.h"

/// Logs what is done for long-running tasks that find no worker.

namespace currantpost::scheduler {

/// Logs, at intervals, that a long-running task of a job waits, with what the search for capacity
/// in other cells did since the last such line.
void LogLongWait(State& state, Effects& effects, const OwnedCell& cell, JobState& job,
                 const WaitingBatch& batch);

/// Logs that a long-running task was placed after a long wait. `kept` is how long the worker of its
/// hold had been kept for it.
void LogEndOfLongWait(const State& state, Effects& effects, const JobState& job, const TaskRef& ref,
                      Millis kept);

}  // namespace currantpost::scheduler
