#include "cell_workers.h"
#include "reservations.h"

/// Moves long-running tasks off a draining worker before it goes away. Runs still there when it
/// goes are lost, and the cell may have another owner by then.

namespace currantpost::scheduler {
namespace {

/// Time between two checks for long-running tasks on draining workers.
constexpr Millis kEvacuationInterval = Millis(100);

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
  }

  /// Reserves room for a task on a worker. Returns whether a worker has room for it.
  bool Reserve(const TaskRef& ref) {
    WorkerState* worker = ChooseWorker(state_, cell_, ref);
    if (worker == nullptr) return false;

    AdjustReservedResources(*worker, SpecOf(cell_.jobs.at(ref.job), ref), 1);
    reserved_.emplace_back(worker, ref);
    return true;
  }

 private:
  const State& state_;
  OwnedCell& cell_;
  std::vector<std::pair<WorkerState*, TaskRef>> reserved_;
};

/// Returns the long-running tasks on draining workers that are in the given phase.
std::vector<TaskRef> LongRunningOnDraining(OwnedCell& cell, TaskPhase phase) {
  std::vector<TaskRef> refs;

  for (const auto& [id, worker] : cell.workers) {
    if (!worker.info.draining || !worker.confirmed) continue;

    for (const TaskRef& ref : worker.tasks) {
      if (IsLongRunning(cell, ref) && FindTask(cell, ref)->phase == phase) refs.push_back(ref);
    }
  }

  return refs;
}

/// Returns whether another cell has room for a task.
bool FitsElsewhere(const State& state, const OwnedCell& cell, const TaskRef& ref) {
  const JobState& job = cell.jobs.at(ref.job);
  Demand demand;
  AddDemand(demand, SpecOf(job, ref), 1);
  return ChooseOtherCell(state, cell.cell, job.record, demand).has_value();
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
  Reservations room(state, cell);
  bool has_unplaced = false;

  // Waiting tasks and tasks that are already being moved get room first, but not new tasks that
  // leave it to interrupted ones: the tasks on draining workers are about to be interrupted.
  for (const WaitingKey& key : cell.waiting) {
    const TaskRef& ref = std::get<3>(key);
    if (!IsLongRunning(cell, ref) || Yields(state, cell, ref)) continue;
    if (!room.Reserve(ref)) has_unplaced = true;
  }

  for (const TaskRef& ref : LongRunningOnDraining(cell, TaskPhase::kStopping)) {
    if (!room.Reserve(ref)) has_unplaced = true;
  }

  for (const TaskRef& ref : LongRunningOnDraining(cell, TaskPhase::kRunning)) {
    const bool here = room.Reserve(ref);
    if (!here && (has_unplaced || !FitsElsewhere(state, cell, ref))) continue;

    TaskState& task = *FindTask(cell, ref);
    WorkerState& worker = cell.workers.at(task.worker);
    SetStopping(worker, task);
    worker.needs_update = true;
    // Other cells report their free capacity only twice a second, so at most one task per round
    // moves to another cell.
    if (!here) has_unplaced = true;
    Log(effects, Severity::kInfo, "moving a task off a draining worker",
        {{"job", ref.job.Text()},
         {"step", std::to_string(ref.step)},
         {"task", std::to_string(ref.index)},
         {"worker", worker.info.id.Text()},
         {"room", here ? "here" : "in another cell"}});
  }
}

}  // namespace currantpost::scheduler
