#include "worker_hold.h"

#include "cell_load.h"
#include "hold_choice.h"
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

/// How long an offered worker is kept at most while events wait that may be the request for it.
constexpr Millis kMaxOfferTime = Millis(1'000);
/// How long a task that needs no worker, or whose owner does not reply, gets no further offer.
/// Others have their turn, and a report that is on its way may show why. Doubles with each offer in
/// succession that it doesn't come for.
constexpr Millis kOfferPause = Millis(600);
constexpr int32_t kMaxOfferPauseDoublings = 2;

/// Ends the matching holds, counts them, and returns their number.
template <typename Matches>
size_t EraseHolds(const State& state, OwnedCell& cell, HoldEvent event, Matches matches) {
  return std::erase_if(cell.holds, [&](const WorkerHold& hold) {
    if (!matches(hold)) return false;

    CountEndOfHold(state, event, hold);
    return true;
  });
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

}  // namespace

void CountEndOfHold(const State& state, HoldEvent event, const WorkerHold& hold) {
  state.counts.AddEndOfHold(event, hold.is_long_running, state.now - hold.since);
}

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

    if (kept == request.tasks || !IsHoldUsable(state, cell, placement, *hold)) {
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

  while (!FitsBesideLongRunning(cell, worker, KeptOn(cell, worker) + request.spec.need)) {
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

}  // namespace currantpost::scheduler
