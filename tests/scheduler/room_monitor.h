#pragma once

#include <map>
#include <string>
#include <utility>

#include "world.h"

namespace currantpost::scheduler {

/// Measures, at the workers, how long tasks wait although some worker anywhere has room for them
/// all that time. Best-effort tasks do not count.
class RoomMonitor {
 public:
  explicit RoomMonitor(World& world);

  /// Lets time pass.
  void Run(Millis span);

  /// Longest such waits of long-running tasks and of others, and the tasks concerned.
  /// @{
  Millis longest_long_running;
  Millis longest_other;
  std::string text;
  /// @}
  /// Number of waits of other tasks that ended, by their length in steps of 100 ms.
  std::map<int64_t, int32_t> waits;

 private:
  struct Waiting {
    Millis since;
    int32_t starts = 0;
    int64_t millicores = 0;
    bool is_long_running = false;
  };

  void FindWaitingTasks();
  void RemoveStartedTasks();
  void MeasureRoom();
  void Measure(const TaskName& name, const Waiting& task);

  World& world_;
  std::map<TaskName, Waiting> waiting_;
  /// Since when a worker has had room for a task of a size, by size and worker.
  std::map<std::pair<int64_t, std::string>, Millis> room_since_;
};

}  // namespace currantpost::scheduler
