#include "eviction.h"

#include "capacity_forecast.h"
#include "cell_workers.h"

namespace currantpost::scheduler {
namespace {

/// How long the short tasks on a kept worker may take to end by themselves.
constexpr Millis kMaxWaitForEnds = Millis(300);
/// Age up to which a task that resumes from no checkpoint has done little work.
constexpr Millis kJustBegun = Millis(400);
/// How often a task is stopped at most. One that resumes from no checkpoint begins anew each time.
constexpr int32_t kMaxStops = 3;
/// Time between two checks of the kept workers of a cell.
constexpr Millis kEvictionInterval = Millis(100);

/// Returns whether the task that a worker is kept for waits in this cell, or is on its way here.
bool IsAwaited(const OwnedCell& cell, const WorkerHold& hold) {
  const auto job = cell.jobs.find(hold.job);
  if (job == cell.jobs.end()) return hold.offered_to.Empty();

  // Its tasks may be on their way to another cell.
  return !job->second.move && !job->second.loan;
}

/// Returns whether a task ends as soon as it would if it were stopped.
bool EndsSoon(const State& state, const JobState& job, const TaskRef& ref) {
  const TaskState& task = TaskOf(job, ref);
  if (task.phase == TaskPhase::kStopping) return true;

  const StepSpec& spec = SpecOf(job, ref);
  return !spec.is_long_running && ForecastRest(state, spec, task) <= kUsualStopTime;
}

/// What has to become free on a worker.
struct Shortage {
  /// What the tasks that wait for it need.
  Resources needed;
  /// What remains once the tasks have ended that do so soon by themselves.
  Resources missing;
  /// The lowest priority number of the tasks that wait for it.
  int32_t priority = 0;
  /// One of the jobs that wait. For the log.
  JobId job;
};

/// Returns what the interrupted tasks that wait for their kept worker lack there.
Shortage ShortageOn(const State& state, const OwnedCell& cell, const WorkerState& worker) {
  Shortage shortage;
  bool is_first = true;

  for (const WorkerHold& hold : cell.holds) {
    if (hold.worker != worker.info.id || !hold.is_interrupted || !IsAwaited(cell, hold)) continue;

    shortage.needed += hold.need;
    if (is_first || hold.priority < shortage.priority) {
      shortage.priority = hold.priority;
      shortage.job = hold.job;
    }
    is_first = false;
  }

  if (is_first) return shortage;

  shortage.missing = shortage.needed;
  shortage.missing -= worker.info.capacity;
  shortage.missing += worker.reserved;

  for (const TaskRef& ref : worker.tasks) {
    const JobState& job = cell.jobs.at(ref.job);
    if (EndsSoon(state, job, ref)) shortage.missing -= ReservedBy(SpecOf(job, ref));
  }

  return shortage;
}

bool HelpsWith(const Resources& missing, const Resources& freed) {
  return (missing.millicores > 0 && freed.millicores > 0) ||
         (missing.memory_mib > 0 && freed.memory_mib > 0) ||
         (missing.accelerators > 0 && freed.accelerators > 0);
}

/// Returns the tasks to stop: the least urgent queues first, then tasks that resume from a
/// checkpoint, then those that have run for the shortest time. Nothing if all of them together are
/// not enough.
std::vector<TaskRef> ChooseEvicted(const State& state, const OwnedCell& cell,
                                   const WorkerState& worker, const Shortage& shortage) {
  using Rank = std::tuple<int32_t, bool, Millis>;
  std::vector<std::pair<Rank, TaskRef>> candidates;

  for (const TaskRef& ref : worker.tasks) {
    const JobState& job = cell.jobs.at(ref.job);
    if (!IsEvictable(state, job, ref, shortage.priority) || EndsSoon(state, job, ref)) continue;

    candidates.emplace_back(
        Rank{job.record.priority, SpecOf(job, ref).checkpointing, TaskOf(job, ref).began}, ref);
  }

  std::ranges::sort(candidates, std::greater<>());
  Resources missing = shortage.missing;
  std::vector<TaskRef> evicted;

  for (const auto& [rank, ref] : candidates) {
    const Resources freed = ReservedBy(SpecOf(cell.jobs.at(ref.job), ref));
    if (!HelpsWith(missing, freed)) continue;

    missing -= freed;
    evicted.push_back(ref);
  }

  if (!FitsWithin(missing, Resources())) evicted.clear();
  return evicted;
}

void Evict(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker) {
  const Shortage shortage = ShortageOn(state, cell, worker);
  if (FitsWithin(shortage.missing, Resources())) return;
  if (ForecastRoom(state, cell, worker, shortage.needed, std::nullopt) <= kMaxWaitForEnds) return;

  for (const TaskRef& ref : ChooseEvicted(state, cell, worker, shortage)) {
    TaskState& task = *FindTask(cell, ref);
    SetStopping(worker, task);
    ++task.evictions;
    worker.needs_update = true;
    cell.worker_update_due = true;
    ++state.counts.evictions;
    Log(effects, Severity::kInfo, "stopping a task to make room for an interrupted one",
        {{"job", ref.job.Text()},
         {"step", std::to_string(ref.step)},
         {"task", std::to_string(ref.index)},
         {"run", std::to_string(task.run)},
         {"worker", worker.info.id.Text()},
         {"for", shortage.job.Text()}});
  }
}

}  // namespace

bool IsEvictable(const State& state, const JobState& job, const TaskRef& ref, int32_t priority) {
  const StepSpec& spec = SpecOf(job, ref);
  const TaskState& task = TaskOf(job, ref);
  if (task.phase != TaskPhase::kRunning || spec.is_long_running) return false;
  if (job.record.priority != priority)
    return job.record.priority > priority && task.evictions < kMaxStops;

  const bool loses_little = spec.checkpointing || state.now - task.began < kJustBegun;
  return loses_little && task.evictions == 0;
}

void EvictForInterrupted(State& state, Effects& effects, OwnedCell& cell) {
  if (std::ranges::none_of(cell.holds, &WorkerHold::is_interrupted)) return;
  if (!MayMoveTasks(state, cell)) return;

  if (state.now < cell.next_eviction) {
    WakeAt(state, cell.next_eviction);
    return;
  }

  cell.next_eviction = state.now + kEvictionInterval;
  WakeAt(state, cell.next_eviction);
  std::set<VmId> kept;
  for (const WorkerHold& hold : cell.holds) kept.insert(hold.worker);

  for (const VmId& id : kept) {
    const auto worker = cell.workers.find(id);
    if (worker == cell.workers.end()) continue;

    const bool answers = worker->second.confirmed && worker->second.failed_polls == 0;
    if (answers && !worker->second.info.draining) Evict(state, effects, cell, worker->second);
  }
}

}  // namespace currantpost::scheduler
