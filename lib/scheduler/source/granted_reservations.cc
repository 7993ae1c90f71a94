#include "background_work.h"
#include "capacity_offers.h"
#include "cell_load.h"
#include "overdue_request.h"
#include "owner_contact.h"
#include "reservations.h"
#include "worker_hold.h"

/// Capacity that the owner of a cell reserves for tasks of other cells.

namespace currantpost::scheduler {
namespace {

PlacementRequest PlacementOf(const ReservationRequest& request, Millis now) {
  return PlacementRequest{
      .name = request.name,
      .spec = request.step,
      .service = request.service,
      .avoided_worker = VmId(),
      .ready_at = now,
      .priority = request.priority,
      .is_overdue = request.is_overdue,
      .absent_since = request.is_interrupted
                          ? std::optional(now - request.absent + request.runs_for)
                          : std::nullopt};
}

void ReleaseWorkers(OwnedCell& cell, const Reservation& held) {
  cell.placement_due = true;

  for (const VmId& id : held.workers) {
    WorkerState& worker = cell.workers.at(id);
    AdjustReservedResources(worker, held.step, -1);
    --worker.reservations;
  }
}

/// Reserves capacity for as many of the requested tasks as fit, and returns their number. A former
/// reservation for the same step of the same job is replaced.
int32_t ReserveCapacity(const State& state, OwnedCell& cell, const ReservationRequest& request) {
  const auto key = std::make_pair(request.name, request.job);
  const auto former = cell.reservations.find(key);

  if (former != cell.reservations.end()) {
    ReleaseWorkers(cell, former->second);
    cell.reservations.erase(former);
  }

  if (YieldsToInterrupted(state, request.step, request.service, request.is_interrupted)) return 0;

  // Without its hand-over record and its lease this owner could not start the tasks.
  if (cell.releasing || !cell.hand_over.written || !HoldsLease(state)) return 0;

  // Entered at once, so that the tasks count for each other where their number per worker is
  // limited.
  Reservation& held = cell.reservations[key];
  held = Reservation{.step = request.step, .expires_at = state.now + kReservationTime};
  CountUnstartedTasks(cell);

  for (int32_t task = 0; task < request.step.task_count; ++task) {
    const PlacementRequest placement = PlacementOf(request, state.now);
    WorkerState* worker = ChooseWorker(state, cell, placement);
    if (worker == nullptr) break;

    const bool is_kept = CountHolds(cell, request.name, request.job, request.is_interrupted) > 0;
    if (placement.absent_since && !is_kept && IsDueToOlderTask(state, cell, *worker, placement)) {
      break;
    }

    EndHold(state, cell, request.name, request.job, worker->info.id);
    DisplaceHolds(state, cell, placement, *worker);
    AdjustReservedResources(*worker, held.step, 1);
    ++worker->reservations;
    held.workers.push_back(worker->info.id);
  }

  const auto tasks = static_cast<int32_t>(held.workers.size());
  if (tasks == 0) cell.reservations.erase(key);
  return tasks;
}

/// Keeps a worker for one task of another cell that has waited long. Returns whether one is kept.
bool KeepWorkerFor(const State& state, OwnedCell& cell, const ReservationRequest& request) {
  if (cell.releasing || !cell.hand_over.written || !HoldsLease(state)) return false;

  const bool is_overdue =
      !request.step.best_effort && request.waited >= HoldDelay(request.is_interrupted) &&
      !YieldsToInterrupted(state, request.step, request.service, request.is_interrupted);
  if (!is_overdue) return false;

  const HoldRequest hold{.placement = PlacementOf(request, state.now),
                         .job = request.job,
                         .tasks = 1,
                         .priority = request.priority};
  return KeepWorkers(state, cell, hold) > 0;
}

}  // namespace

ReservationReply MakeReply(State& state, OwnedCell* cell, const ReservationRequest& request) {
  ReservationReply reply{.from = request.from,
                         .job = request.job,
                         .asked_at = request.asked_at,
                         .service = request.service};
  if (cell == nullptr) return reply;

  reply.tasks = ReserveCapacity(state, *cell, request);
  reply.keeps = reply.tasks == 0 && KeepWorkerFor(state, *cell, request);
  NoteServed(state, request, reply);
  const ServiceLoad load = CountFree(state, *cell, request.service);
  reply.free = load.free;
  reply.largest_free = load.largest_free;
  reply.largest_long_running = load.largest_long_running;
  reply.free_best_effort = load.free_best_effort;
  return reply;
}

void ApplyReservationRequest(State& state, Effects& effects, const CellId& id,
                             const StoreItem& item) {
  const Result<ReservationRequest> request = DecodeReservationRequest(item.value);
  if (!request) return LogUnreadable(effects, item, request.error());

  if (request->offered_at > Millis(0)) NoteOwnerReplied(state, request->from, request->offered_at);
  if (IsOverdue(state, request->reply_timeout)) return;

  const ReservationReply reply = MakeReply(state, FindOpenCell(state, id), *request);
  PushMessage(effects, request->reply_to, kReservationReplyPrefix, id.Text(), Encode(reply));
}

void ClaimReservations(State& state, OwnedCell& cell, JobState& job) {
  const JobId root = job.record.parent.Empty() ? job.record.spec.job : job.record.parent;
  auto row = cell.reservations.lower_bound({StepName{.job = root}, JobId()});

  while (row != cell.reservations.end() && row->first.first.job == root) {
    const auto [name, asker] = row->first;

    // A lent task was asked for by its job, a moved one by the borrowed job itself.
    if (asker != job.record.spec.job && asker != job.record.parent) {
      ++row;
      continue;
    }

    const Reservation held = std::move(row->second);
    row = cell.reservations.erase(row);
    ReleaseWorkers(cell, held);
    auto reserved = held.workers.begin();

    for (const TaskRef& ref : WaitingTasksOf(cell, job)) {
      if (reserved == held.workers.end()) break;
      if (StepNameOf(job, ref) != name || FindTask(cell, ref)->not_before > state.now) continue;

      WorkerState& worker = cell.workers.at(*reserved++);
      const PlacementRequest request{
          .name = name,
          .spec = SpecOf(job, ref),
          .service = ServiceOf(state, job.record),
          .avoided_worker = VmId(),
          .ready_at = state.now,
          .priority = job.record.priority,
          .absent_since = IsInterrupted(job, ref) ? std::optional(TaskOf(job, ref).waiting_since)
                                                  : std::nullopt};
      if (FitsOnWorker(state, cell, request, worker)) BindTask(state, cell, job, ref, worker);
    }
  }
}

void ExpireReservations(State& state, OwnedCell& cell) {
  for (auto row = cell.reservations.begin(); row != cell.reservations.end();) {
    if (state.now < row->second.expires_at) {
      WakeAt(state, row->second.expires_at);
      ++row;
      continue;
    }

    ReleaseWorkers(cell, row->second);
    row = cell.reservations.erase(row);
  }
}

}  // namespace currantpost::scheduler
