#pragma once

#include <cstdint>

namespace currantpost {

/// Resources of a VM, or an amount that a task uses.
struct Resources {
  /// Processor time, in thousandths of a core.
  int64_t millicores = 0;
  /// Memory, in mebibytes.
  int64_t memory_mib = 0;
  /// Number of accelerators.
  int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
};

Resources operator+(Resources left, const Resources& right);
Resources operator-(Resources left, const Resources& right);

/// Returns whether `need` is at most `available` in every dimension.
bool FitsWithin(const Resources& need, const Resources& available);

/// Returns the larger of the two amounts in each dimension.
Resources ComponentMax(const Resources& left, const Resources& right);

}  // namespace currantpost
