#pragma once

#include <absl/functional/function_ref.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "currantpost/policy/job_urgency.h"
#include "currantpost/scheduler/effects.h"
#include "currantpost/scheduler/state.h"

/// Declarations shared by the source files of the scheduler.

namespace currantpost::scheduler {

// Times

/// Time to live of an entry's lease at the store. The cells of a dead entry get a new owner after
/// about this time. The lease must survive three lost renewals.
inline constexpr Millis kStoreLeaseTtl = Millis(2'500);
/// Interval between renewals of that lease, so that three fit in its time to live.
inline constexpr Millis kStoreLeaseRenewalInterval = Millis(800);
/// Time to live of the leases granted to workers. Longer than a takeover (`kStoreLeaseTtl`, a claim
/// and a poll), so that tasks keep running during it. Otherwise short, because the tasks of a
/// worker that is cut off cannot start elsewhere before its lease expires.
inline constexpr Millis kWorkerLeaseTtl = Millis(4'800);
/// How long after the end of its own lease at the store an owner lets workers' leases run while its
/// witnesses confirm that they miss the store too. This keeps tasks running through outages of the
/// store, but a successor that cannot reach a worker has to wait longer by this time.
inline constexpr Millis kStoreOutageRenewalPeriod = Millis(8'000);
/// The same without such confirmations: leases then end one `kWorkerLeaseTtl` after the store has
/// last confirmed the owner's lease.
inline constexpr Millis kUnconfirmedRenewalPeriod = kWorkerLeaseTtl - kStoreLeaseTtl;
/// Workers' clocks may run slow by up to 2 %.
inline constexpr int64_t kClockDriftPercent = 2;
/// Added to every duration after which a lease is treated as expired. Covers rounding and one round
/// trip.
inline constexpr Millis kLeaseExpiryMargin = Millis(150);
/// Returns the longest time, by this entry's clock, that a lease may run which lasts `span` by a
/// worker's clock.
inline Millis MaxLeaseDuration(Millis span) {
  return span + span * kClockDriftPercent / 100 + kLeaseExpiryMargin;
}

/// Timeout of a call to the store. Replies take 4 ms, and about 250 ms when the store is slow.
inline constexpr Millis kStoreTimeout = Millis(1'500);
/// Delay before a failed call to the store is retried.
inline constexpr Millis kStoreRetryDelay = Millis(200);
/// Longest time that a request of a caller takes to be handled, for example by an entry that stands
/// still for a while.
inline constexpr Millis kMaxRequestDelay = Millis(15'000);
/// Consecutive failed polls after which a worker is treated as unresponsive.
inline constexpr int32_t kFailedPollsUntilUnresponsive = 2;
/// Interval between checks whether everything is handled that had arrived by a time.
inline constexpr Millis kBacklogCheckInterval = Millis(10);
/// Timeout of an order to a worker. Orders are answered in a few milliseconds unless they are lost.
inline constexpr Millis kOrderTimeout = Millis(800);

/// Appends a log line.
void Log(Effects& effects, Severity severity, std::string message, std::vector<LogField> fields);

/// Returns a request ID that is unique within this process.
RequestId NextRequest(State& state);

/// Schedules the next call of the scheduler at the given time at the latest.
void WakeAt(State& state, Millis at);

/// Sends a call to the store and records its purpose.
template <typename Purpose, typename Body>
RequestId CallStore(State& state, Effects& effects, Purpose purpose, Body body,
                    Millis timeout = kStoreTimeout) {
  const RequestId request = NextRequest(state);
  state.store_calls[request] = StoreCallInFlight{std::move(purpose), state.now};
  effects.emplace_back(StoreCall{request, std::move(body), timeout});
  return request;
}

// Keys of records

std::string EntryKey(const EntryId& entry);
std::string CellKey(const CellId& cell);
std::string GrantKey(const CellId& cell);
std::string LoadKey(const CellId& cell);
std::string JobKey(const JobId& job);
std::string ProgressKey(const CellId& cell, const JobId& job);
std::string CancelKey(const JobId& job);
std::string WithdrawnKey(const JobId& job);
std::string HandOverKey(const CellId& cell);

// Feeds and the local replica of the records

/// Logs a record that cannot be decoded.
void LogUnreadable(Effects& effects, const StoreItem& item, const Error& error);

/// Applies the operators' configuration if it is newer than the one in force.
void ApplyConfiguration(State& state, Effects& effects, const StoreItem& item);

/// Lists and watches the feeds that this entry needs.
void UpdateFeeds(State& state, Effects& effects);
void HandleFeedReply(State& state, Effects& effects, const FeedCalled& purpose,
                     const StoreReply& reply);

/// Advances the time up to which the copy of the records is known to be complete. Once the copy
/// contains the revision that the store reported in reply to a call, it contains everything that
/// the store had when that call was sent.
void AdvanceKnownAt(State& state, FeedState& copy);

/// A copy of this age or younger may be used for a start even if the configured limit is shorter.
/// With a smaller limit no task would ever start.
inline constexpr Millis kMinUsableAge = Millis(500);

/// Returns the maximum age of a copy on which a start may rely, if the start must reach its worker
/// within `limit` of any change that the copy does not contain.
Millis LongestUsableAge(Millis limit);

/// Returns whether what this entry knows of a worker's registry entry is recent enough to start
/// tasks there: a worker that drains gets no start later than `Settings::drain_time` after it has
/// announced that.
bool IsRegistrationCurrent(const State& state, const WorkerState& worker);

/// Returns whether the copy of the records is recent enough that this entry can start tasks soon
/// after it takes over a cell. It becomes so with a reply that leaves nothing outstanding. It never
/// is at an entry that is slow.
bool IsCaughtUp(const State& state);
void UpdateCaughtUp(State& state);

/// Returns the age of this entry's copy of the records as a text for the log.
std::string RecordsAgeText(const State& state);

/// Logs when the copy of the records becomes stale, or current again, while this entry owns cells.
void LogRecordsStaleness(State& state, Effects& effects);

/// Records the store revision that was reported in the reply to a call other than a watch.
void RecordStoreRevision(State& state, Millis sent_at, KvRevision revision);

/// Replaces the watches in flight by new ones. After an outage of the store, the old ones are not
/// answered any more.
void RestartWatches(State& state);

/// Reads the cancellation records if the copy of the records is stale and tasks may start.
void UpdateCancelReads(State& state, Effects& effects);
void HandleCancelsRead(State& state, Effects& effects, const StoreReply& reply);

/// Returns whether the known cancellations are recent enough to start tasks now.
bool CancelsAreCurrent(const State& state);

/// Applies a record from any source to the replica. Older revisions than the known one are ignored.
void ApplyRecord(State& state, Effects& effects, const StoreItem& item);

/// Applies the cancellation of a job: cancels the job and its borrowed tasks in all owned cells.
void ApplyCancellation(State& state, Effects& effects, const JobId& id);

// Lease, entries, cells

void UpdateLease(State& state, Effects& effects);
void HandleLeaseGranted(State& state, Effects& effects, const StoreReply& reply);
void HandleLeaseRenewed(State& state, Effects& effects, const StoreReply& reply);
void HandleEntryRegistered(State& state, Effects& effects, const EntryRegistered& registered,
                           const StoreReply& reply);
/// Handles the unexpected removal of this entry's own record.
void HandleEntryRecordRemoved(State& state, Effects& effects);

/// Returns whether this entry handles the store's replies too late to start tasks.
bool IsSlow(const State& state);

/// Returns whether this entry's lease at the store is certainly still valid.
bool HoldsLease(const State& state);

/// Returns the data centre of a cell, which is the first part of the cell's name.
std::string_view DataCentreOf(const CellId& cell);

/// Returns all cells of the layout.
std::set<CellId> AllCells(const State& state);

/// Assigns racks to cells, claims cells without an owner, and hands over cells that another entry
/// should own.
void UpdateCells(State& state, Effects& effects);
void HandleCellClaimed(State& state, Effects& effects, const CellId& cell, const StoreReply& reply);
void HandleCellReleased(State& state, Effects& effects, const CellReleased& released,
                        const StoreReply& reply);

/// Assigns new racks to cells.
void ExtendLayout(State& state, Effects& effects);

/// Marks a claim of a cell, or the release of an unused grant, as answered.
void NoteClaimAnswered(State& state, const CellId& cell);

/// Handles the reply to the offer of a cell.
void ApplyTransferReply(State& state, Effects& effects, const CellId& cell, const StoreItem& item);

/// Makes this entry the owner of a cell. `grant` is the revision of the cell record that says so.
void AcquireCell(State& state, Effects& effects, const CellId& cell, KvRevision grant);

/// Stops acting as the owner of a cell and discards its state.
void DropCell(State& state, Effects& effects, const CellId& cell, std::string_view reason);

/// Takes over the jobs of owned cells as soon as all records needed for it are known.
void OpenCells(State& state, Effects& effects);
void HandleProgressListed(State& state, Effects& effects, const ProgressListed& listed,
                          const StoreReply& reply);

/// Discards the known progress of a job, because another entry may change it.
void ResetProgress(JobView& job);

/// Returns the cell if this entry owns it and has taken over its jobs, otherwise null.
OwnedCell* FindOpenCell(State& state, const CellId& cell);

/// Returns the peer address of a cell's owner, or nothing if the cell has no owner or this entry
/// owns it.
std::optional<Address> OwnerAddress(const State& state, const CellId& cell);

/// Sends a message that is never stored to a peer. Its key is the prefix and the name.
void PushMessage(Effects& effects, const Address& peer, std::string_view prefix,
                 std::string_view name, std::string value);

/// Sends a record to the owner of a cell, which would otherwise see it later or never.
void PushToOwner(State& state, Effects& effects, const CellId& cell, StoreItem item);

// Handover of worker leases between owners of a cell

/// Reads the handover record of a cell, in which former owners describe the leases of the workers.
/// It has to be known before any worker is added.
void ReadHandOver(State& state, Effects& effects, OwnedCell& cell);
void HandleHandOverRead(State& state, Effects& effects, const HandOverRead& read,
                        const StoreReply& reply);

/// Returns the time by which all leases that former owners granted to a worker have expired.
Millis InheritedExpiry(const OwnedCell& cell, const VmId& worker);

/// Returns whether tasks wait for leases that former owners granted to workers which have not
/// answered under the current grant.
bool AwaitsFormerLeases(const State& state, const OwnedCell& cell);

/// Shortens the waits for workers that have not answered under the current grant to what is known
/// about their leases now.
void ShortenWaits(const State& state, Effects& effects, OwnedCell& cell, std::string_view reason);

/// Finds out whether a former owner has stopped renewing leases, and records which leases this
/// owner renews.
void UpdateHandOver(State& state, Effects& effects, OwnedCell& cell);
void HandleHandOverWritten(State& state, Effects& effects, const HandOverWritten& written,
                           const StoreReply& reply);

/// Returns whether this owner's record may replace its predecessor's. The record of an owner that
/// is not open and reaches no worker would only hide the predecessor from the next owner.
bool ReplacesFormerRecord(const OwnedCell& cell);

/// Returns whether this owner's record names the worker as one whose leases it does not renew, or
/// may do so after a write of unknown outcome.
bool IsRecordedAsSilent(const OwnedCell& cell, const WorkerState& worker);

/// Returns whether this owner may renew the lease of a worker and start tasks there. It may only if
/// its handover record makes a successor wait for the expiry of that lease.
bool MayRenewLease(const OwnedCell& cell, const WorkerState& worker);

/// Returns the handover record that the owner writes when it releases the cell.
HandOverRecord RemainingLeases(const State& state, const OwnedCell& cell);

/// Keeps the lease expiries of a cell that this entry stops owning, to answer the next owner's
/// question.
void RememberFormerLeases(State& state, const OwnedCell& cell);

/// Tells the owner of a cell, unasked, which leases this entry left there. The owner's questions
/// may be on connections that a cut has silenced.
void ReportFormerLeases(State& state, Effects& effects, const CellId& cell);

void ApplyHandOverQuestion(State& state, Effects& effects, const CellId& cell,
                           const StoreItem& item);
void ApplyHandOverAnswer(State& state, Effects& effects, const CellId& cell, const StoreItem& item);

// Witnesses of outages of the store

/// Returns whether all witnesses that the cell's record may name have confirmed lately that they
/// miss the store.
bool IsOutageConfirmed(const State& state, const OwnedCell& cell);

/// Chooses this entry's witnesses, and asks them for confirmations while this entry misses the
/// store.
void UpdateWitnesses(State& state, Effects& effects);
void ApplyOutageQuestion(State& state, Effects& effects, const EntryId& witness,
                         const StoreItem& item);
void ApplyOutageConfirmation(State& state, Effects& effects, const EntryId& witness,
                             const StoreItem& item);

/// Asks the witnesses of a cell's former owner whether it may have renewed leases for long.
void AskForDenial(State& state, Effects& effects, OwnedCell& cell);
void HandleFormerLeaseEnded(State& state, Effects& effects, const FormerLeaseEnded& ended,
                            const StoreReply& reply);
void ApplyDenialQuestion(State& state, Effects& effects, const CellId& cell, const StoreItem& item);
void ApplyDenialAnswer(State& state, Effects& effects, const CellId& cell, const StoreItem& item);

// Jobs of owned cells

/// Adds a job to an owned, open cell. Does nothing if the job is already there.
void AddJob(State& state, Effects& effects, OwnedCell& cell, const JobId& id);

/// Marks a running task as to be stopped.
void SetStopping(WorkerState& worker, TaskState& task);

/// Stops the running tasks of a job and removes the waiting ones from the queue.
void StopJob(OwnedCell& cell, JobState& job);

/// Cancels a job.
void CancelJob(State& state, Effects& effects, OwnedCell& cell, JobState& job);

/// Returns the condition for a write that the store contains no cancellation of a job, or of its
/// parent job if the tasks are borrowed.
ExpectedRecord ExpectNotCancelled(const JobRecord& record);

/// Returns the phase of a job of an owned cell that may be reported to others. A terminal phase may
/// be reported only once it is recorded, because a successor might not know it.
JobPhase ReportablePhase(const OwnedCell& cell, const JobId& id, const JobView& view);

/// Marks a job as active because a worker, here or at a borrower, has started a run of it.
void MarkActive(OwnedCell& cell, JobState& job);

/// Schedules the job's progress to be recorded.
void MarkDirty(OwnedCell& cell, JobState& job);

TaskState* FindTask(OwnedCell& cell, const TaskRef& ref);
const StepSpec& SpecOf(const JobState& job, const TaskRef& ref);
/// Convert between a task's name at the workers and its reference within a cell. The job ID differs
/// for borrowed tasks.
TaskRef RefOf(const OwnedCell& cell, const TaskName& name);
TaskName NameOf(const JobState& job, const TaskRef& ref);

/// Returns whether a task belongs to the job; for a job of borrowed tasks, whether it is one of
/// them.
bool IsKnownTask(const JobState& job, const TaskRef& ref);

/// Returns when a job was accepted and when it should be done.
JobObjective JobObjectiveOf(const JobRecord& record);

/// Returns whether all tasks of a step are done.
inline bool IsDone(const StepState& step) {
  return static_cast<size_t>(step.done) == step.tasks.size();
}

/// Returns the state of a task of the job.
const TaskState& TaskOf(const JobState& job, const TaskRef& ref);

/// Returns whether a poll has listed the last run of a task as running.
inline bool WasListed(const TaskState& task) {
  return task.last_seen_running_at > Millis(0) && task.last_seen_running_at >= task.began;
}

/// Returns whether a waiting task is a long-running one, not a best-effort one, that has run
/// before.
bool IsInterrupted(const JobState& job, const TaskRef& ref);

/// Rank of interrupted tasks, the first one: of the waiting tasks of one priority, long-running
/// ones are placed first, and of these those that have run before, as somebody relies on them
/// already.
inline constexpr int32_t kInterruptedRank = 0;

/// Returns the sort key of a task among the waiting tasks.
WaitingKey WaitingKeyOf(const JobState& job, const TaskRef& ref);

/// Returns the waiting tasks of a job, long-running ones first.
std::vector<TaskRef> WaitingTasksOf(const OwnedCell& cell, const JobState& job);

/// Calls a function for each of them in this order, until it returns false. The function must not
/// change the waiting tasks.
void VisitWaitingTasks(const OwnedCell& cell, const JobState& job,
                       absl::FunctionRef<bool(const TaskRef&)> visit);

size_t CountWaitingTasks(const OwnedCell& cell, const JobState& job);

/// Adds a task to those that wait for a worker.
void SetWaiting(const State& state, OwnedCell& cell, JobState& job, const TaskRef& ref,
                TaskState& task);

/// Removes a job from the cell and its tasks from the workers.
void RemoveJob(const State& state, OwnedCell& cell, const JobId& id);

/// Binds a waiting task to a worker.
void BindTask(State& state, OwnedCell& cell, JobState& job, const TaskRef& ref,
              WorkerState& worker);

/// Adds a task's need to the resources reserved at a worker, or subtracts it if `sign` is -1.
void AdjustReservedResources(WorkerState& worker, const StepSpec& spec, int64_t sign);

/// Removes a task from its worker. The caller sets the task's next phase.
void UnbindTask(State& state, OwnedCell& cell, JobState& job, const TaskRef& ref);

/// Puts a task back into the queue for its next run.
void RequeueTask(State& state, OwnedCell& cell, JobState& job, const TaskRef& ref,
                 Millis not_before);

/// Handles the reported end of the current run of a task.
void HandleRunEnd(State& state, Effects& effects, OwnedCell& cell, const TaskRef& ref, RunEnd end,
                  const std::string& checkpoint);

/// Applies the end of a run that was treated as lost, unless a later run of its task may have
/// begun. Returns whether that changed the job.
bool HandleEndOfLostRun(State& state, Effects& effects, OwnedCell& cell, const TaskRef& ref,
                        const EndedTask& row);

/// Logs and counts the end of a run whose result is unknown.
void RecordLostRun(const State& state, Effects& effects, const TaskRef& ref, Run run,
                   const VmId& worker, LossReason reason);

/// Handles the end of the current run of a task whose result is unknown.
void HandleLostRun(State& state, Effects& effects, OwnedCell& cell, const TaskRef& ref,
                   LossReason reason);

/// Queues the tasks of steps whose preceding steps have ended, and of occurrences that are due.
void UnblockTasks(State& state, OwnedCell& cell, JobState& job);

/// Ends a job whose tasks have all ended, and removes a job whose end is recorded.
void FinalizeJobIfDone(State& state, Effects& effects, OwnedCell& cell, const JobId& id);

/// Starts due occurrences of scheduled jobs, polls borrowers, and repeats failed writes of moves
/// and loans.
void UpdateJobs(State& state, Effects& effects, OwnedCell& cell);
void HandleJobMoved(State& state, Effects& effects, const JobMoved& moved, const StoreReply& reply);

/// Repeats the write of a job's move if it has failed.
void RetryMove(State& state, Effects& effects, OwnedCell& cell, JobState& job);

/// Moves a job that finds no capacity here and has no bound task to a cell with capacity.
void TryMoveJob(State& state, Effects& effects, OwnedCell& cell, JobState& job);

// Lending of tasks to other cells

/// Repeats the write of a job's loan if it has failed.
void RetryLoan(State& state, Effects& effects, OwnedCell& cell, JobState& job);

/// Lends tasks that find no capacity here to a cell with capacity.
void TryLendTasks(State& state, Effects& effects, OwnedCell& cell, JobState& job);
/// Lets a job search for capacity for its waiting tasks at once.
void SearchWithoutDelay(const State& state, JobState& job);
void HandleTasksLent(State& state, Effects& effects, const TasksLent& lent,
                     const StoreReply& reply);

/// Returns the jobs in other cells that run the lent tasks of a job.
std::set<JobId> BorrowedJobs(const JobState& job);

/// Sends the cancellation of a job to the owners of the cells that run its lent tasks.
void NotifyBorrowers(State& state, Effects& effects, const JobState& job);

/// Polls the owners of the cells that run lent tasks for the phase, because a message about the end
/// may have been lost.
void PollBorrowers(State& state, Effects& effects, JobState& job);

/// Applies the phase of a job that runs lent tasks of `parent`.
void ApplyBorrowedJobPhase(State& state, Effects& effects, const JobId& parent,
                           const JobId& borrowed_job, JobPhase phase);

/// Applies the end of a job that ran lent tasks of `parent`.
void ApplyBorrowedJobEnd(State& state, Effects& effects, const JobId& parent,
                         const JobId& borrowed_job, JobPhase phase);

/// Removes the records of jobs whose retention time is over.
void RemoveEndedJobs(State& state, Effects& effects);

// Writes of progress

/// Returns the progress record of a job.
ProgressRecord ProgressOf(const State& state, const JobState& job);

/// Updates a job after the store has recorded a version of it.
void MarkRecorded(State& state, Effects& effects, OwnedCell& cell, JobState& job, uint64_t version,
                  KvRevision revision);

void WriteProgress(State& state, Effects& effects, OwnedCell& cell);
void HandleProgressWritten(State& state, Effects& effects, const ProgressWritten& written,
                           const StoreReply& reply);

/// Returns an owned cell, or null if this entry no longer owns it under the given grant.
OwnedCell* FindCell(State& state, const CellId& cell, KvRevision grant);

// Workers

/// Adds, updates and unlists the workers of owned cells according to the registry.
void ApplyRegistry(State& state, Effects& effects);
void ApplyRegistryItem(State& state, const StoreItem& item);
void HandleWorkerRead(State& state, Effects& effects, const WorkerRead& read,
                      const StoreReply& reply);
void UpdateWorkers(State& state, Effects& effects, OwnedCell& cell);
void HandleWorkerAnswered(State& state, Effects& effects, const WorkerAnswered& answer);

/// Logs that this entry stops owning a cell, and how long the leases of its workers still run: the
/// time within which the next owner has to renew them.
void LogCellGivenUp(const State& state, Effects& effects, const OwnedCell& cell,
                    std::string_view reason);

/// Logs the workers with tasks that do not answer, as their tasks wait for their leases to expire.
void LogPendingLeaseWaits(const State& state, Effects& effects, const OwnedCell& cell);

/// Returns a worker that the registry or a binding names, and adds it if necessary.
WorkerState& FindOrAddWorker(OwnedCell& cell, const VmId& id);

/// Returns whether a run that was bound to one incarnation of a worker, 0 if that was unknown,
/// can't be on a later one.
inline bool WasBoundBefore(int64_t bound_to, int64_t incarnation) {
  return bound_to != 0 && bound_to < incarnation;
}

// Placement and load

/// Returns the service whose workers run a job now: the last one to which a configuration sent its
/// queue, or the recorded one if this entry has seen no configuration with the queue.
const std::string& ServiceOf(const State& state, const JobRecord& record);

/// Returns the best worker for a task, or null if none has capacity.
WorkerState* ChooseWorker(const State& state, OwnedCell& cell, const TaskRef& ref);

/// Stops long-running tasks on draining workers, as far as other workers have capacity for them.
void EvacuateDraining(State& state, Effects& effects, OwnedCell& cell);

/// Returns the processors that tasks which reserve them can still get on a worker, in thousandths
/// of a core.
int64_t FreeMillicores(const WorkerState& worker);

/// Returns the free capacity for best-effort tasks, in thousandths of a core: what the other tasks
/// are expected to leave unused.
int64_t FreeBestEffort(const WorkerState& worker);

/// Counts the tasks of each worker whose start was not sent yet. A worker with many of them gets no
/// more tasks of large steps.
void CountUnstartedTasks(OwnedCell& cell);

/// Binds waiting tasks to workers with capacity.
void PlaceTasks(State& state, Effects& effects, OwnedCell& cell);

/// Counts the pending jobs of a cell among those recorded up to a revision.
PendingJobs CountCellPendingJobs(const State& state, const OwnedCell& cell, KvRevision up_to);

/// Computes the load report of a cell: its free capacity and the demand that waits there.
LoadRecord CountLoad(const State& state, const OwnedCell& cell);

// Choice of cells

/// Demand of tasks on a cell, in thousandths of a core.
struct Demand {
  int64_t reserved = 0;
  int64_t best_effort = 0;
  /// Need of the largest task with reserved resources.
  int64_t largest = 0;
  bool is_long_running = false;
  /// Image of the long-running or best-effort tasks among them.
  std::string image;
};

/// Adds the demand of a number of tasks of a step.
void AddDemand(Demand& demand, const StepSpec& spec, int64_t tasks);

/// Returns the demand of a job's first steps.
Demand InitialDemand(const JobSpec& spec);

/// Returns the free capacity of a cell for best-effort tasks of an image, after subtracting the
/// demand that waits there and the demand sent there since its last load report.
int64_t BestEffortRoom(const State& state, std::string_view service, const ServiceRooms& rooms,
                       size_t row, const std::string& image);

/// Counts demand that was sent to a cell, until the cell's next load report.
void AddSentDemand(State& state, const CellId& cell, const Demand& demand);

/// Chooses the cell for a new job, or nothing if there is no cell.
std::optional<CellId> ChooseCell(const State& state, const std::string& service,
                                 const JobSpec& spec);

/// Chooses another cell with capacity for the given demand of a job, or nothing.
std::optional<CellId> ChooseOtherCell(const State& state, const CellId& except,
                                      const JobRecord& record, const Demand& demand);

/// Chooses another cell to ask for capacity for a number of waiting tasks of a step, one that
/// reports room for as many of them as possible. Returns nothing if no cell reports room for one.
std::optional<CellId> ChooseCellForTasks(const State& state, const CellId& except,
                                         const JobState& job, const StepSpec& spec, int64_t tasks);

/// Chooses another cell that can keep a worker for a long-running task of a step, as it reports
/// that the task fits once short tasks have ended.
std::optional<CellId> ChooseCellToKeepWorker(const State& state, const CellId& except,
                                             const JobState& job, const StepSpec& spec);

/// Chooses another cell at random that has workers of the job's service, whatever it reports.
std::optional<CellId> ChooseAnyOtherCell(const State& state, const CellId& except,
                                         const JobState& job, const StepSpec& spec);

/// Returns whether the owner of a cell may be asked for capacity for tasks of a step.
bool MayAsk(const State& state, const JobState& job, const StepSpec& spec, const CellId& cell);

/// Returns the requirements of the best-effort tasks of a step.
BestEffortNeeds NeedsOf(const State& state, const JobRecord& record, const StepSpec& spec);

/// Evaluates the tail latencies and processor uses from a poll, and sets the speed limits of
/// best-effort tasks on the worker.
void UpdateSpeeds(State& state, OwnedCell& cell, WorkerState& worker);

/// Logs the long-running tasks of a worker that have been over their targets for long beside
/// best-effort tasks, with what this entry knows and has ordered there, and those that no longer
/// are. Called for each reply with measurements and each failed poll.
void LogTasksOverTarget(const State& state, Effects& effects, OwnedCell& cell, WorkerState& worker);

/// Returns how much more stress the most stressed long-running task of a worker can take after
/// best-effort work of an image with the given processor use is added. Negative if that is too
/// much.
double StressHeadroomWith(const State& state, OwnedCell& cell, WorkerState& worker,
                          const std::string& image, int64_t millicores);

// Shared learning of interference

/// Returns whether this entry is the coordinator, which writes the records that concern all
/// entries: the live entry with the lowest name.
bool IsCoordinator(const State& state);

/// Sends local measurements to the coordinator or, as the coordinator, writes the merged estimates.
void UpdateLearning(State& state, Effects& effects);
void ApplyEvidence(State& state, Effects& effects, const EntryId& entry, const StoreItem& item);
void ApplyLearned(State& state, Effects& effects, const StoreItem& item);
void HandleLearnedWritten(State& state, Effects& effects, const StoreReply& reply);

// Callers and peers

void HandleCallerRequest(State& state, Effects& effects, const CallerRequested& asked);
/// Handle the reply to a call of a submission or cancellation. A reply to a call of an earlier
/// submission or cancellation of the same job is ignored.
/// @{
void HandleSubmitWritten(State& state, Effects& effects, const JobId& job, RequestId request,
                         const StoreReply& reply);
void HandleCancelAnswered(State& state, Effects& effects, const JobId& job, RequestId request,
                          const StoreReply& reply);
/// @}
void HandleJobRead(State& state, Effects& effects, const JobRead& read, const StoreReply& reply);
void HandlePhaseRead(State& state, Effects& effects, const PhaseRead& read,
                     const StoreReply& reply);
void HandlePeerQuery(State& state, Effects& effects, const PeerQueried& asked);
void HandlePeerAnswered(State& state, Effects& effects, const PeerAnswered& answered);
void UpdateCalls(State& state, Effects& effects);

/// Returns whether a caller waits for the outcome of a cancellation.
bool HasUnansweredCancels(const State& state);

/// Updates whether the entry accepts new connections, and whether it may exit.
void UpdateReadiness(State& state, Effects& effects);

}  // namespace currantpost::scheduler
