#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "world.h"

namespace currantpost::scheduler {

/// Compares the runs at workers with the tasks that have to run: long-running tasks while nothing
/// is disrupted, and all accepted jobs at the end.
class RunAudit {
 public:
  using Fail = std::function<void(const std::string& check, const std::string& text)>;

  RunAudit(World& world, Fail fail) : world_(world), fail_(std::move(fail)) {}

  /// Records the answer to a caller.
  void RecordAnswer(const ObservedAnswer& observed);

  /// Checks the runs at all workers; to be called often.
  void Check();

  /// Returns whether all accepted short jobs have completed and all long-running tasks run.
  [[nodiscard]] bool IsSettled() const;
  /// Reports short jobs that have not completed and long-running tasks that don't run.
  void CheckEnd();

  /// Number of times that a long-running task ran again after an absence, and the longest absence.
  int64_t restarts = 0;
  Millis max_absence;
  /// Number of checks of long-running tasks while nothing was disrupted.
  int64_t checks = 0;

 private:
  struct TaskHistory {
    /// When the task last ran, or was first checked if it never ran, and the worker that it ran on.
    Millis ran_at;
    std::string ran_on;
    bool is_absent = false;
    /// Start of the uninterrupted time for which the task has met the conditions of a lost task.
    std::optional<Millis> lost_since;
    bool reported = false;
  };

  template <typename Visit>
  void ForEachLongRunning(Visit visit) const;
  /// Returns how many copies of a task fit into the free capacity of workers that are up, listed
  /// and not draining.
  [[nodiscard]] int64_t CopiesThatFit(const Resources& need) const;
  /// Returns the tasks that run at workers that are up, with their workers.
  [[nodiscard]] std::map<TaskName, std::string> Running() const;
  void CheckTask(const TaskName& name, const Resources& need, const std::string& worker);
  [[nodiscard]] std::string Describe(const TaskName& name, const Resources& need) const;

  World& world_;
  Fail fail_;
  std::map<JobId, Millis> accepted_at_;
  std::map<TaskName, TaskHistory> histories_;
};

}  // namespace currantpost::scheduler
