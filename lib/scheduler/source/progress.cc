#include "internal.h"

/// Writes of progress: what is to be known before a task starts, and before a worker forgets an
/// end.

namespace currantpost::scheduler {
namespace {

/// Least time between two writes of one cell, so that what happens meanwhile shares a call; each
/// call has its price. A start and the end of each step wait for half of it on average.
constexpr Millis kWriteInterval = Millis(60);
/// Most entries of one transaction of the store.
constexpr size_t kEntriesAtOnce = 32;
/// Entries that are no job's: the expected grant and the load.
constexpr size_t kEntriesOfCell = 2;
/// Entries of a job: the expected revision and the progress, and the record of one that has ended.
constexpr size_t kEntriesOfJob = 2;
constexpr size_t kEntriesOfEndedJob = 3;
/// Least time between two reports of a cell's load without another reason to write.
constexpr Millis kLoadInterval = Millis(500);
/// A load is told anew when a figure has changed by this share of the capacity, in percent.
constexpr int64_t kLoadChangePercent = 3;

TaskMark MarkOf(TaskPhase phase) {
  switch (phase) {
    case TaskPhase::kBinding:
    case TaskPhase::kStarting:
    case TaskPhase::kRunning:
    case TaskPhase::kStopping:
      return TaskMark::kBound;
    case TaskPhase::kDone:
      return TaskMark::kDone;
    case TaskPhase::kFailed:
      return TaskMark::kFailed;
    case TaskPhase::kLent:
      return TaskMark::kLent;
    case TaskPhase::kBlocked:
    case TaskPhase::kWaiting:
      return TaskMark::kWaiting;
  }

  return TaskMark::kWaiting;
}

bool Differs(int64_t left, int64_t right, int64_t capacity) {
  return std::abs(left - right) * 100 > capacity * kLoadChangePercent;
}

bool IsNews(const OwnedCell& cell, const LoadRecord& present) {
  const LoadRecord& told = cell.load;
  if (told.services.size() != present.services.size()) return true;
  if (told.waiting.by_queue != present.waiting.by_queue) return true;
  if (told.waiting.up_to < std::min(cell.newest_job, present.waiting.up_to)) return true;

  for (const auto& [service, load] : present.services) {
    const auto known = told.services.find(service);
    if (known == told.services.end()) return true;

    const ServiceLoad& old = known->second;
    if (load.capacity != old.capacity) return true;
    if (Differs(load.free, old.free, load.capacity)) return true;
    if (Differs(load.free_filling, old.free_filling, load.capacity)) return true;
    if (Differs(load.waiting, old.waiting, load.capacity)) return true;
    if (Differs(load.waiting_filling, old.waiting_filling, load.capacity)) return true;
  }

  return false;
}

/// Adds a job's progress to a write.
void AddProgress(OwnedCell& cell, const JobId& id, JobState& job, WriteRecords& write) {
  // What is left of an ended job is what answers need, so that an entry that begins reads little.
  if (IsTerminal(job.phase)) {
    write.puts.push_back(RecordPut{JobKey(id), EncodeEnded(job.record, job.phase), 0});
  }

  std::string value = Encode(ProgressOf(job));
  job.sent_values[value] = job.version;
  write.expected.push_back(ExpectedRecord{ProgressKey(cell.cell, id), job.progress_revision});
  write.puts.push_back(RecordPut{ProgressKey(cell.cell, id), std::move(value), 0});
  cell.write.versions[id] = job.version;
}

/// Takes in what the store holds of a job whose write met another revision.
void TakePresentProgress(State& state, Effects& effects, OwnedCell& cell, JobState& job,
                         const StoreItem& item) {
  if (item.revision == job.progress_revision) return;

  const auto own = job.sent_values.find(item.value);

  if (own != job.sent_values.end()) {
    const uint64_t version = own->second;
    ApplyRecord(state, effects, item);
    NoteRecorded(state, effects, cell, job, version, item.revision);
    return;
  }

  // A former owner recorded more than this entry knew of when it took the job over. Nothing was
  // started on the old knowledge, as each start needs a write that succeeds.
  const JobId id = job.record.spec.job;
  Log(effects, Severity::kWarning, "taking a job over again, its progress had moved on",
      {{"job", id.Text()}, {"revision", std::to_string(item.revision)}});

  ForgetJob(cell, id);
  ApplyRecord(state, effects, item);
  AddJob(state, effects, cell, id);
}

}  // namespace

ProgressRecord ProgressOf(const JobState& job) {
  ProgressRecord record;
  record.phase = job.phase;
  if (IsTerminal(job.phase)) return record;

  for (size_t number = 0; number < job.occurrences.size(); ++number) {
    const auto& steps = job.occurrences[number].steps;

    for (size_t step = 0; step < steps.size(); ++step) {
      for (size_t index = 0; index < steps[step].tasks.size(); ++index) {
        const TaskState& task = steps[step].tasks[index];
        if (task.elsewhere) continue;
        if (task.run == 0 && MarkOf(task.phase) == TaskMark::kWaiting) continue;

        record.tasks.push_back(TaskProgress{.occurrence = static_cast<int32_t>(number),
                                            .step = static_cast<int32_t>(step),
                                            .index = static_cast<int32_t>(index),
                                            .mark = MarkOf(task.phase),
                                            .run = task.run,
                                            .failures = task.failures,
                                            .worker = task.worker,
                                            .worker_born = task.worker_born,
                                            .checkpoint = task.checkpoint,
                                            .lent_to = task.lent_to});
      }
    }
  }

  return record;
}

void NoteRecorded(State& state, Effects& effects, OwnedCell& cell, JobState& job, uint64_t version,
                  KvRevision revision) {
  job.recorded = std::max(job.recorded, version);
  job.progress_revision = revision;
  job.sent_values.clear();
  if (job.recorded == job.version) cell.dirty.erase(job.record.spec.job);

  for (OccurrenceState& occurrence : job.occurrences) {
    for (StepState& step : occurrence.steps) {
      for (TaskState& task : step.tasks) {
        if (task.phase != TaskPhase::kBinding || task.bound_version > job.recorded) continue;

        task.phase = TaskPhase::kStarting;
      }
    }
  }

  const JobId id = job.record.spec.job;

  for (auto& [worker_id, worker] : cell.workers) {
    bool all_recorded = !worker.ends.empty();

    for (auto& [number, end] : worker.ends) {
      if (end.job == id && end.version <= job.recorded) end.recorded = true;
      all_recorded = all_recorded && end.recorded;
    }

    // The next look lets the worker forget them.
    if (all_recorded) worker.next_look = std::min(worker.next_look, state.now);
  }

  SettleJob(state, effects, cell, id);
}

void UpdateWrites(State& state, Effects& effects, OwnedCell& cell) {
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

  // Counted only now, as it is not cheap.
  cell.write.load.reset();

  if (load_due) {
    LoadRecord load = CountLoad(state, cell);
    if (IsNews(cell, load)) cell.write.load = std::move(load);
    cell.next_load = state.now + kLoadInterval;
  }

  WriteRecords write;
  write.expected.push_back(ExpectedRecord{CellKey(cell.cell), cell.grant});
  cell.write.versions.clear();

  size_t entries = kEntriesOfCell;

  for (const JobId& id : cell.dirty) {
    JobState& job = cell.jobs.at(id);
    if (job.move || job.loan) continue;

    entries += IsTerminal(job.phase) ? kEntriesOfEndedJob : kEntriesOfJob;
    if (entries > kEntriesAtOnce) break;

    AddProgress(cell, id, job, write);
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
      if (cell.write.load) cell.load = *std::move(cell.write.load);

      for (const auto& [job_id, version] : versions) {
        const auto job = cell.jobs.find(job_id);
        if (job == cell.jobs.end()) continue;

        const auto sent = std::ranges::find(job->second.sent_values, version,
                                            [](const auto& row) { return row.second; });
        if (sent != job->second.sent_values.end()) {
          ApplyRecord(state, effects,
                      StoreItem{.key = ProgressKey(id, job_id),
                                .revision = reply.revision,
                                .value = sent->first});
        }

        NoteRecorded(state, effects, cell, job->second, version, reply.revision);
      }
      return;
    case StoreStatus::kConflict:
      break;
    case StoreStatus::kNotFound:
      // The lease that the load hangs on has ended, and the grant with it.
      LoseCell(state, effects, id, "the store does not know the entry's lease");
      return;
    default:
      cell.next_write = state.now + kStoreRetry;
      return;
  }

  const bool granted = std::ranges::any_of(reply.items, [&](const StoreItem& item) {
    return item.key == CellKey(id) && !item.removed && item.revision == cell.grant;
  });

  if (!granted) {
    LoseCell(state, effects, id, "the store names another grant");
    return;
  }

  for (const StoreItem& item : reply.items) {
    if (!item.key.starts_with(kProgressPrefix)) continue;

    const auto job = cell.jobs.find(JobId(item.key.substr(item.key.rfind('/') + 1)));
    if (job != cell.jobs.end()) TakePresentProgress(state, effects, cell, job->second, item);
  }
}

}  // namespace currantpost::scheduler
