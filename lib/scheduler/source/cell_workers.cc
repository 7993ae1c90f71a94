#include "cell_workers.h"

#include <utility>

/// Workers of owned cells: which there are, and when each is polled and gets orders.

namespace currantpost::scheduler {
namespace {

/// Fencing tokens reserved for each grant. A token is the revision of the grant times this number
/// plus the worker's fence, so any later grant has higher tokens than all fences of this one.
constexpr FencingToken kFencesPerGrant = FencingToken{1} << 20U;
/// Number of consecutive failed runs after which a worker is quarantined. Assumes that
/// 5 % of runs fail for reasons unrelated to the worker; two in a row then happen by chance once in
/// 400 times.
constexpr int32_t kFailuresToQuarantine = 2;
constexpr Millis kQuarantine = Millis(2'000);
constexpr Millis kMaxQuarantine = Millis(8'000);
/// Minimum interval between two polls of a worker that has not answered under the grant. Replies
/// take a few milliseconds.
constexpr Millis kMinUncontactedPollInterval = Millis(200);
/// Maximum time between two checks of a worker for which nothing has changed.
constexpr Millis kMaxCheckInterval = Millis(1'000);

/// Longest time that what a worker says of itself is assumed to take until it is read: a heartbeat.
constexpr Millis kMaxReadDelay = Millis(1'500);

/// Returns the earliest time at which the drain time of a worker may end that has just been read:
/// it announced that after the copy of the registry was last complete.
Millis EndOfDrain(const State& state, const WorkerAnnouncement& worker) {
  const auto registry = state.feeds.find(Feed::kWorkers);
  const std::optional<Millis> complete_at =
      registry == state.feeds.end() ? std::nullopt : registry->second.known_at;
  const Millis announced_at = std::max(complete_at.value_or(Millis(0)), state.now - kMaxReadDelay);
  return announced_at + worker.drain_remaining.value_or(state.settings.drain_time);
}

/// Returns whether the state of a worker can be dropped without losing anything.
bool IsIdle(const WorkerState& worker) {
  const bool recorded =
      std::ranges::all_of(worker.ends, [](const auto& row) { return row.second.recorded; });
  return recorded && worker.tasks.empty() && worker.polls.empty() && worker.order_request == 0 &&
         worker.stops.empty() && worker.reservations == 0;
}

}  // namespace

FencingToken TokenOf(const OwnedCell& cell, const WorkerState& worker) {
  return cell.grant * kFencesPerGrant + worker.fence;
}

void RaiseFence(State& state, WorkerState& worker) {
  ++worker.fence;
  worker.confirmed = false;
  worker.next_poll = state.now;
}

void PollUncontactedWorkers(State& state, OwnedCell& cell) {
  for (auto& [id, worker] : cell.workers) {
    if (worker.contacted || !MayHaveRuns(worker)) continue;

    const bool just_polled = std::ranges::any_of(worker.polls, [&](const PollInFlight& poll) {
      return state.now - poll.sent_at < kMinUncontactedPollInterval;
    });
    if (just_polled) continue;

    RaiseFence(state, worker);
    worker.needs_update = true;
  }
}

void HandleNewIncarnation(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                          int64_t incarnation) {
  const bool is_first = worker.info.incarnation == 0;

  if (!is_first) {
    const auto renewals = std::ranges::count_if(
        worker.polls, [](const auto& poll) { return poll.grant.has_value(); });
    Log(effects, Severity::kInfo, "worker has restarted",
        {{"worker", worker.info.id.Text()},
         {"tasks", std::to_string(worker.tasks.size())},
         {"former", std::to_string(worker.info.incarnation)},
         {"incarnation", std::to_string(incarnation)},
         {"renewals_in_flight", std::to_string(renewals)},
         {"unanswered_renewal", worker.unanswered_grant ? "yes" : "no"},
         {"order_in_flight", worker.order_request != 0 ? "yes" : "no"}});
  }

  worker.info.incarnation = incarnation;
  worker.announced_incarnation = 0;
  ++worker.fence;
  worker.confirmed = false;
  worker.polls.clear();
  worker.next_poll = state.now;
  worker.clock_ms.reset();
  worker.lease.earliest = Millis(0);
  worker.unanswered_grant.reset();
  worker.order_request = 0;
  worker.next_order = state.now;
  worker.stops.clear();
  worker.ends.clear();
  worker.forgotten = 0;
  worker.orphaned_runs.clear();

  const std::vector<TaskRef> refs(worker.tasks.begin(), worker.tasks.end());

  for (const TaskRef& ref : refs) {
    const TaskState* task = FindTask(cell, ref);
    if (task == nullptr || !WasBoundBefore(task->worker_incarnation, incarnation)) continue;

    HandleLostRun(state, effects, cell, ref, LossReason::kWorkerRestarted);
  }
}

void HandleAnnouncedIncarnation(State& state, Effects& effects, OwnedCell& cell,
                                WorkerState& worker, int64_t incarnation) {
  if (incarnation == worker.refuted_incarnation || incarnation == worker.announced_incarnation)
    return;

  const bool is_unknown = worker.info.incarnation == 0 && !MayHaveRuns(worker);
  if (is_unknown || worker.info.address.port == 0) {
    return HandleNewIncarnation(state, effects, cell, worker, incarnation);
  }

  worker.announced_incarnation = incarnation;
  worker.announced_at = state.now;
  RaiseFence(state, worker);
  worker.needs_update = true;
}

void RecordWorkerFailure(State& state, Effects& effects, WorkerState& worker) {
  ++worker.failures_in_row;
  if (worker.failures_in_row < kFailuresToQuarantine) return;

  const int64_t times = int64_t{1} << std::min(worker.failures_in_row - kFailuresToQuarantine, 4);
  const Millis span = std::min(kQuarantine * times, kMaxQuarantine);
  worker.quarantined_until = state.now + span;
  Log(effects, Severity::kInfo, "worker is quarantined",
      {{"worker", worker.info.id.Text()},
       {"failures", std::to_string(worker.failures_in_row)},
       {"for_ms", std::to_string(span.Count())}});
}

void RecordRunStart(const State& state, Effects& effects, OwnedCell& cell, JobState& job,
                    const WorkerState& worker) {
  if (job.phase != JobPhase::kQueued) return;

  MarkActive(cell, job);
  Log(effects, Severity::kInfo, "job has started",
      {{"job", job.record.spec.job.Text()},
       {"cell", cell.cell.Text()},
       {"worker", worker.info.id.Text()},
       {"bound_ms",
        std::to_string((state.now - job.first_bound_at.value_or(job.taken_over_at)).Count())}});
}

WorkerState& FindOrAddWorker(OwnedCell& cell, const VmId& id) {
  const auto [found, added] = cell.workers.try_emplace(id);

  if (added) {
    found->second.info.id = id;
    found->second.fence = cell.dropped_fence + 1;
    found->second.lease.inherited = InheritedExpiry(cell, id);

    const auto address = cell.hand_over.addresses.find(id);
    if (address != cell.hand_over.addresses.end()) found->second.info.address = address->second;
  }

  return found->second;
}

void ApplyRegistryItem(State& state, const StoreItem& item) {
  const VmId id(item.key);

  if (item.removed || !item.worker) {
    state.registry.erase(id);
    return;
  }

  WorkerAnnouncement& known = state.registry[id];
  // An incarnation that drains does so to its end. An older change may arrive after a read.
  const bool drains = known.draining && known.incarnation == item.worker->incarnation;
  const Millis drain_ends_at = known.drain_ends_at;
  known = *item.worker;
  known.draining = known.draining || drains;
  if (known.draining) known.drain_ends_at = drains ? drain_ends_at : EndOfDrain(state, known);
}

void HandleWorkerRead(State& state, Effects& effects, const WorkerRead& read,
                      const StoreReply& reply) {
  OwnedCell* cell = FindCell(state, read.cell, read.grant);
  if (cell == nullptr) return;

  const auto found = cell->workers.find(read.worker);
  if (found == cell->workers.end()) return;

  WorkerState& worker = found->second;
  worker.registration_request = 0;
  const bool is_gone = reply.status == StoreStatus::kNotFound;
  if (reply.status != StoreStatus::kOk && !is_gone) return;

  // The copy may hold newer changes than the reply, which doesn't say of a missing entry how old it
  // is.
  const KvRevision copied = state.feeds[Feed::kWorkers].revision;
  const bool is_older = reply.revision < copied && read.copied < copied;
  if (is_older && reply.revision == 0) return;

  worker.registration_known_at = worker.registration_sent_at;
  if (is_older) return;

  if (is_gone) {
    ApplyRegistryItem(state, StoreItem{.key = read.worker.Text(), .removed = true});
  }
  for (const StoreItem& item : reply.items) ApplyRegistryItem(state, item);
  ApplyRegistry(state, effects);
}

void ApplyRegistry(State& state, Effects& effects) {
  state.new_racks.recount = true;

  for (auto& [id, cell] : state.cells) {
    if (!cell.open) continue;

    for (auto& [worker_id, worker] : cell.workers) {
      const bool listed = state.registry.contains(worker_id);
      const bool dropped = std::exchange(worker.listed, listed) && !listed;
      if (dropped) {
        LogLeaseState(state, effects, cell, worker, "worker was removed from the registry");
      }
    }
  }

  for (const auto& [worker_id, info] : state.registry) {
    const auto cell_id = state.view.layout.cell_of_rack.find(info.rack);
    if (cell_id == state.view.layout.cell_of_rack.end()) continue;

    const auto cell = state.cells.find(cell_id->second);
    if (cell == state.cells.end() || !cell->second.open) continue;

    WorkerState& worker = FindOrAddWorker(cell->second, worker_id);
    const int64_t known_incarnation = worker.info.incarnation;
    if (info.incarnation < known_incarnation) continue;

    const bool began_draining = info.draining && !worker.info.draining;
    const bool returned = !std::exchange(worker.listed, true);
    worker.info = info;
    worker.info.incarnation = known_incarnation;
    // An earlier poll may wait on a connection that was cut.
    if (returned && !worker.contacted) RaiseFence(state, worker);

    if (info.incarnation > known_incarnation) {
      HandleAnnouncedIncarnation(state, effects, cell->second, worker, info.incarnation);
    }

    if (began_draining) {
      Log(effects, Severity::kInfo, "worker is draining",
          {{"worker", worker_id.Text()},
           {"tasks", std::to_string(worker.tasks.size())},
           {"remaining_ms", std::to_string((info.drain_ends_at - state.now).Count())}});
    }

    cell->second.placement_due = true;
  }
}

void UpdateWorkers(State& state, Effects& effects, OwnedCell& cell) {
  const bool all = std::exchange(cell.worker_update_due, false);
  const Millis wake_at = state.wake_at;

  for (auto row = cell.workers.begin(); row != cell.workers.end();) {
    WorkerState& worker = row->second;

    if (!all && !worker.needs_update && state.now < worker.due_at) {
      ++row;
      continue;
    }

    worker.needs_update = false;
    ForgetSilenceIfAway(state, worker);
    state.wake_at = state.now + kMaxCheckInterval;
    RequeueUnsentStarts(state, cell, worker);
    RequeueExpiredTasks(state, effects, cell, worker);
    SendDuePoll(state, effects, cell, worker);
    SendDueStops(state, effects, cell, worker);
    SendDueOrder(state, effects, cell, worker);
    ReadRegistration(state, effects, cell, worker);
    worker.due_at = state.wake_at;

    if (!worker.listed && IsIdle(worker)) {
      cell.dropped_fence = std::max(cell.dropped_fence, worker.fence);
      row = cell.workers.erase(row);
    } else {
      ++row;
    }
  }

  state.wake_at = wake_at;
  for (const auto& [id, worker] : cell.workers) WakeAt(state, worker.due_at);
}

void HandleWorkerAnswered(State& state, Effects& effects, const WorkerAnswered& answered) {
  const auto purpose = state.worker_calls.find(answered.request);
  if (purpose == state.worker_calls.end()) return;

  const WorkerCallInFlight call = purpose->second;
  state.worker_calls.erase(purpose);

  const auto cell = state.cells.find(call.cell);
  if (cell == state.cells.end()) return;

  const auto found = cell->second.workers.find(call.worker);
  if (found == cell->second.workers.end()) return;

  WorkerState& worker = found->second;
  worker.needs_update = true;

  if (const auto stop = worker.stops.find(answered.request); stop != worker.stops.end()) {
    const StopTask order = stop->second;
    worker.stops.erase(stop);
    HandleStopReply(state, effects, cell->second, worker, order, answered.reply.status);
    return;
  }

  if (!call.poll) {
    if (worker.order_request == answered.request) {
      HandleOrderReply(state, effects, cell->second, worker, answered.reply);
    }
    return;
  }

  const auto poll = std::ranges::find(worker.polls, answered.request, &PollInFlight::request);
  if (poll == worker.polls.end()) return;

  const PollInFlight sent = *poll;
  worker.polls.erase(poll);

  const bool has_lists =
      answered.reply.status == OrderStatus::kOk ||
      (answered.reply.status == OrderStatus::kOtherIncarnation && answered.reply.incarnation != 0);
  if (has_lists) {
    HandlePollReply(state, effects, cell->second, worker, sent, answered.reply);
  } else if (sent.token == TokenOf(cell->second, worker)) {
    HandleFailedPoll(state, effects, cell->second, worker, sent, answered.reply.status);
  } else {
    // A poll under an earlier fence tells nothing of the one that replaced it, but of its worker.
    NoteUnanswered(state, cell->second, worker, sent);
  }
}

}  // namespace currantpost::scheduler
