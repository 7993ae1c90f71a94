#include <algorithm>

#include "work.h"

/// Sends orders to workers and handles their replies.

namespace currantpost {
namespace {

/// Returns the fencing token that orders to a worker carry: the rack's epoch (grant) in the
/// high bits, the worker's fence in the low bits. Any token of a later grant exceeds every token of
/// this one.
Epoch OrderEpoch(const RackState& rack, const WorkerState& worker) {
  return rack.epoch * kFencesPerGrant + worker.fence;
}

/// Marks the worker as unconfirmed, and fences off orders that may still reach it late.
void MarkUnconfirmed(State& state, RackState& rack, WorkerState& worker) {
  if (worker.confirmed) worker.fence = ++rack.last_fence;

  worker.confirmed = false;
  worker.next_poll = std::min(worker.next_poll, state.now);
  RequeueUnsentStarts(state, rack, worker);
}

/// Returns the next order for a task, if one is due.
std::optional<WorkerOrder> NextTaskOrder(const State& state, const RackState& rack,
                                         const WorkerState& worker, const TaskKey& key) {
  const ActiveTask* task = FindActive(rack, key);
  if (task == nullptr) return std::nullopt;

  switch (task->phase) {
    case TaskPhase::kStarting: {
      // The worker refuses a start while it has a row of an earlier attempt.
      const auto past = worker.rows.find(key);
      if (past != worker.rows.end() && past->second.attempt != task->attempt) {
        if (!IsReleased(rack, key, past->second.attempt)) return std::nullopt;
        return AcknowledgeTask{key, past->second.attempt};
      }

      const JobSpec& spec = rack.parts.at(key.job).spec;
      return StartTask{.task = key,
                       .attempt = task->attempt,
                       .task_class = spec.task_class,
                       .kind = spec.kind,
                       .size = ComponentMax(spec.declared, task->size),
                       .run_time = spec.run_time,
                       .checkpoint = task->checkpoint,
                       .lease = state.settings.task_lease};
    }
    case TaskPhase::kStopping:
      if (task->checkpoint_due) return CheckpointTask{key, task->attempt};
      return StopTask{key, task->attempt};
    case TaskPhase::kAcknowledging:
      return AcknowledgeTask{key, task->attempt};
    case TaskPhase::kRunning: {
      const auto row = worker.rows.find(key);
      if (row == worker.rows.end() || row->second.throttled == task->throttle) return std::nullopt;
      return ThrottleTask{key, task->attempt, task->throttle};
    }
    case TaskPhase::kRecording:
      return std::nullopt;
  }

  return std::nullopt;
}

std::optional<WorkerOrder> NextOrphanedRowOrder(const State& state, const RackState& rack,
                                                const WorkerState& worker) {
  for (const auto& [key, row] : worker.rows) {
    if (IsActiveRow(rack, worker, row)) continue;

    switch (DecideOrphanedRow(state, rack, row)) {
      case OrphanedRowAction::kKeep:
        break;
      case OrphanedRowAction::kStop:
        return StopTask{key, row.attempt};
      case OrphanedRowAction::kAcknowledge:
        return AcknowledgeTask{key, row.attempt};
    }
  }

  return std::nullopt;
}

std::optional<WorkerOrder> NextOrder(const State& state, const RackState& rack,
                                     const WorkerState& worker) {
  const bool poll_due = state.now >= worker.next_poll;

  if (!worker.confirmed || !worker.in_record || worker.leases_expired) {
    if (!poll_due) return std::nullopt;
    return RaiseEpoch{};
  }

  if (poll_due) return RenewLeases{state.settings.task_lease};
  if (rack.phase != RackPhase::kOpen || state.now < worker.next_order) return std::nullopt;

  if (auto order = NextOrphanedRowOrder(state, rack, worker)) return order;

  for (const TaskKey& key : worker.tasks) {
    if (auto order = NextTaskOrder(state, rack, worker, key)) return order;
  }

  return std::nullopt;
}

/// Records whether a start order was sent. Ignores other orders.
void SetStartSent(RackState& rack, const WorkerOrder& order, bool sent) {
  const auto* start = std::get_if<StartTask>(&order);
  if (start == nullptr) return;

  ActiveTask* task = FindActive(rack, start->task);
  if (task == nullptr || task->phase != TaskPhase::kStarting) return;

  task->start_sent = sent;
}

/// Clears the pending checkpoint of a task after the worker answered the order. A refused order is
/// not retried: the task has ended, or resumes from its previous checkpoint.
void ClearCheckpointDue(RackState& rack, const WorkerOrder& order) {
  const auto* checkpoint = std::get_if<CheckpointTask>(&order);
  if (checkpoint == nullptr) return;

  ActiveTask* task = FindActive(rack, checkpoint->task);
  if (task != nullptr && task->attempt == checkpoint->attempt) task->checkpoint_due = false;
}

/// Replaces the state of a worker by that of its next incarnation.
void ReplaceIncarnation(State& state, Effects& effects, RackState& rack, WorkerState& worker,
                        const RackMember& next) {
  Log(effects, Severity::kInfo, LogComponent::kTasks, "worker was replaced",
      {{"worker", next.vm.Text()}, {"incarnation", std::to_string(next.incarnation)}});
  DropOutstandingOrder(state, worker);
  RequeueTasksOfWorker(state, effects, rack, worker);
  state.work.quarantine.Forget(worker.member.vm);
  state.work.evictions.Forget(worker.member.vm);

  worker = WorkerState{};
  worker.member = next;
  worker.fence = ++rack.last_fence;
  rack.placement_due = true;
}

void ApplyTable(State& state, Effects& effects, RackState& rack, WorkerState& worker,
                const WorkerTable& table) {
  // Poll at once, as leases may not have been renewed while the worker was unconfirmed.
  if (!worker.confirmed) worker.next_poll = state.now;

  worker.confirmed = true;
  worker.ever_confirmed = true;
  worker.answered_at = state.now;
  worker.capacity = table.capacity;
  worker.rows.clear();
  for (const WorkerTask& row : table.tasks) worker.rows[row.task] = row;

  if (rack.phase == RackPhase::kOpen && worker.in_record) {
    Reconcile(state, effects, rack, worker);
    HandleUsageReport(state, effects, rack, worker, table);
  }

  RecountCommitments(rack, worker);
  ListPartsWhenConfirmed(state, effects, rack);
  UpdateMembers(state, effects, rack);
}

/// Handles a rejection because the worker has seen a higher epoch. Returns whether this entry still
/// owns the rack.
bool HandleStaleEpoch(State& state, Effects& effects, RackState& rack, WorkerState& worker,
                      const WorkerTable& table) {
  const Epoch grant = table.epoch / kFencesPerGrant;

  if (grant > rack.epoch) {
    rack.highest_epoch = std::max(rack.highest_epoch, grant);
    DropRack(state, effects, rack, "a worker has seen a newer grant");
    return false;
  }

  worker.confirmed = false;

  if (grant == rack.epoch) {
    rack.last_fence = std::max(rack.last_fence, table.epoch % kFencesPerGrant);
    worker.fence = ++rack.last_fence;
  }

  return true;
}

void HandleLostReply(State& state, RackState& rack, WorkerState& worker, const WorkerOrder& order) {
  // Raising the same epoch again is harmless, so it needs no higher fence.
  if (std::holds_alternative<RaiseEpoch>(order)) {
    worker.confirmed = false;
    return;
  }

  MarkUnconfirmed(state, rack, worker);
}

/// Handles an order that did not reach the worker.
void HandleUnreachable(State& state, RackState& rack, WorkerState& worker,
                       const WorkerOrder& order) {
  SetStartSent(rack, order, false);
  worker.confirmed = false;
  worker.next_order = state.now + state.settings.worker_poll_interval;
  RequeueUnsentStarts(state, rack, worker);
}

/// Handles one reply. Returns whether this entry still owns the rack.
bool HandleReply(State& state, Effects& effects, RackState& rack, WorkerState& worker,
                 const WorkerOrder& order, const WorkerReply& reply) {
  if (reply.status == WorkerStatus::kUnknown) {
    HandleLostReply(state, rack, worker, order);
    return true;
  }

  if (reply.status == WorkerStatus::kUnreachable) {
    HandleUnreachable(state, rack, worker, order);
    return true;
  }

  if (reply.table.incarnation > worker.member.incarnation) {
    RackMember next = worker.member;
    next.incarnation = reply.table.incarnation;
    ReplaceIncarnation(state, effects, rack, worker, next);
    return true;
  }

  // A reply of an earlier incarnation does not describe this one.
  if (reply.table.incarnation < worker.member.incarnation) {
    HandleLostReply(state, rack, worker, order);
    return true;
  }

  if (reply.status == WorkerStatus::kStaleEpoch) {
    SetStartSent(rack, order, false);
    return HandleStaleEpoch(state, effects, rack, worker, reply.table);
  }

  if (reply.status == WorkerStatus::kRefused) {
    worker.next_order = state.now + state.settings.worker_poll_interval;
    if (std::holds_alternative<RaiseEpoch>(order)) return true;
  }

  ClearCheckpointDue(rack, order);
  ApplyTable(state, effects, rack, worker, reply.table);
  return true;
}

/// Treats an order without a reply within the timeout as lost.
void ExpireOrder(State& state, RackState& rack, WorkerState& worker) {
  if (!worker.outstanding) return;
  if (state.now - worker.outstanding->sent_at < kAnswerTimeout) return;

  const WorkerOrder order = worker.outstanding->order;
  DropOutstandingOrder(state, worker);
  HandleLostReply(state, rack, worker, order);
}

void ApplyListedVm(State& state, Effects& effects, RackState& rack, const VmRecord& vm) {
  const RackMember member{vm.vm, vm.incarnation, vm.worker};
  const auto found = rack.workers.find(vm.vm);

  if (found == rack.workers.end()) {
    if (vm.state == VmState::kLive) AddWorker(rack, member, false);
    return;
  }

  WorkerState& worker = found->second;
  if (vm.incarnation < worker.member.incarnation) return;

  if (vm.incarnation > worker.member.incarnation) {
    ReplaceIncarnation(state, effects, rack, worker, member);
  }

  if (!worker.in_record) worker.member.worker = vm.worker;
  worker.leaving = vm.state == VmState::kLeaving;
}

void ApplyVmList(State& state, Effects& effects) {
  for (const auto& [id, vm] : state.upstreams.vms) {
    if (vm.data_centre != state.settings.identity.data_centre || vm.worker.port == 0) continue;

    const auto rack = state.work.racks.find(vm.rack);
    if (rack == state.work.racks.end()) continue;
    if (rack->second.phase == RackPhase::kNotOwned) continue;

    ApplyListedVm(state, effects, rack->second, vm);
  }
}

/// Removes workers that are neither in the rack's record nor in the platform's list.
void RemoveUnlistedWorkers(State& state, RackState& rack) {
  for (auto worker = rack.workers.begin(); worker != rack.workers.end();) {
    const bool listed = state.upstreams.vms.contains(worker->first);
    const bool pending = rack.write.has_value();

    if (listed || pending || worker->second.in_record) {
      ++worker;
      continue;
    }

    DropOutstandingOrder(state, worker->second);
    worker = rack.workers.erase(worker);
  }
}

}  // namespace

void AddWorker(RackState& rack, const RackMember& member, bool in_record) {
  WorkerState& worker = rack.workers[member.vm];
  worker.member = member;
  worker.in_record = in_record;
  worker.inherited = in_record;
  worker.fence = ++rack.last_fence;
}

void DropOutstandingOrder(State& state, WorkerState& worker) {
  if (!worker.outstanding) return;

  state.work.orders.erase(worker.outstanding->request);
  worker.outstanding.reset();
}

void MarkWorkersUnconfirmed(State& state, Effects& effects) {
  for (auto& [id, rack] : state.work.racks) {
    for (auto& [vm, worker] : rack.workers) {
      worker.resumed_at = state.now;
      DropOutstandingOrder(state, worker);
      MarkUnconfirmed(state, rack, worker);
      SendNextOrder(state, effects, rack, worker);
    }
  }
}

void UpdateWorkers(State& state, Effects& effects) {
  ApplyVmList(state, effects);

  for (auto& [id, rack] : state.work.racks) {
    if (rack.phase == RackPhase::kNotOwned) continue;

    RemoveUnlistedWorkers(state, rack);
    for (auto& [vm, worker] : rack.workers) ExpireOrder(state, rack, worker);

    ListPartsWhenConfirmed(state, effects, rack);
    UpdateMembers(state, effects, rack);
    for (auto& [vm, worker] : rack.workers) SendNextOrder(state, effects, rack, worker);
  }
}

void SendNextOrder(State& state, Effects& effects, RackState& rack, WorkerState& worker) {
  if (rack.phase == RackPhase::kNotOwned || worker.outstanding) return;

  std::optional<WorkerOrder> order = NextOrder(state, rack, worker);
  if (!order) return;

  if (state.now >= worker.next_poll) {
    worker.next_poll = state.now + state.settings.worker_poll_interval;
  }

  SetStartSent(rack, *order, true);

  const RequestId request = NextRequest(state);
  worker.outstanding = OutstandingOrder{request, *order, state.now};
  state.work.orders[request] = rack.rack;
  effects.emplace_back(WorkerCall{.request = request,
                                  .worker = worker.member.vm,
                                  .incarnation = worker.member.incarnation,
                                  .address = worker.member.worker,
                                  .epoch = OrderEpoch(rack, worker),
                                  .order = *std::move(order)});
}

void HandleWorkerAnswered(State& state, Effects& effects, const WorkerAnswered& answer) {
  const auto order = state.work.orders.find(answer.request);
  if (order == state.work.orders.end()) return;

  RackState& rack = state.work.racks[order->second];
  state.work.orders.erase(order);

  const auto found = rack.workers.find(answer.worker);
  if (found == rack.workers.end()) return;

  WorkerState& worker = found->second;
  if (!worker.outstanding || worker.outstanding->request != answer.request) return;

  const WorkerOrder sent = std::move(worker.outstanding->order);
  worker.outstanding.reset();

  if (!HandleReply(state, effects, rack, worker, sent, answer.reply)) return;

  SendNextOrder(state, effects, rack, worker);
}

}  // namespace currantpost
