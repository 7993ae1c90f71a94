#include "hold_choice.h"

#include "capacity_forecast.h"

namespace currantpost::scheduler {
namespace {

/// Interval between two looks for a worker that becomes free sooner than the one that is kept, and
/// how much sooner it has to be.
constexpr Millis kHoldChoiceInterval = Millis(100);
constexpr Millis kMinGainOfMove = Millis(200);

/// Forecasts that differ by less count as equal.
constexpr int64_t kForecastStepMs = 100;

/// Returns the priority for which short tasks may be stopped, if the tasks of a request are
/// interrupted ones.
std::optional<int32_t> EvictingPriority(const HoldRequest& request) {
  if (!request.placement.absent_since) return std::nullopt;
  return request.priority;
}

/// A worker to keep for a task.
struct WorkerChoice {
  WorkerState* worker = nullptr;
  /// How long it probably takes until the task fits there.
  Millis fits_after;
};

/// Returns the worker that becomes free first, of those the one on which least has to be freed, and
/// then the one with least room beside its long-running tasks. `stays` says which holds the task
/// doesn't take the place of.
template <typename Stays>
WorkerChoice ChooseWorkerToKeep(const State& state, OwnedCell& cell, const HoldRequest& request,
                                Stays stays) {
  const PlacementRequest& placement = request.placement;
  const StepSpec& spec = placement.spec;
  WorkerChoice best;
  std::tuple<int64_t, int64_t, int64_t> best_rank;
  if (placement.absent_since) state.counts.search.Add(SearchVisit::kWorker, cell.workers.size());

  for (auto& [id, worker] : cell.workers) {
    // Most workers have no room: checked first, as it is cheapest.
    const int64_t room = worker.info.capacity.millicores - worker.long_running_millicores;
    if (room < spec.need.millicores) continue;

    const Resources held = HeldOn(cell, id, stays);
    // The limit per worker does not count held capacity.
    if (spec.max_per_worker > 0 && held != Resources()) continue;
    if (!MayUseWorker(state, cell, placement, worker)) continue;
    if (!FitsBesideLongRunning(cell, worker, held + spec.need)) continue;

    const Millis fits_after =
        ForecastRoom(state, cell, worker, held + spec.need, EvictingPriority(request));
    const int64_t free = FreeMillicores(worker) - KeptOn(cell, worker).millicores;
    const std::tuple<int64_t, int64_t, int64_t> rank(fits_after.Count() / kForecastStepMs, -free,
                                                     room);
    if (best.worker != nullptr && rank >= best_rank) continue;

    best = {&worker, fits_after};
    best_rank = rank;
  }

  return best;
}

}  // namespace

WorkerState* ChooseWorkerToKeep(const State& state, OwnedCell& cell, const HoldRequest& request) {
  return ChooseWorkerToKeep(
             state, cell, request,
             [&](const WorkerHold& hold) { return !TakesPlaceOf(state, request.placement, hold); })
      .worker;
}

bool IsHoldUsable(const State& state, OwnedCell& cell, const PlacementRequest& request,
                  const WorkerHold& hold) {
  const auto worker = cell.workers.find(hold.worker);
  const auto stays = [&](const WorkerHold& each) {
    return &each == &hold || !TakesPlaceOf(state, request, each);
  };
  return worker != cell.workers.end() && MayUseWorker(state, cell, request, worker->second) &&
         FitsBesideLongRunning(cell, worker->second, HeldOn(cell, hold.worker, stays));
}

bool FitsBesideHolds(const State& state, const OwnedCell& cell, const WorkerState& worker,
                     const PlacementRequest& request) {
  const Resources held = HeldOn(cell, worker.info.id, [&](const WorkerHold& hold) {
    return !TakesPlaceOf(state, request, hold);
  });
  return FitsWithin(held + request.spec.need + worker.reserved, worker.info.capacity);
}

void MoveHold(const State& state, OwnedCell& cell, const HoldRequest& request, WorkerHold& hold) {
  if (state.now < hold.next_choice) return;

  hold.next_choice = state.now + kHoldChoiceInterval;
  const auto stays = [&](const WorkerHold& each) {
    return &each == &hold || !TakesPlaceOf(state, request.placement, each);
  };
  // The tasks of earlier holds on the worker start first.
  const Resources amount = HeldOn(
      cell, hold.worker, [&](const WorkerHold& each) { return &each <= &hold && stays(each); });
  const Millis fits_after =
      ForecastRoom(state, cell, cell.workers.at(hold.worker), amount, EvictingPriority(request));
  if (fits_after <= kMinGainOfMove) return;

  const WorkerChoice other = ChooseWorkerToKeep(state, cell, request, stays);
  if (other.worker == nullptr || other.fits_after + kMinGainOfMove >= fits_after) return;

  CountEndOfHold(state, HoldEvent::kMoved, hold);
  hold.worker = other.worker->info.id;
  hold.since = state.now;
  // Where forecasts are wrong, a hold that moves again and again is never used.
  hold.next_choice = state.now + kMaxForecast;
}

}  // namespace currantpost::scheduler
