#pragma once

#include <cstddef>
#include <cstdint>

#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"

namespace currantpost {

/// Settings of the traffic threads, from the settings file.
struct TrafficSettings {
  /// Address on which callers' connections are accepted.
  Address listen;
  /// Threads that serve callers; each serves one connection at a time.
  int32_t threads = 64;
  /// Largest request body in bytes.
  size_t largest_request = 1'048'576;
  /// Largest answer body in bytes.
  size_t largest_answer = 8'388'608;
  /// Longest time to make a connection to an upstream.
  Millis connect_timeout = Millis(500);
  /// Age from which an idle upstream connection is closed instead of reused.
  Millis idle_age_limit = Millis(10'000);
  /// How long a request may wait for a free slot.
  Millis queue_timeout = Millis(1'000);
  /// Requests that may wait for a free slot at the same time.
  int32_t queue_length = 256;
};

}  // namespace currantpost
