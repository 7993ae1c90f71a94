#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/resources.h"

namespace currantpost::scheduler {

/// A step of a job: a number of tasks that are alike.
struct StepSpec {
  int32_t task_count = 1;
  /// What one task takes.
  Resources need;
  /// Rough run time of one task, often far off.
  Millis estimate;
  /// Steps of the same job whose tasks must all be done before this one's may start.
  std::vector<int32_t> after;
  /// Tasks checkpoint their progress and resume from it.
  bool checkpointing = false;
  /// All tasks start together and are done together.
  bool gang = false;
  /// A gang that runs slower when it spans racks.
  bool same_rack = false;
  /// Several copies of a task may run at once; the first to finish counts.
  bool speculative = false;
  /// Tasks run until the job is cancelled and are restarted however they end.
  bool long_running = false;
  /// Takes only the processor time that other tasks on its worker leave unused.
  bool best_effort = false;
  /// Label that a worker must have, empty for none.
  std::string required_label;
  /// Rack on which tasks run fastest, empty for none.
  std::string preferred_rack;
  /// Most tasks of the step on one worker, 0 for no limit.
  int32_t max_per_worker = 0;
  /// Names what the tasks run; tasks of one image behave alike.
  std::string image;
  /// Bound on the tail of the response times of a lasting task, 0 for none.
  Millis latency_target;
  /// Lasting tasks that may be down at once through the scheduler's own doing, -1 if not limited.
  int32_t max_unavailable = -1;

  bool operator==(const StepSpec&) const = default;
};

/// A job as its caller describes it.
struct JobSpec {
  JobId job;
  /// Opaque to the scheduler; handed to the worker with each task.
  std::string payload;
  std::vector<StepSpec> steps;
  /// How often the steps run at set times; 0 runs them once, at once.
  int32_t occurrences = 0;
  /// Milliseconds since 1970 at which the first occurrence is due.
  int64_t first_due_unix_ms = 0;
  Millis interval;

  bool operator==(const JobSpec&) const = default;
};

/// Names one task.
struct TaskName {
  JobId job;
  int32_t occurrence = 0;
  int32_t step = 0;
  int32_t index = 0;

  auto operator<=>(const TaskName&) const = default;
};

/// How far a job is, as its caller sees it.
enum class JobPhase { kQueued, kActive, kCompleted, kFailed, kCancelled };

inline constexpr EnumNames kJobPhaseNames(std::to_array<EnumName<JobPhase>>({
    {JobPhase::kQueued, "queued"},
    {JobPhase::kActive, "active"},
    {JobPhase::kCompleted, "completed"},
    {JobPhase::kFailed, "failed"},
    {JobPhase::kCancelled, "cancelled"},
}));

/// Says whether nothing of a job will run any more.
constexpr bool IsTerminal(JobPhase phase) {
  return phase != JobPhase::kQueued && phase != JobPhase::kActive;
}

}  // namespace currantpost::scheduler
