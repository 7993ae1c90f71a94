#pragma once

#include "currantpost/control/effects.h"
#include "currantpost/control/events.h"
#include "currantpost/control/state.h"

/// Carries an operator's change into the platform's key-value service.
///
/// A change reads the configuration, builds the next one on it and writes it by compare-and-swap.
/// A lost answer is settled by reading back: each configuration holds the ids of the last changes.

namespace currantpost {

/// Takes up a change.
void StartChange(State& state, const CommandReceived& received, Effects& effects);

/// Takes in the answer to a change's read or write; ignores other answers.
void OnChangeAnswered(State& state, const KvAnswered& answered, Effects& effects);

/// Repeats steps whose call failed or got lost, and gives up changes that take too long.
void ContinueChanges(State& state, Effects& effects);

/// Puts a configuration in force if its revision is higher than the present one's.
void ApplyConfiguration(State& state, const Configuration& received_configuration,
                        Effects& effects);

}  // namespace currantpost
