#include "currantpost/daemon/incarnation.h"

#include <chrono>
#include <random>

namespace currantpost {

Incarnation DrawIncarnation() {
  constexpr int kRandomBits = 20;
  constexpr Incarnation kRandomMask = (Incarnation{1} << kRandomBits) - 1;

  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
  std::random_device random;

  return (static_cast<Incarnation>(millis) << kRandomBits) | (random() & kRandomMask);
}

}  // namespace currantpost
