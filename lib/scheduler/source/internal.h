#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "currantpost/policy/job_urgency.h"
#include "currantpost/scheduler/effects.h"
#include "currantpost/scheduler/state.h"

/// What the files of the scheduler share.

namespace currantpost::scheduler {

// ---- Times
// -----------------------------------------------------------------------------------------

/// Time to live of an entry's lease at the store. Its cells change hands about so long after it
/// dies; three lost renewals must fit in it.
inline constexpr Millis kStoreLeaseTtl = Millis(2'500);
/// Renewals of that lease; three within its time to live.
inline constexpr Millis kStoreLeaseRenewalInterval = Millis(800);
/// Lease that workers get. Longer than a takeover (`kStoreLease`, a claim and a look), so that
/// tasks live on through it; short, as a cut off worker's tasks wait for its end.
inline constexpr Millis kWorkerLeaseTtl = Millis(4'800);
/// How long an owner goes on renewing workers' leases after the store last confirmed its own. Keeps
/// tasks alive through outages of the store; adds to the wait of a successor that does not reach a
/// worker.
inline constexpr Millis kStoreOutageRenewalPeriod = Millis(8'000);
/// Workers' clocks may be slow by this share: 2 %.
inline constexpr int64_t kClockDriftPercent = 2;
/// Added to every span after which a lease counts as lapsed: rounding and one round trip.
inline constexpr Millis kLeaseExpiryMargin = Millis(150);
/// Returns how long a lease of a span by a worker's clock may run by this entry's.
inline Millis MaxLeaseDuration(Millis span) {
  return span + span * kClockDriftPercent / 100 + kLeaseExpiryMargin;
}

/// Bound on a call to the store. Answers take 4 ms, and about 250 ms when the store is slow.
inline constexpr Millis kStoreTimeout = Millis(1'500);
/// Wait before a failed call to the store is repeated.
inline constexpr Millis kStoreRetryDelay = Millis(200);
/// Looks in a row without an answer after which a worker counts as silent.
inline constexpr int32_t kFailedPollsUntilUnresponsive = 2;
/// Bound on an order to a worker; answered in a few milliseconds unless it is lost.
inline constexpr Millis kOrderTimeout = Millis(800);

/// Appends a log line.
void Log(Effects& effects, Severity severity, std::string message, std::vector<LogField> fields);

/// Returns a number that no call of this process has had.
RequestId NextRequest(State& state);

/// Asks to be called again at a time at the latest.
void WakeAt(State& state, Millis at);

/// Calls the store and remembers what for.
template <typename Purpose, typename Body>
RequestId CallStore(State& state, Effects& effects, Purpose purpose, Body body,
                    Millis timeout = kStoreTimeout) {
  const RequestId request = NextRequest(state);
  state.store_calls[request] = StoreCallInFlight{std::move(purpose), state.now};
  effects.emplace_back(StoreCall{request, std::move(body), timeout});
  return request;
}

// ---- Keys
// ------------------------------------------------------------------------------------------

std::string EntryKey(const EntryId& entry);
std::string CellKey(const CellId& cell);
std::string LoadKey(const CellId& cell);
std::string JobKey(const JobId& job);
std::string ProgressKey(const CellId& cell, const JobId& job);
std::string CancelKey(const JobId& job);
std::string HandOverKey(const CellId& cell);

// ---- Feeds and view
// --------------------------------------------------------------------------------

/// Logs a record that can not be read.
void LogUnreadable(Effects& effects, const StoreItem& item, const Error& error);

/// Lists and watches what this entry needs.
void UpdateFeeds(State& state, Effects& effects);
void HandleFeedReply(State& state, Effects& effects, const FeedCalled& purpose,
                     const StoreReply& reply);

/// Returns how old this entry's copy of the records is, for the log.
std::string RecordsAgeText(const State& state);

/// Logs that an owner's copy of the records has become old, or recent again.
void LogRecordsStaleness(State& state, Effects& effects);

/// Notes the revision that the store told in answer to a call other than a watch.
void RecordStoreRevision(State& state, Millis sent_at, KvRevision revision);

/// Watches anew where a watch is under way: the store was away, and what was asked before is not
/// answered any more.
void RestartWatches(State& state);

/// Reads which jobs are cancelled where the copy of the records is late and tasks may start.
void UpdateCancelReads(State& state, Effects& effects);
void HandleCancelsRead(State& state, Effects& effects, const StoreReply& reply);

/// Says whether this entry knows of all cancels that forbid a start now.
bool CancelsAreCurrent(const State& state);

/// Takes in a record, from whatever source. Older news than what is known is passed over.
void ApplyRecord(State& state, Effects& effects, const StoreItem& item);

/// Takes in that a job was cancelled, and cancels it and what was lent of it in all owned cells.
void ApplyCancellation(State& state, Effects& effects, const JobId& id);

// ---- Lease, entries, cells
// ---------------------------------------------------------------------------

void UpdateLease(State& state, Effects& effects);
void HandleLeaseGranted(State& state, Effects& effects, const StoreReply& reply);
void HandleLeaseRenewed(State& state, Effects& effects, const StoreReply& reply);
void HandleEntryRegistered(State& state, Effects& effects, const StoreReply& reply);
/// Takes in that the entry's own record is gone though nobody asked for it.
void HandleEntryRecordRemoved(State& state, Effects& effects);

/// Says whether the store surely still keeps this entry's lease.
bool HoldsLease(const State& state);

/// Returns the data centre that a cell's name begins with.
std::string_view DataCentreOf(const CellId& cell);

/// Returns all cells of the layout.
std::set<CellId> AllCells(const State& state);

/// Puts racks into cells, and claims cells without an owner.
void UpdateCells(State& state, Effects& effects);
void HandleCellClaimed(State& state, Effects& effects, const CellId& cell, const StoreReply& reply);
void HandleCellReleased(State& state, Effects& effects, const CellReleased& released,
                        const StoreReply& reply);

/// Becomes the owner of a cell by the grant of a revision.
void AcquireCell(State& state, Effects& effects, const CellId& cell, KvRevision grant);

/// Stops ordering in a cell.
void DropCell(State& state, Effects& effects, const CellId& cell, std::string_view reason);

/// Takes jobs over in cells whose records are known well enough.
void OpenCells(State& state, Effects& effects);
void HandleProgressListed(State& state, Effects& effects, const ProgressListed& listed,
                          const StoreReply& reply);

/// Forgets what is known of the progress of a job, as it may change elsewhere.
void ResetProgress(JobView& job);

/// Returns the cell if this entry owns it and has taken its jobs over, or null.
OwnedCell* FindOpenCell(State& state, const CellId& cell);

/// Returns where the owner of a cell is reached, or nothing if that is this entry or nobody.
std::optional<Address> OwnerAddress(const State& state, const CellId& cell);

/// Passes a record on to the owner of a cell, who would learn of it later or never.
void PushToOwner(State& state, Effects& effects, const CellId& cell, StoreItem item);

// ---- What passes between owners of a cell
// --------------------------------------------------------

/// Reads what former owners left of the leases of a cell's workers. Has to be known before any
/// worker is added.
void ReadHandOver(State& state, Effects& effects, OwnedCell& cell);
void HandleHandOverRead(State& state, Effects& effects, const HandOverRead& read,
                        const StoreReply& reply);

/// Returns when leases that former owners granted to a worker have surely lapsed.
Millis InheritedExpiry(const OwnedCell& cell, const VmId& worker);

/// Looks for proof that a former owner renews no more, and records which leases this owner renews.
void UpdateHandOver(State& state, Effects& effects, OwnedCell& cell);
void HandleHandOverWritten(State& state, Effects& effects, const HandOverWritten& written,
                           const StoreReply& reply);

/// Says whether this owner may renew the lease of a worker, or start anything there: a successor
/// that reads the record has to wait for it.
bool MayRenewLease(const OwnedCell& cell, const WorkerState& worker);

/// Returns what the owner leaves to the next one as it gives the cell up.
HandOverRecord RemainingLeases(const State& state, const OwnedCell& cell);

/// Remembers the leases of a cell that is lost, to answer its next owner.
void RememberFormerLeases(State& state, const OwnedCell& cell);

void ApplyHandOverQuestion(State& state, Effects& effects, const CellId& cell,
                           const StoreItem& item);
void ApplyHandOverAnswer(State& state, Effects& effects, const CellId& cell, const StoreItem& item);

// ---- Jobs of owned cells
// -------------------------------------------------------------------------------

/// Takes in a job of an owned, open cell. A known job is left as it is.
void AddJob(State& state, Effects& effects, OwnedCell& cell, const JobId& id);

/// Decides that a task which runs is to be stopped.
void SetStopping(WorkerState& worker, TaskState& task);

/// Stops whatever runs of a job and drops what waits.
void StopJob(OwnedCell& cell, JobState& job);

/// Cancels a job.
void CancelJob(State& state, Effects& effects, OwnedCell& cell, JobState& job);

/// Returns the expectation that the store knows of no cancelling of a job, or of the job that its
/// tasks are lent from.
ExpectedRecord ExpectNotCancelled(const JobRecord& record);

/// Returns the phase of a job of an owned cell that may be shown: a terminal phase only once it is
/// recorded, as a successor might not know it.
JobPhase ReportablePhase(const OwnedCell& cell, const JobId& id, const JobView& view);

/// Notes that a worker has begun a run of a job, here or where tasks of it were lent to.
void MarkActive(OwnedCell& cell, JobState& job);

/// Makes the job's progress due to be recorded.
void MarkDirty(OwnedCell& cell, JobState& job);

TaskState* FindTask(OwnedCell& cell, const TaskRef& ref);
const StepSpec& SpecOf(const JobState& job, const TaskRef& ref);
/// Translates between a task's name at the workers and its place in a cell. They differ for tasks
/// that another cell has lent.
TaskRef RefOf(const OwnedCell& cell, const TaskName& name);
TaskName NameOf(const JobState& job, const TaskRef& ref);

/// Says whether a task is one of the job's own, or of those lent to it.
bool IsKnownTask(const JobState& job, const TaskRef& ref);

/// Returns when a job came and when it should be done.
JobObjective JobObjectiveOf(const JobRecord& record);

/// Returns the key under which a task waits.
WaitingKey WaitingKeyOf(const JobState& job, const TaskRef& ref);

/// Returns the waiting tasks of a job, lasting ones first.
std::vector<TaskRef> WaitingTasksOf(const OwnedCell& cell, const JobState& job);

/// Makes a task wait for a worker.
void SetWaiting(OwnedCell& cell, JobState& job, const TaskRef& ref, TaskState& task);

/// Forgets a job, and takes its tasks off the workers here.
void RemoveJob(OwnedCell& cell, const JobId& id);

/// Binds a waiting task to a worker.
void BindTask(State& state, OwnedCell& cell, JobState& job, const TaskRef& ref,
              WorkerState& worker);

/// Adds a task's need to what a worker holds, or takes it off with a sign of -1.
void AdjustReservedResources(WorkerState& worker, const StepSpec& spec, int64_t sign);

/// Takes a task off its worker, without deciding what becomes of it.
void UnbindTask(State& state, OwnedCell& cell, JobState& job, const TaskRef& ref);

/// Makes a task wait for its next run.
void RequeueTask(State& state, OwnedCell& cell, JobState& job, const TaskRef& ref,
                 Millis not_before);

/// Takes in how the present run of a task ended.
void HandleRunEnd(State& state, Effects& effects, OwnedCell& cell, const TaskRef& ref, RunEnd end,
                  const std::string& checkpoint);

/// Takes in that the present run of a task is over and nobody knows how.
void HandleLostRun(State& state, Effects& effects, OwnedCell& cell, const TaskRef& ref,
                   std::string_view reason);

/// Makes tasks of steps wait whose steps before have ended, and occurrences whose time has come.
void UnblockTasks(State& state, OwnedCell& cell, JobState& job);

/// Looks whether a job has ended, and drops jobs whose end is recorded.
void FinalizeJobIfDone(State& state, Effects& effects, OwnedCell& cell, const JobId& id);

/// Times of scheduled work, and moves of jobs that wait.
void UpdateJobs(State& state, Effects& effects, OwnedCell& cell);
void HandleJobMoved(State& state, Effects& effects, const JobMoved& moved, const StoreReply& reply);

/// Moves a job that finds no room, and of which nothing runs, to a cell that has it.
void TryMoveJob(State& state, Effects& effects, OwnedCell& cell, JobState& job);

// ---- Lending
// ------------------------------------------------------------------------------------------

/// Lends tasks that find no room to a cell that has it.
void TryLendTasks(State& state, Effects& effects, OwnedCell& cell, JobState& job);
void HandleTasksLent(State& state, Effects& effects, const TasksLent& lent,
                     const StoreReply& reply);

/// Returns the jobs that run tasks which a job has lent.
std::set<JobId> BorrowedJobs(const JobState& job);

/// Tells those who run lent tasks that their job was cancelled.
void NotifyBorrowers(State& state, Effects& effects, const JobState& job);

/// Asks those who run lent tasks how far they are, as word of their end may have been lost.
void PollBorrowers(State& state, Effects& effects, JobState& job);

/// Takes in how far a job is that runs lent tasks.
void ApplyBorrowedJobPhase(State& state, Effects& effects, const JobId& parent,
                           const JobId& borrowed_job, JobPhase phase);

/// Takes in that the job which ran lent tasks has ended.
void ApplyBorrowedJobEnd(State& state, Effects& effects, const JobId& parent,
                         const JobId& borrowed_job, JobPhase phase);

/// Removes the records of jobs that ended long ago.
void RemoveEndedJobs(State& state, Effects& effects);

// ---- Progress writes
// --------------------------------------------------------------------------------

/// Returns what is to be recorded of a job.
ProgressRecord ProgressOf(const JobState& job);

/// Takes in that the store has a version of a job.
void MarkRecorded(State& state, Effects& effects, OwnedCell& cell, JobState& job, uint64_t version,
                  KvRevision revision);

void WriteProgress(State& state, Effects& effects, OwnedCell& cell);
void HandleProgressWritten(State& state, Effects& effects, const ProgressWritten& written,
                           const StoreReply& reply);

/// Returns the owned cell of a grant, or null if this entry does not own it by that grant any more.
OwnedCell* FindCell(State& state, const CellId& cell, KvRevision grant);

// ---- Workers
// ------------------------------------------------------------------------------------------

/// Brings the workers of owned cells in line with the registry.
void ApplyRegistry(State& state, Effects& effects);
void ApplyRegistryItem(State& state, const StoreItem& item);
void UpdateWorkers(State& state, Effects& effects, OwnedCell& cell);
void HandleWorkerAnswered(State& state, Effects& effects, const WorkerAnswered& answer);

/// Logs for which workers that hold tasks and don't answer this entry still waits.
void LogPendingLeaseWaits(const State& state, Effects& effects, const OwnedCell& cell);

/// Adds a worker that the registry or a binding names.
WorkerState& FindOrAddWorker(OwnedCell& cell, const VmId& id);

// ---- Placement and load
// ------------------------------------------------------------------------------

/// Returns the worker that suits a task best, or null if none has room.
WorkerState* ChooseWorker(const State& state, OwnedCell& cell, const TaskRef& ref);

/// Stops lasting tasks on workers that drain, as far as there is room for them elsewhere.
void EvacuateDraining(State& state, Effects& effects, OwnedCell& cell);

/// Gives waiting tasks to workers with room.
void PlaceTasks(State& state, Effects& effects, OwnedCell& cell);

/// Counts the jobs of a cell that wait, of those recorded up to a revision.
PendingJobs CountCellPendingJobs(const State& state, const OwnedCell& cell, KvRevision up_to);

/// Counts the room of a cell, and what waits there.
LoadRecord CountLoad(const State& state, const OwnedCell& cell);

// ---- Choice of cells
// -----------------------------------------------------------------------------------

/// What tasks ask of a cell, in thousandths of a core.
struct Demand {
  int64_t reserved = 0;
  int64_t best_effort = 0;
  /// The largest of the tasks that hold what they ask for.
  int64_t largest = 0;
  bool long_running = false;
  /// Of the lasting or filling tasks among them.
  std::string image;
};

/// Room of a cell beside what waits there and what was sent there since its last report.
struct CellRoom {
  int64_t capacity = 0;
  /// Without regard to what waits.
  int64_t free = 0;
  int64_t free_after_waiting = 0;
  int64_t largest = 0;
  /// For filling work of the image that was asked for.
  int64_t best_effort = 0;
};

/// Adds so many tasks of a step.
void AddDemand(Demand& demand, const StepSpec& spec, int64_t tasks);

/// Returns what the first steps of a job ask for.
Demand InitialDemand(const JobSpec& spec);

/// Returns the room of a cell for a service, or nothing if its owner has not told.
std::optional<CellRoom> RoomOf(const State& state, const CellId& cell, const std::string& service,
                               const std::string& image);

/// Counts what was sent to a cell until that reports it itself.
void AddSentDemand(State& state, const CellId& cell, const Demand& demand);

/// Chooses the cell for a new job, or nothing if there is no cell.
std::optional<CellId> ChooseCell(const State& state, const std::string& service,
                                 const JobSpec& spec);

/// Chooses a cell with room for what a job asks for, or nothing.
std::optional<CellId> ChooseOtherCell(const State& state, const CellId& except,
                                      const JobRecord& record, const Demand& demand);

/// Takes in the tails and uses of a look, and decides how fast filling tasks may work there.
void UpdateSpeeds(State& state, OwnedCell& cell, WorkerState& worker);

/// Returns how much stress the most strained lasting task of a worker can still bear once filling
/// work of an image is added with a processor use in thousandths of a core. Below 0 it can not.
double StressHeadroomWith(const State& state, OwnedCell& cell, WorkerState& worker,
                          const std::string& image, int64_t millicores);

// ---- Learning together
// ---------------------------------------------------------------------------------

/// Says whether this entry is the one that keeps the records which all entries share: the first
/// live one by name.
bool IsCoordinator(const State& state);

/// Tells the keeper what was measured here, or writes what all entries learned.
void UpdateLearning(State& state, Effects& effects);
void ApplyEvidence(State& state, Effects& effects, const EntryId& entry, const StoreItem& item);
void ApplyLearned(State& state, Effects& effects, const StoreItem& item);
void HandleLearnedWritten(State& state, Effects& effects, const StoreReply& reply);

// ---- Callers and peers
// ---------------------------------------------------------------------------------

void HandleCallerRequest(State& state, Effects& effects, const CallerRequested& asked);
/// Take the answer to one call of a submission or cancellation; one to a call of an earlier one of
/// the same job says nothing of this.
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

/// Says whether a caller waits for the outcome of a cancellation.
bool HasUnansweredCancels(const State& state);

/// Says whether the entry takes new connections, and whether it may end.
void UpdateReadiness(State& state, Effects& effects);

}  // namespace currantpost::scheduler
