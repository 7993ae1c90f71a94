#include <algorithm>

#include "work.h"

/// Which workers an owned rack has, and how a taken rack opens.

namespace currantpost {
namespace {

/// Says whether the worker may have a task that no table has shown yet.
bool HasUnsettledStart(const RackState& rack, const WorkerState& worker) {
  return std::ranges::any_of(worker.tasks, [&rack](const TaskKey& key) {
    const ActiveTask* task = FindActive(rack, key);
    return task != nullptr && task->phase == TaskPhase::kStarting && task->sent;
  });
}

/// Says whether nothing can be running at a silent worker any more.
///
/// Its last answered renewal gave each task one lease. At most one renewal was sent after that, as
/// a worker that does not answer gets none, and it may have reached a task just before its lease
/// ended. A start of unknown outcome may still arrive, so such a worker is waited for. After a pause
/// of the owner a worker gets the same time to answer, as it may hold finished tasks.
bool HasLapsed(const State& state, const RackState& rack, const WorkerState& worker) {
  if (!worker.in_record || !worker.ever_confirmed) return false;
  if (HasUnsettledStart(rack, worker)) return false;

  const Millis bound = (state.settings.task_lease + state.settings.clock_margin) * 2;
  return state.now > std::max(worker.answered_at, worker.resumed_at) + bound;
}

bool ShouldBeMember(const State& state, const RackState& rack, const WorkerState& worker) {
  if (worker.in_record) return !HasLapsed(state, rack, worker);

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

std::map<JobId, RecordedPart> ReadParts(const State& state, Effects& effects, const RackId& rack,
                                        const KvReply& reply, bool& whole) {
  std::map<JobId, RecordedPart> parts;
  const std::string prefix = PartPrefix(state, rack);

  for (const KvEntry& entry : reply.entries) {
    const auto job = AfterPrefix(entry.key, prefix);
    if (!job || !entry.value) continue;

    const Result<PartRecord> record = DecodePartRecord(*entry.value);

    if (!record) {
      Log(effects, Severity::kError, Part::kTasks, "unreadable part record",
          {{"key", entry.key}, {"error", record.error().detail}});
      whole = false;
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
    DriveWorker(state, effects, rack, worker);
  }

  rack.placement_due = true;
  Log(effects, Severity::kInfo, Part::kOwnership, "opened rack",
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

  if (SameMembers(members, rack.record.members)) return;

  // Until the write is settled, a worker that is left out gets no order that could keep a task
  // alive.
  for (auto& [id, worker] : rack.workers) worker.lapsed = HasLapsed(state, rack, worker);

  RackRecord record = rack.record;
  record.members = std::move(members);
  record.change_id = NextChangeId(state);
  rack.write = RackWrite{
      .kind = RackWriteKind::kMembers, .record = std::move(record), .expected = rack.revision};
  rack.write->request =
      CallKv(state, effects, RackWritten{rack.rack},
             KvPut{RackKey(state, rack.rack), Encode(rack.write->record), rack.revision});
}

void ListPartsWhenRaised(State& state, Effects& effects, RackState& rack) {
  if (rack.phase != RackPhase::kRaising && rack.phase != RackPhase::kListing) return;
  if (rack.list_request != 0 || state.now < rack.list_retry_at) return;

  const bool raised = std::ranges::all_of(rack.workers, [](const auto& row) {
    return !row.second.inherited || row.second.ever_confirmed;
  });
  if (!raised) return;

  // Former owners can acknowledge no completion any more, so the records are read only now.
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

  bool whole = true;
  rack.recorded = ReadParts(state, effects, id, reply, whole);
  // A record that cannot be read may name finished tasks; without it nothing may start again.
  if (!whole) return;

  OpenRack(state, effects, rack);
}

}  // namespace currantpost
