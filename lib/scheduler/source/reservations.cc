#include "reservations.h"

#include "background_work.h"
#include "capacity_offers.h"
#include "cell_load.h"
#include "overdue_request.h"
#include "owner_contact.h"
#include "worker_hold.h"

/// Reservation of capacity in another cell for tasks that find none in their own. Load reports are
/// half a second old, and many owners choose by the same reports, so tasks that were passed on by
/// reports alone often arrived in a full cell and were passed on again. An owner that asks first
/// gets a reply within milliseconds, and the capacity is held until the tasks arrive.

namespace currantpost::scheduler {
namespace {

/// Consecutive requests of a job without a reply after which the load reports go first.
constexpr int32_t kMaxUnansweredRequests = 2;
/// Interval between requests of a cell to cells that report no capacity. A report is up to half a
/// second old, so one of them may have some by now.
constexpr Millis kProbeInterval = Millis(100);
/// Interval between requests of a cell for best-effort tasks, which are not urgent.
constexpr Millis kBestEffortRequestInterval = Millis(50);
/// How long a cell that had no capacity for best-effort tasks is not asked again for tasks with the
/// same requirements, doubled with each further refusal: it may have no worker with their label.
constexpr Millis kDeclinedNeedsPause = Millis(400);
constexpr int32_t kMaxDeclinedDoublings = 2;
/// How long after the pause a refusal still counts as the one before the next.
constexpr Millis kDeclinedNeedsMemory = Millis(5'000);
/// How long a long-running task waits in a cell before it no longer relies on a worker that is kept
/// for it there: the short tasks there should have ended by then. One that has waited longer in
/// former cells stays as long again, up to the second limit, as the wait for the short tasks begins
/// anew with each cell.
constexpr Millis kMinHoldWait = Millis(2'500);
constexpr Millis kMaxHoldWait = Millis(5'000);

CapacityOutcome OutcomeOf(const ReservationReply& reply) {
  if (reply.tasks > 0) return CapacityOutcome::kGranted;
  return reply.keeps ? CapacityOutcome::kWorkerKept : CapacityOutcome::kDeclined;
}

/// Replaces the free capacity that a cell last reported by what its owner has just replied.
void UpdateReportedRoom(State& state, const CellId& id, const ReservationReply& reply) {
  const auto load = state.view.loads.find(id);
  if (load == state.view.loads.end()) return;

  const auto service = load->second.record.services.find(reply.service);
  if (service == load->second.record.services.end()) return;

  service->second.free = reply.free;
  service->second.largest_free = reply.largest_free;
  service->second.largest_long_running = reply.largest_long_running;
  service->second.free_best_effort = reply.free_best_effort;
  service->second.waiting = 0;
  state.rooms.SetReply(id, reply.service, service->second);
}

/// Notes whether a cell had capacity for waiting tasks.
void RecordReply(State& state, JobState& job, const CellId& to, const StepSpec* spec,
                 int32_t tasks) {
  if (tasks <= 0) job.declined_until[to] = state.now + kDeclinedPause;
  // Whether a task finds a worker below the limit per worker depends on the other tasks of its job.
  if (spec == nullptr || !spec->best_effort || spec->max_per_worker > 0) return;

  const BestEffortNeeds needs = NeedsOf(state, job.record, *spec);

  if (tasks > 0) {
    const auto cells = state.declined_needs.find(needs);
    if (cells != state.declined_needs.end()) cells->second.erase(to);
    return;
  }

  for (auto& [known, cells] : state.declined_needs) {
    std::erase_if(cells, [&](const auto& row) {
      return state.now - row.second.until > kDeclinedNeedsMemory;
    });
  }
  std::erase_if(state.declined_needs, [](const auto& row) { return row.second.empty(); });
  state.declined_needs[needs][to].Extend(state.now, kDeclinedNeedsPause, kMaxDeclinedDoublings);
}

/// Returns whether a reply may be used: it is awaited, or it is late and the capacity is still
/// held.
bool IsUsable(const State& state, const OwnedCell& cell, const JobState& job, const CellId& to,
              const ReservationReply& reply) {
  if (job.reservation && job.reservation->to == to) return true;

  const bool is_measured = reply.asked_at > Millis(0) && reply.asked_at <= state.now;
  const bool is_held = is_measured && state.now < reply.asked_at + kReservationTime;
  return is_held && !cell.write.versions.contains(job.record.spec.job);
}

void HandleReply(State& state, Effects& effects, const CellId& to, const ReservationReply& reply) {
  UpdateReportedRoom(state, to, reply);
  NoteOwnerReplied(state, to, reply.asked_at);
  OwnedCell* cell = FindOpenCell(state, reply.from);
  if (cell == nullptr) return;

  const auto found = cell->jobs.find(reply.job);
  if (found == cell->jobs.end()) return;

  JobState& job = found->second;
  const bool for_evacuation = !job.reservation && job.evacuation && job.evacuation->to == to &&
                              job.evacuation->asked_at == reply.asked_at;
  if (for_evacuation && job.evacuation->held == 0) {
    RecordReply(state, job, to, nullptr, reply.keeps ? 1 : reply.tasks);
    return UseEvacuationReply(state, effects, *cell, job, reply);
  }

  const bool is_usable = IsUsable(state, *cell, job, to, reply);
  if (job.reservation && job.reservation->to == to) job.reservation.reset();
  job.unanswered_reservations = 0;
  // A task for which a worker is kept waits for it in that cell.
  const int32_t tasks = reply.tasks <= 0 && reply.keeps ? 1 : reply.tasks;
  if (reply.keeps) ++job.search.kept;
  if (tasks <= 0) ++job.search.declined;
  WaitingBatch batch = WaitingTasks(state, *cell, job);
  RecordReply(state, job, to, batch.spec, tasks);
  const bool stopped = job.cancelled || job.attempts_exhausted || job.move || job.loan;
  if (!is_usable || stopped || cell->releasing || tasks <= 0) return;

  // Another cell may have been asked since.
  job.reservation.reset();
  PassOn(state, effects, *cell, job, to, std::move(batch), static_cast<size_t>(tasks));
}

/// Returns whether a job may ask for capacity once it searches.
bool MayAskInTurn(const JobState& job) {
  // Borrowed tasks are not lent again.
  const bool stays = !job.record.parent.Empty() && job.bound > 0;
  return job.waits_since && !stays && !job.move && !job.loan;
}

/// Returns the job whose turn it is to ask a cell that reports no capacity: the first one that
/// waits after the last one that asked, or null.
JobState* NextInTurn(OwnedCell& cell) {
  const auto waits = [](const auto& row) { return MayAskInTurn(row.second); };
  auto next = std::find_if(cell.jobs.upper_bound(cell.last_probe), cell.jobs.end(), waits);
  if (next == cell.jobs.end()) next = std::ranges::find_if(cell.jobs, waits);
  return next == cell.jobs.end() ? nullptr : &next->second;
}

/// Makes the job whose turn is next search when it begins. It would miss the turn otherwise, as it
/// searches less often.
void ScheduleNextTurn(OwnedCell& cell) {
  JobState* next = NextInTurn(cell);
  if (next != nullptr) next->next_search = std::min(next->next_search, cell.next_probe);
}

/// Returns a cell that reports no capacity, to ask it all the same, at most one per interval. Each
/// waiting job has its turn.
std::optional<CellId> ChooseProbe(State& state, OwnedCell& cell, const JobState& job,
                                  const StepSpec& spec) {
  if (state.now < cell.next_probe) {
    WakeAt(state, cell.next_probe);
    ScheduleNextTurn(cell);
    return std::nullopt;
  }

  if (job.record.spec.job <= cell.last_probe) return std::nullopt;

  const std::optional<CellId> to = ChooseAnyOtherCell(state, cell.cell, job, spec);
  if (!to) return std::nullopt;

  // A cell of this entry takes no message, so no turn either.
  if (state.cells.contains(*to)) return to;

  cell.next_probe = state.now + kProbeInterval;
  cell.last_probe = job.record.spec.job;
  const JobState* next = NextInTurn(cell);
  if (next != nullptr && next->record.spec.job <= cell.last_probe) cell.last_probe = JobId();
  ScheduleNextTurn(cell);
  return to;
}

/// Returns how long a task has waited without a worker that is kept for it in its own cell, 0 if
/// one is kept. A worker whose short tasks go on for long is not waited for.
Millis UnservedWait(const State& state, OwnedCell& cell, const JobState& job,
                    const WaitingBatch& batch) {
  if (batch.spec->best_effort) return Millis(0);
  // A borrowed job is moved as a whole, and a worker is kept for one task.
  const bool is_borrowed = !job.record.parent.Empty();
  if (is_borrowed && !batch.spec->is_long_running && batch.tasks.size() > 1) return Millis(0);

  const TaskRef& ref = batch.tasks.front();
  const TaskState& task = *FindTask(cell, ref);
  const Millis waited = state.now - task.waiting_since;
  const Millis waited_before = task.queued_at - task.waiting_since;
  if (state.now - task.queued_at >= std::clamp(waited_before, kMinHoldWait, kMaxHoldWait))
    return waited;

  const bool is_interrupted = IsInterrupted(job, ref);
  const int32_t held = CountHolds(cell, StepNameOf(job, ref), ref.job, is_interrupted);
  // Short tasks get the kept worker one after the other.
  if (!batch.spec->is_long_running) return held == 0 ? waited : Millis(0);

  const auto waiting = std::ranges::count_if(WaitingTasksOf(cell, job), [&](const TaskRef& each) {
    return each.step == ref.step && each.occurrence == ref.occurrence &&
           IsInterrupted(job, each) == is_interrupted;
  });
  return held < waiting ? waited : Millis(0);
}

/// Chooses the next cell to ask for capacity for waiting tasks, or nothing.
std::optional<CellId> ChooseCellToAsk(State& state, OwnedCell& cell, const JobState& job,
                                      const WaitingBatch& batch, Millis unserved_wait) {
  const StepSpec& spec = *batch.spec;
  const auto tasks = static_cast<int64_t>(batch.tasks.size());
  std::optional<CellId> to = ChooseCellForTasks(state, cell.cell, job, spec, tasks);
  if (to) return to;

  const Millis hold_delay = HoldDelay(IsInterrupted(job, batch.tasks.front()));
  if (unserved_wait >= hold_delay) to = ChooseCellToKeepWorker(state, cell.cell, job, spec);
  if (to) return to;

  return ChooseProbe(state, cell, job, spec);
}

void SendRequest(State& state, Effects& effects, const CellId& to,
                 const ReservationRequest& request) {
  const StepSpec& spec = request.step;

  if (spec.is_long_running && !spec.best_effort) {
    // The others that wait do not ask for the same capacity meanwhile.
    Demand demand;
    AddDemand(demand, spec, spec.task_count);
    AddSentDemand(state, to, demand);
  }
  NoteOwnerAsked(state, to);
  PushToOwner(state, effects, to,
              StoreItem{.key = std::string(kReservationRequestPrefix) + to.Text(),
                        .value = Encode(request)});
}

}  // namespace

StepName StepNameOf(const JobState& job, const TaskRef& ref) {
  const TaskName name = NameOf(job, ref);
  return StepName{name.job, name.occurrence, name.step};
}

PlacementRequest RequestFor(const State& state, const OwnedCell& cell, const TaskRef& ref) {
  const JobState& job = cell.jobs.at(ref.job);
  const TaskState& task = TaskOf(job, ref);
  const bool is_absent = task.phase == TaskPhase::kWaiting && IsInterrupted(job, ref);
  const Urgency urgency = UrgencyOf(JobObjectiveOf(job.record), state.unix_ms);
  return PlacementRequest{
      .name = StepNameOf(job, ref),
      .spec = SpecOf(job, ref),
      .service = ServiceOf(state, job.record),
      .avoided_worker = task.avoided_worker,
      .ready_at = task.not_before,
      .priority = job.record.priority,
      .is_overdue = urgency == Urgency::kOverdue,
      .absent_since = is_absent ? std::optional(task.waiting_since) : std::nullopt,
      .task = ref};
}

void PassOn(State& state, Effects& effects, OwnedCell& cell, JobState& job, const CellId& to,
            WaitingBatch batch, size_t tasks) {
  if (batch.tasks.empty()) return;

  const bool is_whole = job.bound == 0 && job.lent == 0 && batch.tasks.size() <= tasks &&
                        batch.tasks.size() == WaitingTasksOf(cell, job).size();
  if (is_whole) return MoveJob(state, effects, cell, job, to);
  // Borrowed tasks are not lent again.
  if (!job.record.parent.Empty()) return;

  if (batch.tasks.size() > tasks) batch.tasks.resize(tasks);
  LendTasks(state, effects, cell, job, batch.tasks, to);
}

void AskCell(State& state, Effects& effects, const CellId& to, const ReservationRequest& request) {
  if (!state.cells.contains(to)) return SendRequest(state, effects, to, request);

  state.counts.search.Add(SearchVisit::kOwnCell);
  HandleReply(state, effects, to, MakeReply(state, FindOpenCell(state, to), request));
}

void BeginTurnsAgain(OwnedCell& cell) {
  cell.last_probe = JobId();
  ScheduleNextTurn(cell);
}

bool HasUnresponsivePeers(const JobState& job) {
  return job.unanswered_reservations >= kMaxUnansweredRequests;
}

bool AwaitsReservation(State& state, Effects& effects, JobState& job) {
  if (!job.reservation) return false;

  const Millis expires_at = job.reservation->expires_at;
  if (state.now < expires_at) {
    WakeAt(state, expires_at);
    return true;
  }

  // The reply may have arrived. Capacity is not held for it for longer.
  if (state.handled_up_to < expires_at && state.now < expires_at + kReservationTime) {
    WakeAt(state, state.now + kBacklogCheckInterval);
    return true;
  }

  const CellId to = job.reservation->to;
  NoteOwnerSilent(state, to, job.reservation->expires_at - kReplyTimeout);
  job.reservation.reset();
  // The others are asked before this one is asked again.
  Millis& declined_until = job.declined_until[to];
  declined_until = std::max(declined_until, state.now);
  ++job.unanswered_reservations;
  ++job.search.unanswered;
  state.counts.capacity_requests.Add(CapacityOutcome::kUnanswered);
  Log(effects, Severity::kInfo, "no reply to a request for capacity in another cell",
      {{"job", job.record.spec.job.Text()}, {"to", to.Text()}});
  return false;
}

void ExpireRequest(State& state, Effects& effects, const OwnedCell& cell, JobState& job) {
  if (job.cancelled || job.attempts_exhausted || cell.releasing) {
    job.reservation.reset();
    return;
  }

  AwaitsReservation(state, effects, job);
}

bool RequestCapacity(State& state, Effects& effects, OwnedCell& cell, JobState& job,
                     const WaitingBatch& batch) {
  if (batch.spec->best_effort && state.now < cell.next_best_effort_request) {
    WakeAt(state, cell.next_best_effort_request);
    return true;
  }

  const Millis unserved_wait = UnservedWait(state, cell, job, batch);
  ReservationRequest request{.name = StepNameOf(job, batch.tasks.front()),
                             .step = *batch.spec,
                             .service = ServiceOf(state, job.record),
                             .from = cell.cell,
                             .job = job.record.spec.job,
                             .asked_at = state.now,
                             .reply_timeout = kReservationTime,
                             .waited = unserved_wait,
                             .is_interrupted = IsInterrupted(job, batch.tasks.front()),
                             .absent = state.now - TaskOf(job, batch.tasks.front()).waiting_since,
                             .priority = job.record.priority,
                             .is_overdue = RequestFor(state, cell, batch.tasks.front()).is_overdue,
                             .reply_to = state.settings.peer_address};
  request.step.task_count = static_cast<int32_t>(batch.tasks.size());

  // A cell of this entry replies at once. If it declines, the next one is asked in the same turn,
  // so that an entry with several cells asks the other entries too.
  for (size_t asked = 0; asked <= state.cells.size(); ++asked) {
    const auto offer = TakeOffer(state, job, request.is_interrupted);
    request.offered_at = offer ? offer->offered_at : Millis(0);
    const std::optional<CellId> to =
        offer ? offer->cell : ChooseCellToAsk(state, cell, job, batch, unserved_wait);

    if (!to) {
      if (asked == 0) ++job.search.without_cell;
      return asked > 0;
    }

    if (batch.spec->best_effort) {
      cell.next_best_effort_request = state.now + kBestEffortRequestInterval;
    }
    job.reservation =
        JobState::PendingReservation{*to, state.now + kReplyTimeout, offer.has_value()};
    const bool is_own = state.cells.contains(*to);
    ++(is_own ? job.search.asked_own_cells : job.search.asked_other_cells);
    AskCell(state, effects, *to, request);
    if (!is_own) return true;

    const bool is_declined = !MayAsk(state, job, *batch.spec, *to);
    if (job.move || job.loan || batch.spec->best_effort || !is_declined) return true;
  }

  return true;
}

void ApplyReservationReply(State& state, Effects& effects, const CellId& to,
                           const StoreItem& item) {
  const Result<ReservationReply> reply = DecodeReservationReply(item.value);
  if (!reply) return LogUnreadable(effects, item, reply.error());

  state.counts.capacity_requests.Add(OutcomeOf(*reply));
  HandleReply(state, effects, to, *reply);

  // Asks the next cell at once if this one had no capacity.
  if (!MaySearchAtOnce(state)) return;

  OwnedCell* cell = FindOpenCell(state, reply->from);
  if (cell == nullptr) return;

  const auto job = cell->jobs.find(reply->job);
  if (job != cell->jobs.end()) TryLendTasks(state, effects, *cell, job->second);
}

}  // namespace currantpost::scheduler
