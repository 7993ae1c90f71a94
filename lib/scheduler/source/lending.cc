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
constexpr Millis kLendAfter = Millis(120);
/// The same for filling work, which has time.
constexpr Millis kLendFillingAfter = Millis(800);
/// Room that the borrower must have, as a multiple of what it is lent, in percent: its report is
/// half a second old.
constexpr int64_t kLendRoomPercent = 130;

/// Pause between questions to those who run lent tasks. They tell by themselves when they are done;
/// this answers a message that was lost.
constexpr Millis kLoanQuestionInterval = Millis(3'000);
constexpr Millis kLoanQuestionTimeout = Millis(500);

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
    if (batch.spec->lasting) break;
  }

  return batch;
}

/// Returns how many tasks of a step a cell has room for.
int64_t TasksThatFit(const State& state, const CellId& id, const std::string& service,
                     const StepSpec& spec) {
  const std::optional<CellRoom> room = RoomOf(state, id, service, spec.image);
  if (!room || (!spec.filling && room->largest < spec.need.millicores)) return 0;

  const int64_t free = spec.filling ? room->filling : room->held;
  return free * 100 / (std::max<int64_t>(spec.need.millicores, 1) * kLendRoomPercent);
}

/// Returns the cell that takes most of a batch, or one that suits lasting tasks, and how many.
std::optional<std::pair<CellId, int64_t>> Borrower(const State& state, const OwnedCell& cell,
                                                   const JobState& job, const StepSpec& spec) {
  if (spec.lasting) {
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

void SendLoan(State& state, Effects& effects, OwnedCell& cell, JobState& job) {
  const JobId& id = job.record.spec.job;
  WriteRecords write;
  write.expected = {ExpectedRecord{CellKey(cell.cell), cell.grant},
                    ExpectedRecord{ProgressKey(cell.cell, id), job.progress_revision},
                    ExpectedRecord{JobKey(job.loan->guest), 0}, NotCancelled(job.record)};
  write.puts = {RecordPut{ProgressKey(cell.cell, id), job.loan->progress_value, 0},
                RecordPut{JobKey(job.loan->guest), job.loan->guest_value, 0}};
  job.loan->request =
      CallStore(state, effects, TasksLent{cell.cell, cell.grant, id}, std::move(write));
}

/// Marks tasks as lent, and makes the records that say so.
void PrepareLoan(const State& state, Effects& effects, OwnedCell& cell, JobState& job,
                 const std::vector<TaskRef>& tasks, const CellId& to) {
  JobRecord guest = job.record;
  guest.parent = job.record.spec.job;
  guest.cell = to;
  guest.carried = ProgressRecord{};
  // Each loan writes the lender's progress, and each move its record, so no two are made at the
  // same revisions.
  const KvRevision revision =
      std::max(job.progress_revision, state.view.jobs.at(guest.parent).revision);
  guest.spec.job = JobId(guest.parent.Text() + "~" + std::to_string(revision));

  for (const TaskRef& ref : tasks) {
    TaskState& task = *FindTask(cell, ref);
    cell.waiting.erase(KeyOf(job, ref));
    task.phase = TaskPhase::kLent;
    task.lent_to = guest.spec.job;
    ++job.lent;
    guest.lent.push_back(TaskProgress{.occurrence = ref.occurrence,
                                      .step = ref.step,
                                      .index = ref.index,
                                      .run = task.run,
                                      .failures = task.failures,
                                      .checkpoint = task.checkpoint});
  }

  ++job.version;
  job.waits_since.reset();
  job.loan = JobState::Loan{.to = to,
                            .guest = guest.spec.job,
                            .guest_value = Encode(guest),
                            .progress_value = Encode(ProgressOf(job)),
                            .version = job.version};
  Log(effects, Severity::kInfo, "lending tasks to a cell with room",
      {{"job", guest.parent.Text()},
       {"as", guest.spec.job.Text()},
       {"tasks", std::to_string(tasks.size())},
       {"from", cell.cell.Text()},
       {"to", to.Text()}});
}

/// Takes tasks back whose loan did not come about.
void TakeBack(State& state, OwnedCell& cell, JobState& job, const JobId& guest) {
  for (size_t number = 0; number < job.occurrences.size(); ++number) {
    auto& steps = job.occurrences[number].steps;

    for (size_t step = 0; step < steps.size(); ++step) {
      for (size_t index = 0; index < steps[step].tasks.size(); ++index) {
        TaskState& task = steps[step].tasks[index];
        if (task.phase != TaskPhase::kLent || task.lent_to != guest) continue;

        --job.lent;
        task.phase = TaskPhase::kBlocked;
        task.lent_to = JobId();
      }
    }
  }

  Unblock(state, cell, job);
  Touch(cell, job);
}

/// Lets the next lasting task of a job that waits be lent without a further wait.
void LendOn(const State& state, OwnedCell& cell, const JobId& id) {
  const auto job = cell.jobs.find(id);
  if (job == cell.jobs.end()) return;

  const std::vector<TaskRef> waiting = WaitingTasksOf(cell, job->second);
  if (waiting.empty() || !SpecOf(job->second, waiting.front()).lasting) return;

  job->second.waits_since = state.now - kLendAfter;
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

void TellBorrowers(State& state, Effects& effects, const JobState& job) {
  const JobId& id = job.record.spec.job;
  std::set<CellId> borrowers;

  for (const JobId& guest : BorrowedJobs(job)) {
    const auto view = state.view.jobs.find(guest);
    if (view != state.view.jobs.end()) borrowers.insert(view->second.head.cell);
  }

  // The store may have the loan already.
  if (job.loan) borrowers.insert(job.loan->to);
  if (borrowers.empty()) return;

  const StoreItem cancel{
      .key = CancelKey(id), .revision = state.view.jobs.at(id).cancel_revision, .value = "{}"};
  for (const CellId& borrower : borrowers) TellOwner(state, effects, borrower, cancel);
}

void ConsiderLoan(State& state, Effects& effects, OwnedCell& cell, JobState& job) {
  if (job.loan) {
    if (job.loan->request != 0) return;
    if (state.now >= job.loan->retry_at) return SendLoan(state, effects, cell, job);

    WakeAt(state, job.loan->retry_at);
    return;
  }

  if (!job.waits_since || job.move || job.cancelled || job.doomed || cell.releasing) return;
  // Lent tasks are not lent again; the job that they are is moved as a whole.
  if (!job.record.parent.Empty()) return;
  if (job.recorded != job.version || cell.write.versions.contains(job.record.spec.job)) return;

  if (state.now < *job.waits_since + kLendAfter) {
    WakeAt(state, *job.waits_since + kLendAfter);
    return;
  }

  Batch batch = WaitingTasks(state, cell, job);
  if (batch.tasks.empty() || batch.spec->gang) return;

  if (batch.spec->filling && state.now < *job.waits_since + kLendFillingAfter) {
    WakeAt(state, *job.waits_since + kLendFillingAfter);
    return;
  }

  const auto borrower = Borrower(state, cell, job, *batch.spec);
  if (!borrower) return;

  const auto& [to, fit] = *borrower;
  if (static_cast<int64_t>(batch.tasks.size()) > fit) {
    batch.tasks.resize(static_cast<size_t>(fit));
  }

  Demand demand;
  AddDemand(demand, *batch.spec, static_cast<int64_t>(batch.tasks.size()));
  NoteSent(state, to, demand);
  PrepareLoan(state, effects, cell, job, batch.tasks, to);
  SendLoan(state, effects, cell, job);
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
    if (!granted) return LoseCell(state, effects, lent.from, "the store names another grant");

    // An earlier try whose answer was lost shows by the lender's own record, which nobody else
    // writes; the borrower may have moved or ended the guest meanwhile.
    const auto made =
        std::ranges::find(reply.items, ProgressKey(lent.from, lent.job), &StoreItem::key);
    const bool done =
        made != reply.items.end() && !made->removed && made->value == job.loan->progress_value;

    if (!done) {
      const JobId guest = job.loan->guest;
      job.loan.reset();
      TakeBack(state, *cell, job, guest);
      SettleJob(state, effects, *cell, lent.job);
      for (const StoreItem& item : reply.items) ApplyRecord(state, effects, item);
      return;
    }

    revision = made->revision;
  } else if (reply.status != StoreStatus::kOk) {
    job.loan->retry_at = state.now + kStoreRetry;
    return;
  }

  const JobState::Loan loan = *std::move(job.loan);
  job.loan.reset();
  const StoreItem progress{
      .key = ProgressKey(lent.from, lent.job), .revision = revision, .value = loan.progress_value};
  const StoreItem guest{.key = JobKey(loan.guest), .revision = revision, .value = loan.guest_value};

  TellOwner(state, effects, loan.to, guest);
  ApplyRecord(state, effects, progress);
  NoteRecorded(state, effects, *cell, job, loan.version, revision);
  // Last, as this entry may own the borrowing cell too.
  ApplyRecord(state, effects, guest);
  for (const StoreItem& item : reply.items) ApplyRecord(state, effects, item);

  if (OwnedCell* still_owned = FindCell(state, lent.from, lent.grant)) {
    LendOn(state, *still_owned, lent.job);
  }
}

void UpdateLoans(State& state, Effects& effects, JobState& job) {
  if (job.lent == 0 || job.loan) return;

  if (state.now < job.next_loan_question) {
    WakeAt(state, job.next_loan_question);
    return;
  }

  // Word of an end is usually here long before the first question.
  const bool first = job.next_loan_question == Millis(0);
  job.next_loan_question = state.now + kLoanQuestionInterval;
  if (first) return;

  const JobId parent = job.record.spec.job;
  std::vector<std::pair<JobId, JobPhase>> known;

  for (const JobId& guest : BorrowedJobs(job)) {
    const auto view = state.view.jobs.find(guest);
    if (view == state.view.jobs.end()) continue;

    const CellId& cell = view->second.head.cell;

    if (const OwnedCell* own = FindOpenCell(state, cell)) {
      known.emplace_back(guest, ShownPhase(*own, guest, view->second));
    } else if (const auto owner = OwnerOf(state, cell)) {
      const RequestId request = NextRequest(state);
      state.peer_questions[request] = PendingQuestion{.job = guest, .lender = parent};
      effects.emplace_back(AskPeer{request, *owner, guest, kLoanQuestionTimeout});
    }
  }

  for (const auto& [guest, phase] : known) TakeLoanPhase(state, effects, parent, guest, phase);
}

void TakeLoanPhase(State& state, Effects& effects, const JobId& parent, const JobId& guest,
                   JobPhase phase) {
  if (IsTerminal(phase)) return TakeLoanEnd(state, effects, parent, guest, phase);
  if (phase != JobPhase::kActive) return;

  for (auto& [cell_id, cell] : state.cells) {
    const auto found = cell.jobs.find(parent);
    if (found != cell.jobs.end()) NoteBegun(cell, found->second);
  }
}

void TakeLoanEnd(State& state, Effects& effects, const JobId& parent, const JobId& guest,
                 JobPhase phase) {
  // Lent tasks are cancelled with their job only, and word of that may come here later.
  if (phase == JobPhase::kCancelled) NoteCancelled(state, effects, parent);

  for (auto& [cell_id, cell] : state.cells) {
    const auto found = cell.jobs.find(parent);
    if (found == cell.jobs.end()) continue;

    JobState& job = found->second;
    bool changed = false;

    for (OccurrenceState& occurrence : job.occurrences) {
      for (StepState& step : occurrence.steps) {
        for (TaskState& task : step.tasks) {
          if (task.phase != TaskPhase::kLent || task.lent_to != guest) continue;

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
              job.doomed = true;
              break;
            default:
              task.phase = TaskPhase::kBlocked;
              break;
          }
        }
      }
    }

    if (!changed) continue;

    if (phase != JobPhase::kCancelled) NoteBegun(cell, job);
    if (job.doomed) StopJob(cell, job);
    Touch(cell, job);
    Unblock(state, cell, job);
    SettleJob(state, effects, cell, parent);
  }
}

}  // namespace currantpost::scheduler
