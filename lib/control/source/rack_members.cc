#include <algorithm>

#include "work.h"

/// Maintains the members of an owned rack, and opens a rack after a claim.

namespace currantpost {
namespace {

/// Returns whether the worker may have a task that has not appeared in its table yet.
bool HasUnconfirmedStart(const RackState& rack, const WorkerState& worker) {
  return std::ranges::any_of(worker.tasks, [&rack](const TaskKey& key) {
    const ActiveTask* task = FindActive(rack, key);
    return task != nullptr && task->phase == TaskPhase::kStarting && task->start_sent;
  });
}

/// Returns whether all task leases of an unresponsive worker have expired, so that nothing can be
/// running on it any more.
///
/// The last renewal that the worker answered extended each task by one lease. At most one more
/// renewal was sent after that, as a worker that does not answer gets none, and it may have reached
/// the worker just before a lease ended. A worker with a start of unknown outcome does not expire,
/// as that start may still arrive. After a pause of the owner, a worker has the same time to
/// answer, as it may hold finished tasks.
bool LeasesHaveExpired(const State& state, const RackState& rack, const WorkerState& worker) {
  if (!worker.in_record || !worker.ever_confirmed) return false;
  if (HasUnconfirmedStart(rack, worker)) return false;

  const Millis silence_limit = (state.settings.task_lease + state.settings.clock_margin) * 2;
  return state.now > std::max(worker.answered_at, worker.resumed_at) + silence_limit;
}

bool ShouldBeMember(const State& state, const RackState& rack, const WorkerState& worker) {
  if (worker.in_record) return !LeasesHaveExpired(state, rack, worker);

  return worker.ever_confirmed && worker.confirmed && !worker.leaving;
}

bool SameMembers(std::vector<RackMember> left, std::vector<RackMember> right) {
  const auto by_id = [](const RackMember& member) {
    return std::pair(member.vm, member.incarnation);
  };
  std::ranges::sort(left, {}, by_id);
  std::ranges::sort(right, {}, by_id);
  return left == right;
}

using AttemptsByTask = std::map<TaskKey, ReleasedAttempt>;

void KeepLatestAttempt(AttemptsByTask& attempts, const ReleasedAttempt& attempt) {
  ReleasedAttempt& latest = attempts[attempt.task];
  if (attempt.attempt > latest.attempt) latest = attempt;
}

/// Returns whether a later attempt is known to be running, or no later attempt will start.
bool IsSuperseded(const RackState& rack, const ReleasedAttempt& released) {
  const auto found = rack.parts.find(released.task.job);
  if (found == rack.parts.end()) return false;

  const PartState& part = found->second;
  const int32_t index = released.task.index;
  if (part.cancelled || part.recorded.completed.contains(index)) return true;
  if (part.recorded.failed.contains(index)) return true;

  const auto active = part.active.find(index);
  return active != part.active.end() && active->second.attempt > released.attempt &&
         active->second.phase == TaskPhase::kRunning;
}

/// Adds the attempts of a worker that is being removed from the record.
void AddAttemptsOfExpiredWorker(const RackState& rack, const WorkerState& worker,
                                AttemptsByTask& attempts) {
  for (const auto& [key, row] : worker.rows) {
    if (IsStoppedOrFailed(row))
      KeepLatestAttempt(attempts, ReleasedAttempt{key, row.attempt, row.checkpoint});
  }

  for (const TaskKey& key : worker.tasks) {
    const ActiveTask* task = FindActive(rack, key);
    if (task == nullptr) continue;

    const auto row = worker.rows.find(key);
    const bool has_row = row != worker.rows.end() && row->second.attempt == task->attempt;
    KeepLatestAttempt(
        attempts,
        ReleasedAttempt{key, task->attempt, has_row ? row->second.checkpoint : task->checkpoint});
  }
}

/// Adds the attempts whose next attempt is to start on the same worker.
void AddReplacedAttempts(const RackState& rack, const WorkerState& worker,
                         AttemptsByTask& attempts) {
  for (const TaskKey& key : worker.tasks) {
    const ActiveTask* task = FindActive(rack, key);
    const auto row = worker.rows.find(key);
    if (task == nullptr || row == worker.rows.end()) continue;
    if (task->phase != TaskPhase::kStarting || row->second.attempt == task->attempt) continue;

    KeepLatestAttempt(attempts, ReleasedAttempt{key, row->second.attempt, row->second.checkpoint});
  }
}

std::vector<ReleasedAttempt> ReleasedAttempts(const RackState& rack) {
  AttemptsByTask attempts;
  for (const ReleasedAttempt& released : rack.record.released)
    KeepLatestAttempt(attempts, released);

  for (const auto& [id, worker] : rack.workers) {
    if (worker.leases_expired) AddAttemptsOfExpiredWorker(rack, worker, attempts);
    AddReplacedAttempts(rack, worker, attempts);
  }

  std::vector<ReleasedAttempt> released;

  for (auto& [key, attempt] : attempts) {
    if (!IsSuperseded(rack, attempt)) released.push_back(std::move(attempt));
  }

  return released;
}

std::map<JobId, RecordedPart> ReadParts(const State& state, Effects& effects, const RackId& rack,
                                        const KvReply& reply, bool& complete) {
  std::map<JobId, RecordedPart> parts;
  const std::string prefix = PartPrefix(state, rack);

  for (const KvEntry& entry : reply.entries) {
    const auto job = AfterPrefix(entry.key, prefix);
    if (!job || !entry.value) continue;

    const Result<PartRecord> record = DecodePartRecord(*entry.value);

    if (!record) {
      Log(effects, Severity::kError, LogComponent::kTasks, "unreadable part record",
          {{"key", entry.key}, {"error", record.error().detail}});
      complete = false;
      continue;
    }

    RecordedPart& part = parts[JobId(*job)];
    part.completed.insert(record->completed.begin(), record->completed.end());
    part.failed.insert(record->failed.begin(), record->failed.end());
    part.revision = entry.revision;
  }

  return parts;
}

void OpenRack(State& state, Effects& effects, RackState& rack) {
  rack.phase = RackPhase::kOpen;
  for (const auto& [id, job] : state.work.jobs) ApplyJobToRack(state, effects, rack, job.record);

  for (auto& [id, worker] : rack.workers) {
    AdoptRows(state, effects, rack, worker);
    SendNextOrder(state, effects, rack, worker);
  }

  rack.placement_due = true;
  Log(effects, Severity::kInfo, LogComponent::kOwnership, "opened rack",
      {{"rack", rack.rack.Text()}, {"epoch", std::to_string(rack.epoch)}});
}

}  // namespace

void UpdateMembers(State& state, Effects& effects, RackState& rack) {
  if (rack.phase == RackPhase::kNotOwned || rack.write || state.shutdown.requested) return;
  if (state.now < rack.write_not_before) return;

  std::vector<RackMember> members;
  for (const auto& [id, worker] : rack.workers) {
    if (ShouldBeMember(state, rack, worker)) members.push_back(worker.member);
  }

  const bool attempt_release_due =
      rack.attempt_release_due && state.now >= rack.attempt_release_not_before;
  if (SameMembers(members, rack.record.members) && !attempt_release_due) return;

  // Until the outcome of the write is known, a worker that is being removed gets no order that
  // could extend the lease of a task.
  for (auto& [id, worker] : rack.workers)
    worker.leases_expired = LeasesHaveExpired(state, rack, worker);

  RackRecord record = rack.record;
  record.members = std::move(members);
  record.released = ReleasedAttempts(rack);
  rack.attempt_release_due = false;
  rack.attempt_release_not_before = state.now + state.settings.completion_interval;
  record.change_id = NextChangeId(state);
  rack.write = RackWrite{
      .kind = RackWriteKind::kMembers, .record = std::move(record), .expected = rack.revision};
  rack.write->request =
      CallKv(state, effects, RackWritten{rack.rack},
             KvPut{RackKey(state, rack.rack), Encode(rack.write->record), rack.revision});
}

bool IsReleased(const RackState& rack, const TaskKey& key, int32_t attempt) {
  return std::ranges::any_of(rack.record.released, [&](const ReleasedAttempt& released) {
    return released.task == key && released.attempt >= attempt;
  });
}

void RequeueReleasedAttempts(const State& state, RackState& rack, PartState& part) {
  for (const ReleasedAttempt& released : rack.record.released) {
    if (released.task.job != part.spec.job) continue;
    if (part.active.contains(released.task.index)) continue;

    const auto retry = part.retries.find(released.task.index);
    if (retry != part.retries.end() && retry->second.attempt > released.attempt) continue;

    Requeue(state, rack, released.task,
            QueuedRetry{.attempt = released.attempt + 1, .checkpoint = released.checkpoint});
  }
}

void ListPartsWhenConfirmed(State& state, Effects& effects, RackState& rack) {
  if (rack.phase != RackPhase::kRaisingEpoch && rack.phase != RackPhase::kListing) return;
  if (rack.list_request != 0 || state.now < rack.list_retry_at) return;

  const bool all_confirmed = std::ranges::all_of(rack.workers, [](const auto& row) {
    return !row.second.inherited || row.second.ever_confirmed;
  });
  if (!all_confirmed) return;

  // Read the part records only now: former owners can no longer acknowledge completions, so the
  // records are final.
  rack.phase = RackPhase::kListing;
  rack.list_request =
      CallKv(state, effects, PartsListed{rack.rack}, KvList{PartPrefix(state, rack.rack)});
}

void HandlePartsListed(State& state, Effects& effects, const RackId& id, RequestId request,
                       const KvReply& reply) {
  RackState& rack = state.work.racks[id];
  if (rack.list_request != request) return;

  rack.list_request = 0;
  rack.list_retry_at = state.now + kKvRetryInterval;
  if (rack.phase != RackPhase::kListing || reply.status != KvStatus::kOk) return;

  bool complete = true;
  rack.recorded = ReadParts(state, effects, id, reply, complete);
  // An unreadable record may list finished tasks. Without it no task may start again.
  if (!complete) return;

  OpenRack(state, effects, rack);
}

}  // namespace currantpost
