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

/// State of one task in a worker's task table.
enum class WorkerTaskState {
  kRunning,
  /// Stopped after a checkpoint, or because its lease expired; holds no resources.
  kStopped,
  /// Completed; kept in the table until acknowledged.
  kFinished,
  /// Failed; kept in the table until acknowledged.
  kFailed,
};

inline constexpr EnumNames kWorkerTaskStateNames(std::to_array<EnumName<WorkerTaskState>>({
    {WorkerTaskState::kRunning, "running"},
    {WorkerTaskState::kStopped, "stopped"},
    {WorkerTaskState::kFinished, "finished"},
    {WorkerTaskState::kFailed, "failed"},
}));

/// One row of a worker's task table.
struct WorkerTask {
  TaskKey task;
  int32_t attempt = 0;
  WorkerTaskState state = WorkerTaskState::kRunning;
  /// Resources allocated to the task.
  Resources held;
  /// Name of the last checkpoint, empty if there is none. Any worker in the data centre can resume
  /// from it.
  std::string checkpoint;
  /// Work done up to the last checkpoint, in milliseconds of run time.
  Millis progress;
  bool throttled = false;
};

/// Measured usage of one task; `WorkerTable::usage_age` says how old it is.
struct TaskUsage {
  TaskKey task;
  int32_t attempt = 0;
  Resources used;
  /// Latency of a service or run time of a step, relative to running alone on a VM; 1.0 means no
  /// interference.
  double slowdown = 1.0;
};

/// A worker's state, which it includes in every reply.
struct WorkerTable {
  Incarnation incarnation = 0;
  Epoch epoch = 0;
  Resources capacity;
  std::vector<WorkerTask> tasks;
  /// Time from the usage measurement to this reply.
  Millis usage_age;
  std::vector<TaskUsage> usage;
};

/// Raises the worker's epoch; rejected if the worker has seen a higher one.
struct RaiseEpoch {};

/// Renews the leases of all running tasks of the worker and returns its table.
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
  /// Checkpoint to resume from, empty to start from the beginning.
  std::string checkpoint;
  Millis lease;
};

/// Writes a checkpoint of a running task, which keeps running.
struct CheckpointTask {
  TaskKey task;
  int32_t attempt = 0;
};

/// Stops a task; its row stays in state `kStopped` until acknowledged.
struct StopTask {
  TaskKey task;
  int32_t attempt = 0;
};

/// Throttles a task, or lets it run at full speed again.
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

/// Outcome of an order to a worker.
enum class WorkerStatus {
  kOk,
  /// The worker has seen a higher epoch; nothing was done.
  kStaleEpoch,
  /// The worker lacks capacity, does not know the task or has another attempt of it; nothing was
  /// done.
  kRefused,
  /// No connection could be made; nothing was done.
  kUnreachable,
  /// Sent, but no complete reply arrived; the order may have taken effect or may still do so.
  kUnknown,
};

inline constexpr EnumNames kWorkerStatusNames(std::to_array<EnumName<WorkerStatus>>({
    {WorkerStatus::kOk, "ok"},
    {WorkerStatus::kStaleEpoch, "stale_epoch"},
    {WorkerStatus::kRefused, "refused"},
    {WorkerStatus::kUnreachable, "unreachable"},
    {WorkerStatus::kUnknown, "unknown"},
}));

/// A worker's reply. The table is valid unless the status is `kUnreachable` or `kUnknown`.
struct WorkerReply {
  WorkerStatus status = WorkerStatus::kUnknown;
  WorkerTable table;
};

}  // namespace currantpost
