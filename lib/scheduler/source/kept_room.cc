#include "kept_room.h"

namespace currantpost::scheduler {
namespace {

/// Returns whether a task comes before the short one of a hold.
bool IsMoreUrgentThan(const PlacementRequest& request, const WorkerHold& hold) {
  if (request.priority != hold.priority) return request.priority < hold.priority;

  if (request.spec.is_long_running) return true;

  // A smaller task would only break up what has become free for the one of the hold.
  return hold.is_overdue && !request.is_overdue &&
         request.spec.need.millicores >= hold.need.millicores;
}

/// Returns whether the task that was stopped because of the worker of a hold may still come.
bool IsAboutToUse(const State& state, const OwnedCell& cell, const WorkerHold& hold) {
  if (!hold.stopped) return false;

  const auto job = cell.jobs.find(hold.stopped->job);
  if (job == cell.jobs.end()) return false;

  const TaskState& task = TaskOf(job->second, *hold.stopped);
  if (task.phase == TaskPhase::kStopping) return true;

  return task.phase == TaskPhase::kWaiting && state.now >= task.not_before;
}

}  // namespace

Resources HeldOn(const OwnedCell& cell, const VmId& worker,
                 absl::FunctionRef<bool(const WorkerHold&)> matches) {
  Resources held;

  for (const WorkerHold& hold : cell.holds) {
    if (hold.worker == worker && matches(hold)) held += hold.need;
  }

  return held;
}

bool TakesPlaceOf(const State& state, const PlacementRequest& request, const WorkerHold& hold) {
  if (request.absent_since && !hold.is_interrupted) return true;
  if (!hold.is_long_running) return IsMoreUrgentThan(request, hold);
  if (!request.absent_since) return false;

  // Tasks without a run go before those that still run on draining workers.
  const bool runs = *request.absent_since > state.now;
  const bool other_runs = hold.absent_since > state.now;
  if (runs != other_runs) return other_runs && hold.name != request.name;
  if (request.priority != hold.priority) return request.priority < hold.priority;

  return hold.name != request.name && *request.absent_since + kOvertakeMargin < hold.absent_since;
}

bool IsForAnother(const State& state, const OwnedCell& cell, const WorkerHold& hold,
                  const std::optional<TaskRef>& task) {
  return hold.stopped != task && IsAboutToUse(state, cell, hold);
}

bool FitsBesideLongRunning(const OwnedCell& cell, const WorkerState& worker,
                           const Resources& amount) {
  const int64_t left = worker.info.capacity.millicores - worker.long_running_millicores;
  return amount.millicores <= left && FitsWithin(amount, RoomBesideLongRunning(cell, worker));
}

Resources RoomBesideLongRunning(const OwnedCell& cell, const WorkerState& worker) {
  Resources left = worker.info.capacity;
  const int64_t not_reserved = left.millicores - worker.long_running_millicores;

  for (const TaskRef& ref : worker.tasks) {
    const StepSpec& spec = SpecOf(cell.jobs.at(ref.job), ref);
    if (!spec.is_long_running) continue;

    if (!spec.best_effort) left.millicores -= spec.need.millicores;
    left.memory_mib -= spec.need.memory_mib;
    left.accelerators -= spec.need.accelerators;
  }

  left.millicores = std::min(left.millicores, not_reserved);
  return left;
}

Resources KeptForInterrupted(const OwnedCell& cell, const WorkerState& worker) {
  return HeldOn(cell, worker.info.id, [](const WorkerHold& hold) { return hold.is_interrupted; });
}

Resources KeptOn(const OwnedCell& cell, const WorkerState& worker) {
  return HeldOn(cell, worker.info.id, [](const WorkerHold&) { return true; });
}

Resources KeptFrom(const State& state, const OwnedCell& cell, const PlacementRequest& request,
                   const WorkerState& worker) {
  const VmId& id = worker.info.id;
  const auto own = std::ranges::find_if(cell.holds, [&](const WorkerHold& hold) {
    return hold.worker == id && hold.name == request.name &&
           hold.is_interrupted == request.absent_since.has_value() &&
           !IsForAnother(state, cell, hold, request.task);
  });
  const bool has_hold = own != cell.holds.end();

  return HeldOn(cell, id, [&](const WorkerHold& hold) {
    if (hold.name == request.name) return IsForAnother(state, cell, hold, request.task);
    if (TakesPlaceOf(state, request, hold)) return false;
    if (!has_hold || hold.is_interrupted != request.absent_since.has_value()) return true;

    // All tasks for which one worker is kept fit there, so long-running ones don't wait for each
    // other. A step may have more short tasks than holds, and these use the worker in turn.
    return !request.spec.is_long_running && &hold < &*own;
  });
}

}  // namespace currantpost::scheduler
