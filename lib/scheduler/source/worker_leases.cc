#include <utility>

#include "cell_workers.h"

/// Leases of the workers of owned cells: until when they are renewed, and what is lost once they
/// have expired.

namespace currantpost::scheduler {
namespace {

/// A worker that answered its last poll longer ago than this is taken for silent. Longer than a
/// poll and the pause after it.
constexpr Millis kMaxAnswerAge = Millis(2'000);
/// An entry that handles what was due later than this was away or behind: a poll then had less than
/// half of its time for an answer.
constexpr Millis kMaxPunctualDelay = kOrderTimeout / 2;

/// Time to live of the leases of a worker that may leave at any moment: its tasks start elsewhere
/// within a second of a departure. Longer than a poll and two repeats.
constexpr Millis kDepartureLeaseTtl = Millis(650);
/// Added to that, as a multiple of the time that replies take: an owner that handles them late
/// renews late, and its readings of the worker's clock are old.
constexpr int64_t kReplyDelayFactor = 4;

/// Returns whether the store has confirmed no renewal of this entry's lease for so long that its
/// cells may soon have other owners, which need time before they renew leases.
bool MayLoseCells(const State& state) {
  constexpr Millis kMinLeft = kStoreLeaseTtl - kStoreLeaseRenewalInterval * 2;
  return state.lease.valid_until - state.now < kMinLeft;
}

/// Returns the time to live of the leases that a worker gets now. Until the time has passed for
/// which a draining worker goes on in any case, its leases are as long as those of others, so that
/// its tasks run on if the owner dies.
Millis LeaseTtl(const State& state, const OwnedCell& cell, const WorkerState& worker) {
  if (!worker.info.draining || MayLoseCells(state)) return kWorkerLeaseTtl;
  // The next owner needs time before it renews leases.
  if (cell.releasing || cell.successor || state.stopping) return kWorkerLeaseTtl;

  const Millis stays = std::max(worker.info.drain_ends_at - state.now, Millis(0));
  const Millis until_expiry = stays + kDepartureLeaseTtl + worker.reply_delay * kReplyDelayFactor;
  // The bound on the lease, which is longer by the drift, is to pass soon after a departure.
  return std::min(until_expiry * 100 / (100 + kClockDriftPercent), kWorkerLeaseTtl);
}

/// Returns the lowest time that the worker's clock, which may be slow, can show now, in
/// milliseconds.
int64_t MinWorkerClock(const State& state, const WorkerState& worker) {
  const int64_t passed = (state.now - worker.clock_at).Count();
  return *worker.clock_ms + passed - passed * kClockDriftPercent / 100;
}

/// Returns whether the worker has left a poll without an answer beyond the expiry of its lease.
bool WasSilentAfterExpiry(const WorkerState& worker) {
  return worker.unanswered_at && *worker.unanswered_at >= worker.lease.Expiry();
}

/// Returns whether a poll is in flight whose failure would show that the worker was silent beyond
/// the expiry of its lease.
bool IsAskedAfterExpiry(const State& state, const OwnedCell& cell, const WorkerState& worker) {
  const Millis expiry = worker.lease.Expiry();
  const bool was_away = WasAway(state, expiry);
  const FencingToken token = TokenOf(cell, worker);
  return std::ranges::any_of(worker.polls, [&](const PollInFlight& poll) {
    return poll.token == token && (was_away ? poll.sent_at : DueOf(poll)) >= expiry;
  });
}

/// Returns whether the expired lease of a worker decides about its runs: all that arrived before
/// the expiry has been handled, and the worker has left a poll without an answer that this entry
/// would have read. Otherwise asks the worker once more.
bool IsExpiryConfirmed(State& state, const OwnedCell& cell, WorkerState& worker) {
  const Millis expiry = worker.lease.Expiry();
  const Millis decided_at = std::max(expiry, worker.unanswered_at.value_or(expiry));

  if (state.handled_up_to < decided_at) {
    WakeAt(state, state.now + kBacklogCheckInterval);
    return false;
  }

  if (worker.info.address.port == 0 || WasSilentAfterExpiry(worker)) return true;
  if (worker.unanswered_at && !WasAway(state, expiry)) return true;

  // A worker that has answered since is polled as usual.
  const bool is_asked = IsAskedAfterExpiry(state, cell, worker) || worker.answered_at >= expiry;
  if (!is_asked) RaiseFence(state, worker);
  return false;
}

/// Returns whether a run of the task may be on its worker.
bool MayRun(const TaskState& task) {
  return task.phase == TaskPhase::kRunning || task.phase == TaskPhase::kStopping ||
         (task.phase == TaskPhase::kStarting && task.start_sent);
}

}  // namespace

bool WasAway(const State& state, Millis due) { return state.now - due > kMaxPunctualDelay; }

bool HasAnsweredRecently(const State& state, const WorkerState& worker) {
  return worker.clock_ms && state.now - worker.clock_at <= kMaxAnswerAge;
}

std::optional<LeaseGrant> NextLeaseGrant(const State& state, const OwnedCell& cell,
                                         const WorkerState& worker) {
  if (!worker.clock_ms || !MayRenewLease(cell, worker)) return std::nullopt;

  const Millis longest = std::min(LeaseTtl(state, cell, worker), state.settings.max_worker_lease);
  const Millis beyond_own_lease =
      IsOutageConfirmed(state, cell) ? kStoreOutageRenewalPeriod : kUnconfirmedRenewalPeriod;
  const Millis horizon = std::min(state.now + longest, state.lease.valid_until + beyond_own_lease);
  if (horizon <= state.now) return std::nullopt;

  return LeaseGrant{.lease_until_ms = MinWorkerClock(state, worker) + (horizon - state.now).Count(),
                    .ends_at = horizon};
}

void ExtendLeaseBound(const State& state, WorkerState& worker, const LeaseGrant& grant) {
  const Millis span(grant.lease_until_ms - MinWorkerClock(state, worker));
  worker.lease.own = std::max(worker.lease.own, state.now + MaxLeaseDuration(span));
}

void LogLeaseState(const State& state, Effects& effects, const OwnedCell& cell,
                   const WorkerState& worker, std::string message) {
  const Millis answered = worker.contacted ? state.now - worker.answered_at : Millis(-1);
  Log(effects, Severity::kInfo, std::move(message),
      {{"worker", worker.info.id.Text()},
       {"cell", cell.cell.Text()},
       {"tasks", std::to_string(worker.tasks.size())},
       {"earliest_ms", std::to_string((worker.lease.earliest - state.now).Count())},
       {"own_ms", std::to_string((worker.lease.own - state.now).Count())},
       {"inherited_ms", std::to_string((worker.lease.inherited - state.now).Count())},
       {"answered_ms", std::to_string(answered.Count())},
       {"failed_polls", std::to_string(worker.failed_polls)},
       {"recorded_as_silent", IsRecordedAsSilent(cell, worker) ? "yes" : "no"},
       {"store_lease_ms", std::to_string((state.lease.valid_until - state.now).Count())},
       {"owned_ms", std::to_string((state.now - cell.taken_over_at).Count())},
       {"listed", worker.listed ? "yes" : "no"},
       {"address", worker.info.address.port == 0 ? "unknown" : "known"},
       {"draining", worker.info.draining ? "yes" : "no"}});
}

bool HasFailedPollsOrNoAddress(const WorkerState& worker) {
  return worker.failed_polls > 0 || worker.info.address.port == 0;
}

void ForgetSilenceIfAway(const State& state, WorkerState& worker) {
  const bool was_away = worker.due_at > Millis(0) && WasAway(state, worker.due_at);
  if (was_away && !WasSilentAfterExpiry(worker)) worker.unanswered_at.reset();
}

void RequeueExpiredTasks(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker) {
  if (worker.tasks.empty()) return;

  if (state.now < worker.lease.Expiry()) {
    if (HasFailedPollsOrNoAddress(worker) && !std::exchange(worker.wait_logged, true)) {
      LogLeaseState(
          state, effects, cell, worker,
          "worker does not answer or has no known address; its tasks wait until its lease expires");
    }
    WakeAt(state, worker.lease.Expiry());
    return;
  }

  std::vector<TaskRef> runs;
  for (const TaskRef& ref : worker.tasks) {
    if (MayRun(*FindTask(cell, ref))) runs.push_back(ref);
  }
  if (runs.empty() || !IsExpiryConfirmed(state, cell, worker)) return;

  LogLeaseState(state, effects, cell, worker,
                "lease of a worker has expired; its runs are treated as lost");
  for (const TaskRef& ref : runs) {
    HandleLostRun(state, effects, cell, ref, LossReason::kLeaseExpired);
  }
  RaiseFence(state, worker);
}

bool NeedsLease(const State& state, const OwnedCell& cell, const WorkerState& worker) {
  if (!worker.ends.empty()) return true;

  const auto is_cancelled = [&](const JobId& id) {
    const auto job = state.view.jobs.find(id);
    return job != state.view.jobs.end() && job->second.cancelled;
  };
  const bool inherited = std::ranges::any_of(worker.inherited_jobs, [&](const JobId& id) {
    const auto job = state.view.jobs.find(id);
    const bool parent_cancelled =
        job != state.view.jobs.end() && is_cancelled(job->second.head.parent);
    return !is_cancelled(id) && !parent_cancelled;
  });
  if (inherited) return true;

  return std::ranges::any_of(worker.tasks, [&](const TaskRef& ref) {
    const JobState& job = cell.jobs.at(ref.job);
    return !job.cancelled && !job.attempts_exhausted;
  });
}

void LogCellGivenUp(const State& state, Effects& effects, const OwnedCell& cell,
                    std::string_view reason) {
  int64_t with_tasks = 0;
  std::optional<Millis> shortest;

  for (const auto& [id, worker] : cell.workers) {
    if (!MayHaveRuns(worker)) continue;

    ++with_tasks;
    const Millis left = std::max(worker.lease.Expiry() - state.now, Millis(0));
    shortest = std::min(shortest.value_or(left), left);
  }

  Log(effects, Severity::kInfo, "gave cell up",
      {{"cell", cell.cell.Text()},
       {"reason", std::string(reason)},
       {"workers_with_tasks", std::to_string(with_tasks)},
       {"shortest_lease_ms", shortest ? std::to_string(shortest->Count()) : std::string()}});
}

void LogPendingLeaseWaits(const State& state, Effects& effects, const OwnedCell& cell) {
  for (const auto& [id, worker] : cell.workers) {
    if (!MayHaveRuns(worker) || (worker.contacted && !HasFailedPollsOrNoAddress(worker))) continue;

    LogLeaseState(state, effects, cell, worker, "releasing a cell while a worker does not answer");
  }
}

}  // namespace currantpost::scheduler
