#pragma once

#include <algorithm>
#include <cstdint>

#include "currantpost/base/time.h"

namespace currantpost::scheduler {

/// A pause that doubles each time it is extended.
struct DoublingPause {
  Millis until;
  int32_t extensions = 0;

  void Extend(Millis now, Millis first, int32_t max_doublings) {
    until = now + first * (int64_t{1} << std::min(extensions, max_doublings));
    ++extensions;
  }
};

}  // namespace currantpost::scheduler
