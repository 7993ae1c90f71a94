#pragma once

#include <cstdint>

#include "currantpost/base/time.h"

namespace currantpost {

/// How far a planned stop is.
struct ShutdownState {
  bool requested = false;
  Millis requested_at;
  /// New requests are refused; those in flight are finished.
  bool draining = false;
  /// Reports of the traffic threads since draining began.
  int32_t reports_since_draining = 0;
  /// Callers' requests without an answer, as last reported.
  int64_t requests_in_flight = 0;
  bool exited = false;
};

}  // namespace currantpost
