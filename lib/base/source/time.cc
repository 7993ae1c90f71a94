#include "currantpost/base/time.h"

#include <time.h>

namespace currantpost {

Millis MonotonicClock::Now() const {
  // CLOCK_BOOTTIME also counts a suspended machine, so a pause is always seen as a jump.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);

  constexpr int64_t kMillisPerSecond = 1'000;
  constexpr int64_t kNanosPerMilli = 1'000'000;

  return Millis(now.tv_sec * kMillisPerSecond + now.tv_nsec / kNanosPerMilli);
}

}  // namespace currantpost
