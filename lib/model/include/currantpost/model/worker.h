#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/job.h"
#include "currantpost/model/resources.h"

namespace currantpost {

/// State of one task in a worker's own table.
enum class WorkerTaskState {
  kRunning,
  /// Stopped after a checkpoint, or because its lease lapsed; holds no resources.
  kStopped,
  /// Ended well; kept in the table until the completion is acknowledged.
  kFinished,
  /// Ended badly; kept in the table until acknowledged.
  kFailed,
};

inline constexpr EnumNames kWorkerTaskStateNames(std::to_array<EnumName<WorkerTaskState>>({
    {WorkerTaskState::kRunning, "running"},
    {WorkerTaskState::kStopped, "stopped"},
    {WorkerTaskState::kFinished, "finished"},
    {WorkerTaskState::kFailed, "failed"},
}));

/// One row of a worker's table.
struct WorkerTask {
  TaskKey task;
  int32_t attempt = 0;
  WorkerTaskState state = WorkerTaskState::kRunning;
  Resources held;
  /// Names the last checkpoint, empty if there is none. Any worker of the data centre can resume
  /// from it.
  std::string checkpoint;
  /// Work done up to the last checkpoint, in milliseconds of run time.
  Millis progress;
  bool throttled = false;
};

/// Usage of one task, measured in the past.
struct TaskUsage {
  TaskKey task;
  int32_t attempt = 0;
  Resources used;
  /// Latency of a service or run time of a step, as a multiple of that alone on a VM; 1.0 is
  /// undisturbed.
  double slowdown = 1.0;
};

/// A worker's own records, as it answers every call with.
struct WorkerTable {
  Incarnation incarnation = 0;
  Epoch epoch = 0;
  Resources capacity;
  std::vector<WorkerTask> tasks;
  /// How long before this answer the usage was measured.
  Millis usage_age;
  std::vector<TaskUsage> usage;
};

/// Raises the worker's epoch; refused if the worker has seen a higher one.
struct RaiseEpoch {};

/// Renews the leases of all running tasks of the worker, and reads the table.
struct RenewLeases {
  Millis lease;
};

/// Starts an attempt of a task under a lease. Idempotent for the same attempt.
struct StartTask {
  TaskKey task;
  int32_t attempt = 0;
  TaskClass task_class = TaskClass::kBatch;
  std::string kind;
  Resources size;
  Millis run_time;
  /// Checkpoint to resume from, empty to begin anew.
  std::string checkpoint;
  Millis lease;
};

/// Writes a checkpoint of a running task and goes on.
struct CheckpointTask {
  TaskKey task;
  int32_t attempt = 0;
};

/// Stops a task; its row stays, in state `kStopped`, until it is acknowledged.
struct StopTask {
  TaskKey task;
  int32_t attempt = 0;
};

/// Slows a task down, or lets it run at full speed again.
struct ThrottleTask {
  TaskKey task;
  int32_t attempt = 0;
  bool throttled = true;
};

/// Removes the row of a task that no longer runs.
struct AcknowledgeTask {
  TaskKey task;
  int32_t attempt = 0;
};

/// An order to a worker.
using WorkerOrder = std::variant<RaiseEpoch, RenewLeases, StartTask, CheckpointTask, StopTask,
                                 ThrottleTask, AcknowledgeTask>;

/// How an order to a worker ended.
enum class WorkerStatus {
  kOk,
  /// The worker has seen a higher epoch; nothing was done.
  kStaleEpoch,
  /// The worker has no room or no such task, or the task has another attempt; nothing was done.
  kRefused,
  /// No connection could be made; nothing was done.
  kUnreachable,
  /// Sent, but no whole answer came; the order may have taken effect or may still do so.
  kUnknown,
};

inline constexpr EnumNames kWorkerStatusNames(std::to_array<EnumName<WorkerStatus>>({
    {WorkerStatus::kOk, "ok"},
    {WorkerStatus::kStaleEpoch, "stale_epoch"},
    {WorkerStatus::kRefused, "refused"},
    {WorkerStatus::kUnreachable, "unreachable"},
    {WorkerStatus::kUnknown, "unknown"},
}));

/// A worker's answer. The table is valid for all statuses but the last two.
struct WorkerReply {
  WorkerStatus status = WorkerStatus::kUnknown;
  WorkerTable table;
};

}  // namespace currantpost
