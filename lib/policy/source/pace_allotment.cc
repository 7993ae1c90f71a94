#include "currantpost/policy/pace_allotment.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace currantpost {
namespace {

/// Lets a pace that is a whole number of steps but for rounding count as such.
constexpr double kRounding = 1e-6;

double Use(const FillingTask& task) { return task.share * task.pace / 100.0; }

/// What is in use, and what is left, in all and by image.
class Room {
 public:
  Room(const FillingBounds& bounds, const std::vector<FillingTask>& tasks) : most_(bounds.most) {
    for (const FillingTask& task : tasks) {
      const auto bound = bounds.most_of_image.find(task.image);
      by_image_.try_emplace(task.image, bound == bounds.most_of_image.end()
                                            ? std::numeric_limits<double>::infinity()
                                            : bound->second);
      Take(task, Use(task));
    }
  }

  /// Returns what is left for a task; negative if it and others of its kind use too much.
  double Left(const FillingTask& task) const { return std::min(most_, by_image_.at(task.image)); }

  void Take(const FillingTask& task, double use) {
    most_ -= use;
    by_image_.at(task.image) -= use;
  }

 private:
  double most_;
  std::map<std::string, double> by_image_;
};

/// Returns the whole steps in a change of use, in percent of the task's full pace.
int32_t Steps(const PaceAllotmentSettings& settings, const FillingTask& task, double use) {
  if (task.share <= 0.0) return 0;

  const double percent = std::min(use / task.share, 1.0) * 100.0;
  return static_cast<int32_t>(std::floor(percent / settings.step + kRounding)) * settings.step;
}

void SetPace(FillingTask& task, int32_t pace, Room& room) {
  const double before = Use(task);
  task.pace = std::clamp(pace, 0, 100);
  room.Take(task, Use(task) - before);
}

/// Returns the fastest of the tasks that use too much, or null if none does.
FillingTask* Fastest(const Room& room, std::vector<FillingTask>& tasks) {
  FillingTask* fastest = nullptr;

  for (FillingTask& task : tasks) {
    if (task.pace == 0 || room.Left(task) >= -kRounding) continue;
    if (fastest == nullptr || task.pace >= fastest->pace) fastest = &task;
  }

  return fastest;
}

void Slow(const PaceAllotmentSettings& settings, FillingTask& task, Room& room) {
  const double wanted = std::max(Use(task) + room.Left(task), 0.0);
  const int32_t least = std::max(task.pace - settings.most_change, 0);
  const int32_t pace = std::max(Steps(settings, task, wanted), least);
  // A task that uses next to nothing takes a step all the same, so that this comes to an end.
  SetPace(task, std::min(pace, std::max(task.pace - settings.step, 0)), room);
}

/// Returns what a task would be sped up to, its present pace if there is no room for a step.
int32_t FasterPace(const PaceAllotmentSettings& settings, const FillingTask& task, double rise,
                   const Room& room) {
  const double left = room.Left(task);
  if (task.pace >= 100 || left < settings.slack) return task.pace;

  const int32_t pace = Steps(settings, task, Use(task) + std::min(left, rise));
  return std::max(std::min(pace, task.pace + settings.most_change), task.pace);
}

/// Returns the slowest of the tasks that can be sped up, or null if none can.
FillingTask* Slowest(const PaceAllotmentSettings& settings, const Room& room, double rise,
                     std::vector<FillingTask>& tasks) {
  FillingTask* slowest = nullptr;

  for (FillingTask& task : tasks) {
    if (FasterPace(settings, task, rise, room) <= task.pace) continue;
    if (slowest == nullptr || task.pace < slowest->pace) slowest = &task;
  }

  return slowest;
}

/// Returns the use that this adds.
double SpeedUp(const PaceAllotmentSettings& settings, FillingTask& task, double rise, Room& room) {
  const double before = Use(task);
  SetPace(task, FasterPace(settings, task, rise, room), room);
  return Use(task) - before;
}

}  // namespace

void AllotPaces(const PaceAllotmentSettings& settings, const FillingBounds& bounds,
                std::vector<FillingTask>& tasks) {
  Room room(bounds, tasks);
  while (FillingTask* task = Fastest(room, tasks)) Slow(settings, *task, room);

  double rise = 0.0;
  for (const FillingTask& task : tasks) rise += settings.most_rise * task.share;

  while (FillingTask* task = Slowest(settings, room, rise, tasks)) {
    rise -= SpeedUp(settings, *task, rise, room);
  }
}

}  // namespace currantpost
