#include "currantpost/base/time.h"

#include <time.h>

namespace currantpost {

Millis MonotonicClock::Now() const {
  // CLOCK_BOOTTIME also advances while the machine is suspended, so a suspension always shows as a
  // jump.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);

  constexpr int64_t kMillisPerSecond = 1'000;
  constexpr int64_t kNanosPerMilli = 1'000'000;

  return Millis(now.tv_sec * kMillisPerSecond + now.tv_nsec / kNanosPerMilli);
}

}  // namespace currantpost
