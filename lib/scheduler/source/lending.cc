#include "internal.h"

/// Tasks that find no room in their job's cell run in another. Answers cells that fill up unevenly
/// while most of the room is held by lasting tasks, and jobs wider than the room of one cell.
///
/// The lender writes, in one go, a job of its own for the tasks and that it has lent them. The
/// borrower runs that job like any other, but for the names of its tasks; runs are numbered on.

namespace currantpost::scheduler {
namespace {

/// A task that found no room for so long is lent. Longer than two rounds of placement, so that room
/// which is just coming free is not missed.
constexpr Millis kLendDelay = Millis(120);
/// The same for filling work, which has time.
constexpr Millis kLendBestEffortDelay = Millis(800);
/// Room that the borrower must have, as a multiple of what it is lent, in percent: its report is
/// half a second old.
constexpr int64_t kLendRoomPercent = 130;

/// Pause between questions to those who run lent tasks. They tell by themselves when they are done;
/// this answers a message that was lost.
constexpr Millis kLoanPollInterval = Millis(3'000);
constexpr Millis kLoanPollTimeout = Millis(500);

/// The waiting tasks of one step.
struct Batch {
  std::vector<TaskRef> tasks;
  const StepSpec* spec = nullptr;
};

/// Returns the waiting tasks of the job's first step that has some, all of them ready to start.
Batch WaitingTasks(const State& state, OwnedCell& cell, const JobState& job) {
  Batch batch;

  for (const TaskRef& ref : WaitingTasksOf(cell, job)) {
    if (FindTask(cell, ref)->not_before > state.now) continue;

    if (batch.tasks.empty()) batch.spec = &SpecOf(job, ref);
    const TaskRef& first = batch.tasks.empty() ? ref : batch.tasks.front();
    if (ref.step != first.step || ref.occurrence != first.occurrence) break;

    batch.tasks.push_back(ref);
    // Lasting tasks are lent one by one, so that each can be moved on.
    if (batch.spec->long_running) break;
  }

  return batch;
}

/// Returns how many tasks of a step a cell has room for.
int64_t TasksThatFit(const State& state, const CellId& id, const std::string& service,
                     const StepSpec& spec) {
  const std::optional<CellRoom> room = RoomOf(state, id, service, spec.image);
  if (!room || (!spec.best_effort && room->largest < spec.need.millicores)) return 0;

  const int64_t free = spec.best_effort ? room->best_effort : room->free_after_waiting;
  return free * 100 / (std::max<int64_t>(spec.need.millicores, 1) * kLendRoomPercent);
}

/// Returns the cell that takes most of a batch, or one that suits lasting tasks, and how many.
std::optional<std::pair<CellId, int64_t>> ChooseBorrower(const State& state, const OwnedCell& cell,
                                                         const JobState& job,
                                                         const StepSpec& spec) {
  if (spec.long_running) {
    Demand demand;
    AddDemand(demand, spec, 1);
    const std::optional<CellId> to = ChooseOtherCell(state, cell.cell, job.record, demand);
    return to ? std::optional(std::make_pair(*to, int64_t{1})) : std::nullopt;
  }

  std::optional<std::pair<CellId, int64_t>> best;

  for (const auto& [id, load] : state.view.loads) {
    if (id == cell.cell) continue;

    const int64_t fit = TasksThatFit(state, id, job.record.service, spec);
    if (fit > 0 && (!best || fit > best->second)) best = std::make_pair(id, fit);
  }

  return best;
}

void WriteLoan(State& state, Effects& effects, OwnedCell& cell, JobState& job) {
  const JobId& id = job.record.spec.job;
  WriteRecords write;
  write.expected = {ExpectedRecord{CellKey(cell.cell), cell.grant},
                    ExpectedRecord{ProgressKey(cell.cell, id), job.progress_revision},
                    ExpectedRecord{JobKey(job.loan->borrowed_job), 0},
                    ExpectNotCancelled(job.record)};
  write.puts = {RecordPut{ProgressKey(cell.cell, id), job.loan->progress_value, 0},
                RecordPut{JobKey(job.loan->borrowed_job), job.loan->borrowed_job_value, 0}};
  job.loan->request =
      CallStore(state, effects, TasksLent{cell.cell, cell.grant, id}, std::move(write));
}

/// Marks tasks as lent, and makes the records that say so.
void PrepareLoan(const State& state, Effects& effects, OwnedCell& cell, JobState& job,
                 const std::vector<TaskRef>& tasks, const CellId& to) {
  JobRecord borrowed_job = job.record;
  borrowed_job.parent = job.record.spec.job;
  borrowed_job.cell = to;
  borrowed_job.carried_progress = ProgressRecord{};
  // Each loan writes the lender's progress, and each move its record, so no two are made at the
  // same revisions.
  const KvRevision revision =
      std::max(job.progress_revision, state.view.jobs.at(borrowed_job.parent).revision);
  borrowed_job.spec.job = JobId(borrowed_job.parent.Text() + "~" + std::to_string(revision));

  for (const TaskRef& ref : tasks) {
    TaskState& task = *FindTask(cell, ref);
    cell.waiting.erase(WaitingKeyOf(job, ref));
    task.phase = TaskPhase::kLent;
    task.lent_to = borrowed_job.spec.job;
    ++job.lent;
    borrowed_job.lent.push_back(TaskProgress{.occurrence = ref.occurrence,
                                             .step = ref.step,
                                             .index = ref.index,
                                             .run = task.run,
                                             .failures = task.failures,
                                             .checkpoint = task.checkpoint});
  }

  ++job.version;
  job.waits_since.reset();
  job.loan = JobState::PendingLoan{.to = to,
                                   .borrowed_job = borrowed_job.spec.job,
                                   .borrowed_job_value = Encode(borrowed_job),
                                   .progress_value = Encode(ProgressOf(job)),
                                   .version = job.version};
  Log(effects, Severity::kInfo, "lending tasks to a cell with room",
      {{"job", borrowed_job.parent.Text()},
       {"as", borrowed_job.spec.job.Text()},
       {"tasks", std::to_string(tasks.size())},
       {"from", cell.cell.Text()},
       {"to", to.Text()}});
}

/// Takes tasks back whose loan did not come about.
void RevertLoan(State& state, OwnedCell& cell, JobState& job, const JobId& borrowed_job) {
  for (size_t number = 0; number < job.occurrences.size(); ++number) {
    auto& steps = job.occurrences[number].steps;

    for (size_t step = 0; step < steps.size(); ++step) {
      for (size_t index = 0; index < steps[step].tasks.size(); ++index) {
        TaskState& task = steps[step].tasks[index];
        if (task.phase != TaskPhase::kLent || task.lent_to != borrowed_job) continue;

        --job.lent;
        task.phase = TaskPhase::kBlocked;
        task.lent_to = JobId();
      }
    }
  }

  UnblockTasks(state, cell, job);
  MarkDirty(cell, job);
}

/// Lets the next lasting task of a job that waits be lent without a further wait.
void LendNextWithoutDelay(const State& state, OwnedCell& cell, const JobId& id) {
  const auto job = cell.jobs.find(id);
  if (job == cell.jobs.end()) return;

  const std::vector<TaskRef> waiting = WaitingTasksOf(cell, job->second);
  if (waiting.empty() || !SpecOf(job->second, waiting.front()).long_running) return;

  job->second.waits_since = state.now - kLendDelay;
}

}  // namespace

std::set<JobId> BorrowedJobs(const JobState& job) {
  std::set<JobId> jobs;

  for (const OccurrenceState& occurrence : job.occurrences) {
    for (const StepState& step : occurrence.steps) {
      for (const TaskState& task : step.tasks) {
        if (task.phase == TaskPhase::kLent) jobs.insert(task.lent_to);
      }
    }
  }

  return jobs;
}

void NotifyBorrowers(State& state, Effects& effects, const JobState& job) {
  const JobId& id = job.record.spec.job;
  std::set<CellId> borrowers;

  for (const JobId& borrowed_job : BorrowedJobs(job)) {
    const auto view = state.view.jobs.find(borrowed_job);
    if (view != state.view.jobs.end()) borrowers.insert(view->second.head.cell);
  }

  // The store may have the loan already.
  if (job.loan) borrowers.insert(job.loan->to);
  if (borrowers.empty()) return;

  const StoreItem cancel{
      .key = CancelKey(id), .revision = state.view.jobs.at(id).cancel_revision, .value = "{}"};
  for (const CellId& borrower : borrowers) PushToOwner(state, effects, borrower, cancel);
}

void TryLendTasks(State& state, Effects& effects, OwnedCell& cell, JobState& job) {
  if (job.loan) {
    if (job.loan->request != 0) return;
    if (state.now >= job.loan->retry_at) return WriteLoan(state, effects, cell, job);

    WakeAt(state, job.loan->retry_at);
    return;
  }

  if (!job.waits_since || job.move || job.cancelled || job.attempts_exhausted || cell.releasing)
    return;
  // Lent tasks are not lent again; the job that they are is moved as a whole.
  if (!job.record.parent.Empty()) return;
  if (job.recorded_version != job.version || cell.write.versions.contains(job.record.spec.job))
    return;

  if (state.now < *job.waits_since + kLendDelay) {
    WakeAt(state, *job.waits_since + kLendDelay);
    return;
  }

  Batch batch = WaitingTasks(state, cell, job);
  if (batch.tasks.empty() || batch.spec->gang) return;

  if (batch.spec->best_effort && state.now < *job.waits_since + kLendBestEffortDelay) {
    WakeAt(state, *job.waits_since + kLendBestEffortDelay);
    return;
  }

  const auto borrower = ChooseBorrower(state, cell, job, *batch.spec);
  if (!borrower) return;

  const auto& [to, fit] = *borrower;
  if (static_cast<int64_t>(batch.tasks.size()) > fit) {
    batch.tasks.resize(static_cast<size_t>(fit));
  }

  Demand demand;
  AddDemand(demand, *batch.spec, static_cast<int64_t>(batch.tasks.size()));
  AddSentDemand(state, to, demand);
  PrepareLoan(state, effects, cell, job, batch.tasks, to);
  WriteLoan(state, effects, cell, job);
}

void HandleTasksLent(State& state, Effects& effects, const TasksLent& lent,
                     const StoreReply& reply) {
  OwnedCell* cell = FindCell(state, lent.from, lent.grant);
  if (cell == nullptr) return;

  const auto found = cell->jobs.find(lent.job);
  if (found == cell->jobs.end() || !found->second.loan) return;

  JobState& job = found->second;
  job.loan->request = 0;
  KvRevision revision = reply.revision;

  if (reply.status == StoreStatus::kConflict) {
    // Whatever the next owner wrote may look like this one's.
    const auto grant = std::ranges::find(reply.items, CellKey(lent.from), &StoreItem::key);
    const bool granted =
        grant != reply.items.end() && !grant->removed && grant->revision == lent.grant;
    if (!granted) return DropCell(state, effects, lent.from, "the store names another grant");

    // An earlier try whose answer was lost shows by the lender's own record, which nobody else
    // writes; the borrower may have moved or ended the guest meanwhile.
    const auto own_record =
        std::ranges::find(reply.items, ProgressKey(lent.from, lent.job), &StoreItem::key);
    const bool already_written = own_record != reply.items.end() && !own_record->removed &&
                                 own_record->value == job.loan->progress_value;

    if (!already_written) {
      const JobId borrowed_job = job.loan->borrowed_job;
      job.loan.reset();
      RevertLoan(state, *cell, job, borrowed_job);
      FinalizeJobIfDone(state, effects, *cell, lent.job);
      for (const StoreItem& item : reply.items) ApplyRecord(state, effects, item);
      return;
    }

    revision = own_record->revision;
  } else if (reply.status != StoreStatus::kOk) {
    job.loan->retry_at = state.now + kStoreRetryDelay;
    return;
  }

  const JobState::PendingLoan loan = *std::move(job.loan);
  job.loan.reset();
  const StoreItem progress{
      .key = ProgressKey(lent.from, lent.job), .revision = revision, .value = loan.progress_value};
  const StoreItem borrowed_job{
      .key = JobKey(loan.borrowed_job), .revision = revision, .value = loan.borrowed_job_value};

  PushToOwner(state, effects, loan.to, borrowed_job);
  ApplyRecord(state, effects, progress);
  MarkRecorded(state, effects, *cell, job, loan.version, revision);
  // Last, as this entry may own the borrowing cell too.
  ApplyRecord(state, effects, borrowed_job);
  for (const StoreItem& item : reply.items) ApplyRecord(state, effects, item);

  if (OwnedCell* still_owned = FindCell(state, lent.from, lent.grant)) {
    LendNextWithoutDelay(state, *still_owned, lent.job);
  }
}

void PollBorrowers(State& state, Effects& effects, JobState& job) {
  if (job.lent == 0 || job.loan) return;

  if (state.now < job.next_loan_poll) {
    WakeAt(state, job.next_loan_poll);
    return;
  }

  // Word of an end is usually here long before the first question.
  const bool first = job.next_loan_poll == Millis(0);
  job.next_loan_poll = state.now + kLoanPollInterval;
  if (first) return;

  const JobId parent = job.record.spec.job;
  std::vector<std::pair<JobId, JobPhase>> known;

  for (const JobId& borrowed_job : BorrowedJobs(job)) {
    const auto view = state.view.jobs.find(borrowed_job);
    if (view == state.view.jobs.end()) continue;

    const CellId& cell = view->second.head.cell;

    if (const OwnedCell* own = FindOpenCell(state, cell)) {
      known.emplace_back(borrowed_job, ReportablePhase(*own, borrowed_job, view->second));
    } else if (const auto owner = OwnerAddress(state, cell)) {
      const RequestId request = NextRequest(state);
      state.peer_queries[request] = PendingPeerQuery{.job = borrowed_job, .lender = parent};
      effects.emplace_back(QueryPeer{request, *owner, borrowed_job, kLoanPollTimeout});
    }
  }

  for (const auto& [borrowed_job, phase] : known)
    ApplyBorrowedJobPhase(state, effects, parent, borrowed_job, phase);
}

void ApplyBorrowedJobPhase(State& state, Effects& effects, const JobId& parent,
                           const JobId& borrowed_job, JobPhase phase) {
  if (IsTerminal(phase)) return ApplyBorrowedJobEnd(state, effects, parent, borrowed_job, phase);
  if (phase != JobPhase::kActive) return;

  for (auto& [cell_id, cell] : state.cells) {
    const auto found = cell.jobs.find(parent);
    if (found != cell.jobs.end()) MarkActive(cell, found->second);
  }
}

void ApplyBorrowedJobEnd(State& state, Effects& effects, const JobId& parent,
                         const JobId& borrowed_job, JobPhase phase) {
  // Lent tasks are cancelled with their job only, and word of that may come here later.
  if (phase == JobPhase::kCancelled) ApplyCancellation(state, effects, parent);

  for (auto& [cell_id, cell] : state.cells) {
    const auto found = cell.jobs.find(parent);
    if (found == cell.jobs.end()) continue;

    JobState& job = found->second;
    bool changed = false;

    for (OccurrenceState& occurrence : job.occurrences) {
      for (StepState& step : occurrence.steps) {
        for (TaskState& task : step.tasks) {
          if (task.phase != TaskPhase::kLent || task.lent_to != borrowed_job) continue;

          --job.lent;
          changed = true;
          task.lent_to = JobId();

          switch (phase) {
            case JobPhase::kCompleted:
              task.phase = TaskPhase::kDone;
              ++step.done;
              break;
            case JobPhase::kFailed:
              task.phase = TaskPhase::kFailed;
              job.attempts_exhausted = true;
              break;
            default:
              task.phase = TaskPhase::kBlocked;
              break;
          }
        }
      }
    }

    if (!changed) continue;

    if (phase != JobPhase::kCancelled) MarkActive(cell, job);
    if (job.attempts_exhausted) StopJob(cell, job);
    MarkDirty(cell, job);
    UnblockTasks(state, cell, job);
    FinalizeJobIfDone(state, effects, cell, parent);
  }
}

}  // namespace currantpost::scheduler
