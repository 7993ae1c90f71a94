#include "currantpost/policy/pace_allotment.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace currantpost {
namespace {

/// Tolerance for rounding errors, so that a speed of a whole number of steps is recognised as such.
constexpr double kRounding = 1e-6;

double CurrentUse(const BestEffortTask& task) { return task.share * task.speed / 100.0; }

/// Capacity still available to best-effort tasks, in total and by image.
class AvailableCapacity {
 public:
  AvailableCapacity(const BestEffortLimits& limits, const std::vector<BestEffortTask>& tasks)
      : total_(limits.max_total) {
    for (const BestEffortTask& task : tasks) {
      const auto limit = limits.max_by_image.find(task.image);
      by_image_.try_emplace(task.image, limit == limits.max_by_image.end()
                                            ? std::numeric_limits<double>::infinity()
                                            : limit->second);
      Subtract(task, CurrentUse(task));
    }
  }

  /// Returns the capacity available to a task; negative if its image or all tasks exceed their
  /// limit.
  double For(const BestEffortTask& task) const {
    return std::min(total_, by_image_.at(task.image));
  }

  void Subtract(const BestEffortTask& task, double use) {
    total_ -= use;
    by_image_.at(task.image) -= use;
  }

 private:
  double total_;
  std::map<std::string, double> by_image_;
};

/// Returns the speed, in percent and in whole steps, at which a task has this use.
int32_t SpeedForUse(const SpeedAssignmentSettings& settings, const BestEffortTask& task,
                    double use) {
  if (task.share <= 0.0) return 0;

  const double percent = std::min(use / task.share, 1.0) * 100.0;
  return static_cast<int32_t>(std::floor(percent / settings.speed_step + kRounding)) *
         settings.speed_step;
}

void SetSpeed(BestEffortTask& task, int32_t speed, AvailableCapacity& available) {
  const double before = CurrentUse(task);
  task.speed = std::clamp(speed, 0, 100);
  available.Subtract(task, CurrentUse(task) - before);
}

/// Returns the fastest of the tasks whose use exceeds a limit, or null if there is none.
BestEffortTask* FastestOverLimit(const AvailableCapacity& available,
                                 std::vector<BestEffortTask>& tasks) {
  BestEffortTask* fastest = nullptr;

  for (BestEffortTask& task : tasks) {
    if (task.speed == 0 || available.For(task) >= -kRounding) continue;
    if (fastest == nullptr || task.speed >= fastest->speed) fastest = &task;
  }

  return fastest;
}

void SlowDown(const SpeedAssignmentSettings& settings, BestEffortTask& task,
              AvailableCapacity& available) {
  const double target_use = std::max(CurrentUse(task) + available.For(task), 0.0);
  const int32_t min_speed = std::max(task.speed - settings.max_speed_change, 0);
  const int32_t speed = std::max(SpeedForUse(settings, task, target_use), min_speed);
  // Lowers the speed by at least one step, even if the use of the task is close to zero, so that
  // the loop of the caller terminates.
  SetSpeed(task, std::min(speed, std::max(task.speed - settings.speed_step, 0)), available);
}

/// Returns the speed that a task can be raised to, or its present speed if no whole step fits.
int32_t FasterSpeed(const SpeedAssignmentSettings& settings, const BestEffortTask& task,
                    double increase, const AvailableCapacity& available) {
  const double remaining = available.For(task);
  if (task.speed >= 100 || remaining < settings.slack) return task.speed;

  const int32_t speed =
      SpeedForUse(settings, task, CurrentUse(task) + std::min(remaining, increase));
  return std::max(std::min(speed, task.speed + settings.max_speed_change), task.speed);
}

/// Returns the slowest of the tasks that can be sped up, or null if none can.
BestEffortTask* SlowestToSpeedUp(const SpeedAssignmentSettings& settings,
                                 const AvailableCapacity& available, double increase,
                                 std::vector<BestEffortTask>& tasks) {
  BestEffortTask* slowest = nullptr;

  for (BestEffortTask& task : tasks) {
    if (FasterSpeed(settings, task, increase, available) <= task.speed) continue;
    if (slowest == nullptr || task.speed < slowest->speed) slowest = &task;
  }

  return slowest;
}

/// Speeds a task up and returns the use added.
double SpeedUp(const SpeedAssignmentSettings& settings, BestEffortTask& task, double increase,
               AvailableCapacity& available) {
  const double before = CurrentUse(task);
  SetSpeed(task, FasterSpeed(settings, task, increase, available), available);
  return CurrentUse(task) - before;
}

}  // namespace

void AssignSpeeds(const SpeedAssignmentSettings& settings, const BestEffortLimits& limits,
                  std::vector<BestEffortTask>& tasks) {
  AvailableCapacity available(limits, tasks);
  while (BestEffortTask* task = FastestOverLimit(available, tasks)) {
    SlowDown(settings, *task, available);
  }

  double increase = 0.0;
  for (const BestEffortTask& task : tasks) increase += settings.max_total_increase * task.share;

  while (BestEffortTask* task = SlowestToSpeedUp(settings, available, increase, tasks)) {
    increase -= SpeedUp(settings, *task, increase, available);
  }
}

}  // namespace currantpost
