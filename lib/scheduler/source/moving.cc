#include "reservations.h"

/// Moves of jobs without bound tasks to cells with capacity, and removal of ended jobs from the
/// store.

namespace currantpost::scheduler {
namespace {

/// How long a job waits for capacity before it is moved to another cell.
constexpr Millis kMoveDelay = Millis(400);
/// The delay doubles with each earlier move, at most this many times.
constexpr int32_t kMaxMoveDelayDoublings = 4;
/// A job is moved only to a cell that has this many times the capacity that the job needs.
constexpr int64_t kMoveRoomFactor = 2;
/// Interval between removals of ended jobs, and the maximum number of jobs removed per write. Each
/// job has three keys, and the write also has a condition on the grant.
constexpr Millis kRemovalInterval = Millis(2'000);
constexpr size_t kMaxJobsPerRemoval = 10;

/// Returns the demand of the waiting tasks of a job.
Demand WaitingDemand(const OwnedCell& cell, const JobState& job) {
  Demand demand;
  VisitWaitingTasks(cell, job, [&](const TaskRef& ref) {
    AddDemand(demand, SpecOf(job, ref), 1);
    return true;
  });
  return demand;
}

/// Returns another cell with capacity for the demand of a job, or nothing.
std::optional<CellId> ChooseMoveTarget(const State& state, const OwnedCell& cell,
                                       const JobState& job, Demand demand) {
  demand.reserved *= kMoveRoomFactor;
  demand.best_effort *= kMoveRoomFactor;
  return ChooseOtherCell(state, cell.cell, job.record, demand);
}

void WriteMove(State& state, Effects& effects, OwnedCell& cell, JobState& job) {
  const JobId& id = job.record.spec.job;
  const auto view = state.view.jobs.find(id);
  if (view == state.view.jobs.end()) return;

  WriteRecords write;
  write.expected = {ExpectedRecord{CellKey(cell.cell), cell.grant},
                    ExpectedRecord{JobKey(id), view->second.revision},
                    ExpectedRecord{ProgressKey(cell.cell, id), job.progress_revision},
                    ExpectNotCancelled(job.record)};
  write.puts.push_back(RecordPut{JobKey(id), job.move->value, 0});
  if (job.progress_revision != 0) write.removals.push_back(ProgressKey(cell.cell, id));
  job.move->request =
      CallStore(state, effects, JobMoved{cell.cell, cell.grant, id}, std::move(write));
}

}  // namespace

void RetryMove(State& state, Effects& effects, OwnedCell& cell, JobState& job) {
  if (!job.move || job.move->request != 0) return;
  if (state.now >= job.move->retry_at) return WriteMove(state, effects, cell, job);

  WakeAt(state, job.move->retry_at);
}

void TryMoveJob(State& state, Effects& effects, OwnedCell& cell, JobState& job) {
  if (!job.waits_since || job.move || job.loan || job.reservation || job.bound > 0 ||
      job.cancelled || job.attempts_exhausted || cell.releasing)
    return;
  if (cell.dirty.contains(job.record.spec.job) || job.recorded_version != job.version) return;

  // Load reports are up to half a second old, so a move can fail to find capacity. The delay
  // therefore grows with each move.
  const int64_t delay_factor = int64_t{1} << std::min(job.record.moves, kMaxMoveDelayDoublings);
  const Millis due = *job.waits_since + kMoveDelay * delay_factor;
  if (state.now < due) {
    WakeAt(state, due);
    return;
  }

  // While peers reply, tasks are passed on to a cell that has reserved capacity for them.
  if (job.unanswered_reservations == 0) return;

  const Demand demand = WaitingDemand(cell, job);
  const std::optional<CellId> to = ChooseMoveTarget(state, cell, job, demand);
  if (!to) return;

  AddSentDemand(state, *to, demand);
  MoveJob(state, effects, cell, job, *to);
}

void MoveJob(State& state, Effects& effects, OwnedCell& cell, JobState& job, const CellId& to) {
  JobRecord moved = job.record;
  moved.cell = to;
  moved.service = ServiceOf(state, job.record);
  ++moved.moves;
  moved.carried_progress = ProgressOf(state, job);
  job.move = JobState::PendingMove{.to = to, .value = Encode(moved)};
  Log(effects, Severity::kInfo, "moving job to a cell with free capacity",
      {{"job", job.record.spec.job.Text()}, {"from", cell.cell.Text()}, {"to", to.Text()}});
  WriteMove(state, effects, cell, job);
}

void HandleJobMoved(State& state, Effects& effects, const JobMoved& moved,
                    const StoreReply& reply) {
  OwnedCell* cell = FindCell(state, moved.from, moved.grant);
  if (cell == nullptr) return;

  const auto found = cell->jobs.find(moved.job);
  if (found == cell->jobs.end() || !found->second.move) return;

  JobState& job = found->second;
  job.move->request = 0;

  switch (reply.status) {
    case StoreStatus::kOk: {
      const StoreItem item{
          .key = JobKey(moved.job), .revision = reply.revision, .value = job.move->value};
      const CellId to = job.move->to;
      PushToOwner(state, effects, to, item);
      ApplyRecord(state, effects, item);
      return;
    }
    case StoreStatus::kConflict:
      job.move.reset();
      job.waits_since = state.now;
      for (const StoreItem& item : reply.items) ApplyRecord(state, effects, item);
      return;
    default:
      // The same write is retried. Either it takes effect now, or a conflict shows that it already
      // did.
      job.move->retry_at = state.now + kStoreRetryDelay;
      return;
  }
}

void RemoveEndedJobs(State& state, Effects& effects) {
  if (state.now < state.next_removal || state.cells.empty()) return;

  state.next_removal = state.now + kRemovalInterval;
  // A request that is in flight at the end of the promised time must not find the job missing.
  const Millis age = state.settings.ended_job_retention + kMaxRequestDelay;

  for (const auto& [id, cell] : state.cells) {
    WriteRecords write;
    write.expected.push_back(ExpectedRecord{CellKey(id), cell.grant});

    for (const auto& [job_id, job] : state.view.jobs) {
      if (job.head.cell != id || !job.ended_at || state.now - *job.ended_at < age) continue;
      if (cell.jobs.contains(job_id)) continue;

      write.removals.push_back(JobKey(job_id));
      write.removals.push_back(ProgressKey(id, job_id));
      if (job.cancelled) write.removals.push_back(CancelKey(job_id));
      if (write.removals.size() >= 3 * kMaxJobsPerRemoval - 2) break;
    }

    if (!write.removals.empty()) CallStore(state, effects, EndedJobsRemoved{}, std::move(write));
  }
}

}  // namespace currantpost::scheduler
