#pragma once

#include <cstdint>

#include "currantpost/base/time.h"

namespace currantpost {

/// Progress of a planned shutdown.
struct ShutdownState {
  bool requested = false;
  Millis requested_at;
  /// New requests are refused, and those in flight are completed.
  bool draining = false;
  /// Reports of the traffic threads since draining began.
  int32_t reports_since_draining = 0;
  /// Callers' requests in flight, as last reported.
  int64_t requests_in_flight = 0;
  bool exited = false;
};

}  // namespace currantpost
