#pragma once

#include "reservations.h"

/// Logs and counts what is done for tasks that find no worker.

namespace currantpost::scheduler {

/// Logs, at intervals, that a task of a job has waited long, and what the search for capacity in
/// other cells did for the job since the last such line. Called for each job of an open cell.
void LogLongWait(State& state, Effects& effects, const OwnedCell& cell, JobState& job);

/// Counts the wait of a task that was placed, and logs a long one. `kept` is how long the worker of
/// its hold had been kept for it.
void RecordEndOfWait(const State& state, Effects& effects, const JobState& job, const TaskRef& ref,
                     Millis kept);

}  // namespace currantpost::scheduler
