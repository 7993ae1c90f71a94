#pragma once

#include <map>
#include <utility>
#include <vector>

#include "reservations.h"

/// Long-running tasks on draining workers. They are about to lose their runs, so room for them is
/// made ready while they still run.

namespace currantpost::scheduler {

/// A long-running task that runs on a draining worker, or that was stopped there.
struct LeavingTask {
  TaskRef ref;
  int32_t priority = 0;
  /// When the worker leaves at the earliest, by its announcement.
  Millis leaves_at;
  int64_t millicores = 0;
  bool is_stopping = false;
  /// The worker answers, so the task can be stopped.
  bool can_be_stopped = false;
};

/// Returns these tasks, by priority, then those whose worker leaves first, and larger ones before
/// smaller ones of about the same time.
std::vector<LeavingTask> LeavingTasksOf(const OwnedCell& cell);

/// Returns their number for each step of a job.
std::map<std::pair<StepName, JobId>, int64_t> CountLeavingTasks(const OwnedCell& cell);

/// Keeps workers for tasks that run on draining workers and find no room, in the given order.
void KeepWorkersAhead(const State& state, OwnedCell& cell, const std::vector<LeavingTask>& tasks);

}  // namespace currantpost::scheduler
