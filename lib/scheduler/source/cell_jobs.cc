#include "reservations.h"
#include "worker_hold.h"

/// Jobs of owned cells: the state of their tasks, from acceptance to the end of the job.

namespace currantpost::scheduler {
namespace {

/// Minimum time between two checks of all jobs of a cell for what is due by time.
constexpr Millis kJobsUpdateInterval = Millis(40);

int32_t OccurrenceCount(const JobSpec& spec) { return std::max(spec.occurrences, 1); }

bool IsBoundPhase(TaskPhase phase) {
  return phase == TaskPhase::kBinding || phase == TaskPhase::kStarting ||
         phase == TaskPhase::kRunning || phase == TaskPhase::kStopping;
}

template <typename Visit>
void ForEachTask(JobState& job, Visit visit) {
  for (size_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
    auto& steps = job.occurrences[occurrence].steps;

    for (size_t step = 0; step < steps.size(); ++step) {
      for (size_t index = 0; index < steps[step].tasks.size(); ++index) {
        visit(TaskRef{job.record.spec.job, static_cast<int32_t>(occurrence),
                      static_cast<int32_t>(step), static_cast<int32_t>(index)},
              steps[step].tasks[index]);
      }
    }
  }
}

void MakeTasks(JobState& job) {
  job.occurrences.resize(static_cast<size_t>(OccurrenceCount(job.record.spec)));

  for (OccurrenceState& occurrence : job.occurrences) {
    for (const StepSpec& step : job.record.spec.steps) {
      occurrence.steps.emplace_back().tasks.resize(static_cast<size_t>(step.task_count));
    }
  }
}

void AttachToWorker(OwnedCell& cell, JobState& job, const TaskRef& ref, TaskState& task,
                    WorkerState& worker) {
  task.worker = worker.info.id;
  worker.tasks.insert(ref);
  ++worker.tasks_by_step[StepNameOf(job, ref)];
  AdjustReservedResources(worker, SpecOf(job, ref), 1);
  ++job.bound;
  cell.placement_due = true;
}

/// Updates the counts of a worker from which a task was removed.
void SubtractFromWorker(const JobState& job, const TaskRef& ref, WorkerState& worker) {
  AdjustReservedResources(worker, SpecOf(job, ref), -1);
  const auto count = worker.tasks_by_step.find(StepNameOf(job, ref));
  if (--count->second == 0) worker.tasks_by_step.erase(count);
}

/// Reverses `AttachToWorker`: the task is on no worker afterwards.
void DetachFromWorker(OwnedCell& cell, JobState& job, const TaskRef& ref, TaskState& task) {
  const auto worker = cell.workers.find(task.worker);
  if (worker != cell.workers.end() && worker->second.tasks.erase(ref) > 0) {
    SubtractFromWorker(job, ref, worker->second);
  }

  task.phase = TaskPhase::kBlocked;
  --job.bound;
}

TaskRef RefOf(const JobId& job, const TaskProgress& task) {
  return TaskRef{job, task.occurrence, task.step, task.index};
}

/// Restores a job that holds borrowed tasks: all others count as done, as they run in another cell.
void RestoreBorrowedTasks(OwnedCell& cell, JobState& job) {
  ForEachTask(job, [](const TaskRef&, TaskState& task) {
    task.phase = TaskPhase::kDone;
    task.not_borrowed = true;
  });

  for (OccurrenceState& occurrence : job.occurrences) {
    for (StepState& step : occurrence.steps) step.done = static_cast<int32_t>(step.tasks.size());
  }

  for (const TaskProgress& lent : job.record.lent) {
    const TaskRef ref = RefOf(job.record.spec.job, lent);
    if (!IsKnownTask(job, ref)) continue;

    TaskState& task = job.occurrences[static_cast<size_t>(ref.occurrence)]
                          .steps[static_cast<size_t>(ref.step)]
                          .tasks[static_cast<size_t>(ref.index)];
    task.phase = TaskPhase::kBlocked;
    task.not_borrowed = false;
    task.run = lent.run;
    task.failures = lent.failures;
    task.checkpoint = lent.checkpoint;
    task.waited_before = lent.waited;
    --job.occurrences[static_cast<size_t>(ref.occurrence)]
          .steps[static_cast<size_t>(ref.step)]
          .done;
    cell.borrowed_tasks[NameOf(job, ref)] = ref;
  }
}

/// Restores the state of a task from the progress that former owners recorded. A run that was bound
/// to a former incarnation of its worker has ended or never starts, and the task starts again.
void RestoreTask(const State& state, Effects& effects, OwnedCell& cell, JobState& job,
                 const TaskProgress& progress) {
  const TaskRef ref = RefOf(job.record.spec.job, progress);
  TaskState& task = *FindTask(cell, ref);
  task.run = progress.run;
  task.failures = progress.failures;
  task.checkpoint = progress.checkpoint;
  task.avoided_worker = progress.avoided_worker;

  StepState& step =
      job.occurrences[static_cast<size_t>(ref.occurrence)].steps[static_cast<size_t>(ref.step)];

  switch (progress.status) {
    case TaskStatus::kWaiting:
      task.waited_before = progress.waited;
      return;
    case TaskStatus::kDone:
      task.phase = TaskPhase::kDone;
      ++step.done;
      return;
    case TaskStatus::kFailed:
      task.phase = TaskPhase::kFailed;
      job.attempts_exhausted = true;
      return;
    case TaskStatus::kBound: {
      WorkerState& worker = FindOrAddWorker(cell, progress.worker);

      if (WasBoundBefore(progress.worker_incarnation, worker.info.incarnation)) {
        RecordLostRun(state, effects, ref, task.run, progress.worker,
                      LossReason::kWorkerRestartedEarlier);
        // Nobody knows when the run was last listed.
        if (SpecOf(job, ref).is_long_running) task.waited_before = state.now - cell.taken_over_at;
        return;
      }

      task.phase = TaskPhase::kStarting;
      task.start_sent = true;
      task.start_sequence = state.worker_event_sequence;
      task.worker_incarnation = progress.worker_incarnation;
      if (SpecOf(job, ref).best_effort) task.sent_speed_percent = kUnknownSpeed;
      AttachToWorker(cell, job, ref, task, worker);
      return;
    }
    case TaskStatus::kLent:
      task.phase = TaskPhase::kLent;
      task.lent_to = progress.lent_to;
      ++job.lent;
      return;
  }
}

bool AllStepsDone(const OccurrenceState& occurrence, const std::vector<int32_t>& steps) {
  return std::ranges::all_of(steps, [&](int32_t step) {
    if (step < 0 || static_cast<size_t>(step) >= occurrence.steps.size()) return true;

    return IsDone(occurrence.steps[static_cast<size_t>(step)]);
  });
}

bool AllTasksDone(const JobState& job) {
  for (const OccurrenceState& occurrence : job.occurrences) {
    for (const StepState& step : occurrence.steps) {
      if (!IsDone(step)) return false;
    }
  }

  return true;
}

JobPhase TerminalPhase(const JobState& job) {
  if (job.cancelled) return JobPhase::kCancelled;
  return JobPhase::kFailed;
}

/// Returns the progress of a job in its present cell, or else the progress that it brought from
/// former cells.
Result<ProgressRecord> LatestProgress(const JobView& view, const Result<JobRecord>& record) {
  const bool here = view.progress_cell == view.head.cell;
  if (here && view.progress_revision != 0) return DecodeProgress(view.progress);

  return record ? record->carried_progress : ProgressRecord{};
}

/// Applies the ends of borrowed jobs that ended while the cell had no owner.
void HandleEndedLoans(State& state, Effects& effects, const JobState& job) {
  if (job.lent == 0) return;

  std::map<JobId, JobPhase> ended;

  for (const OccurrenceState& occurrence : job.occurrences) {
    for (const StepState& step : occurrence.steps) {
      for (const TaskState& task : step.tasks) {
        if (task.phase != TaskPhase::kLent) continue;

        const auto borrowed_job = state.view.jobs.find(task.lent_to);
        if (borrowed_job == state.view.jobs.end()) continue;

        const JobPhase phase = borrowed_job->second.head.ended.value_or(borrowed_job->second.phase);
        if (IsTerminal(phase)) ended[task.lent_to] = phase;
      }
    }
  }

  for (const auto& [borrowed_job, phase] : ended) {
    ApplyBorrowedJobEnd(state, effects, job.record.spec.job, borrowed_job, phase);
  }
}

/// Starts the occurrences that are due by now.
void StartOccurrences(State& state, OwnedCell& cell, JobState& job) {
  const JobSpec& spec = job.record.spec;
  bool started = false;

  for (size_t number = 0; number < job.occurrences.size(); ++number) {
    OccurrenceState& occurrence = job.occurrences[number];
    if (occurrence.due) continue;

    const int64_t due_at =
        spec.occurrences == 0
            ? 0
            : spec.first_due_unix_ms + static_cast<int64_t>(number) * spec.interval.Count();

    if (state.unix_ms < due_at) {
      WakeAt(state, state.now + Millis(due_at - state.unix_ms));
      break;
    }

    occurrence.due = true;
    started = true;
  }

  if (started) UnblockTasks(state, cell, job);
}

}  // namespace

void RemoveJob(const State& state, OwnedCell& cell, const JobId& id) {
  const JobState& job = cell.jobs.at(id);
  cell.worker_update_due = true;

  // No run of the job should be left on a worker. If there is one all the same, it becomes an
  // orphaned run and is stopped.
  for (auto& row : cell.workers) {
    WorkerState& worker = row.second;
    std::erase_if(worker.tasks, [&](const TaskRef& ref) {
      if (ref.job != id) return false;

      SubtractFromWorker(job, ref, worker);
      return true;
    });
  }

  // Drops the unrecorded ends; the worker goes on listing them until they are handled.
  for (auto& row : cell.workers) {
    std::erase_if(row.second.ends,
                  [&](const auto& end) { return end.second.job == id && !end.second.recorded; });
  }

  std::erase_if(cell.waiting, [&](const WaitingKey& key) { return std::get<3>(key).job == id; });
  std::erase_if(cell.borrowed_tasks, [&](const auto& row) { return row.second.job == id; });
  EndHoldsOf(state, cell, id);
  cell.dirty.erase(id);
  cell.jobs.erase(id);
}

void SetStopping(WorkerState& worker, TaskState& task) {
  task.phase = TaskPhase::kStopping;
  worker.has_stopping_tasks = true;
}

void StopJob(OwnedCell& cell, JobState& job) {
  cell.worker_update_due = true;
  std::vector<TaskRef> unsent;

  ForEachTask(job, [&](const TaskRef& ref, TaskState& task) {
    switch (task.phase) {
      case TaskPhase::kWaiting:
        cell.waiting.erase(WaitingKeyOf(job, ref));
        task.phase = TaskPhase::kBlocked;
        break;
      case TaskPhase::kBinding:
        unsent.push_back(ref);
        break;
      case TaskPhase::kStarting:
        if (!task.start_sent) unsent.push_back(ref);
        // If the start was sent, the next poll shows whether the task runs; it is stopped then.
        break;
      case TaskPhase::kRunning:
        SetStopping(cell.workers.at(task.worker), task);
        break;
      default:
        break;
    }
  });

  for (const TaskRef& ref : unsent) {
    // The caller marks the job as dirty.
    DetachFromWorker(cell, job, ref, *FindTask(cell, ref));
  }
}

void AddJob(State& state, Effects& effects, OwnedCell& cell, const JobId& id) {
  if (cell.jobs.contains(id)) return;

  const JobView& view = state.view.jobs.at(id);
  if (IsTerminal(view.phase) || view.head.ended) return;

  Result<JobRecord> record = DecodeJob(view.value);
  Result<ProgressRecord> progress = LatestProgress(view, record);

  if (!record || !progress) {
    Log(effects, Severity::kError, "skipping an unreadable job record",
        {{"job", id.Text()}, {"error", record ? progress.error().detail : record.error().detail}});
    return;
  }

  cell.newest_job_revision = std::max(cell.newest_job_revision, view.revision);
  JobState& job = cell.jobs[id];
  job.record = *std::move(record);
  job.phase = progress->phase;
  job.progress_revision = view.progress_revision;
  job.taken_over_at = state.now;
  MakeTasks(job);

  if (!job.record.parent.Empty()) RestoreBorrowedTasks(cell, job);

  for (const TaskProgress& task : progress->tasks) {
    if (IsKnownTask(job, RefOf(id, task))) RestoreTask(state, effects, cell, job, task);
  }

  const auto parent = state.view.jobs.find(job.record.parent);
  const bool parent_cancelled = parent != state.view.jobs.end() && parent->second.cancelled;

  if (view.cancelled || parent_cancelled) {
    CancelJob(state, effects, cell, job);
    return;
  }

  StartOccurrences(state, cell, job);
  HandleEndedLoans(state, effects, job);
  ClaimReservations(state, cell, job);
  ClaimHolds(state, cell, job);
  FinalizeJobIfDone(state, effects, cell, id);
}

void UnblockTasks(State& state, OwnedCell& cell, JobState& job) {
  if (job.cancelled || job.attempts_exhausted) return;

  for (size_t number = 0; number < job.occurrences.size(); ++number) {
    OccurrenceState& occurrence = job.occurrences[number];
    if (!occurrence.due) continue;

    for (size_t step = 0; step < occurrence.steps.size(); ++step) {
      StepState& tasks = occurrence.steps[step];
      if (IsDone(tasks)) continue;
      if (!AllStepsDone(occurrence, job.record.spec.steps[step].after)) continue;

      for (size_t index = 0; index < tasks.tasks.size(); ++index) {
        TaskState& task = tasks.tasks[index];
        if (task.phase != TaskPhase::kBlocked) continue;

        task.not_before = std::max(task.not_before, state.now);
        SetWaiting(state, cell, job,
                   TaskRef{job.record.spec.job, static_cast<int32_t>(number),
                           static_cast<int32_t>(step), static_cast<int32_t>(index)},
                   task);
      }
    }
  }
}

void CancelJob(State& state, Effects& effects, OwnedCell& cell, JobState& job) {
  if (job.cancelled) return;

  job.cancelled = true;
  job.cancelled_at = state.now;
  Log(effects, Severity::kInfo, "cancelling job",
      {{"job", job.record.spec.job.Text()},
       {"cell", cell.cell.Text()},
       {"bound", std::to_string(job.bound)},
       {"lent", std::to_string(job.lent)},
       {"known_ms", RecordsAgeText(state)}});
  NotifyBorrowers(state, effects, job);
  StopJob(cell, job);
  MarkDirty(cell, job);
  FinalizeJobIfDone(state, effects, cell, job.record.spec.job);
}

void BindTask(State& state, OwnedCell& cell, JobState& job, const TaskRef& ref,
              WorkerState& worker) {
  TaskState& task = *FindTask(cell, ref);
  cell.waiting.erase(WaitingKeyOf(job, ref));
  job.longest_wait = std::max(job.longest_wait, state.now - task.not_before);
  if (!job.first_bound_at) job.first_bound_at = state.now;
  task.phase = TaskPhase::kBinding;
  ++task.run;
  task.worker_incarnation = worker.info.incarnation;
  task.start_sent = false;
  task.next_stop = Millis(0);
  task.sent_speed_percent = 100;
  task.target_speed_percent = 100;
  task.last_measurement = 0;
  task.began = state.now;
  AttachToWorker(cell, job, ref, task, worker);
  ++worker.unstarted;
  MarkDirty(cell, job);
  task.bound_version = job.version;
}

void UnbindTask(State& /*state*/, OwnedCell& cell, JobState& job, const TaskRef& ref) {
  TaskState& task = *FindTask(cell, ref);
  if (!IsBoundPhase(task.phase)) return;

  DetachFromWorker(cell, job, ref, task);
  task.start_sent = false;
  cell.placement_due = true;
  MarkDirty(cell, job);
}

void RequeueTask(State& state, OwnedCell& cell, JobState& job, const TaskRef& ref,
                 Millis not_before) {
  UnbindTask(state, cell, job, ref);
  if (job.cancelled || job.attempts_exhausted) return;

  TaskState& task = *FindTask(cell, ref);
  const bool still_waits = SpecOf(job, ref).is_long_running && !WasListed(task) &&
                           task.waiting_since > Millis(0) && task.waited_before == Millis(0);
  if (still_waits) task.waited_before = state.now - task.waiting_since;

  task.not_before = not_before;
  SetWaiting(state, cell, job, ref, task);
}

void FinalizeJobIfDone(State& state, Effects& effects, OwnedCell& cell, const JobId& id) {
  const auto found = cell.jobs.find(id);
  if (found == cell.jobs.end()) return;

  JobState& job = found->second;

  if (!IsTerminal(job.phase)) {
    const bool over = (job.cancelled || job.attempts_exhausted) && job.bound == 0 && job.lent == 0;
    const bool done = !job.cancelled && !job.attempts_exhausted && AllTasksDone(job);
    if (!over && !done) return;

    job.phase = done ? JobPhase::kCompleted : TerminalPhase(job);
    MarkDirty(cell, job);
    Log(effects, Severity::kInfo, "job has ended",
        {{"job", id.Text()},
         {"queue", job.record.queue},
         {"phase", std::string(kJobPhaseNames.Name(job.phase))},
         {"ms", std::to_string((state.now - job.taken_over_at).Count())},
         {"cancelling_ms",
          std::to_string((state.now - job.cancelled_at.value_or(state.now)).Count())},
         {"first_bound_ms", job.first_bound_at
                                ? std::to_string((*job.first_bound_at - job.taken_over_at).Count())
                                : std::string()},
         {"longest_wait_ms", std::to_string(job.longest_wait.Count())},
         {"filling_ms", std::to_string(job.best_effort_time.Count())},
         {"paced_ms", std::to_string(job.throttled_time.Count())},
         {"starved_ms", std::to_string(job.starved_time.Count())},
         {"steps", std::to_string(job.record.spec.steps.size())}});
    return;
  }

  if (job.recorded_version == job.version) RemoveJob(state, cell, id);
}

void UpdateJobs(State& state, Effects& effects, OwnedCell& cell) {
  if (state.now < cell.next_job_update) {
    WakeAt(state, cell.next_job_update);
    return;
  }

  cell.next_job_update = state.now + kJobsUpdateInterval;
  state.counts.search.Add(SearchVisit::kJob, cell.jobs.size());
  for (auto& [id, job] : cell.jobs) {
    if (job.record.spec.occurrences > 0 && !job.cancelled && !job.attempts_exhausted) {
      StartOccurrences(state, cell, job);
    }

    PollBorrowers(state, effects, job);
    RetryMove(state, effects, cell, job);
    RetryLoan(state, effects, cell, job);
    ExpireRequest(state, effects, cell, job);
  }
}

}  // namespace currantpost::scheduler
