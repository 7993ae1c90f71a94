#pragma once

#include <memory>

#include "currantpost/scheduler/effects.h"
#include "currantpost/scheduler/events.h"
#include "currantpost/scheduler/state.h"

namespace currantpost::scheduler {

/// Creates the state of a process that has just started.
std::unique_ptr<State> MakeState(Settings settings);

/// Handles one event and appends the resulting effects. Afterwards `state.wake_at` is the latest
/// time at which the next `Tick` is due.
void Reduce(State& state, const Event& event, Effects& effects);

}  // namespace currantpost::scheduler
