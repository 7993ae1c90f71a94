#pragma once

#include <cstdint>

namespace currantpost::scheduler {

/// What the search for capacity in other cells has looked at while one event was handled.
struct WorkCounts {
  /// Jobs that were checked for what is due.
  int64_t jobs = 0;
  /// Choices of another cell for waiting tasks.
  int64_t choices = 0;
  /// Cells that these choices compared.
  int64_t cells = 0;
};

}  // namespace currantpost::scheduler
