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

/// A step of a job: a number of identical tasks.
struct StepSpec {
  int32_t task_count = 1;
  /// Resources that one task needs.
  Resources need;
  /// Estimated run time of one task; often far off.
  Millis estimate;
  /// Indices of the steps of the same job that must complete before this step starts.
  std::vector<int32_t> after;
  /// Tasks write checkpoints and resume from them.
  bool checkpointing = false;
  /// All tasks start together and complete together.
  bool gang = false;
  /// The gang runs slower when it spans racks.
  bool same_rack = false;
  /// Several copies of a task may run at once; the first to complete counts.
  bool speculative = false;
  /// Tasks run until the job is cancelled and are restarted whenever they end.
  bool is_long_running = false;
  /// Tasks use only the processor time that other tasks on their worker leave idle.
  bool best_effort = false;
  /// Label that a worker must have, empty for none.
  std::string worker_label;
  /// Rack on which tasks run fastest, empty for none.
  std::string preferred_rack;
  /// Maximum number of tasks of the step on one worker, 0 for no limit.
  int32_t max_per_worker = 0;
  /// Program that the tasks run; tasks of one image behave alike.
  std::string image;
  /// Upper bound on the tail latency of a long-running task, 0 for none.
  Millis latency_target;
  /// Number of long-running tasks that the scheduler itself may have down at once, -1 for no limit.
  int32_t max_unavailable = -1;

  bool operator==(const StepSpec&) const = default;
};

/// A job as its caller describes it.
struct JobSpec {
  JobId job;
  /// Opaque to the scheduler; passed to the worker with each task.
  std::string payload;
  std::vector<StepSpec> steps;
  /// Number of scheduled occurrences of the steps; 0 runs them once, immediately.
  int32_t occurrences = 0;
  /// Milliseconds since 1970 at which the first occurrence is due.
  int64_t first_due_unix_ms = 0;
  Millis interval;

  bool operator==(const JobSpec&) const = default;
};

/// Identifies one task.
struct TaskName {
  JobId job;
  int32_t occurrence = 0;
  int32_t step = 0;
  int32_t index = 0;

  auto operator<=>(const TaskName&) const = default;
};

/// Identifies one step in one occurrence of a job, as the workers know it.
struct StepName {
  JobId job;
  int32_t occurrence = 0;
  int32_t step = 0;

  auto operator<=>(const StepName&) const = default;
};

/// Phase of a job, as its caller sees it.
enum class JobPhase { kQueued, kActive, kCompleted, kFailed, kCancelled };

inline constexpr EnumNames kJobPhaseNames(std::to_array<EnumName<JobPhase>>({
    {JobPhase::kQueued, "queued"},
    {JobPhase::kActive, "active"},
    {JobPhase::kCompleted, "completed"},
    {JobPhase::kFailed, "failed"},
    {JobPhase::kCancelled, "cancelled"},
}));

/// Returns whether the job has ended, so that none of its tasks will run any more.
constexpr bool IsTerminal(JobPhase phase) {
  return phase != JobPhase::kQueued && phase != JobPhase::kActive;
}

}  // namespace currantpost::scheduler
