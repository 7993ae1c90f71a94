#include <algorithm>

#include "work.h"

/// Parts, their queues, and the records of ended tasks.

namespace currantpost {
namespace {

/// Delay before a task whose attempt ended early is retried.
constexpr Millis kRetryDelay = Millis(1'000);

size_t QueueIndex(Priority priority) { return static_cast<size_t>(priority); }

int32_t EndOf(const JobPart& part) { return part.first_task + part.task_count; }

bool MayHavePendingTasks(const PartState& part) {
  return !part.cancelled && (part.next_unstarted < EndOf(part.part) || !part.retries.empty());
}

/// Drops all pending tasks of a part immediately, and stops the running ones.
void CancelPart(State& state, Effects& effects, RackState& rack, PartState& part) {
  if (part.cancelled) return;

  part.cancelled = true;
  if (part.is_linked()) part.unlink();
  part.retries.clear();
  part.next_unstarted = EndOf(part.part);

  std::vector<TaskKey> unsent;

  for (auto& [index, task] : part.active) {
    if (task.phase == TaskPhase::kRunning) task.phase = TaskPhase::kStopping;
    if (task.phase == TaskPhase::kStarting && !task.start_sent) {
      unsent.push_back(TaskKey{part.spec.job, index});
    }
  }

  for (const TaskKey& key : unsent) RemoveActive(rack, key);
  for (auto& [id, worker] : rack.workers) SendNextOrder(state, effects, rack, worker);
}

void AdoptRecorded(RackState& rack, PartState& part) {
  const auto recorded = rack.recorded.find(part.spec.job);
  if (recorded == rack.recorded.end()) return;

  part.recorded = std::move(recorded->second);
  rack.recorded.erase(recorded);
}

PartState& MakePart(RackState& rack, const JobRecord& record, const JobPart& job_part) {
  PartState& part = rack.parts[record.spec.job];
  part.spec = record.spec;
  part.part = job_part;
  part.next_unstarted = job_part.first_task;
  AdoptRecorded(rack, part);
  return part;
}

bool HasUnrecordedTasks(const PartState& part) {
  return !part.unrecorded_completed.empty() || !part.unrecorded_failed.empty();
}

void WritePart(State& state, Effects& effects, RackState& rack, PartState& part) {
  PartRecord record;
  record.job = part.spec.job;
  record.change_id = NextChangeId(state);
  std::ranges::set_union(part.recorded.completed, part.unrecorded_completed,
                         std::back_inserter(record.completed));
  std::ranges::set_union(part.recorded.failed, part.unrecorded_failed,
                         std::back_inserter(record.failed));

  PartWritten written{rack.rack, part.spec.job, part.unrecorded_completed, part.unrecorded_failed};
  part.write_request = CallKv(
      state, effects, std::move(written),
      KvPut{PartKey(state, rack.rack, part.spec.job), Encode(record), part.recorded.revision});
}

/// Updates tasks that are confirmed as ended in the store.
void ConfirmEnded(RackState& rack, PartState& part, const absl::btree_set<int32_t>& indices) {
  for (const int32_t index : indices) {
    part.unrecorded_completed.erase(index);
    part.unrecorded_failed.erase(index);
    part.retries.erase(index);

    const auto active = part.active.find(index);
    if (active == part.active.end()) continue;

    ActiveTask& task = active->second;
    if (task.phase == TaskPhase::kRunning) task.phase = TaskPhase::kStopping;
    if (task.phase != TaskPhase::kRecording) continue;

    task.phase = TaskPhase::kAcknowledging;
    if (task.worker.Empty()) RemoveActive(rack, TaskKey{part.spec.job, index});
  }
}

void MergeRecord(RackState& rack, PartState& part, const PartRecord& record, KvRevision revision) {
  part.recorded.completed.insert(record.completed.begin(), record.completed.end());
  part.recorded.failed.insert(record.failed.begin(), record.failed.end());
  part.recorded.revision = revision;
  ConfirmEnded(rack, part, part.recorded.completed);
  ConfirmEnded(rack, part, part.recorded.failed);
}

void HandlePartConflict(Effects& effects, RackState& rack, PartState& part, const KvReply& reply) {
  if (reply.entries.empty() || !reply.entries.front().value) {
    part.recorded.revision = 0;
    return;
  }

  const KvEntry& entry = reply.entries.front();
  const Result<PartRecord> record = DecodePartRecord(*entry.value);

  if (!record) {
    Log(effects, Severity::kError, LogComponent::kTasks, "unreadable part record",
        {{"key", entry.key}, {"error", record.error().detail}});
    return;
  }

  MergeRecord(rack, part, *record, entry.revision);
}

void RequeueTaskOfWorker(const State& state, RackState& rack, const WorkerState& worker,
                         const TaskKey& key) {
  PartState& part = rack.parts.at(key.job);
  ActiveTask& task = part.active.at(key.index);

  if (task.phase == TaskPhase::kRecording) {
    task.worker = VmId();
    return;
  }

  const ActiveTask removed = task;
  const auto row = worker.rows.find(key);
  RemoveActive(rack, key);
  if (part.cancelled || HasEnded(part, key.index)) return;
  if (removed.phase == TaskPhase::kAcknowledging) return;

  const bool has_row = row != worker.rows.end() && row->second.attempt == removed.attempt;
  Requeue(state, rack, key,
          QueuedRetry{.attempt = removed.attempt + 1,
                      .checkpoint = has_row ? row->second.checkpoint : removed.checkpoint,
                      .not_before = state.now});
}

}  // namespace

bool HasEnded(const PartState& part, int32_t index) {
  return part.recorded.completed.contains(index) || part.recorded.failed.contains(index) ||
         part.unrecorded_completed.contains(index) || part.unrecorded_failed.contains(index);
}

void MarkTaskEnded(RackState& rack, PartState& part, int32_t index, bool completed) {
  if (completed) {
    part.unrecorded_completed.insert(index);
    part.unrecorded_failed.erase(index);
  } else {
    part.unrecorded_failed.insert(index);
  }

  rack.unrecorded.insert(part.spec.job);
}

void RequeueUnsentStarts(State& state, RackState& rack, const WorkerState& worker) {
  const std::vector<TaskKey> keys(worker.tasks.begin(), worker.tasks.end());

  for (const TaskKey& key : keys) {
    const ActiveTask* task = FindActive(rack, key);
    if (task == nullptr || task->phase != TaskPhase::kStarting || task->start_sent) continue;

    QueuedRetry retry{.attempt = task->attempt, .checkpoint = task->checkpoint};
    RemoveActive(rack, key);
    Requeue(state, rack, key, std::move(retry));
  }
}

const ActiveTask* FindActive(const RackState& rack, const TaskKey& key) {
  const auto part = rack.parts.find(key.job);
  if (part == rack.parts.end()) return nullptr;

  const auto task = part->second.active.find(key.index);
  return task == part->second.active.end() ? nullptr : &task->second;
}

ActiveTask* FindActive(RackState& rack, const TaskKey& key) {
  return const_cast<ActiveTask*>(FindActive(std::as_const(rack), key));
}

void Enqueue(RackState& rack, PartState& part) {
  if (part.is_linked() || !MayHavePendingTasks(part)) return;

  rack.queues.at(QueueIndex(part.spec.priority)).push_back(part);
  rack.placement_due = true;
}

void Requeue(const State& state, RackState& rack, const TaskKey& key, QueuedRetry retry) {
  PartState& part = rack.parts.at(key.job);
  if (part.cancelled || HasEnded(part, key.index)) return;

  retry.not_before = state.now + kRetryDelay;
  part.retries[key.index] = std::move(retry);
  Enqueue(rack, part);
}

void RemoveActive(RackState& rack, const TaskKey& key) {
  PartState& part = rack.parts.at(key.job);
  const auto task = part.active.find(key.index);
  if (task == part.active.end()) return;

  const auto worker = rack.workers.find(task->second.worker);

  part.active.erase(task);
  rack.placement_due = true;
  if (worker == rack.workers.end()) return;

  worker->second.tasks.erase(key);
  RecountCommitments(rack, worker->second);
}

void RequeueTasksOfWorker(State& state, Effects& /*effects*/, RackState& rack,
                          WorkerState& worker) {
  const std::vector<TaskKey> keys(worker.tasks.begin(), worker.tasks.end());
  for (const TaskKey& key : keys) RequeueTaskOfWorker(state, rack, worker, key);

  worker.tasks.clear();
  worker.rows.clear();
  RecountCommitments(rack, worker);
}

void ApplyJobToRack(State& state, Effects& effects, RackState& rack, const JobRecord& record) {
  if (rack.phase != RackPhase::kOpen) return;

  const auto known = rack.parts.find(record.spec.job);

  if (known != rack.parts.end()) {
    if (record.cancelled) CancelPart(state, effects, rack, known->second);
    return;
  }

  const auto job_part = std::ranges::find(record.parts, rack.rack, &JobPart::home);
  if (job_part == record.parts.end()) return;

  PartState& part = MakePart(rack, record, *job_part);
  // Workers may have reported rows of this job before its record arrived.
  for (auto& [id, worker] : rack.workers) AdoptRows(state, effects, rack, worker);

  RequeueReleasedAttempts(state, rack, part);
  if (record.cancelled) CancelPart(state, effects, rack, part);
  Enqueue(rack, part);
}

std::optional<int32_t> NextPendingTask(const State& state, PartState& part) {
  for (const auto& [index, retry] : part.retries) {
    if (retry.not_before <= state.now) return index;
  }

  while (part.next_unstarted < EndOf(part.part)) {
    const int32_t index = part.next_unstarted;
    const bool already_handled =
        HasEnded(part, index) || part.active.contains(index) || part.retries.contains(index);
    if (!already_handled) return index;

    ++part.next_unstarted;
  }

  return std::nullopt;
}

void WriteDueParts(State& state, Effects& effects) {
  for (auto& [id, rack] : state.work.racks) {
    for (auto job = rack.unrecorded.begin(); job != rack.unrecorded.end();) {
      PartState& part = rack.parts.at(*job);

      if (!HasUnrecordedTasks(part)) {
        job = rack.unrecorded.erase(job);
        continue;
      }

      ++job;
      if (part.write_request != 0 || state.now < part.write_due) continue;

      part.write_due = state.now + state.settings.completion_interval;
      WritePart(state, effects, rack, part);
    }
  }
}

void HandlePartWritten(State& state, Effects& effects, const PartWritten& written,
                       RequestId request, const KvReply& reply) {
  RackState& rack = state.work.racks[written.rack];
  const auto found = rack.parts.find(written.job);
  if (found == rack.parts.end() || found->second.write_request != request) return;

  PartState& part = found->second;
  part.write_request = 0;

  switch (reply.status) {
    case KvStatus::kOk:
      part.recorded.completed.insert(written.completed.begin(), written.completed.end());
      part.recorded.failed.insert(written.failed.begin(), written.failed.end());
      part.recorded.revision = reply.revision;
      ConfirmEnded(rack, part, written.completed);
      ConfirmEnded(rack, part, written.failed);
      break;
    case KvStatus::kConflict:
      HandlePartConflict(effects, rack, part, reply);
      break;
    case KvStatus::kUnavailable:
    case KvStatus::kUnknown:
    case KvStatus::kMalformed:
      // Retry the write. If this one took effect, the retry gets a conflict that shows it.
      part.write_due = state.now + kKvRetryInterval;
      return;
  }

  for (auto& [id, worker] : rack.workers) SendNextOrder(state, effects, rack, worker);
}

}  // namespace currantpost
