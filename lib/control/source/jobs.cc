#include <xxhash.h>

#include <algorithm>

#include "work.h"

/// Job records: accepts and cancels jobs, and applies the records from the store.

namespace currantpost {
namespace {

/// Time after which a command fails if the store has not confirmed it.
constexpr Millis kCommandTimeout = Millis(10'000);
/// Maximum number of tasks counted for one VM when a job is distributed.
constexpr int64_t kMaxSlotsPerVm = 1'000;

/// Capacity of one rack for a job's tasks.
struct RackCapacity {
  RackId rack;
  uint64_t order = 0;
  int64_t slots = 0;
};

int64_t CountSlots(const Resources& capacity, const Resources& need) {
  int64_t slots = kMaxSlotsPerVm;
  if (need.millicores > 0) slots = std::min(slots, capacity.millicores / need.millicores);
  if (need.memory_mib > 0) slots = std::min(slots, capacity.memory_mib / need.memory_mib);
  if (need.accelerators > 0) slots = std::min(slots, capacity.accelerators / need.accelerators);
  return slots;
}

Resources UsableCapacity(const State& state, const VmRecord& vm) {
  const double share = 1.0 - state.settings.capacity_reserve;
  Resources usable = vm.capacity;
  usable.millicores = static_cast<int64_t>(static_cast<double>(usable.millicores) * share);
  usable.memory_mib = static_cast<int64_t>(static_cast<double>(usable.memory_mib) * share);
  return usable;
}

/// Returns the racks with capacity for at least one task, in a job-specific order.
std::vector<RackCapacity> RacksWithCapacity(const State& state, const JobSpec& spec) {
  std::map<RackId, int64_t> slots;

  for (const auto& [id, vm] : state.upstreams.vms) {
    if (vm.data_centre != state.settings.identity.data_centre) continue;
    if (vm.worker.port == 0 || vm.rack.Empty() || vm.state != VmState::kLive) continue;

    slots[vm.rack] += CountSlots(UsableCapacity(state, vm), spec.declared);
  }

  std::vector<RackCapacity> racks;

  for (const auto& [rack, count] : slots) {
    if (count == 0) continue;

    const std::string text = spec.job.Text() + "/" + rack.Text();
    racks.push_back(RackCapacity{rack, XXH64(text.data(), text.size(), 0), count});
  }

  std::ranges::sort(racks, {}, &RackCapacity::order);
  return racks;
}

/// Distributes the tasks over racks in proportion to their capacity.
std::vector<JobPart> DistributeTasks(const std::vector<RackCapacity>& racks, int32_t task_count) {
  int64_t total = 0;
  for (const RackCapacity& rack : racks) total += rack.slots;

  std::vector<JobPart> parts;
  int32_t next = 0;

  for (const RackCapacity& rack : racks) {
    const int64_t share = (task_count * rack.slots + total - 1) / total;
    const auto count = static_cast<int32_t>(std::min<int64_t>(share, task_count - next));
    if (count == 0) break;

    parts.push_back(JobPart{rack.rack, next, count});
    next += count;
  }

  return parts;
}

/// Returns why a job cannot be accepted, or an empty error.
Error ValidateJob(const State& state, const JobSpec& spec) {
  if (state.shutdown.requested) return MakeError(ErrorCode::kShuttingDown);
  if (spec.task_count < 1 || spec.declared.millicores < 1) {
    return MakeError(ErrorCode::kInvalidArgument, "task_count or millicores");
  }
  if (!state.upstreams.list_known) return MakeError(ErrorCode::kUnavailable, "list of VMs");

  const auto quota = state.configuration.current.quotas.find(spec.team.Text());
  const bool has_quota = quota != state.configuration.current.quotas.end();
  if (spec.task_class == TaskClass::kBatch && has_quota &&
      !FitsWithin(spec.declared, quota->second)) {
    return MakeError(ErrorCode::kNeverFits, "quota of team " + spec.team.Text());
  }

  if (RacksWithCapacity(state, spec).empty()) {
    return MakeError(ErrorCode::kNeverFits, "larger than any VM of the data centre");
  }

  return Error{};
}

std::string JobBody(const JobRecord& record) {
  return nlohmann::json{{"job", record.spec.job.Text()},
                        {"tasks", record.spec.task_count},
                        {"cancelled", record.cancelled}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void AcceptJob(State& state, Effects& effects, const PendingSubmit& submit, const JobRecord& record,
               KvRevision revision) {
  Log(effects, Severity::kInfo, LogComponent::kJobs, "accepted job",
      {{"job", record.spec.job.Text()}, {"tasks", std::to_string(record.spec.task_count)}});
  ReplyOk(effects, submit.command, JobBody(record));
  ApplyJobRecord(state, effects, record.spec.job, record, revision);
}

void SendSubmit(State& state, Effects& effects, PendingSubmit& submit) {
  submit.request = CallKv(state, effects, SubmitWritten{submit.command},
                          KvPut{JobKey(state, submit.record.spec.job), Encode(submit.record), 0});
}

/// Resolves a conflicting submission by comparing it with the existing record.
void ResolveSubmitConflict(State& state, Effects& effects, const PendingSubmit& submit,
                           const KvReply& reply) {
  const JobId& job = submit.record.spec.job;

  if (reply.entries.empty() || !reply.entries.front().value) {
    ReplyError(effects, submit.command, MakeError(ErrorCode::kConflict, job.Text()));
    return;
  }

  const KvEntry& entry = reply.entries.front();
  const Result<JobRecord> existing = DecodeJobRecord(*entry.value);

  if (!existing) {
    ReplyError(effects, submit.command, existing.error());
    return;
  }

  if (existing->spec != submit.record.spec) {
    ReplyError(effects, submit.command, MakeError(ErrorCode::kAlreadyExists, job.Text()));
    return;
  }

  AcceptJob(state, effects, submit, *existing, entry.revision);
}

/// Returns the error for a command that the store has not confirmed.
Error UnconfirmedError(bool maybe_applied, const JobId& job) {
  if (!maybe_applied) return MakeError(ErrorCode::kUnavailable, job.Text());

  return MakeError(ErrorCode::kOutcomeUnknown,
                   job.Text() + ": ask again under the same name, which is safe");
}

void SendCancelRead(State& state, Effects& effects, PendingCancel& cancel) {
  cancel.reading = true;
  cancel.request =
      CallKv(state, effects, CancelAnswered{cancel.command}, KvGet{JobKey(state, cancel.job)});
}

void SendCancelWrite(State& state, Effects& effects, PendingCancel& cancel) {
  cancel.reading = false;
  cancel.request = CallKv(state, effects, CancelAnswered{cancel.command},
                          KvPut{JobKey(state, cancel.job), Encode(cancel.record), cancel.expected});
}

/// Handles the read of the current record. Returns whether the command is done.
bool HandleCancelRead(State& state, Effects& effects, PendingCancel& cancel, const KvReply& reply) {
  if (reply.entries.empty() || !reply.entries.front().value) {
    ReplyError(effects, cancel.command, MakeError(ErrorCode::kNotFound, cancel.job.Text()));
    return true;
  }

  const KvEntry& entry = reply.entries.front();
  Result<JobRecord> record = DecodeJobRecord(*entry.value);

  if (!record) {
    ReplyError(effects, cancel.command, record.error());
    return true;
  }

  if (record->cancelled) {
    ReplyOk(effects, cancel.command, JobBody(*record));
    ApplyJobRecord(state, effects, cancel.job, *record, entry.revision);
    return true;
  }

  cancel.record = *std::move(record);
  cancel.record.cancelled = true;
  cancel.record.change_id = cancel.change_id;
  cancel.expected = entry.revision;
  SendCancelWrite(state, effects, cancel);
  return false;
}

/// Handles one reply of the store. Returns whether the command is done.
bool HandleCancelReply(State& state, Effects& effects, PendingCancel& cancel,
                       const KvReply& reply) {
  switch (reply.status) {
    case KvStatus::kOk:
      if (cancel.reading) return HandleCancelRead(state, effects, cancel, reply);
      ReplyOk(effects, cancel.command, JobBody(cancel.record));
      ApplyJobRecord(state, effects, cancel.job, cancel.record, reply.revision);
      return true;
    case KvStatus::kUnavailable:
      if (cancel.maybe_applied) break;
      ReplyError(effects, cancel.command, MakeError(ErrorCode::kUnavailable, cancel.job.Text()));
      return true;
    case KvStatus::kConflict:
      SendCancelRead(state, effects, cancel);
      return false;
    case KvStatus::kUnknown:
    case KvStatus::kMalformed:
      if (!cancel.reading) cancel.maybe_applied = true;
      break;
  }

  cancel.retry_at = state.now + kKvRetryInterval;
  return false;
}

const JobId& JobIdOf(const PendingSubmit& submit) { return submit.record.spec.job; }

const JobId& JobIdOf(const PendingCancel& cancel) { return cancel.job; }

/// Returns whether the store may hold the change although no reply has confirmed it.
/// @{
bool MayBeApplied(const PendingSubmit& submit) {
  return submit.maybe_applied || submit.request != 0;
}

bool MayBeApplied(const PendingCancel& cancel) {
  return cancel.maybe_applied || (cancel.request != 0 && !cancel.reading);
}
/// @}

template <typename Pending, typename Send>
void RetryPending(State& state, Effects& effects, std::map<RequestId, Pending>& pending,
                  Send send) {
  for (auto position = pending.begin(); position != pending.end();) {
    Pending& command = position->second;

    if (state.now >= command.deadline) {
      ReplyError(effects, command.command,
                 UnconfirmedError(MayBeApplied(command), JobIdOf(command)));
      position = pending.erase(position);
      continue;
    }

    if (command.request == 0 && state.now >= command.retry_at) send(state, effects, command);
    ++position;
  }
}

}  // namespace

void ApplyJobRecord(State& state, Effects& effects, const JobId& id, const JobRecord& record,
                    KvRevision revision) {
  JobState& job = state.work.jobs[id];
  if (revision <= job.revision) return;

  job.record = record;
  job.revision = revision;
  state.work.absent_jobs.erase(id);

  for (const JobPart& part : record.parts) {
    const auto rack = state.work.racks.find(part.home);
    if (rack != state.work.racks.end()) ApplyJobToRack(state, effects, rack->second, record);
  }
}

void LookUpJob(State& state, Effects& effects, const JobId& job) {
  if (state.work.absent_jobs.contains(job)) return;
  if (!state.work.lookups.insert(job).second) return;

  CallKv(state, effects, JobLookedUp{job}, KvGet{JobKey(state, job)});
}

void HandleJobLookedUp(State& state, Effects& effects, const JobId& job, const KvReply& reply) {
  state.work.lookups.erase(job);
  if (reply.status != KvStatus::kOk) return;

  if (reply.entries.empty() || !reply.entries.front().value) {
    if (!state.work.jobs.contains(job)) state.work.absent_jobs.insert(job);
    return;
  }

  const KvEntry& entry = reply.entries.front();
  const Result<JobRecord> record = DecodeJobRecord(*entry.value);
  if (record) ApplyJobRecord(state, effects, job, *record, entry.revision);
}

void HandleSubmit(State& state, Effects& effects, const CommandReceived& received,
                  const SubmitJob& body) {
  if (state.work.submits.contains(received.command)) return;

  if (const Error refusal = ValidateJob(state, body.spec); refusal.code) {
    ReplyError(effects, received.command, refusal);
    return;
  }

  PendingSubmit& submit = state.work.submits[received.command];
  submit.command = received.command;
  submit.deadline = state.now + kCommandTimeout;
  submit.record.spec = body.spec;
  submit.record.change_id = received.change_id;
  submit.record.parts = DistributeTasks(RacksWithCapacity(state, body.spec), body.spec.task_count);
  SendSubmit(state, effects, submit);
}

void HandleSubmitWritten(State& state, Effects& effects, RequestId command, RequestId request,
                         const KvReply& reply) {
  const auto found = state.work.submits.find(command);
  if (found == state.work.submits.end() || found->second.request != request) return;

  PendingSubmit& submit = found->second;
  submit.request = 0;

  switch (reply.status) {
    case KvStatus::kOk:
      AcceptJob(state, effects, submit, submit.record, reply.revision);
      break;
    case KvStatus::kConflict:
      ResolveSubmitConflict(state, effects, submit, reply);
      break;
    case KvStatus::kUnavailable:
      if (submit.maybe_applied) {
        submit.retry_at = state.now + kKvRetryInterval;
        return;
      }
      ReplyError(effects, command, UnconfirmedError(false, submit.record.spec.job));
      break;
    case KvStatus::kUnknown:
    case KvStatus::kMalformed:
      submit.maybe_applied = true;
      submit.retry_at = state.now + kKvRetryInterval;
      return;
  }

  state.work.submits.erase(found);
}

void HandleCancel(State& state, Effects& effects, const CommandReceived& received,
                  const CancelJob& body) {
  if (state.work.cancels.contains(received.command)) return;

  PendingCancel& cancel = state.work.cancels[received.command];
  cancel.command = received.command;
  cancel.job = body.job;
  cancel.change_id = received.change_id;
  cancel.deadline = state.now + kCommandTimeout;
  SendCancelRead(state, effects, cancel);
}

void HandleCancelAnswered(State& state, Effects& effects, RequestId command, RequestId request,
                          const KvReply& reply) {
  const auto found = state.work.cancels.find(command);
  if (found == state.work.cancels.end() || found->second.request != request) return;

  found->second.request = 0;
  if (HandleCancelReply(state, effects, found->second, reply)) state.work.cancels.erase(found);
}

void UpdateCommands(State& state, Effects& effects) {
  RetryPending(state, effects, state.work.submits, SendSubmit);
  RetryPending(state, effects, state.work.cancels, SendCancelRead);
}

}  // namespace currantpost
