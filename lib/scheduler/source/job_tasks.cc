#include "internal.h"

/// Lookups of the tasks of a cell's jobs, and changes of single tasks.

namespace currantpost::scheduler {
namespace {

/// Ranks of the other waiting tasks within one priority, see `kInterruptedRank`.
constexpr int32_t kLongRunningRank = 1;
constexpr int32_t kOtherRank = 2;

int32_t RankOf(const JobState& job, const TaskRef& ref) {
  if (!SpecOf(job, ref).is_long_running) return kOtherRank;
  return IsInterrupted(job, ref) ? kInterruptedRank : kLongRunningRank;
}

}  // namespace

void AdjustReservedResources(WorkerState& worker, const StepSpec& spec, int64_t sign) {
  worker.expected_stress.reset();
  worker.reserved.memory_mib += sign * spec.need.memory_mib;
  worker.reserved.accelerators += sign * spec.need.accelerators;

  if (spec.best_effort) {
    worker.best_effort_millicores += sign * spec.need.millicores;
    return;
  }

  worker.reserved.millicores += sign * spec.need.millicores;
  if (spec.is_long_running) worker.long_running_millicores += sign * spec.need.millicores;
}

WaitingKey WaitingKeyOf(const JobState& job, const TaskRef& ref) {
  return {job.record.priority, RankOf(job, ref), JobObjectiveOf(job.record).DueAt(), ref};
}

JobObjective JobObjectiveOf(const JobRecord& record) {
  return JobObjective{record.accepted_unix_ms, record.objective};
}

ExpectedRecord ExpectNotCancelled(const JobRecord& record) {
  return ExpectedRecord{CancelKey(record.parent.Empty() ? record.spec.job : record.parent), 0};
}

void VisitWaitingTasks(const OwnedCell& cell, const JobState& job,
                       absl::FunctionRef<bool(const TaskRef&)> visit) {
  const JobId& id = job.record.spec.job;
  const std::vector<StepSpec>& steps = job.record.spec.steps;
  const bool has_long_running = std::ranges::any_of(steps, &StepSpec::is_long_running);
  const bool has_other = !std::ranges::all_of(steps, &StepSpec::is_long_running);
  WaitingKey first{job.record.priority, kOtherRank, JobObjectiveOf(job.record).DueAt(),
                   TaskRef{.job = id}};

  // The tasks of one job are adjacent within each rank.
  for (const int32_t class_rank : {kInterruptedRank, kLongRunningRank, kOtherRank}) {
    if (class_rank == kOtherRank ? !has_other : !has_long_running) continue;

    std::get<1>(first) = class_rank;
    for (auto key = cell.waiting.lower_bound(first); key != cell.waiting.end(); ++key) {
      const TaskRef& ref = std::get<3>(*key);
      if (ref.job != id || std::get<1>(*key) != class_rank) break;
      if (!visit(ref)) return;
    }
  }
}

std::vector<TaskRef> WaitingTasksOf(const OwnedCell& cell, const JobState& job) {
  std::vector<TaskRef> tasks;
  VisitWaitingTasks(cell, job, [&](const TaskRef& ref) {
    tasks.push_back(ref);
    return true;
  });
  return tasks;
}

size_t CountWaitingTasks(const OwnedCell& cell, const JobState& job) {
  size_t tasks = 0;
  VisitWaitingTasks(cell, job, [&](const TaskRef&) {
    ++tasks;
    return true;
  });
  return tasks;
}

void SetWaiting(const State& state, OwnedCell& cell, JobState& job, const TaskRef& ref,
                TaskState& task) {
  task.phase = TaskPhase::kWaiting;
  task.queued_at = state.now;
  task.waiting_since = state.now - std::exchange(task.waited_before, Millis(0));
  cell.waiting.insert(WaitingKeyOf(job, ref));
  cell.placement_due = true;
}

bool IsKnownTask(const JobState& job, const TaskRef& ref) {
  if (ref.occurrence < 0 || ref.step < 0 || ref.index < 0) return false;
  if (static_cast<size_t>(ref.occurrence) >= job.occurrences.size()) return false;

  const auto& steps = job.occurrences[static_cast<size_t>(ref.occurrence)].steps;
  if (static_cast<size_t>(ref.step) >= steps.size()) return false;

  return static_cast<size_t>(ref.index) < steps[static_cast<size_t>(ref.step)].tasks.size();
}

const StepSpec& SpecOf(const JobState& job, const TaskRef& ref) {
  return job.record.spec.steps[static_cast<size_t>(ref.step)];
}

const TaskState& TaskOf(const JobState& job, const TaskRef& ref) {
  return job.occurrences[static_cast<size_t>(ref.occurrence)]
      .steps[static_cast<size_t>(ref.step)]
      .tasks[static_cast<size_t>(ref.index)];
}

bool IsInterrupted(const JobState& job, const TaskRef& ref) {
  const StepSpec& spec = SpecOf(job, ref);
  return spec.is_long_running && !spec.best_effort && TaskOf(job, ref).run > 0;
}

TaskRef RefOf(const OwnedCell& cell, const TaskName& name) {
  const auto borrowed_job = cell.borrowed_tasks.find(name);
  if (borrowed_job != cell.borrowed_tasks.end()) return borrowed_job->second;

  return TaskRef{name.job, name.occurrence, name.step, name.index};
}

TaskName NameOf(const JobState& job, const TaskRef& ref) {
  const JobId& id = job.record.parent.Empty() ? ref.job : job.record.parent;
  return TaskName{id, ref.occurrence, ref.step, ref.index};
}

TaskState* FindTask(OwnedCell& cell, const TaskRef& ref) {
  const auto job = cell.jobs.find(ref.job);
  if (job == cell.jobs.end()) return nullptr;
  if (!IsKnownTask(job->second, ref)) return nullptr;

  return &job->second.occurrences[static_cast<size_t>(ref.occurrence)]
              .steps[static_cast<size_t>(ref.step)]
              .tasks[static_cast<size_t>(ref.index)];
}

void MarkDirty(OwnedCell& cell, JobState& job) {
  ++job.version;
  cell.dirty.insert(job.record.spec.job);
}

void MarkActive(OwnedCell& cell, JobState& job) {
  if (job.phase != JobPhase::kQueued) return;

  job.phase = JobPhase::kActive;
  MarkDirty(cell, job);
}

JobPhase ReportablePhase(const OwnedCell& cell, const JobId& id, const JobView& view) {
  if (IsTerminal(view.phase)) return view.phase;
  if (view.cancelled) return JobPhase::kCancelled;

  const auto job = cell.jobs.find(id);
  if (job == cell.jobs.end()) return view.phase;

  return IsTerminal(job->second.phase) ? JobPhase::kActive : job->second.phase;
}

}  // namespace currantpost::scheduler
