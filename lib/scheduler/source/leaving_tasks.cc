#include "leaving_tasks.h"

#include <set>
#include <tuple>

#include "cell_workers.h"
#include "worker_hold.h"

namespace currantpost::scheduler {
namespace {

/// Times at which workers leave that differ by less count as equal: they are known to about a
/// heartbeat.
constexpr Millis kLeaveTimeStep = Millis(1'000);

using StepOfJob = std::pair<StepName, JobId>;

/// Returns whether a task needs another worker.
bool IsNeeded(const JobState& job) { return !job.cancelled && !job.attempts_exhausted; }

/// Returns the number of interrupted tasks of a step that wait.
int64_t CountInterrupted(const OwnedCell& cell, const JobState& job, const TaskRef& first) {
  int64_t tasks = 0;
  VisitWaitingTasks(cell, job, [&](const TaskRef& ref) {
    const bool is_of_step = ref.step == first.step && ref.occurrence == first.occurrence;
    if (is_of_step && IsInterrupted(job, ref)) ++tasks;
    return true;
  });
  return tasks;
}

}  // namespace

std::vector<LeavingTask> LeavingTasksOf(const OwnedCell& cell) {
  std::vector<LeavingTask> tasks;

  for (const auto& [id, worker] : cell.workers) {
    const bool leaves = worker.info.draining && worker.confirmed;
    if (!leaves || worker.long_running_millicores == 0) continue;

    for (const TaskRef& ref : worker.tasks) {
      const JobState& job = cell.jobs.at(ref.job);
      const StepSpec& spec = SpecOf(job, ref);
      const TaskPhase phase = TaskOf(job, ref).phase;
      const bool is_stopping = phase == TaskPhase::kStopping;
      if (!spec.is_long_running || (phase != TaskPhase::kRunning && !is_stopping)) continue;

      tasks.push_back(LeavingTask{.ref = ref,
                                  .priority = job.record.priority,
                                  .leaves_at = worker.info.drain_ends_at,
                                  .millicores = spec.need.millicores,
                                  .is_stopping = is_stopping,
                                  .can_be_stopped = !HasFailedPollsOrNoAddress(worker)});
    }
  }

  std::ranges::stable_sort(tasks, {}, [](const LeavingTask& task) {
    const int64_t leaves_at = task.leaves_at.Count() / kLeaveTimeStep.Count();
    return std::tuple(task.priority, leaves_at, -task.millicores);
  });
  return tasks;
}

std::map<StepOfJob, int64_t> CountLeavingTasks(const OwnedCell& cell) {
  std::map<StepOfJob, int64_t> counts;

  for (const LeavingTask& task : LeavingTasksOf(cell)) {
    const JobState& job = cell.jobs.at(task.ref.job);
    if (IsNeeded(job)) ++counts[{StepNameOf(job, task.ref), task.ref.job}];
  }

  return counts;
}

void KeepWorkersAhead(const State& state, OwnedCell& cell, const std::vector<LeavingTask>& tasks) {
  // Number of tasks of each step that workers are kept for so far. The first holds of a step are
  // those of its tasks that are without a run, and of those that were stopped.
  std::map<StepOfJob, int32_t> ranks;
  std::map<StepOfJob, int64_t> stopping;
  std::set<StepOfJob> without_worker;

  for (const LeavingTask& task : LeavingTasksOf(cell)) {
    const JobState& job = cell.jobs.at(task.ref.job);
    if (task.is_stopping) ++stopping[{StepNameOf(job, task.ref), task.ref.job}];
  }

  for (const LeavingTask& task : tasks) {
    const JobState& job = cell.jobs.at(task.ref.job);
    if (!IsNeeded(job) || job.move || job.loan || SpecOf(job, task.ref).best_effort) continue;

    PlacementRequest placement = RequestFor(state, cell, task.ref);
    const StepOfJob step(placement.name, task.ref.job);
    if (without_worker.contains(step)) continue;

    const auto [rank, is_first] = ranks.try_emplace(step, 0);
    if (is_first) {
      const int64_t others = CountInterrupted(cell, job, task.ref) + stopping[step];
      const int32_t held = CountHolds(cell, placement.name, task.ref.job, true);
      rank->second = static_cast<int32_t>(std::min<int64_t>(held, others));
    }

    // It runs until the next check at least.
    placement.absent_since = std::max(task.leaves_at, cell.next_evacuation);
    const int32_t wanted = ++rank->second;
    const int32_t kept = KeepWorkers(state, cell,
                                     HoldRequest{.placement = placement,
                                                 .job = task.ref.job,
                                                 .tasks = wanted,
                                                 .priority = task.priority});
    if (kept < wanted) without_worker.insert(step);
  }
}

}  // namespace currantpost::scheduler
