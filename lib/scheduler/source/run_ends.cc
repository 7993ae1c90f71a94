#include "internal.h"

/// Ends of runs: what they change in the job of an owned cell.

namespace currantpost::scheduler {
namespace {

/// Delay before a task whose run failed is retried. Keeps tasks that fail at once from flooding the
/// workers with starts.
constexpr Millis kFailedRunRetryDelay = Millis(50);

/// Records that a task which is on no worker is done.
void CompleteTask(State& state, Effects& effects, OwnedCell& cell, JobState& job,
                  const TaskRef& ref) {
  TaskState& task = *FindTask(cell, ref);
  task.phase = TaskPhase::kDone;
  task.checkpoint.clear();
  StepState& step =
      job.occurrences[static_cast<size_t>(ref.occurrence)].steps[static_cast<size_t>(ref.step)];
  ++step.done;
  if (IsDone(step)) UnblockTasks(state, cell, job);
  FinalizeJobIfDone(state, effects, cell, ref.job);
}

/// Counts the wait of a long-running task whose run was lost from when the run was last known.
void CountAbsence(const State& state, const OwnedCell& cell, const StepSpec& spec,
                  TaskState& task) {
  if (!spec.is_long_running) return;

  // A run that no poll has listed doesn't end the absence before it.
  const Millis before = task.waiting_since > Millis(0) ? task.waiting_since : cell.taken_over_at;
  task.waited_before = state.now - (WasListed(task) ? task.last_seen_running_at : before);
}

/// Returns whether a run that was treated as lost is still the last one of its task: no later run
/// was sent to a worker or passed on to another cell.
bool IsLastStartedRun(const JobState& job, const TaskState& task, Run run) {
  if (job.cancelled || job.attempts_exhausted || job.move) return false;

  switch (task.phase) {
    case TaskPhase::kWaiting:
      return task.run == run;
    case TaskPhase::kBinding:
      return task.run == run + 1;
    case TaskPhase::kStarting:
      return !task.start_sent && task.run == run + 1;
    default:
      return false;
  }
}

}  // namespace

void RecordLostRun(const State& state, Effects& effects, const TaskRef& ref, Run run,
                   const VmId& worker, LossReason reason) {
  state.counts.lost_runs.Add(reason);
  Log(effects, Severity::kInfo, "run was lost",
      {{"job", ref.job.Text()},
       {"step", std::to_string(ref.step)},
       {"task", std::to_string(ref.index)},
       {"run", std::to_string(run)},
       {"worker", worker.Text()},
       {"reason", std::string(kLossReasonNames.Name(reason))}});
}

void HandleRunEnd(State& state, Effects& effects, OwnedCell& cell, const TaskRef& ref, RunEnd end,
                  const std::string& checkpoint) {
  JobState& job = cell.jobs.at(ref.job);
  TaskState& task = *FindTask(cell, ref);
  const StepSpec& spec = SpecOf(job, ref);
  if (!checkpoint.empty()) task.checkpoint = checkpoint;

  const VmId worker_id = task.worker;

  if (end == RunEnd::kDone && !spec.is_long_running) {
    UnbindTask(state, cell, job, ref);
    CompleteTask(state, effects, cell, job, ref);
    return;
  }

  if (end == RunEnd::kFailed) {
    ++task.failures;
    task.avoided_worker = worker_id;
  }

  if (end == RunEnd::kFailed && !spec.is_long_running && task.failures >= job.record.max_attempts) {
    UnbindTask(state, cell, job, ref);
    task.phase = TaskPhase::kFailed;
    job.attempts_exhausted = true;
    Log(effects, Severity::kWarning, "task has no attempts left",
        {{"job", ref.job.Text()},
         {"step", std::to_string(ref.step)},
         {"task", std::to_string(ref.index)},
         {"failures", std::to_string(task.failures)}});
    StopJob(cell, job);
    MarkDirty(cell, job);
    FinalizeJobIfDone(state, effects, cell, ref.job);
    return;
  }

  if (end == RunEnd::kLeaseExpired) CountAbsence(state, cell, spec, task);
  const Millis delay =
      end == RunEnd::kFailed && !spec.is_long_running ? kFailedRunRetryDelay : Millis(0);
  RequeueTask(state, cell, job, ref, state.now + delay);
  FinalizeJobIfDone(state, effects, cell, ref.job);
}

bool HandleEndOfLostRun(State& state, Effects& effects, OwnedCell& cell, const TaskRef& ref,
                        const EndedTask& row) {
  JobState& job = cell.jobs.at(ref.job);
  TaskState& task = *FindTask(cell, ref);
  if (!IsLastStartedRun(job, task, row.run)) return false;

  if (row.end == RunEnd::kDone && !SpecOf(job, ref).is_long_running) {
    ++state.counts.completed_lost_runs;
    Log(effects, Severity::kInfo, "a run that was treated as lost has completed its task",
        {{"job", ref.job.Text()},
         {"step", std::to_string(ref.step)},
         {"task", std::to_string(ref.index)},
         {"run", std::to_string(row.run)}});
    cell.waiting.erase(WaitingKeyOf(job, ref));
    UnbindTask(state, cell, job, ref);
    MarkDirty(cell, job);
    CompleteTask(state, effects, cell, job, ref);
    return true;
  }

  if (row.checkpoint.empty() || row.checkpoint == task.checkpoint) return false;

  task.checkpoint = row.checkpoint;
  MarkDirty(cell, job);
  return true;
}

void HandleLostRun(State& state, Effects& effects, OwnedCell& cell, const TaskRef& ref,
                   LossReason reason) {
  JobState& job = cell.jobs.at(ref.job);
  TaskState& task = *FindTask(cell, ref);
  RecordLostRun(state, effects, ref, task.run, task.worker, reason);
  CountAbsence(state, cell, SpecOf(job, ref), task);
  RequeueTask(state, cell, job, ref, state.now);
  FinalizeJobIfDone(state, effects, cell, ref.job);
}

}  // namespace currantpost::scheduler
