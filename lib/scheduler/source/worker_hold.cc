#include "worker_hold.h"

#include "capacity_forecast.h"
#include "cell_load.h"
#include "leaving_tasks.h"
#include "owner_contact.h"

namespace currantpost::scheduler {
namespace {

/// How long a worker is kept without another request for it. A task that is passed on to the cell
/// arrives in half of it.
constexpr Millis kHoldTime = Millis(1'500);
/// Most holds of a cell for new long-running tasks, and for short tasks of one priority together
/// with more urgent ones, each as a share of its workers in percent. More would leave too little
/// for the other short tasks that start there meanwhile.
constexpr int64_t kMaxHoldsPercent = 50;
/// Share of a service's capacity beside its long-running tasks, in percent, below which it is
/// scarce: most of what is left are pieces that are too small for further ones.
constexpr int64_t kScarcePercent = 12;

/// Interval between two looks for a worker that becomes free sooner than the one that is kept, and
/// how much sooner it has to be.
constexpr Millis kHoldChoiceInterval = Millis(100);
constexpr Millis kMinGainOfMove = Millis(200);

/// Returns the sum of the matching holds on a worker.
template <typename Matches>
Resources HeldOn(const OwnedCell& cell, const VmId& worker, Matches matches) {
  Resources held;

  for (const WorkerHold& hold : cell.holds) {
    if (hold.worker == worker && matches(hold)) held += hold.need;
  }

  return held;
}

Resources HeldOn(const OwnedCell& cell, const VmId& worker) {
  return HeldOn(cell, worker, [](const WorkerHold&) { return true; });
}

/// How long an offered worker is kept at most while events wait that may be the request for it.
constexpr Millis kMaxOfferTime = Millis(1'000);
/// How long a task that needs no worker, or whose owner does not reply, gets no further offer.
/// Others have their turn, and a report that is on its way may show why. Doubles with each offer in
/// succession that it doesn't come for.
constexpr Millis kOfferPause = Millis(600);
constexpr int32_t kMaxOfferPauseDoublings = 2;

/// Counts an event that ends a hold, and how long the worker was kept.
void CountEndOfHold(const State& state, HoldEvent event, const WorkerHold& hold) {
  state.counts.AddEndOfHold(event, hold.is_long_running, state.now - hold.since);
}

/// Ends the matching holds, counts them, and returns their number.
template <typename Matches>
size_t EraseHolds(const State& state, OwnedCell& cell, HoldEvent event, Matches matches) {
  return std::erase_if(cell.holds, [&](const WorkerHold& hold) {
    if (!matches(hold)) return false;

    CountEndOfHold(state, event, hold);
    return true;
  });
}

/// Returns whether a task comes before the short one of a hold.
bool IsMoreUrgentThan(const PlacementRequest& request, const WorkerHold& hold) {
  if (request.priority != hold.priority) return request.priority < hold.priority;

  if (request.spec.is_long_running) return true;

  // A smaller task would only break up what has become free for the one of the hold.
  return hold.is_overdue && !request.is_overdue &&
         request.spec.need.millicores >= hold.need.millicores;
}

/// Returns whether a task takes the place of the task of a hold.
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

bool IsHoldOf(const WorkerHold& hold, const StepName& name, const JobId& job, bool is_interrupted) {
  return hold.name == name && hold.job == job && hold.is_interrupted == is_interrupted;
}

/// Returns whether a hold has ended. An offered worker may have been asked for in time by a request
/// that was not handled yet.
bool HasExpired(const State& state, const WorkerHold& hold) {
  if (state.now < hold.expires_at) return false;

  const bool may_be_asked_for = !hold.offered_to.Empty() && state.handled_up_to < hold.expires_at &&
                                state.now < hold.since + kMaxOfferTime;
  return !may_be_asked_for;
}

/// Returns whether an amount fits on a worker once the short tasks there have ended.
bool FitsBesideLongRunning(OwnedCell& cell, const WorkerState& worker, const Resources& amount) {
  const int64_t left = worker.info.capacity.millicores - worker.long_running_millicores;
  return amount.millicores <= left && FitsWithin(amount, RoomBesideLongRunning(cell, worker));
}

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

/// Forecasts that differ by less count as equal.
constexpr int64_t kForecastStepMs = 100;

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
    const int64_t free = FreeMillicores(worker) - HeldOn(cell, id).millicores;
    const std::tuple<int64_t, int64_t, int64_t> rank(fits_after.Count() / kForecastStepMs, -free,
                                                     room);
    if (best.worker != nullptr && rank >= best_rank) continue;

    best = {&worker, fits_after};
    best_rank = rank;
  }

  return best;
}

/// Returns the worker to keep for a task, which may take the place of others there.
WorkerState* ChooseWorkerToKeep(const State& state, OwnedCell& cell, const HoldRequest& request) {
  return ChooseWorkerToKeep(
             state, cell, request,
             [&](const WorkerHold& hold) { return !TakesPlaceOf(state, request.placement, hold); })
      .worker;
}

/// Returns whether the worker of a hold may still be used for its task.
bool IsUsable(const State& state, OwnedCell& cell, const PlacementRequest& request,
              const WorkerHold& hold) {
  const auto worker = cell.workers.find(hold.worker);
  const auto stays = [&](const WorkerHold& each) {
    return &each == &hold || !TakesPlaceOf(state, request, each);
  };
  return worker != cell.workers.end() && MayUseWorker(state, cell, request, worker->second) &&
         FitsBesideLongRunning(cell, worker->second, HeldOn(cell, hold.worker, stays));
}

/// Returns whether a task fits on a worker now beside all that is kept there, also for its step.
bool FitsBesideHolds(const State& state, const OwnedCell& cell, const WorkerState& worker,
                     const PlacementRequest& request) {
  const Resources held = HeldOn(cell, worker.info.id, [&](const WorkerHold& hold) {
    return !TakesPlaceOf(state, request, hold);
  });
  return FitsWithin(held + request.spec.need + worker.reserved, worker.info.capacity);
}

/// Keeps another worker instead if that one becomes free clearly sooner.
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

size_t MaxHolds(const OwnedCell& cell) {
  return std::max<size_t>(cell.workers.size() * kMaxHoldsPercent / 100, 1);
}

/// Returns whether the cell may have one more hold.
bool MayAddHold(const OwnedCell& cell, const HoldRequest& request) {
  if (request.placement.absent_since) return true;

  const bool is_long_running = request.placement.spec.is_long_running;
  const auto holds = std::ranges::count_if(cell.holds, [&](const WorkerHold& hold) {
    if (hold.is_long_running != is_long_running) return false;
    return is_long_running || hold.priority <= request.priority;
  });
  return static_cast<size_t>(holds) < MaxHolds(cell);
}

/// Keeps a worker for a task until a time.
WorkerHold& AddHold(const State& state, OwnedCell& cell, const HoldRequest& request,
                    const WorkerState& worker, Millis expires_at) {
  const PlacementRequest& placement = request.placement;
  DisplaceHolds(state, cell, placement, worker);
  return cell.holds.emplace_back(
      WorkerHold{.name = placement.name,
                 .job = request.job,
                 .need = placement.spec.need,
                 .worker = worker.info.id,
                 .since = state.now,
                 .is_long_running = placement.spec.is_long_running,
                 .is_interrupted = placement.absent_since.has_value(),
                 .absent_since = placement.absent_since.value_or(state.now),
                 .priority = request.priority,
                 .is_overdue = placement.is_overdue,
                 .expires_at = expires_at});
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

/// Returns whether a hold is not for a task of its step, as another one was stopped because of the
/// worker.
bool IsForAnother(const State& state, const OwnedCell& cell, const WorkerHold& hold,
                  const std::optional<TaskRef>& task) {
  return hold.stopped != task && IsAboutToUse(state, cell, hold);
}

}  // namespace

bool YieldsToInterrupted(const State& state, const StepSpec& spec, std::string_view service,
                         bool is_interrupted) {
  if (!spec.is_long_running || spec.best_effort || is_interrupted) return false;

  const ServiceRooms* rooms = state.rooms.Find(service);
  if (rooms == nullptr || rooms->Totals().waiting_interrupted == 0) return false;

  const RoomTotals& totals = rooms->Totals();
  const int64_t left = totals.capacity - totals.long_running - totals.waiting_interrupted;
  return left * 100 < totals.capacity * kScarcePercent;
}

int32_t KeepWorkers(const State& state, OwnedCell& cell, const HoldRequest& request) {
  const PlacementRequest& placement = request.placement;
  const bool is_interrupted = placement.absent_since.has_value();
  int32_t kept = 0;

  for (auto hold = cell.holds.begin(); hold != cell.holds.end();) {
    if (!IsHoldOf(*hold, placement.name, request.job, is_interrupted)) {
      ++hold;
      continue;
    }

    // The holds of further interrupted tasks are asked for separately.
    if (kept == request.tasks && is_interrupted) break;

    if (kept == request.tasks || !IsUsable(state, cell, placement, *hold)) {
      CountEndOfHold(state, HoldEvent::kDropped, *hold);
      hold = cell.holds.erase(hold);
      continue;
    }

    ++kept;
    MoveHold(state, cell, request, *hold);
    hold->expires_at = state.now + kHoldTime;
    hold->is_overdue = placement.is_overdue;
    hold->offered_to = CellId();
    if (is_interrupted && kept == request.tasks) hold->absent_since = *placement.absent_since;
    ++hold;
  }

  for (; kept < request.tasks && MayAddHold(cell, request); ++kept) {
    const WorkerState* worker = ChooseWorkerToKeep(state, cell, request);
    if (worker == nullptr) break;

    state.counts.holds.Add(HoldEvent::kGranted);
    AddHold(state, cell, request, *worker, state.now + kHoldTime);
  }

  return kept;
}

void DeferOffers(State& state, const CellId& waits_in, const JobId& job) {
  state.rooms.DeferOffers(waits_in, job, state.now, kOfferPause, kMaxOfferPauseDoublings);
}

void NoteOfferUsed(State& state, const CellId& waits_in, const JobId& job) {
  state.rooms.NoteOfferUsed(waits_in, job, state.now, state.now + kOfferPause);
}

bool KeepOfferedWorker(const State& state, OwnedCell& cell, const HoldRequest& request,
                       const CellId& offered_to, Millis time) {
  const WorkerState* worker = ChooseWorker(state, cell, request.placement);
  // Further tasks of one step each need a place of their own.
  const bool fits = worker != nullptr && FitsBesideHolds(state, cell, *worker, request.placement);
  if (!fits) worker = ChooseWorkerToKeep(state, cell, request);
  if (worker == nullptr) return false;

  state.counts.holds.Add(HoldEvent::kOffered);
  AddHold(state, cell, request, *worker, state.now + time).offered_to = offered_to;
  return true;
}

void KeepForMove(const State& state, OwnedCell& cell, const TaskRef& ref,
                 const WorkerState& worker) {
  const JobState& job = cell.jobs.at(ref.job);
  HoldRequest request{.placement = RequestFor(state, cell, ref),
                      .job = ref.job,
                      .tasks = 1,
                      .priority = job.record.priority};
  const auto is_ahead = [&](const WorkerHold& hold) {
    return IsHoldOf(hold, request.placement.name, ref.job, true) && hold.absent_since > state.now;
  };
  auto hold = std::ranges::find_if(cell.holds, [&](const WorkerHold& each) {
    return is_ahead(each) && each.worker == worker.info.id;
  });
  if (hold == cell.holds.end()) hold = std::ranges::find_if(cell.holds, is_ahead);

  if (hold == cell.holds.end()) {
    request.placement.absent_since = state.now;
    state.counts.holds.Add(HoldEvent::kGranted);
    AddHold(state, cell, request, worker, state.now);
    hold = std::prev(cell.holds.end());
  } else if (hold->worker != worker.info.id) {
    CountEndOfHold(state, HoldEvent::kMoved, *hold);
    hold->worker = worker.info.id;
    hold->since = state.now;
  }

  // No task of its priority takes its place: it was stopped because of this worker.
  hold->absent_since = Millis(0);
  hold->stopped = ref;
  hold->expires_at = state.now + kHoldTime;
  // The first holds of a step are those of its tasks that are without a run.
  std::rotate(cell.holds.begin(), hold, std::next(hold));
}

void DisplaceHolds(const State& state, OwnedCell& cell, const PlacementRequest& request,
                   const WorkerState& worker) {
  const VmId& id = worker.info.id;

  while (!FitsBesideLongRunning(cell, worker, HeldOn(cell, id) + request.spec.need)) {
    const auto hold = std::ranges::find_if(cell.holds, [&](const WorkerHold& each) {
      return each.worker == id && TakesPlaceOf(state, request, each);
    });
    if (hold == cell.holds.end()) return;

    CountEndOfHold(state, HoldEvent::kDisplaced, *hold);
    cell.holds.erase(hold);
  }
}

void DropUselessHolds(const State& state, OwnedCell& cell) {
  if (std::ranges::none_of(cell.holds, &WorkerHold::is_interrupted)) return;

  std::map<std::pair<StepName, JobId>, int64_t> held;
  const std::map<std::pair<StepName, JobId>, int64_t> leaving = CountLeavingTasks(cell);

  EraseHolds(state, cell, HoldEvent::kDropped, [&](const WorkerHold& hold) {
    if (!hold.is_interrupted) return false;

    const auto worker = cell.workers.find(hold.worker);
    if (worker == cell.workers.end() || !AcceptsTasks(state, worker->second)) return true;

    const auto job = cell.jobs.find(hold.job);
    // The task may still be on its way from another cell.
    if (job == cell.jobs.end()) return false;

    const auto waiting =
        std::ranges::count_if(WaitingTasksOf(cell, job->second), [&](const TaskRef& ref) {
          return StepNameOf(job->second, ref) == hold.name && IsInterrupted(job->second, ref);
        });
    const std::pair<StepName, JobId> step(hold.name, hold.job);
    const auto about_to_wait = leaving.find(step);
    return ++held[step] > waiting + (about_to_wait == leaving.end() ? 0 : about_to_wait->second);
  });
}

int32_t CountHolds(const OwnedCell& cell, const StepName& name, const JobId& job,
                   bool is_interrupted) {
  return static_cast<int32_t>(std::ranges::count_if(cell.holds, [&](const WorkerHold& hold) {
    return IsHoldOf(hold, name, job, is_interrupted);
  }));
}

int32_t CountHoldsOfStopping(const OwnedCell& cell, const StepName& name, const JobId& job) {
  return static_cast<int32_t>(std::ranges::count_if(cell.holds, [&](const WorkerHold& hold) {
    if (!IsHoldOf(hold, name, job, true) || !hold.stopped) return false;

    const auto found = cell.jobs.find(hold.stopped->job);
    return found != cell.jobs.end() &&
           TaskOf(found->second, *hold.stopped).phase == TaskPhase::kStopping;
  }));
}

Millis EndHold(const State& state, OwnedCell& cell, const StepName& name, const JobId& job,
               const VmId& worker, const std::optional<TaskRef>& task) {
  const auto is_for_step = [&](const WorkerHold& hold) {
    return hold.name == name && hold.job == job && !IsForAnother(state, cell, hold, task);
  };
  auto ended = std::ranges::find_if(cell.holds, [&](const WorkerHold& hold) {
    return is_for_step(hold) && hold.worker == worker;
  });
  if (ended == cell.holds.end()) ended = std::ranges::find_if(cell.holds, is_for_step);
  if (ended == cell.holds.end()) return Millis(0);

  const Millis kept = state.now - ended->since;
  CountEndOfHold(state, HoldEvent::kUsed, *ended);
  cell.holds.erase(ended);
  if (!task) return kept;

  // Another task of the step may use what was kept for this one.
  for (WorkerHold& hold : cell.holds) {
    if (hold.stopped == task) hold.stopped.reset();
  }
  return kept;
}

void EndHoldsOf(const State& state, OwnedCell& cell, const JobId& job) {
  EraseHolds(state, cell, HoldEvent::kJobLeft,
             [&](const WorkerHold& hold) { return hold.job == job; });
}

void ClaimHolds(const State& state, OwnedCell& cell, const JobState& job) {
  const JobRecord& record = job.record;
  // The parent has holds of its own if its tasks wait in this cell too.
  if (record.parent.Empty() || cell.jobs.contains(record.parent)) return;

  auto unclaimed = static_cast<int64_t>(WaitingTasksOf(cell, job).size()) -
                   std::ranges::count(cell.holds, record.spec.job, &WorkerHold::job);

  for (WorkerHold& hold : cell.holds) {
    if (unclaimed <= 0) return;
    // A lent task was asked for by its job. A worker that was not asked for yet is another task's.
    if (hold.job != record.parent || !hold.offered_to.Empty()) continue;

    hold.job = record.spec.job;
    state.counts.holds.Add(HoldEvent::kPassedOn);
    --unclaimed;
  }
}

void ExpireHolds(State& state, OwnedCell& cell) {
  const size_t expired = EraseHolds(state, cell, HoldEvent::kExpired, [&](const WorkerHold& hold) {
    if (!HasExpired(state, hold)) return false;

    if (!hold.offered_to.Empty()) {
      NoteOwnerSilent(state, hold.offered_to, hold.since);
      DeferOffers(state, hold.offered_to, hold.job);
    }
    return true;
  });
  if (expired > 0) cell.placement_due = true;

  for (const WorkerHold& hold : cell.holds) {
    const bool is_late = state.now >= hold.expires_at;
    WakeAt(state, is_late ? state.now + kBacklogCheckInterval : hold.expires_at);
  }
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
  return HeldOn(cell, worker.info.id);
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
