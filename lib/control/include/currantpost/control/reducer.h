#pragma once

#include <string>

#include "currantpost/control/effects.h"
#include "currantpost/control/events.h"
#include "currantpost/control/state.h"

namespace currantpost {

/// Applies one event to the state and appends the resulting effects.
///
/// Deterministic: reads no clock, performs no input or output and uses no random numbers, so that
/// any sequence of events can be replayed.
void Reduce(State& state, const Event& event, Effects& effects);

/// Returns the whole state as JSON, for operators.
std::string Dump(const State& state);

}  // namespace currantpost
