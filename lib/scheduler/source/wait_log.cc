#include "wait_log.h"

#include "worker_hold.h"

namespace currantpost::scheduler {
namespace {

/// Waits from this time on are logged. Long-running tasks are mostly placed within a second.
constexpr Millis kLongWaitToLog = Millis(2'000);
/// Minimum interval between two lines about the waiting tasks of a job.
constexpr Millis kWaitLogInterval = Millis(2'000);

/// Returns the number of other cells that report free capacity for one task of a step.
int64_t CountCellsWithCapacity(const State& state, const OwnedCell& cell, const JobState& job,
                               const StepSpec& spec) {
  const ServiceRooms* rooms = state.rooms.Find(ServiceOf(state, job.record));
  if (rooms == nullptr) return 0;

  return std::ranges::count_if(rooms->Rows(), [&](const RoomRow& row) {
    return row.largest_free >= spec.need.millicores &&
           row.Free(state.now) >= spec.need.millicores && row.cell != cell.cell &&
           state.view.cells.contains(row.cell);
  });
}

/// Returns the worker that is kept for a waiting task of a step, or null.
const WorkerHold* FindHold(const OwnedCell& cell, const JobState& job, const TaskRef& ref) {
  const auto hold = std::ranges::find_if(cell.holds, [&](const WorkerHold& each) {
    return each.name == StepNameOf(job, ref) && each.job == ref.job;
  });
  return hold == cell.holds.end() ? nullptr : &*hold;
}

}  // namespace

void LogLongWait(State& state, Effects& effects, const OwnedCell& cell, JobState& job,
                 const WaitingBatch& batch) {
  if (!batch.spec->is_long_running || batch.spec->best_effort) return;

  const TaskRef& ref = batch.tasks.front();
  const TaskState& task = TaskOf(job, ref);
  const Millis waited = state.now - task.waiting_since;
  if (waited < kLongWaitToLog || state.now < job.next_wait_log) return;

  job.next_wait_log = state.now + kWaitLogInterval;
  const SearchCounts search = std::exchange(job.search, {});
  const WorkerHold* hold = FindHold(cell, job, ref);
  Log(effects, Severity::kInfo, "long-running task waits for capacity",
      {{"job", ref.job.Text()},
       {"task", std::to_string(ref.index)},
       {"cell", cell.cell.Text()},
       {"waited_ms", std::to_string(waited.Count())},
       {"need", std::to_string(batch.spec->need.millicores)},
       {"waiting", std::to_string(CountWaitingTasks(cell, job))},
       {"cells_with_capacity",
        std::to_string(CountCellsWithCapacity(state, cell, job, *batch.spec))},
       {"asked_own_cells", std::to_string(search.asked_own_cells)},
       {"asked_other_cells", std::to_string(search.asked_other_cells)},
       {"without_cell", std::to_string(search.without_cell)},
       {"kept", std::to_string(search.kept)},
       {"declined", std::to_string(search.declined)},
       {"unanswered", std::to_string(search.unanswered)},
       {"offered", std::to_string(search.offered)},
       {"holds",
        std::to_string(CountHolds(cell, StepNameOf(job, ref), ref.job, IsInterrupted(job, ref)))},
       {"holds_of_cell", std::to_string(cell.holds.size())},
       {"kept_worker", hold == nullptr ? std::string() : hold->worker.Text()},
       {"kept_ms",
        std::to_string((state.now - (hold == nullptr ? state.now : hold->since)).Count())},
       {"run", std::to_string(task.run)}});
}

void LogEndOfLongWait(const State& state, Effects& effects, const JobState& job, const TaskRef& ref,
                      Millis kept) {
  const TaskState& task = TaskOf(job, ref);
  const StepSpec& spec = SpecOf(job, ref);
  if (!spec.is_long_running || spec.best_effort) return;

  const Millis waited = state.now - task.waiting_since;
  if (waited < kLongWaitToLog) return;

  Log(effects, Severity::kInfo, "long-running task has found a worker after a long wait",
      {{"job", ref.job.Text()},
       {"task", std::to_string(ref.index)},
       {"run", std::to_string(task.run)},
       {"worker", task.worker.Text()},
       {"waited_ms", std::to_string(waited.Count())},
       {"kept_ms", std::to_string(kept.Count())}});
}

}  // namespace currantpost::scheduler
