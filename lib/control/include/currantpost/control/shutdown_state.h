#pragma once

#include <cstdint>

#include "currantpost/base/time.h"

namespace currantpost {

/// How far a planned stop is.
struct ShutdownState {
  bool requested = false;
  Millis requested_at;
  /// Callers' requests without an answer, as last reported.
  int64_t requests_in_flight = 0;
  /// A report of the traffic threads has come since the stop was requested.
  bool reported_since = false;
  bool exited = false;
};

}  // namespace currantpost
