#pragma once

#include <string>

#include "currantpost/control/effects.h"
#include "currantpost/control/events.h"
#include "currantpost/control/state.h"

namespace currantpost {

/// Takes one event into the state and appends what is to be done about it.
///
/// Pure: reads no clock, does no input or output and draws no random numbers, so that any
/// sequence of events can be replayed.
void Reduce(State& state, const Event& event, Effects& effects);

/// Returns the whole state as JSON, for operators.
std::string Dump(const State& state);

}  // namespace currantpost
