#pragma once

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "currantpost/model/worker.h"
#include "currantpost/platform/worker_protocol.h"

namespace currantpost::standins {

/// Who a worker is and what it holds.
struct WorkerOptions {
  VmId vm;
  Incarnation incarnation = 1;
  Resources capacity;
  /// How old the usage is that the worker reports.
  Millis usage_lag = Millis(500);
};

/// How the tasks of one kind really behave, against what was declared.
struct KindBehaviour {
  double run_time_factor = 1.0;
  double usage_factor = 1.0;
  double slowdown = 1.0;
};

/// How one run of a task ended.
enum class RunEnd { kRunning, kFinished, kFailed, kStopped, kLapsed, kRestarted };

inline constexpr EnumNames kRunEndNames(std::to_array<EnumName<RunEnd>>({
    {RunEnd::kRunning, "running"},
    {RunEnd::kFinished, "finished"},
    {RunEnd::kFailed, "failed"},
    {RunEnd::kStopped, "stopped"},
    {RunEnd::kLapsed, "lapsed"},
    {RunEnd::kRestarted, "restarted"},
}));

/// One run of one attempt, as an outside observer saw it. Times are of the machine's clock.
struct TaskRun {
  TaskKey task;
  int32_t attempt = 0;
  TaskClass task_class = TaskClass::kBatch;
  Millis start;
  /// Valid unless the run goes on.
  Millis end;
  RunEnd how = RunEnd::kRunning;
  /// Work that the checkpoint resumed from brought along.
  Millis resumed_at;
};

/// All that happened at one worker, over all its lives.
struct WorkerRecords {
  std::vector<TaskRun> runs;
  Resources most_committed;
  int64_t orders = 0;
  int64_t stale_orders = 0;
  /// Starts refused because they would have committed more than the worker holds.
  int64_t over_capacity = 0;
  /// Starts refused because that attempt, or a later one, was seen before.
  int64_t repeated_starts = 0;
};

/// A worker's behaviour without its transport: tasks under leases, by a clock that is handed in.
class WorkerModel {
 public:
  explicit WorkerModel(WorkerOptions options);

  /// Carries out an order and answers it.
  WorkerReply Order(Millis now, const worker_protocol::AddressedOrder& order);

  /// Begins a new life: all tasks and all that was seen is gone.
  void Restart(Millis now);

  /// Makes every task fail soon after its start, or lets them run again.
  void FailEveryTask(bool fails) { fails_every_task_ = fails; }

  /// Sets how tasks of a kind behave that start from now on.
  void SetBehaviour(const std::string& kind, const KindBehaviour& behaviour);

  /// Returns the records up to now.
  const WorkerRecords& Records(Millis now);

  const VmId& Vm() const { return options_.vm; }

 private:
  struct Row {
    WorkerTask task;
    KindBehaviour behaviour;
    Millis run_time;
    /// Work done at a point in time, since when the speed is the same.
    Millis anchor_work;
    Millis anchor;
    Millis lease_end;
    bool is_doomed = false;
    size_t run = 0;
  };

  struct UsageSample {
    Millis measured;
    std::vector<TaskUsage> usage;
  };

  void Advance(Millis now);
  void AdvanceRow(Row& row, Millis now);
  void End(Row& row, Millis when, WorkerTaskState state, RunEnd how);
  static double Speed(const Row& row);
  static Millis WorkAt(const Row& row, Millis when);
  void MeasureUsage(Millis now);
  WorkerTable Table(Millis now) const;
  Resources Committed() const;
  Row* Find(const TaskKey& task, int32_t attempt);

  /// Carry out each kind of order; `kOk` or `kRefused`.
  /// @{
  static WorkerStatus Do(Millis now, const RaiseEpoch& order);
  WorkerStatus Do(Millis now, const RenewLeases& order);
  WorkerStatus Do(Millis now, const StartTask& order);
  WorkerStatus Do(Millis now, const CheckpointTask& order);
  WorkerStatus Do(Millis now, const StopTask& order);
  WorkerStatus Do(Millis now, const ThrottleTask& order);
  WorkerStatus Do(Millis now, const AcknowledgeTask& order);
  /// @}

  WorkerOptions options_;
  Epoch epoch_ = 0;
  std::map<TaskKey, Row> rows_;
  /// Highest attempt started in this life, by task.
  std::map<TaskKey, int32_t> seen_attempts_;
  std::map<std::string, KindBehaviour> behaviours_;
  std::deque<UsageSample> samples_;
  bool fails_every_task_ = false;
  WorkerRecords records_;
};

/// Returns the name of a checkpoint, which any worker can resume from, such as "job/3@1500".
std::string CheckpointName(const TaskKey& task, Millis work_done);

/// Returns the work done up to a checkpoint of a task, or nothing if the name is not one of it.
std::optional<Millis> CheckpointProgress(const TaskKey& task, const std::string& name);

/// Writes the records for `GET /admin/records`.
nlohmann::json RecordsJson(const VmId& vm, const WorkerRecords& records);

}  // namespace currantpost::standins
