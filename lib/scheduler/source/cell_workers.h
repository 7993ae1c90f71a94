#pragma once

#include "internal.h"

/// Declarations shared by the source files on the workers of owned cells.

namespace currantpost::scheduler {

/// Backoff after a poll or an order that the worker did not answer; a poll multiplies it by the
/// number of consecutive failures, up to the maximum.
inline constexpr Millis kFailedPollBackoff = Millis(200);
/// Backoff after a refusal that does not say when to retry.
inline constexpr Millis kRefusalBackoff = Millis(300);

// Leases

/// Returns whether the worker's clock is known from a poll that it answered lately.
bool HasAnsweredRecently(const State& state, const WorkerState& worker);

/// Returns the longest lease that this entry may grant to the worker now, or nothing if it may not
/// renew the lease.
std::optional<LeaseGrant> NextLeaseGrant(const State& state, const OwnedCell& cell,
                                         const WorkerState& worker);

/// Extends the bound on the worker's lease, because an order with this grant is about to be sent.
void ExtendLeaseBound(const State& state, WorkerState& worker, const LeaseGrant& grant);

/// Logs how long a worker's leases may still last, and why.
void LogLeaseState(const State& state, Effects& effects, const OwnedCell& cell,
                   const WorkerState& worker, std::string message);

/// Returns whether a worker does not answer, or cannot be polled because its address is unknown.
bool HasFailedPollsOrNoAddress(const WorkerState& worker);

/// Forgets that a worker did not answer if this entry was away or behind since its last update.
void ForgetSilenceIfAway(const State& state, WorkerState& worker);

/// Requeues the tasks of a worker once its lease has surely expired and the worker doesn't answer.
void RequeueExpiredTasks(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker);

/// Returns whether the worker needs a lease renewal: it has a run that is still needed, or an ended
/// run whose result would be lost without one.
bool NeedsLease(const State& state, const OwnedCell& cell, const WorkerState& worker);

/// Returns whether runs may be on the worker: tasks of the cell, or before the cell is open, runs
/// that the records bind to it.
inline bool MayHaveRuns(const WorkerState& worker) {
  return !worker.tasks.empty() || !worker.inherited_jobs.empty();
}

/// Returns whether an entry that handles now what was due at a time was away or behind meanwhile.
bool WasAway(const State& state, Millis due);

// Polls

/// Returns by when a poll should have been answered.
inline Millis DueOf(const PollInFlight& poll) { return poll.sent_at + poll.wait + kOrderTimeout; }

/// Notes that a poll has failed. One that was sent after the lease had expired counts in any case,
/// so that an entry that is behind for long comes to a decision.
void NoteUnanswered(const State& state, const OwnedCell& cell, WorkerState& worker,
                    const PollInFlight& poll);

void SendDuePoll(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker);

void HandlePollReply(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                     const PollInFlight& poll, const WorkerReply& reply);

void HandleFailedPoll(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                      const PollInFlight& poll, OrderStatus status);

// Orders

/// Sends the stops that are due, several at once: an entry that handles replies a second late would
/// otherwise need that second for each stop.
void SendDueStops(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker);

void SendDueOrder(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker);

/// Reads the registry entry of a worker to which starts are to be sent, if the copy of the registry
/// is too old for that.
void ReadRegistration(State& state, Effects& effects, const OwnedCell& cell, WorkerState& worker);

/// Requeues the worker's tasks whose starts were not sent yet and may not be sent any more: all of
/// them if the worker accepts no starts or the cell is being released, otherwise those whose queue
/// now belongs to another service.
void RequeueUnsentStarts(State& state, OwnedCell& cell, WorkerState& worker);

void HandleStopReply(const State& state, Effects& effects, OwnedCell& cell,
                     const WorkerState& worker, const StopTask& stop, OrderStatus status);

void HandleOrderReply(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                      const WorkerReply& reply);

// Workers

FencingToken TokenOf(const OwnedCell& cell, const WorkerState& worker);

/// Invalidates all orders that may still arrive at the worker, and polls it for its present state.
void RaiseFence(State& state, WorkerState& worker);

/// Polls the workers with tasks that have not answered under the grant, also those with a poll in
/// flight, which may be on a connection that is cut.
void PollUncontactedWorkers(State& state, OwnedCell& cell);

/// Handles a restart of a worker: no run of the former incarnation is left, and no order to that
/// one reaches the new one.
void HandleNewIncarnation(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                          int64_t incarnation);

/// Handles that the registry names a later incarnation of a worker than the known one. The registry
/// may be wrong, so the worker is asked; only if it doesn't answer does the registry count.
void HandleAnnouncedIncarnation(State& state, Effects& effects, OwnedCell& cell,
                                WorkerState& worker, int64_t incarnation);

/// Returns whether a worker's tasks will probably have to run elsewhere: it drains, the registry
/// doesn't list it, or it doesn't answer.
inline bool IsLeavingOrSilent(const WorkerState& worker) {
  return worker.info.draining || !worker.listed ||
         worker.failed_polls >= kFailedPollsUntilUnresponsive;
}

/// Returns whether this owner may stop tasks to start them on other workers: it must be able to
/// start tasks.
inline bool MayMoveTasks(const State& state, const OwnedCell& cell) {
  return !cell.releasing && HoldsLease(state) && CancelsAreCurrent(state) && cell.hand_over.written;
}

/// Counts a failure of a worker, and quarantines the worker after several in a row.
void RecordWorkerFailure(State& state, Effects& effects, WorkerState& worker);

/// Marks a job as active once a worker has started a run of it.
void RecordRunStart(const State& state, Effects& effects, OwnedCell& cell, JobState& job,
                    const WorkerState& worker);

}  // namespace currantpost::scheduler
