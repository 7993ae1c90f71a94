#include "worker_hold.h"

namespace currantpost::scheduler {
namespace {

/// How long a worker is kept without another request for it. Other cells ask again within half of
/// it.
constexpr Millis kHoldTime = Millis(1'500);

/// Returns whether a task fits on a worker once the short tasks there have ended.
bool FitsBesideLongRunning(OwnedCell& cell, const WorkerState& worker, const Resources& need) {
  Resources left = worker.info.capacity;
  if (left.millicores - worker.long_running_millicores < need.millicores) return false;

  for (const TaskRef& ref : worker.tasks) {
    const StepSpec& spec = SpecOf(cell.jobs.at(ref.job), ref);
    if (!spec.is_long_running) continue;

    if (!spec.best_effort) left.millicores -= spec.need.millicores;
    left.memory_mib -= spec.need.memory_mib;
    left.accelerators -= spec.need.accelerators;
  }

  return need.millicores <= left.millicores && need.memory_mib <= left.memory_mib &&
         need.accelerators <= left.accelerators;
}

bool CanKeep(const State& state, OwnedCell& cell, const PlacementRequest& request,
             WorkerState& worker) {
  return MayUseWorker(state, cell, request, worker) &&
         FitsBesideLongRunning(cell, worker, request.spec.need);
}

/// Returns the worker that needs fewest short tasks to end, or null.
WorkerState* ChooseWorkerToKeep(const State& state, OwnedCell& cell,
                                const PlacementRequest& request) {
  WorkerState* best = nullptr;
  int64_t best_free = 0;

  for (auto& [id, worker] : cell.workers) {
    if (!CanKeep(state, cell, request, worker)) continue;

    const int64_t free = worker.info.capacity.millicores - worker.reserved.millicores;
    if (best != nullptr && free <= best_free) continue;

    best = &worker;
    best_free = free;
  }

  return best;
}

}  // namespace

bool KeepWorker(const State& state, OwnedCell& cell, const PlacementRequest& request) {
  if (cell.hold && cell.hold->name != request.name) return false;

  WorkerState* worker = nullptr;

  if (cell.hold) {
    const auto held = cell.workers.find(cell.hold->worker);
    if (held != cell.workers.end() && CanKeep(state, cell, request, held->second)) {
      worker = &held->second;
    }
  }

  if (worker == nullptr) worker = ChooseWorkerToKeep(state, cell, request);

  if (worker == nullptr) {
    cell.hold.reset();
    return false;
  }

  cell.hold = WorkerHold{.name = request.name,
                         .need = request.spec.need,
                         .worker = worker->info.id,
                         .expires_at = state.now + kHoldTime};
  return true;
}

void EndHold(OwnedCell& cell, const StepName& name) {
  if (cell.hold && cell.hold->name == name) cell.hold.reset();
}

void ExpireHold(State& state, OwnedCell& cell) {
  if (!cell.hold) return;

  if (state.now < cell.hold->expires_at) {
    WakeAt(state, cell.hold->expires_at);
    return;
  }

  cell.hold.reset();
  cell.placement_due = true;
}

Resources KeptFrom(const OwnedCell& cell, const StepName& name, const WorkerState& worker) {
  const bool is_kept = cell.hold && cell.hold->worker == worker.info.id && cell.hold->name != name;
  return is_kept ? cell.hold->need : Resources();
}

}  // namespace currantpost::scheduler
