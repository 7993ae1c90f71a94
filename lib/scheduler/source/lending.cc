#include "reservations.h"
#include "worker_hold.h"

/// Lending of tasks that find no capacity in their job's cell to another cell. Needed when cells
/// fill up unevenly while long-running tasks hold most of the capacity, and for jobs that need more
/// than one cell has.
///
/// In one transaction, the lender writes a separate job for the tasks, the borrowed job, and its
/// own progress with the tasks marked as lent. The borrower runs the borrowed job like any other,
/// but its tasks keep the names of the lender's job, and the numbering of their runs continues.

namespace currantpost::scheduler {
namespace {

/// How long a task waits for capacity before it is lent. Longer than two rounds of placement, so
/// that capacity that is just becoming free is used first.
constexpr Millis kLendDelay = Millis(120);
/// The same for best-effort tasks, which are not urgent.
constexpr Millis kLendBestEffortDelay = Millis(800);
/// Capacity that the borrower must have, in percent of the lent demand. The margin is needed
/// because load reports are up to half a second old.
constexpr int64_t kLendRoomPercent = 130;

/// How often a job that has waited long looks for a cell to ask. An entry that is short of
/// processor time may have hundreds of them.
constexpr Millis kLongWait = Millis(1'000);
constexpr Millis kLongWaitInterval = Millis(200);

/// Maximum number of tasks that are passed on together.
constexpr size_t kMaxTasksPerLoan = 500;

/// Interval between polls of borrowers. They report the end of lent tasks on their own; polling
/// covers lost messages.
constexpr Millis kLoanPollInterval = Millis(3'000);
constexpr Millis kLoanPollTimeout = Millis(500);

/// Returns for how many tasks of a step some free capacity is enough, with the margin.
int64_t TasksThatFit(int64_t free, const StepSpec& spec) {
  return free * 100 / (std::max<int64_t>(spec.need.millicores, 1) * kLendRoomPercent);
}

/// Returns the cell that can borrow most tasks of a step and their number, or, for long-running
/// tasks, a suitable cell for one.
std::optional<std::pair<CellId, int64_t>> ChooseBorrower(const State& state, const OwnedCell& cell,
                                                         const JobState& job,
                                                         const StepSpec& spec) {
  if (spec.is_long_running) {
    Demand demand;
    AddDemand(demand, spec, 1);
    const std::optional<CellId> to = ChooseOtherCell(state, cell.cell, job.record, demand);
    return to ? std::optional(std::make_pair(*to, int64_t{1})) : std::nullopt;
  }

  const std::string& service = ServiceOf(state, job.record);
  const ServiceRooms* rooms = state.rooms.Find(service);
  if (rooms == nullptr) return std::nullopt;

  const RoomMaxima& maxima = rooms->Maxima();
  if (!spec.best_effort && maxima.largest_free < spec.need.millicores) return std::nullopt;
  if (TasksThatFit(spec.best_effort ? maxima.best_effort : maxima.free, spec) <= 0)
    return std::nullopt;

  std::optional<std::pair<CellId, int64_t>> best;
  state.counts.search.Add(SearchVisit::kCell, rooms->Rows().size());

  for (size_t number = 0; number < rooms->Rows().size(); ++number) {
    const RoomRow& row = rooms->Rows()[number];
    if (!spec.best_effort && row.largest_free < spec.need.millicores) continue;

    const int64_t most =
        spec.best_effort ? row.MaxBestEffort(state.now) : row.FreeAfterWaiting(state.now);
    if (TasksThatFit(most, spec) <= (best ? best->second : 0)) continue;

    const int64_t free =
        spec.best_effort ? BestEffortRoom(state, service, *rooms, number, spec.image) : most;
    const int64_t fit = TasksThatFit(free, spec);
    if (fit <= 0 || (best && fit <= best->second)) continue;

    const bool is_other = row.cell != cell.cell && state.view.cells.contains(row.cell);
    if (is_other) best = std::make_pair(row.cell, fit);
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

/// Marks tasks as lent and prepares the records of the loan.
void PrepareLoan(const State& state, Effects& effects, OwnedCell& cell, JobState& job,
                 const std::vector<TaskRef>& tasks, const CellId& to) {
  JobRecord borrowed_job = job.record;
  borrowed_job.parent = job.record.spec.job;
  borrowed_job.cell = to;
  borrowed_job.service = ServiceOf(state, job.record);
  borrowed_job.carried_progress = ProgressRecord{};
  // Each loan writes the lender's progress and each move writes the job's record, so no two loans
  // of a job see the same maximum revision. This makes the ID unique.
  const KvRevision revision =
      std::max(job.progress_revision, state.view.jobs.at(borrowed_job.parent).revision);
  borrowed_job.spec.job = JobId(borrowed_job.parent.Text() + "~" + std::to_string(revision));

  for (const TaskRef& ref : tasks) {
    TaskState& task = *FindTask(cell, ref);
    cell.waiting.erase(WaitingKeyOf(job, ref));
    task.phase = TaskPhase::kLent;
    task.lent_to = borrowed_job.spec.job;
    task.waited_before = state.now - task.waiting_since;
    ++job.lent;
    borrowed_job.lent.push_back(TaskProgress{.occurrence = ref.occurrence,
                                             .step = ref.step,
                                             .index = ref.index,
                                             .run = task.run,
                                             .failures = task.failures,
                                             .checkpoint = task.checkpoint,
                                             .waited = task.waited_before});
  }

  ++job.version;
  job.waits_since.reset();
  job.loan = JobState::PendingLoan{.to = to,
                                   .borrowed_job = borrowed_job.spec.job,
                                   .borrowed_job_value = Encode(borrowed_job),
                                   .progress_value = Encode(ProgressOf(state, job)),
                                   .version = job.version};
  Log(effects, Severity::kInfo, "lending tasks to a cell with free capacity",
      {{"job", borrowed_job.parent.Text()},
       {"as", borrowed_job.spec.job.Text()},
       {"tasks", std::to_string(tasks.size())},
       {"from", cell.cell.Text()},
       {"to", to.Text()}});
}

/// Reverts the lending of tasks after the write of the loan has failed.
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

/// Allows the next waiting tasks of a job to be lent without another delay. Best-effort tasks are
/// not urgent.
void LendNextWithoutDelay(const State& state, OwnedCell& cell, const JobId& id) {
  const auto job = cell.jobs.find(id);
  if (job == cell.jobs.end()) return;

  const std::vector<TaskRef> waiting = WaitingTasksOf(cell, job->second);
  if (waiting.empty() || SpecOf(job->second, waiting.front()).best_effort) return;

  SearchWithoutDelay(state, job->second);
}

/// Lends tasks to the cell that reports most capacity for them. Returns false if there is none.
bool LendByReports(State& state, Effects& effects, OwnedCell& cell, JobState& job,
                   WaitingBatch batch) {
  const auto borrower = ChooseBorrower(state, cell, job, *batch.spec);
  if (!borrower) return false;

  const auto& [to, fit] = *borrower;
  if (static_cast<int64_t>(batch.tasks.size()) > fit) {
    batch.tasks.resize(static_cast<size_t>(fit));
  }

  Demand demand;
  AddDemand(demand, *batch.spec, static_cast<int64_t>(batch.tasks.size()));
  AddSentDemand(state, to, demand);
  LendTasks(state, effects, cell, job, batch.tasks, to);
  return true;
}

}  // namespace

WaitingBatch WaitingTasks(const State& state, OwnedCell& cell, const JobState& job) {
  WaitingBatch batch;

  VisitWaitingTasks(cell, job, [&](const TaskRef& ref) {
    const TaskState& task = TaskOf(job, ref);
    if (task.not_before > state.now) return true;

    const StepSpec& spec = SpecOf(job, ref);
    if (batch.tasks.empty()) batch.spec = &spec;
    const TaskRef& first = batch.tasks.empty() ? ref : batch.tasks.front();
    if (ref.step != first.step || ref.occurrence != first.occurrence) return false;

    if (!spec.is_long_running) {
      batch.tasks.push_back(ref);
      return batch.tasks.size() < kMaxTasksPerLoan;
    }

    // Long-running tasks are lent one by one, so that each can be moved separately.
    if (batch.tasks.empty()) batch.tasks.push_back(ref);
    const TaskRef& front = batch.tasks.front();
    const bool goes_first = IsInterrupted(job, ref) == IsInterrupted(job, front) &&
                            task.waiting_since < TaskOf(job, front).waiting_since;
    if (goes_first) batch.tasks = {ref};
    return true;
  });

  return batch;
}

void SearchWithoutDelay(const State& state, JobState& job) {
  const Millis due = state.now - kLendDelay;
  job.waits_since = std::min(job.waits_since.value_or(due), due);
  job.next_search = state.now;
}

void LendTasks(State& state, Effects& effects, OwnedCell& cell, JobState& job,
               const std::vector<TaskRef>& tasks, const CellId& to) {
  PrepareLoan(state, effects, cell, job, tasks, to);
  WriteLoan(state, effects, cell, job);
}

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

  // The store may already contain the loan in flight.
  if (job.loan) borrowers.insert(job.loan->to);
  if (borrowers.empty()) return;

  const StoreItem cancel{
      .key = CancelKey(id), .revision = state.view.jobs.at(id).cancel_revision, .value = "{}"};
  for (const CellId& borrower : borrowers) PushToOwner(state, effects, borrower, cancel);
}

void RetryLoan(State& state, Effects& effects, OwnedCell& cell, JobState& job) {
  if (!job.loan || job.loan->request != 0) return;
  if (state.now >= job.loan->retry_at) return WriteLoan(state, effects, cell, job);

  WakeAt(state, job.loan->retry_at);
}

void TryLendTasks(State& state, Effects& effects, OwnedCell& cell, JobState& job) {
  if (job.loan) return;

  if (job.cancelled || job.attempts_exhausted || cell.releasing) return;
  if (AwaitsReservation(state, effects, job)) return;
  if (!job.waits_since || job.move || cell.write.versions.contains(job.record.spec.job)) return;

  const bool is_held = HasEvacuationRoom(state, job);

  if (!is_held && state.now < *job.waits_since + kLendDelay) {
    WakeAt(state, *job.waits_since + kLendDelay);
    return;
  }

  if (!is_held && state.now < job.next_search) return;

  WaitingBatch batch = WaitingTasks(state, cell, job);
  if (batch.tasks.empty() || batch.spec->gang) return;

  if (is_held && IsInterrupted(job, batch.tasks.front())) {
    const CellId to = job.evacuation->to;
    job.evacuation.reset();
    return PassOn(state, effects, cell, job, to, std::move(batch), 1);
  }

  // Best-effort tasks have an interval of their own.
  if (!batch.spec->best_effort && state.now >= *job.waits_since + kLongWait) {
    job.next_search = state.now + kLongWaitInterval;
  }

  if (batch.spec->best_effort && state.now < *job.waits_since + kLendBestEffortDelay) {
    WakeAt(state, *job.waits_since + kLendBestEffortDelay);
    return;
  }

  if (YieldsToInterrupted(state, *batch.spec, ServiceOf(state, job.record),
                          IsInterrupted(job, batch.tasks.front())))
    return;

  const bool is_borrowed = !job.record.parent.Empty();

  // While peers do not reply, the load reports decide.
  if (!is_borrowed && HasUnresponsivePeers(job) && LendByReports(state, effects, cell, job, batch))
    return;
  // Borrowed tasks are not lent again. Their borrowed job is moved as a whole instead.
  if (is_borrowed && job.bound > 0) return;
  if (RequestCapacity(state, effects, cell, job, batch)) return;
  if (is_borrowed || job.unanswered_reservations == 0) return;

  LendByReports(state, effects, cell, job, std::move(batch));
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
    // After a change of owner, a record of the next owner may be equal to this one's.
    const auto grant = std::ranges::find(reply.items, CellKey(lent.from), &StoreItem::key);
    const bool granted =
        grant != reply.items.end() && !grant->removed && grant->revision == lent.grant;
    if (!granted)
      return DropCell(state, effects, lent.from, "the store no longer has this entry's grant");

    // If an earlier attempt succeeded and its reply was lost, the lender's own progress record
    // shows it, because only the lender writes that. The borrowed job's record does not, because
    // the borrower may have moved or ended the job meanwhile.
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
  // Applied last, because this entry may also own the borrowing cell.
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

  // The borrower usually reports the end long before the first poll, so that is skipped.
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
  // Lent tasks are cancelled only together with their job. The record of the job's cancellation may
  // arrive here later.
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
