#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace currantpost {

/// Assigns a speed to each best-effort task of a worker. Best-effort tasks share the capacity that
/// long-running and short tasks leave unused, which changes with every poll. One common speed for
/// all of them would take an order to each task at every change.
///
/// Instead, the fastest tasks are slowed down first and the slowest sped up first, each in large
/// steps. A change then takes orders to only one or two tasks, and all tasks still progress at
/// similar rates, which matters because a job waits for its slowest task.

/// A best-effort task of a worker.
struct BestEffortTask {
  std::string image;
  /// Processor use at full speed, as a share of the worker's.
  double share = 0.0;
  /// Speed in percent, as last assigned.
  int32_t speed = 100;
};

/// Limits on the use by best-effort tasks, in shares of the worker.
struct BestEffortLimits {
  double max_total = 0.0;
  /// Limits by image. Images without an entry are limited by `max_total` only.
  std::map<std::string, double> max_by_image;
};

struct SpeedAssignmentSettings {
  /// Speeds are multiples of this, in percent. Coarse, since each change costs an order.
  int32_t speed_step = 10;
  /// Largest change of one speed, in percent, before the next task is considered.
  int32_t max_speed_change = 40;
  /// Spare capacity below this share of the worker is left unused. It is less than a small
  /// best-effort task requests, and more than the spare capacity fluctuates between polls.
  double slack = 0.02;
  /// Largest increase of all speeds together per call, as a share of full speed. Measurements that
  /// show the effect of an increase on other tasks arrive half a second later.
  double max_total_increase = 0.4;
};

/// Sets the speeds of `tasks` so that they stay within the limits and use the available capacity
/// except for the slack. Of tasks with equal speed, the last is slowed down first and the first
/// sped up first. Tasks that need no change keep their speed.
void AssignSpeeds(const SpeedAssignmentSettings& settings, const BestEffortLimits& limits,
                  std::vector<BestEffortTask>& tasks);

}  // namespace currantpost
