#pragma once

#include "internal.h"

/// Requests of peers that this entry handles too late.

namespace currantpost::scheduler {

/// Returns whether the sender of the present request no longer waits for the reply, and counts the
/// request if so. `reply_timeout` is how long it waits, 0 if that is not known.
inline bool IsOverdue(State& state, Millis reply_timeout) {
  if (reply_timeout == Millis(0) || state.lateness < reply_timeout) return false;

  ++state.counts.overdue_requests;
  return true;
}

}  // namespace currantpost::scheduler
