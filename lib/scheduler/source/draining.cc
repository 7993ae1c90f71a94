#include <optional>
#include <utility>
#include <vector>

#include "capacity_offers.h"
#include "cell_workers.h"
#include "leaving_tasks.h"
#include "reservations.h"
#include "worker_hold.h"

/// Moves long-running tasks off a draining worker before it goes away. Runs still there when it
/// goes are lost, and the cell may have another owner by then. A task runs on until there is room
/// for it elsewhere, which is made ready meanwhile.

namespace currantpost::scheduler {
namespace {

/// Time between two checks for long-running tasks on draining workers.
constexpr Millis kEvacuationInterval = Millis(100);
/// How long the reply to a request for capacity is awaited. What is left of the time for which the
/// capacity is held is needed to stop the task and to pass it on.
constexpr Millis kMaxReplyTime = kReservationTime / 2;

/// For how long another cell is taken to keep a worker for a task, and the interval at which it is
/// asked for it. Less than the worker is kept without a further request.
constexpr Millis kKeptTime = Millis(1'000);
constexpr Millis kKeptInterval = Millis(200);

bool IsLongRunning(const OwnedCell& cell, const TaskRef& ref) {
  return SpecOf(cell.jobs.at(ref.job), ref).is_long_running;
}

/// Holds capacity for tasks while others are checked for room, and releases it on destruction.
class Reservations {
 public:
  Reservations(const State& state, OwnedCell& cell) : state_(state), cell_(cell) {}
  Reservations(const Reservations&) = delete;
  Reservations& operator=(const Reservations&) = delete;

  ~Reservations() {
    for (const auto& [worker, ref] : reserved_) {
      AdjustReservedResources(*worker, SpecOf(cell_.jobs.at(ref.job), ref), -1);
    }
    for (const auto& [hold, need] : unused_holds_) cell_.holds[hold].need = need;
  }

  /// Reserves room for a task on a worker, and returns that, or null if none has room for it.
  WorkerState* Reserve(const TaskRef& ref) {
    const PlacementRequest request = RequestFor(state_, cell_, ref);
    WorkerState* worker = ChooseWorker(state_, cell_, request);
    if (worker == nullptr) return nullptr;

    AdjustReservedResources(*worker, request.spec, 1);
    reserved_.emplace_back(worker, ref);
    SetAsideHold(request.name, ref, worker->info.id);
    return worker;
  }

 private:
  /// Leaves a hold for a task out of account that now counts as reserved.
  void SetAsideHold(const StepName& name, const TaskRef& ref, const VmId& worker) {
    const auto hold = std::ranges::find_if(cell_.holds, [&](const WorkerHold& each) {
      return each.name == name && each.job == ref.job && each.worker == worker &&
             each.stopped.value_or(ref) == ref && each.need != Resources();
    });
    if (hold == cell_.holds.end()) return;

    unused_holds_.emplace_back(hold - cell_.holds.begin(), std::exchange(hold->need, Resources()));
  }

  const State& state_;
  OwnedCell& cell_;
  std::vector<std::pair<WorkerState*, TaskRef>> reserved_;
  /// Index of each hold that was set aside, and what it holds.
  std::vector<std::pair<std::ptrdiff_t, Resources>> unused_holds_;
};

/// Returns whether a task that waits could use what another one asks for.
bool CouldUse(const StepSpec& waiting, const StepSpec& spec) {
  return waiting.worker_label == spec.worker_label && FitsWithin(waiting.need, spec.need);
}

/// Returns whether another cell may be asked now for capacity for a task of a job.
bool MayAskForEvacuation(const State& state, OwnedCell& cell, JobState& job) {
  if (job.evacuation && state.now >= job.evacuation->expires_at) {
    // The owner did not reply in time.
    if (job.evacuation->held == 0) {
      job.declined_until[job.evacuation->to] = state.now + kDeclinedPause;
    }
    job.evacuation.reset();
  }

  if (job.evacuation || job.reservation || job.loan || job.move) return false;
  // A borrowed job can only be moved as a whole.
  if (!job.record.parent.Empty() && job.bound > 1) return false;

  return !job.cancelled && !job.attempts_exhausted && WaitingTasksOf(cell, job).empty();
}

/// Asks another cell for capacity for a task on a draining worker, which runs on meanwhile. With
/// `may_keep`, the cell may also keep a worker for it until that has room.
void AskForEvacuation(State& state, Effects& effects, OwnedCell& cell, const LeavingTask& task,
                      const CellId& to, bool may_keep) {
  JobState& job = cell.jobs.at(task.ref.job);
  const Millis runs_until = std::max(task.leaves_at, cell.next_evacuation);
  ReservationRequest request{.name = StepNameOf(job, task.ref),
                             .step = SpecOf(job, task.ref),
                             .service = ServiceOf(state, job.record),
                             .from = cell.cell,
                             .job = task.ref.job,
                             .asked_at = state.now,
                             .reply_timeout = kReservationTime,
                             .waited = may_keep ? HoldDelay(true) : Millis(0),
                             .is_interrupted = true,
                             .runs_for = runs_until - state.now,
                             .priority = job.record.priority,
                             .reply_to = state.settings.peer_address};
  request.step.task_count = 1;
  job.evacuation = JobState::Evacuation{.name = request.name,
                                        .to = to,
                                        .expires_at = state.now + kMaxReplyTime,
                                        .asked_at = state.now};
  AskCell(state, effects, to, request);
}

/// Returns a cell that keeps a worker for a task of a job and is due to be asked for it again, or
/// nothing.
std::optional<CellId> TakeKeeper(const State& state, JobState& job) {
  std::erase_if(job.offers, [&](const JobState::OfferedWorker& offer) {
    return state.now >= offer.expires_at;
  });
  const auto due = std::ranges::find_if(job.offers, [&](const JobState::OfferedWorker& offer) {
    return state.now + kKeptTime >= offer.expires_at + kKeptInterval;
  });
  if (due == job.offers.end()) return std::nullopt;

  const CellId cell = due->cell;
  job.offers.erase(due);
  return cell;
}

/// Asks a cell for capacity that reports some, or one that keeps a worker for the task.
void AskForRoom(State& state, Effects& effects, OwnedCell& cell, const LeavingTask& task) {
  JobState& job = cell.jobs.at(task.ref.job);
  if (!MayAskForEvacuation(state, cell, job)) return;

  const StepSpec& spec = SpecOf(job, task.ref);
  std::optional<CellId> to = ChooseCellForTasks(state, cell.cell, job, spec, 1);
  const bool is_reported = to.has_value();
  if (!to) to = TakeKeeper(state, job);
  if (to) AskForEvacuation(state, effects, cell, task, *to, !is_reported);
}

/// Asks a further cell to keep a worker for a task. Returns whether one was asked.
bool AskToKeep(State& state, Effects& effects, OwnedCell& cell, const LeavingTask& task) {
  JobState& job = cell.jobs.at(task.ref.job);
  const StepSpec& spec = SpecOf(job, task.ref);
  if (spec.best_effort || !MayAskForEvacuation(state, cell, job)) return false;

  // A cell keeps one worker for the tasks of a step of another cell.
  for (const JobState::OfferedWorker& offer : job.offers) {
    Millis& declined_until = job.declined_until[offer.cell];
    declined_until = std::max(declined_until, offer.expires_at);
  }

  const std::optional<CellId> to = ChooseCellToKeepWorker(state, cell.cell, job, spec);
  if (!to) return false;

  AskForEvacuation(state, effects, cell, task, *to, true);
  return true;
}

/// Stops a task on a draining worker, as there is room for it elsewhere.
void StopForMove(Effects& effects, OwnedCell& cell, const TaskRef& ref, std::string room) {
  TaskState& task = *FindTask(cell, ref);
  WorkerState& worker = cell.workers.at(task.worker);
  SetStopping(worker, task);
  worker.needs_update = true;
  Log(effects, Severity::kInfo, "moving a task off a draining worker",
      {{"job", ref.job.Text()},
       {"step", std::to_string(ref.step)},
       {"task", std::to_string(ref.index)},
       {"worker", worker.info.id.Text()},
       {"room", std::move(room)}});
}

/// What a check of the draining workers has found.
struct MovePlan {
  /// Tasks that were stopped, and the workers that have room for them.
  std::vector<std::pair<TaskRef, WorkerState*>> moved;
  /// Tasks that run on.
  std::vector<LeavingTask> without_room;
  /// Those of them that leave no capacity elsewhere to waiting tasks.
  std::vector<LeavingTask> may_ask;
};

/// Stops the tasks on draining workers that have room on other ones, and asks other cells for the
/// rest.
MovePlan PlanMoves(State& state, Effects& effects, OwnedCell& cell,
                   const std::vector<LeavingTask>& leaving) {
  MovePlan plan;
  Reservations room(state, cell);
  std::vector<const StepSpec*> unplaced;
  const auto reserve = [&](const TaskRef& ref) {
    const JobState& job = cell.jobs.at(ref.job);
    if (HasEvacuationRoom(state, job, StepNameOf(job, ref)) || room.Reserve(ref) != nullptr) return;

    unplaced.push_back(&SpecOf(job, ref));
  };

  // Waiting tasks and tasks that are already being moved get room first, but not new tasks that
  // leave it to interrupted ones: the tasks on draining workers are about to be interrupted.
  for (const WaitingKey& key : cell.waiting) {
    const TaskRef& ref = std::get<3>(key);
    if (IsLongRunning(cell, ref) && !Yields(state, cell, ref)) reserve(ref);
  }

  for (const LeavingTask& task : leaving) {
    if (task.is_stopping) reserve(task.ref);
  }

  for (const LeavingTask& task : leaving) {
    if (task.is_stopping) continue;

    WorkerState* worker = task.can_be_stopped ? room.Reserve(task.ref) : nullptr;

    if (worker != nullptr) {
      StopForMove(effects, cell, task.ref, "here");
      plan.moved.emplace_back(task.ref, worker);
      continue;
    }

    const StepSpec& spec = SpecOf(cell.jobs.at(task.ref.job), task.ref);
    const bool is_left_to_others = std::ranges::any_of(
        unplaced, [&](const StepSpec* waiting) { return CouldUse(*waiting, spec); });
    const bool may_ask = !is_left_to_others && task.can_be_stopped;
    if (may_ask) AskForRoom(state, effects, cell, task);
    // A cell of this entry has replied already.
    if (FindTask(cell, task.ref)->phase != TaskPhase::kRunning) continue;

    plan.without_room.push_back(task);
    if (may_ask) plan.may_ask.push_back(task);
  }

  return plan;
}

/// Asks another cell to keep a worker for the first task for which none does, one in each check, so
/// that the replies cost little.
void AskOthersToKeep(State& state, Effects& effects, OwnedCell& cell,
                     const std::vector<LeavingTask>& tasks) {
  const auto leaving = CountLeavingTasks(cell);

  for (const LeavingTask& task : tasks) {
    const JobState& job = cell.jobs.at(task.ref.job);
    const StepName name = StepNameOf(job, task.ref);
    const auto count = leaving.find({name, task.ref.job});
    if (count == leaving.end()) continue;

    const auto elsewhere = static_cast<int64_t>(job.offers.size());
    if (CountHolds(cell, name, task.ref.job, true) + elsewhere >= count->second) continue;
    if (AskToKeep(state, effects, cell, task)) return;
  }
}

}  // namespace

void EvacuateDraining(State& state, Effects& effects, OwnedCell& cell) {
  if (!MayMoveTasks(state, cell)) return;

  const bool any_draining = std::ranges::any_of(cell.workers, [](const auto& row) {
    return row.second.info.draining && row.second.long_running_millicores > 0;
  });
  if (!any_draining) return;

  if (state.now < cell.next_evacuation) {
    WakeAt(state, cell.next_evacuation);
    return;
  }

  cell.next_evacuation = state.now + kEvacuationInterval;
  WakeAt(state, cell.next_evacuation);
  CountUnstartedTasks(cell);
  const std::vector<LeavingTask> leaving = LeavingTasksOf(cell);
  const MovePlan plan = PlanMoves(state, effects, cell, leaving);
  for (const auto& [ref, worker] : plan.moved) KeepForMove(state, cell, ref, *worker);
  KeepWorkersAhead(state, cell, plan.without_room);
  AskOthersToKeep(state, effects, cell, plan.may_ask);
}

bool HasEvacuationRoom(const State& state, const JobState& job, const StepName& name) {
  return job.evacuation && job.evacuation->name == name && job.evacuation->held > 0 &&
         state.now < job.evacuation->expires_at;
}

void UseEvacuationReply(State& state, Effects& effects, OwnedCell& cell, JobState& job,
                        const ReservationReply& reply) {
  const std::vector<LeavingTask> leaving = LeavingTasksOf(cell);
  const auto task = std::ranges::find_if(leaving, [&](const LeavingTask& each) {
    return each.ref.job == job.record.spec.job &&
           StepNameOf(job, each.ref) == job.evacuation->name && !each.is_stopping &&
           each.can_be_stopped;
  });
  const bool stops = job.cancelled || job.attempts_exhausted || !MayMoveTasks(state, cell);

  const bool is_late = state.now > reply.asked_at + kMaxReplyTime;

  if (reply.tasks <= 0 && reply.keeps && !stops) {
    job.offers.push_back({job.evacuation->to, state.now + kKeptTime});
  }

  if (reply.tasks <= 0 || is_late || stops || task == leaving.end()) {
    job.evacuation.reset();
    return;
  }

  job.evacuation->held = 1;
  job.evacuation->expires_at = reply.asked_at + kReservationTime;
  StopForMove(effects, cell, task->ref, "in another cell");
}

}  // namespace currantpost::scheduler
