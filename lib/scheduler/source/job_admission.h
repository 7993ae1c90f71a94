#pragma once

#include "internal.h"

/// Refuses long-running jobs whose tasks could not start, so that callers learn at once that they
/// have to wait or to go elsewhere. An accepted job of that kind would wait until others end.

namespace currantpost::scheduler {

/// Records what the load reports say at present. Forgets all if they are missing or old.
void UpdateCapacityHistory(State& state);

/// Returns the time after which tasks of a new job may find capacity, if it is known that its first
/// long-running tasks find none now. Returns nothing if they may find some, or if too little is
/// known.
std::optional<Millis> TimeUntilCapacity(const State& state, const std::string& service,
                                        const JobSpec& spec);

/// Logs, at intervals, that jobs of a service are refused because they would wait.
void LogShortage(State& state, Effects& effects, const std::string& service, Millis wait);

}  // namespace currantpost::scheduler
