#pragma once

#include <cstdint>
#include <optional>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/control/configuration_state.h"
#include "currantpost/control/control_settings.h"
#include "currantpost/control/membership_state.h"
#include "currantpost/control/shutdown_state.h"
#include "currantpost/control/upstream_state.h"
#include "currantpost/control/work_state.h"

namespace currantpost {

/// The whole state of the control thread. It is held in memory only.
struct State {
  explicit State(ControlSettings settings) : settings(std::move(settings)) {}

  ControlSettings settings;
  /// Time of the event being handled.
  Millis now;
  /// Time of the previous event; a long gap means that the process was paused.
  Millis previous;
  /// Time of the first event.
  std::optional<Millis> started_at;
  RequestId next_request = 1;

  ConfigurationState configuration;
  MembershipState membership;
  UpstreamState upstreams;
  WorkState work;
  ShutdownState shutdown;
};

/// Returns an unused request id.
RequestId NextRequest(State& state);

/// Returns a change id for a write that no command requested.
std::string NextChangeId(State& state);

}  // namespace currantpost
