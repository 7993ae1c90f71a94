#include "currantpost/base/time.h"

#include <gtest/gtest.h>

namespace currantpost {
namespace {

TEST(Millis, AddsAndCompares) {
  EXPECT_EQ(Millis(3) + Millis(4), Millis(7));
  EXPECT_LT(Millis(3), Millis(4));
}

TEST(MonotonicClock, NeverGoesBack) {
  const MonotonicClock clock;
  const Millis first = clock.Now();

  EXPECT_LE(first, clock.Now());
}

}  // namespace
}  // namespace currantpost
