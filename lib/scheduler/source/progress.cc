#include "internal.h"

/// Writes of progress. A task may start only after its binding is recorded, and a worker may forget
/// the end of a run only after the end is recorded.

namespace currantpost::scheduler {
namespace {

/// Minimum interval between two writes of one cell, so that changes are batched, as each call has a
/// cost. A start, and the end of each step, wait for half of the interval on average.
constexpr Millis kWriteInterval = Millis(60);
/// Additional time between two writes of the progress of one job for each of its tasks, as each
/// write contains all tasks that were started.
constexpr int64_t kTasksPerMilli = 25;
/// Maximum number of conditions and changes in one transaction of the store.
constexpr size_t kMaxTransactionEntries = 32;
/// Of these, those for the cell: the condition on the grant, and the load report.
constexpr size_t kEntriesPerCell = 2;
/// Of these, those for a job: the condition on the revision, the progress and, if the job has
/// ended, the job record.
constexpr size_t kEntriesPerJob = 2;
constexpr size_t kEntriesPerEndedJob = 3;
/// Interval between load reports of a cell that cause a write on their own.
constexpr Millis kLoadInterval = Millis(500);
/// A load is reported again if a value has changed by more than this share of the capacity, in
/// percent.
constexpr int64_t kLoadChangePercent = 3;

/// A load is also reported again if the largest task that fits has changed by more than this many
/// thousandths of a core.
constexpr int64_t kLargestFreeChange = 500;
/// The same for the time since when a task is without a run.
constexpr Millis kAbsenceChange = Millis(300);

TaskStatus MarkOf(TaskPhase phase) {
  switch (phase) {
    case TaskPhase::kBinding:
    case TaskPhase::kStarting:
    case TaskPhase::kRunning:
    case TaskPhase::kStopping:
      return TaskStatus::kBound;
    case TaskPhase::kDone:
      return TaskStatus::kDone;
    case TaskPhase::kFailed:
      return TaskStatus::kFailed;
    case TaskPhase::kLent:
      return TaskStatus::kLent;
    case TaskPhase::kBlocked:
    case TaskPhase::kWaiting:
      return TaskStatus::kWaiting;
  }

  return TaskStatus::kWaiting;
}

bool HasChanged(int64_t left, int64_t right, int64_t capacity) {
  return std::abs(left - right) * 100 > capacity * kLoadChangePercent;
}

/// Returns whether other interrupted tasks wait than were reported `age` ago.
bool HaveWaitsChanged(const std::vector<InterruptedWait>& reported,
                      const std::vector<InterruptedWait>& present, Millis age) {
  return !std::ranges::equal(
      reported, present, [&](const InterruptedWait& before, const InterruptedWait& now) {
        return before.name == now.name && before.job == now.job &&
               std::abs((now.absent - before.absent - age).Count()) <= kAbsenceChange.Count();
      });
}

bool IsLoadChanged(const OwnedCell& cell, const LoadRecord& present, Millis now) {
  const LoadRecord& reported = cell.load;
  if (reported.services.size() != present.services.size()) return true;
  if (reported.waiting.by_queue != present.waiting.by_queue) return true;
  if (reported.waiting.up_to < std::min(cell.newest_job_revision, present.waiting.up_to))
    return true;

  for (const auto& [service, load] : present.services) {
    const auto known = reported.services.find(service);
    if (known == reported.services.end()) return true;

    const ServiceLoad& old = known->second;
    if (load.capacity != old.capacity) return true;
    if (std::abs(load.largest_free - old.largest_free) > kLargestFreeChange) return true;
    if ((load.waiting_interrupted > 0) != (old.waiting_interrupted > 0)) return true;
    if (std::abs(load.largest_long_running - old.largest_long_running) > kLargestFreeChange)
      return true;
    if (HasChanged(load.free, old.free, load.capacity)) return true;
    if (HasChanged(load.free_best_effort, old.free_best_effort, load.capacity)) return true;
    if (HasChanged(load.waiting, old.waiting, load.capacity)) return true;
    if (HasChanged(load.waiting_interrupted, old.waiting_interrupted, load.capacity)) return true;
    if (HasChanged(load.waiting_best_effort, old.waiting_best_effort, load.capacity)) return true;
    if (HaveWaitsChanged(old.interrupted_waits, load.interrupted_waits, now - cell.load_counted_at))
      return true;
  }

  return false;
}

/// Adds a job's progress to a write.
void AddProgress(const State& state, OwnedCell& cell, const JobId& id, JobState& job,
                 WriteRecords& write) {
  // The record of an ended job is reduced to what replies need, so that a starting entry has
  // little to read.
  if (IsTerminal(job.phase)) {
    write.puts.push_back(RecordPut{JobKey(id), EncodeEnded(job.record, job.phase), 0});
  }

  const ProgressRecord progress = ProgressOf(state, job);
  job.next_record =
      state.now + Millis(static_cast<int64_t>(progress.tasks.size()) / kTasksPerMilli);
  std::string value = Encode(progress);
  job.unconfirmed_values[value] = job.version;
  write.expected.push_back(ExpectedRecord{ProgressKey(cell.cell, id), job.progress_revision});
  write.puts.push_back(RecordPut{ProgressKey(cell.cell, id), std::move(value), 0});
  cell.write.versions[id] = job.version;
}

/// Reconciles a job with the progress in the store after a write found another revision there.
void ReconcileProgress(State& state, Effects& effects, OwnedCell& cell, JobState& job,
                       const StoreItem& item) {
  if (item.revision == job.progress_revision) return;

  const auto own = job.unconfirmed_values.find(item.value);

  if (own != job.unconfirmed_values.end()) {
    const uint64_t version = own->second;
    ApplyRecord(state, effects, item);
    MarkRecorded(state, effects, cell, job, version, item.revision);
    return;
  }

  // A former owner recorded more than this entry knew when it took over the job. No task was
  // started based on the outdated progress, because each start requires a successful write.
  const JobId id = job.record.spec.job;
  Log(effects, Severity::kWarning, "taking a job over again: its recorded progress is newer",
      {{"job", id.Text()}, {"revision", std::to_string(item.revision)}});

  RemoveJob(state, cell, id);
  ApplyRecord(state, effects, item);
  AddJob(state, effects, cell, id);
}

}  // namespace

ProgressRecord ProgressOf(const State& state, const JobState& job) {
  ProgressRecord record;
  record.phase = job.phase;
  if (IsTerminal(job.phase)) return record;

  for (size_t number = 0; number < job.occurrences.size(); ++number) {
    const auto& steps = job.occurrences[number].steps;

    for (size_t step = 0; step < steps.size(); ++step) {
      for (size_t index = 0; index < steps[step].tasks.size(); ++index) {
        const TaskState& task = steps[step].tasks[index];
        if (task.not_borrowed) continue;
        const bool is_waiting = task.phase == TaskPhase::kWaiting;
        // How long others have waited is of no use to the next owner.
        const bool has_wait = is_waiting && job.record.spec.steps[step].is_long_running;
        if (task.run == 0 && !has_wait && MarkOf(task.phase) == TaskStatus::kWaiting) continue;

        record.tasks.push_back(
            TaskProgress{.occurrence = static_cast<int32_t>(number),
                         .step = static_cast<int32_t>(step),
                         .index = static_cast<int32_t>(index),
                         .status = MarkOf(task.phase),
                         .run = task.run,
                         .failures = task.failures,
                         .worker = task.worker,
                         .worker_incarnation = task.worker_incarnation,
                         .checkpoint = task.checkpoint,
                         .lent_to = task.lent_to,
                         .avoided_worker = task.avoided_worker,
                         .waited = has_wait ? state.now - task.waiting_since : Millis(0)});
      }
    }
  }

  return record;
}

void MarkRecorded(State& state, Effects& effects, OwnedCell& cell, JobState& job, uint64_t version,
                  KvRevision revision) {
  job.recorded_version = std::max(job.recorded_version, version);
  job.progress_revision = revision;
  job.unconfirmed_values.clear();
  if (job.recorded_version == job.version) cell.dirty.erase(job.record.spec.job);

  for (OccurrenceState& occurrence : job.occurrences) {
    for (StepState& step : occurrence.steps) {
      for (TaskState& task : step.tasks) {
        if (task.phase != TaskPhase::kBinding || task.bound_version > job.recorded_version)
          continue;

        task.phase = TaskPhase::kStarting;
      }
    }
  }

  const JobId id = job.record.spec.job;

  for (auto& [worker_id, worker] : cell.workers) {
    bool all_recorded = !worker.ends.empty();

    for (auto& [number, end] : worker.ends) {
      if (end.job == id && end.version <= job.recorded_version) end.recorded = true;
      all_recorded = all_recorded && end.recorded;
    }

    // The next poll lets the worker forget the ends.
    if (all_recorded) worker.next_poll = std::min(worker.next_poll, state.now);
  }

  FinalizeJobIfDone(state, effects, cell, id);
}

void WriteProgress(State& state, Effects& effects, OwnedCell& cell) {
  if (cell.write.request != 0) return;

  const bool load_due = state.now >= cell.next_load && !cell.releasing;
  if (cell.dirty.empty() && !load_due) {
    if (!cell.releasing) WakeAt(state, cell.next_load);
    return;
  }

  if (state.now < cell.next_write) {
    WakeAt(state, cell.next_write);
    return;
  }

  // Computed only when a write is possible, because it is expensive.
  cell.write.load.reset();

  if (load_due) {
    LoadRecord load = CountLoad(state, cell);
    if (IsLoadChanged(cell, load, state.now)) cell.write.load = std::move(load);
    cell.write.load_counted_at = state.now;
    cell.next_load = state.now + kLoadInterval;
  }

  WriteRecords write;
  write.expected.push_back(ExpectedRecord{CellKey(cell.cell), cell.grant});
  cell.write.versions.clear();

  size_t entries = kEntriesPerCell;

  for (const JobId& id : cell.dirty) {
    JobState& job = cell.jobs.at(id);
    // A loan that is about to be written contains the progress.
    if (job.move || job.loan || job.reservation) continue;

    if (state.now < job.next_record) {
      WakeAt(state, job.next_record);
      continue;
    }

    entries += IsTerminal(job.phase) ? kEntriesPerEndedJob : kEntriesPerJob;
    if (entries > kMaxTransactionEntries) break;

    AddProgress(state, cell, id, job, write);
  }

  if (cell.write.load) {
    write.puts.push_back(
        RecordPut{LoadKey(cell.cell), Encode(*cell.write.load), state.lease.lease});
  }

  if (write.puts.empty()) return;

  cell.next_write = state.now + kWriteInterval;
  cell.write.request =
      CallStore(state, effects, ProgressWritten{cell.cell, cell.grant}, std::move(write));
}

void HandleProgressWritten(State& state, Effects& effects, const ProgressWritten& written,
                           const StoreReply& reply) {
  OwnedCell* found = FindCell(state, written.cell, written.grant);
  if (found == nullptr) return;

  OwnedCell& cell = *found;
  const CellId id = written.cell;
  cell.write.request = 0;
  const std::map<JobId, uint64_t> versions = std::move(cell.write.versions);
  cell.write.versions.clear();

  switch (reply.status) {
    case StoreStatus::kOk:
      if (cell.write.load) {
        cell.load = *std::move(cell.write.load);
        cell.load_counted_at = cell.write.load_counted_at;
      }

      for (const auto& [job_id, version] : versions) {
        const auto job = cell.jobs.find(job_id);
        if (job == cell.jobs.end()) continue;

        const auto sent = std::ranges::find(job->second.unconfirmed_values, version,
                                            [](const auto& row) { return row.second; });
        if (sent != job->second.unconfirmed_values.end()) {
          ApplyRecord(state, effects,
                      StoreItem{.key = ProgressKey(id, job_id),
                                .revision = reply.revision,
                                .value = sent->first});
        }

        MarkRecorded(state, effects, cell, job->second, version, reply.revision);
      }
      return;
    case StoreStatus::kConflict:
      break;
    case StoreStatus::kNotFound:
      // The lease to which the load report and the grant are attached has ended.
      DropCell(state, effects, id, "the store does not know the entry's lease");
      return;
    default:
      cell.next_write = state.now + kStoreRetryDelay;
      return;
  }

  const bool granted = std::ranges::any_of(reply.items, [&](const StoreItem& item) {
    return item.key == CellKey(id) && !item.removed && item.revision == cell.grant;
  });

  if (!granted) {
    DropCell(state, effects, id, "the store no longer has this entry's grant");
    return;
  }

  for (const StoreItem& item : reply.items) {
    if (!item.key.starts_with(kProgressPrefix)) continue;

    const auto job = cell.jobs.find(JobId(item.key.substr(item.key.rfind('/') + 1)));
    if (job != cell.jobs.end()) ReconcileProgress(state, effects, cell, job->second, item);
  }
}

}  // namespace currantpost::scheduler
