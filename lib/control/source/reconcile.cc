#include "work.h"

/// Reconciles the state of tasks with the tables that workers report.

namespace currantpost {
namespace {

bool IsRecordedEnded(const PartState& part, int32_t index) {
  return part.recorded.completed.contains(index) || part.recorded.failed.contains(index);
}

bool Covers(const JobPart& part, int32_t index) {
  return index >= part.first_task && index - part.first_task < part.task_count;
}

PartState* FindPart(RackState& rack, const TaskKey& key) {
  const auto part = rack.parts.find(key.job);
  if (part == rack.parts.end() || !Covers(part->second.part, key.index)) return nullptr;

  return &part->second;
}

void HandleFinishedRow(State& state, RackState& rack, PartState& part, const TaskKey& key,
                       ActiveTask& task) {
  if (IsRecordedEnded(part, key.index)) {
    task.phase = TaskPhase::kAcknowledging;
    return;
  }

  task.phase = TaskPhase::kRecording;
  MarkTaskEnded(rack, part, key.index, true);
  RecordWorkerSuccess(state, rack.workers.at(task.worker));
}

/// Queues the next attempt after one that ended early. The row of the ended attempt stays on the
/// worker until the next attempt runs, so that another owner can find its number and checkpoint.
void QueueNextAttempt(const State& state, RackState& rack, const TaskKey& key,
                      const ActiveTask& task, const std::string& checkpoint) {
  QueuedRetry retry{.attempt = task.attempt + 1, .checkpoint = checkpoint};
  RemoveActive(rack, key);
  Requeue(state, rack, key, std::move(retry));
}

void HandleFailedRow(State& state, Effects& effects, RackState& rack, PartState& part,
                     const TaskKey& key, ActiveTask& task) {
  if (task.phase == TaskPhase::kAcknowledging || task.phase == TaskPhase::kRecording) return;

  WorkerState& worker = rack.workers.at(task.worker);
  const bool counts = RecordWorkerFailure(state, effects, rack, worker, key);
  const int32_t failures = part.failures[key.index] += counts ? 1 : 0;

  if (failures < state.settings.max_attempts) {
    QueueNextAttempt(state, rack, key, task, task.checkpoint);
    return;
  }

  task.phase = TaskPhase::kRecording;
  MarkTaskEnded(rack, part, key.index, false);
  Log(effects, Severity::kWarning, LogComponent::kTasks, "task failed too often; giving up",
      {{"job", key.job.Text()},
       {"task", std::to_string(key.index)},
       {"failures", std::to_string(failures)}});
}

void HandleRunningRow(Millis now, PartState& part, const TaskKey& key, ActiveTask& task) {
  // Stop tasks that are recorded as ended, and tasks of a cancelled job.
  if (part.cancelled || IsRecordedEnded(part, key.index)) {
    task.phase = TaskPhase::kStopping;
    return;
  }

  if (task.running_since == Millis(0)) task.running_since = now;
  if (task.phase != TaskPhase::kStopping) task.phase = TaskPhase::kRunning;
}

void HandleStoppedRow(const State& state, RackState& rack, const TaskKey& key,
                      const ActiveTask& task, const WorkerTask& row) {
  if (task.phase == TaskPhase::kRecording) return;

  QueueNextAttempt(state, rack, key, task, row.checkpoint);
}

/// Handles a row of a task's current attempt. The task may be requeued, which invalidates `task`.
void HandleRow(State& state, Effects& effects, RackState& rack, PartState& part, ActiveTask& task,
               const WorkerTask& row) {
  task.start_sent = false;

  switch (row.state) {
    case WorkerTaskState::kRunning:
      HandleRunningRow(state.now, part, row.task, task);
      return;
    case WorkerTaskState::kFinished:
      HandleFinishedRow(state, rack, part, row.task, task);
      return;
    case WorkerTaskState::kFailed:
      HandleFailedRow(state, effects, rack, part, row.task, task);
      return;
    case WorkerTaskState::kStopped:
      HandleStoppedRow(state, rack, row.task, task, row);
      return;
  }
}

/// Handles a task whose current attempt has no row in the worker's table.
void HandleMissingRow(const State& state, RackState& rack, const PartState& part,
                      const TaskKey& key, const ActiveTask& task) {
  const ActiveTask missing = task;

  switch (missing.phase) {
    case TaskPhase::kStarting:
      // The start has not been sent, so no row is expected yet.
      if (!missing.start_sent) return;
      break;
    case TaskPhase::kRecording:
      return;
    case TaskPhase::kRunning:
    case TaskPhase::kStopping:
    case TaskPhase::kAcknowledging:
      break;
  }

  RemoveActive(rack, key);
  if (part.cancelled || IsRecordedEnded(part, key.index)) return;
  if (missing.phase == TaskPhase::kAcknowledging) return;

  const bool refused = missing.phase == TaskPhase::kStarting;
  Requeue(state, rack, key,
          QueuedRetry{.attempt = refused ? missing.attempt : missing.attempt + 1,
                      .checkpoint = missing.checkpoint,
                      .not_before = state.now});
}

void ReconcileTask(State& state, Effects& effects, RackState& rack, const WorkerState& worker,
                   const TaskKey& key) {
  PartState& part = rack.parts.at(key.job);
  ActiveTask& task = part.active.at(key.index);
  const auto row = worker.rows.find(key);

  if (row == worker.rows.end() || row->second.attempt != task.attempt) {
    HandleMissingRow(state, rack, part, key, task);
    return;
  }

  HandleRow(state, effects, rack, part, task, row->second);
}

/// Returns the component-wise maximum of the declared, held and observed resources of a task.
/// Accelerators are the larger of declared and held.
Resources Committed(const JobSpec& spec, const ActiveTask& task, const WorkerTask* row) {
  Resources committed = ComponentMax(ComponentMax(spec.declared, task.size), task.peak_usage);
  if (row != nullptr) committed = ComponentMax(committed, row->held);
  committed.accelerators = std::max(spec.declared.accelerators, row ? row->held.accelerators : 0);
  return committed;
}

/// Returns whether the row of an ended attempt needs no further action.
bool IsHandled(const PartState& part, const WorkerTask& row) {
  if (part.cancelled || HasEnded(part, row.task.index)) return true;

  const auto retry = part.retries.find(row.task.index);
  return retry != part.retries.end() && retry->second.attempt > row.attempt;
}

/// Handles an attempt that finished on an unresponsive worker after a later attempt was scheduled.
/// The later attempt is not started, or is stopped once the completion is recorded.
void HandleLateFinish(RackState& rack, PartState& part, const WorkerTask& row) {
  const ActiveTask* active = FindActive(rack, row.task);
  if (active == nullptr || active->attempt <= row.attempt) return;

  if (active->phase == TaskPhase::kStarting && !active->start_sent) {
    RemoveActive(rack, row.task);
    return;
  }

  MarkTaskEnded(rack, part, row.task.index, true);
}

}  // namespace

bool HoldsResources(TaskPhase phase) {
  return phase == TaskPhase::kStarting || phase == TaskPhase::kRunning ||
         phase == TaskPhase::kStopping;
}

bool IsStoppedOrFailed(const WorkerTask& row) {
  return row.state == WorkerTaskState::kStopped || row.state == WorkerTaskState::kFailed;
}

bool IsActiveRow(const RackState& rack, const WorkerState& worker, const WorkerTask& row) {
  const ActiveTask* task = FindActive(rack, row.task);
  return task != nullptr && task->worker == worker.member.vm && task->attempt == row.attempt;
}

OrphanedRowAction DecideOrphanedRow(const State& state, const RackState& rack,
                                    const WorkerTask& row) {
  const OrphanedRowAction removal = row.state == WorkerTaskState::kRunning
                                        ? OrphanedRowAction::kStop
                                        : OrphanedRowAction::kAcknowledge;

  if (state.work.absent_jobs.contains(row.task.job)) return removal;

  const auto part = rack.parts.find(row.task.job);
  if (part == rack.parts.end()) return OrphanedRowAction::kKeep;
  if (!Covers(part->second.part, row.task.index)) return OrphanedRowAction::kKeep;
  if (IsRecordedEnded(part->second, row.task.index)) return removal;
  // Keep a completion that is not recorded yet, whichever attempt it belongs to.
  if (row.state == WorkerTaskState::kFinished) return OrphanedRowAction::kKeep;

  const ActiveTask* active = FindActive(rack, row.task);

  if (active == nullptr) {
    const bool obsolete = part->second.cancelled && IsStoppedOrFailed(row);
    return obsolete ? OrphanedRowAction::kAcknowledge : OrphanedRowAction::kKeep;
  }

  // Keep the row until the end is recorded or the task has certainly resumed, so that another owner
  // can find it.
  if (active->phase == TaskPhase::kRecording) return OrphanedRowAction::kKeep;
  if (active->phase == TaskPhase::kStarting && IsStoppedOrFailed(row))
    return OrphanedRowAction::kKeep;

  // Another attempt is active, so this one is obsolete.
  return removal;
}

void AdoptRows(State& state, Effects& effects, RackState& rack, WorkerState& worker) {
  for (const auto& [key, row] : worker.rows) {
    PartState* part = FindPart(rack, key);

    if (part == nullptr) {
      if (!state.work.jobs.contains(key.job)) LookUpJob(state, effects, key.job);
      continue;
    }

    if (IsRecordedEnded(*part, key.index)) continue;
    if (row.state == WorkerTaskState::kFinished) HandleLateFinish(rack, *part, row);
    if (part->active.contains(key.index)) continue;

    if (IsStoppedOrFailed(row) && IsHandled(*part, row)) continue;

    part->retries.erase(key.index);
    ActiveTask& task = part->active[key.index];
    task.worker = worker.member.vm;
    task.attempt = row.attempt;
    task.phase = TaskPhase::kRunning;
    task.checkpoint = row.checkpoint;
    task.size = ComponentMax(part->spec.declared, row.held);
    task.throttle = row.throttled;
    worker.tasks.insert(key);
    HandleRow(state, effects, rack, *part, task, row);
  }

  RecountCommitments(rack, worker);
}

void Reconcile(State& state, Effects& effects, RackState& rack, WorkerState& worker) {
  const std::vector<TaskKey> keys(worker.tasks.begin(), worker.tasks.end());
  for (const TaskKey& key : keys) ReconcileTask(state, effects, rack, worker, key);

  AdoptRows(state, effects, rack, worker);
}

void RecountCommitments(const RackState& rack, WorkerState& worker) {
  worker.committed = Resources{};
  worker.committed_batch = Resources{};

  for (const TaskKey& key : worker.tasks) {
    const JobSpec& spec = rack.parts.at(key.job).spec;
    const ActiveTask* task = FindActive(rack, key);
    if (task == nullptr || !HoldsResources(task->phase)) continue;

    const auto row = worker.rows.find(key);
    const Resources committed =
        Committed(spec, *task, row == worker.rows.end() ? nullptr : &row->second);
    worker.committed += committed;
    if (spec.task_class == TaskClass::kBatch) worker.committed_batch += committed;
  }

  for (const auto& [key, row] : worker.rows) {
    if (row.state != WorkerTaskState::kRunning || IsActiveRow(rack, worker, row)) continue;

    // The class of an orphaned run is unknown, so it also counts as batch, which has less capacity.
    worker.committed += row.held;
    worker.committed_batch += row.held;
  }
}

}  // namespace currantpost
