#pragma once

#include <string>
#include <vector>

#include "checker.h"
#include "currantpost/base/time.h"
#include "entry_fleet.h"

namespace currantpost::soak {

/// What one run plays.
struct SoakOptions {
  uint64_t seed = 1;
  /// How long faults and new jobs come. The run goes on until the bounds after that are over.
  Millis span = Millis(30'000);
  FleetSize fleet;
  double jobs_per_second = 4;
  bool faults = true;
  /// Where settings and logs of all processes go.
  std::string log_folder;
};

/// The outcome of one run.
struct SoakReport {
  std::vector<Finding> findings;
  CheckCounts counts;
  size_t faults = 0;
  /// How late the soak's own loop was at most, and the entries after the last fault, by their logs.
  /// @{
  Millis own_lateness;
  Millis entry_lateness;
  /// @}

  /// Returns whether the machine was so busy that missed bounds say nothing.
  [[nodiscard]] bool TooBusy() const;
};

/// Plays one run. Throws `std::exception` if it can't be set up.
SoakReport RunSoak(const SoakOptions& options);

}  // namespace currantpost::soak
