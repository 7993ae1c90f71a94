#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "currantpost/base/time.h"

namespace currantpost::scheduler {

/// Random decisions of one scenario.
class RandomSource {
 public:
  explicit RandomSource(uint64_t seed) : random_(seed) {}

  int64_t Between(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }
  Millis RandomDuration(int64_t low, int64_t high) { return Millis(Between(low, high)); }
  bool Chance(int64_t percent) { return Between(1, 100) <= percent; }

  template <typename T>
  const T& PickOne(const std::vector<T>& items) {
    return items[static_cast<size_t>(Between(0, static_cast<int64_t>(items.size()) - 1))];
  }

  template <typename T>
  std::vector<T> Sample(std::vector<T> items, int64_t count) {
    for (size_t last = items.size(); last > 1; --last) {
      std::swap(items[last - 1],
                items[static_cast<size_t>(Between(0, static_cast<int64_t>(last) - 1))]);
    }
    items.resize(std::min(items.size(), static_cast<size_t>(count)));
    return items;
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace currantpost::scheduler
