#pragma once

#include <cstdint>

namespace currantpost {

/// An amount of what a VM holds, or of what a task takes from it.
struct Resources {
  /// Processor time, in thousandths of a core.
  int64_t millicores = 0;
  /// Memory, in mebibytes.
  int64_t memory_mib = 0;
  /// Whole accelerators.
  int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
};

Resources operator+(Resources left, const Resources& right);
Resources operator-(Resources left, const Resources& right);

/// Says whether `need` is within `room` in each dimension.
bool FitsWithin(const Resources& need, const Resources& available);

/// Returns the larger amount in each dimension.
Resources ComponentMax(const Resources& left, const Resources& right);

}  // namespace currantpost
