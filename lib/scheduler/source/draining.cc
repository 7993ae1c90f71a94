#include "internal.h"

/// Lasting tasks leave a worker that drains before it goes, while its owner knows of them: what
/// runs there when it goes is lost, and the owner may be another by then.

namespace currantpost::scheduler {
namespace {

/// Pause between two looks for lasting tasks on draining workers.
constexpr Millis kEvacuationInterval = Millis(100);

bool IsLasting(const OwnedCell& cell, const TaskRef& ref) {
  return SpecOf(cell.jobs.at(ref.job), ref).lasting;
}

/// Room that is spoken for while it is decided what else fits; given back at the end.
class Reservations {
 public:
  Reservations(const State& state, OwnedCell& cell) : state_(state), cell_(cell) {}
  Reservations(const Reservations&) = delete;
  Reservations& operator=(const Reservations&) = delete;

  ~Reservations() {
    for (const auto& [worker, ref] : taken_)
      CountNeed(*worker, SpecOf(cell_.jobs.at(ref.job), ref), -1);
  }

  /// Takes room for a task. Returns whether there is any.
  bool Take(const TaskRef& ref) {
    WorkerState* worker = ChooseWorker(state_, cell_, ref);
    if (worker == nullptr) return false;

    CountNeed(*worker, SpecOf(cell_.jobs.at(ref.job), ref), 1);
    taken_.emplace_back(worker, ref);
    return true;
  }

 private:
  const State& state_;
  OwnedCell& cell_;
  std::vector<std::pair<WorkerState*, TaskRef>> taken_;
};

/// Returns the lasting tasks on draining workers that run there, or are being stopped.
std::vector<TaskRef> LastingOnDraining(OwnedCell& cell, TaskPhase phase) {
  std::vector<TaskRef> refs;

  for (const auto& [id, worker] : cell.workers) {
    if (!worker.info.draining || !worker.confirmed) continue;

    for (const TaskRef& ref : worker.tasks) {
      if (IsLasting(cell, ref) && FindTask(cell, ref)->phase == phase) refs.push_back(ref);
    }
  }

  return refs;
}

/// Says whether another cell has room for a task.
bool FitsElsewhere(const State& state, const OwnedCell& cell, const TaskRef& ref) {
  const JobState& job = cell.jobs.at(ref.job);
  Demand demand;
  AddDemand(demand, SpecOf(job, ref), 1);
  return ChooseOtherCell(state, cell.cell, job.record, demand).has_value();
}

}  // namespace

void EvacuateDraining(State& state, Effects& effects, OwnedCell& cell) {
  // What is stopped has to be started again.
  const bool starts = HoldsLease(state) && KnowsCancels(state) && cell.hand_over.written;
  if (cell.releasing || !starts) return;

  const bool drains = std::ranges::any_of(cell.workers, [](const auto& row) {
    return row.second.info.draining && row.second.lasting_millicores > 0;
  });
  if (!drains) return;

  if (state.now < cell.next_evacuation) {
    WakeAt(state, cell.next_evacuation);
    return;
  }

  cell.next_evacuation = state.now + kEvacuationInterval;
  WakeAt(state, cell.next_evacuation);
  Reservations room(state, cell);
  bool waits = false;

  // What waits and what is on its way already come first.
  for (const WaitingKey& key : cell.waiting) {
    const TaskRef& ref = std::get<3>(key);
    if (IsLasting(cell, ref) && !room.Take(ref)) waits = true;
  }

  for (const TaskRef& ref : LastingOnDraining(cell, TaskPhase::kStopping)) {
    if (!room.Take(ref)) waits = true;
  }

  for (const TaskRef& ref : LastingOnDraining(cell, TaskPhase::kRunning)) {
    const bool here = room.Take(ref);
    if (!here && (waits || !FitsElsewhere(state, cell, ref))) continue;

    TaskState& task = *FindTask(cell, ref);
    WorkerState& worker = cell.workers.at(task.worker);
    SetStopping(worker, task);
    worker.attention = true;
    // Other cells tell of their room twice a second.
    if (!here) waits = true;
    Log(effects, Severity::kInfo, "moving a task off a draining worker",
        {{"job", ref.job.Text()},
         {"step", std::to_string(ref.step)},
         {"task", std::to_string(ref.index)},
         {"worker", worker.info.id.Text()},
         {"room", here ? "here" : "in another cell"}});
  }
}

}  // namespace currantpost::scheduler
