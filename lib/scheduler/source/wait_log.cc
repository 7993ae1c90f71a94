#include "wait_log.h"

#include "worker_hold.h"

namespace currantpost::scheduler {
namespace {

/// Waits from this time on are logged. Most tasks are placed within a second.
constexpr Millis kLongWaitToLog = Millis(2'000);
/// Minimum interval between two lines about the waiting tasks of a job.
constexpr Millis kWaitLogInterval = Millis(2'000);
/// Interval between two looks at a job without such tasks.
constexpr Millis kWaitCheckInterval = Millis(500);
/// Maximum number of lines about waiting tasks that an entry writes in each interval of the
/// second.
constexpr int32_t kMaxWaitLines = 20;
constexpr Millis kWaitLinesInterval = Millis(1'000);

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

WaitKind KindOf(const StepSpec& spec) {
  if (spec.best_effort) return WaitKind::kBestEffort;
  return spec.is_long_running ? WaitKind::kLongRunning : WaitKind::kShort;
}

/// Returns the waiting task of a job that has waited longest, or null.
const TaskRef* LongestWaiting(const OwnedCell& cell, const JobState& job, Millis now) {
  const TaskRef* longest = nullptr;
  Millis since = now;

  VisitWaitingTasks(cell, job, [&](const TaskRef& ref) {
    const TaskState& task = TaskOf(job, ref);
    const bool is_longer = task.not_before <= now && task.waiting_since < since;
    if (is_longer) {
      longest = &ref;
      since = task.waiting_since;
    }
    return true;
  });
  return longest;
}

/// Returns whether one more line may be written now. Counts those that may not.
bool MayWriteLine(State& state) {
  WaitLines& lines = state.wait_lines;

  if (state.now >= lines.since + kWaitLinesInterval) lines = WaitLines{.since = state.now};
  if (lines.written < kMaxWaitLines) {
    ++lines.written;
    return true;
  }

  ++state.counts.omitted_wait_lines;
  return false;
}

/// Returns what the job waits for, or which cell its tasks are being passed on to.
std::string_view ActivityOf(const JobState& job) {
  if (job.move) return "moving";
  if (job.loan) return "lending";
  return job.reservation ? "asking" : "searching";
}

}  // namespace

void LogLongWait(State& state, Effects& effects, const OwnedCell& cell, JobState& job) {
  if (state.now < job.next_wait_log) return;

  const TaskRef* ref = LongestWaiting(cell, job, state.now);
  if (ref == nullptr) {
    job.next_wait_log = state.now + kWaitCheckInterval;
    return;
  }

  const TaskState& task = TaskOf(job, *ref);
  const Millis waited = state.now - task.waiting_since;

  if (waited < kLongWaitToLog) {
    job.next_wait_log = state.now + std::min(kWaitCheckInterval, kLongWaitToLog - waited);
    return;
  }

  job.next_wait_log = state.now + kWaitLogInterval;
  if (!MayWriteLine(state)) return;

  const StepSpec& spec = SpecOf(job, *ref);
  const SearchCounts search = std::exchange(job.search, {});
  const WorkerHold* hold = FindHold(cell, job, *ref);
  const Urgency urgency = UrgencyOf(JobObjectiveOf(job.record), state.unix_ms);
  Log(effects, Severity::kInfo, "task waits for capacity",
      {{"job", ref->job.Text()},
       {"task", std::to_string(ref->index)},
       {"kind", std::string(kWaitKindNames.Name(KindOf(spec)))},
       {"cell", cell.cell.Text()},
       {"waited_ms", std::to_string(waited.Count())},
       {"priority", std::to_string(job.record.priority)},
       {"urgency", std::string(kUrgencyNames.Name(urgency))},
       {"need", std::to_string(spec.need.millicores)},
       {"need_mib", std::to_string(spec.need.memory_mib)},
       {"waiting", std::to_string(CountWaitingTasks(cell, job))},
       {"bound", std::to_string(job.bound)},
       {"activity", std::string(ActivityOf(job))},
       {"cells_with_capacity", std::to_string(CountCellsWithCapacity(state, cell, job, spec))},
       {"asked_own_cells", std::to_string(search.asked_own_cells)},
       {"asked_other_cells", std::to_string(search.asked_other_cells)},
       {"without_cell", std::to_string(search.without_cell)},
       {"kept", std::to_string(search.kept)},
       {"declined", std::to_string(search.declined)},
       {"unanswered", std::to_string(search.unanswered)},
       {"offered", std::to_string(search.offered)},
       {"holds", std::to_string(
                     CountHolds(cell, StepNameOf(job, *ref), ref->job, IsInterrupted(job, *ref)))},
       {"holds_of_cell", std::to_string(cell.holds.size())},
       {"kept_worker", hold == nullptr ? std::string() : hold->worker.Text()},
       {"kept_ms",
        std::to_string((state.now - (hold == nullptr ? state.now : hold->since)).Count())},
       {"run", std::to_string(task.run)}});
}

void RecordEndOfWait(const State& state, Effects& effects, const JobState& job, const TaskRef& ref,
                     Millis kept) {
  const TaskState& task = TaskOf(job, ref);
  const WaitKind kind = KindOf(SpecOf(job, ref));
  const Millis waited = state.now - task.waiting_since;
  state.counts.waits[static_cast<size_t>(kind)].Add(waited);
  if (waited < kLongWaitToLog) return;

  Log(effects, Severity::kInfo, "task has found a worker after a long wait",
      {{"job", ref.job.Text()},
       {"task", std::to_string(ref.index)},
       {"kind", std::string(kWaitKindNames.Name(kind))},
       {"run", std::to_string(task.run)},
       {"worker", task.worker.Text()},
       {"waited_ms", std::to_string(waited.Count())},
       {"kept_ms", std::to_string(kept.Count())}});
}

}  // namespace currantpost::scheduler
