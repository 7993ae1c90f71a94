#pragma once

#include "currantpost/control/effects.h"
#include "currantpost/control/events.h"
#include "currantpost/control/state.h"

/// Writes an operator's change to the platform's key-value service.
///
/// A change reads the configuration, derives the next one from it and writes that by
/// compare-and-swap. If the response to the write is lost, the configuration is read back: it holds
/// the ids of the most recent changes, which show whether the write took effect.

namespace currantpost {

/// Starts a change.
void StartChange(State& state, const CommandReceived& received, Effects& effects);

/// Handles the response to a change's read or write; ignores other responses.
void OnChangeAnswered(State& state, const KvAnswered& answered, Effects& effects);

/// Retries steps whose call failed or was lost, and fails changes that time out.
void ContinueChanges(State& state, Effects& effects);

/// Puts a configuration in force if its revision is higher than the current one's.
void ApplyConfiguration(State& state, const Configuration& received_configuration,
                        Effects& effects);

}  // namespace currantpost
