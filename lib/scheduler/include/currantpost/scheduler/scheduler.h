#pragma once

#include <memory>

#include "currantpost/scheduler/effects.h"
#include "currantpost/scheduler/events.h"
#include "currantpost/scheduler/state.h"

namespace currantpost::scheduler {

/// Makes the state of a process that has just started.
std::unique_ptr<State> MakeState(Settings settings);

/// Takes in one event and appends what is to be done about it. Afterwards `state.wake_at` says when
/// the next `Tick` is due at the latest.
void Reduce(State& state, const Event& event, Effects& effects);

}  // namespace currantpost::scheduler
