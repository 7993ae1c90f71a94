#include "currantpost/model/resources.h"

#include <algorithm>

namespace currantpost {

Resources& Resources::operator+=(const Resources& other) {
  millicores += other.millicores;
  memory_mib += other.memory_mib;
  accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  millicores -= other.millicores;
  memory_mib -= other.memory_mib;
  accelerators -= other.accelerators;
  return *this;
}

Resources operator+(Resources left, const Resources& right) { return left += right; }

Resources operator-(Resources left, const Resources& right) { return left -= right; }

bool FitsWithin(const Resources& need, const Resources& available) {
  return need.millicores <= available.millicores && need.memory_mib <= available.memory_mib &&
         need.accelerators <= available.accelerators;
}

Resources ComponentMax(const Resources& left, const Resources& right) {
  return Resources{.millicores = std::max(left.millicores, right.millicores),
                   .memory_mib = std::max(left.memory_mib, right.memory_mib),
                   .accelerators = std::max(left.accelerators, right.accelerators)};
}

}  // namespace currantpost
