#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "world.h"

namespace currantpost::scheduler {

/// Compares what runs at workers with what has to: tasks that last, while nothing is disturbed, and
/// all that was accepted, at the end.
class RunAudit {
 public:
  using Fail = std::function<void(const std::string& check, const std::string& text)>;

  RunAudit(World& world, Fail fail) : world_(world), fail_(std::move(fail)) {}

  /// Takes in what a caller was told.
  void RecordAnswer(const ObservedAnswer& observed);

  /// Looks at what runs, often.
  void Check();

  /// Says whether all accepted short jobs have completed and all tasks that last run.
  [[nodiscard]] bool IsSettled() const;
  /// Reports what is not settled.
  void CheckEnd();

  /// Tasks that last and ran again after they had been away, and their longest absence.
  int64_t restarts = 0;
  Millis max_absence;
  /// Looks at tasks that last, in calm.
  int64_t checks = 0;

 private:
  struct TaskHistory {
    /// When it last ran, or its job was accepted, and where.
    Millis ran_at;
    std::string ran_on;
    bool is_absent = false;
    /// Since when it has been lost without a break.
    std::optional<Millis> lost_since;
    bool reported = false;
  };

  template <typename Visit>
  void ForEachLongRunning(Visit visit) const;
  /// Returns how often a task fits into what is left of sound workers.
  [[nodiscard]] int64_t CopiesThatFit(const Resources& need) const;
  /// Returns what runs at workers that are up, and where.
  [[nodiscard]] std::map<TaskName, std::string> Running() const;
  void CheckTask(const TaskName& name, const Resources& need, const std::string& worker);
  [[nodiscard]] std::string Describe(const TaskName& name, const Resources& need) const;

  World& world_;
  Fail fail_;
  std::map<JobId, Millis> accepted_at_;
  std::map<TaskName, TaskHistory> histories_;
};

}  // namespace currantpost::scheduler
