#pragma once

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/policy/interference_model.h"
#include "currantpost/scheduler/events.h"
#include "currantpost/scheduler/outage.h"
#include "currantpost/scheduler/records.h"
#include "currantpost/scheduler/reservation.h"
#include "currantpost/scheduler/routing.h"
#include "currantpost/scheduler/settings.h"
#include "currantpost/scheduler/store.h"
#include "currantpost/scheduler/worker.h"

namespace currantpost::scheduler {

// Local replica of the store's records

/// Replies that brought a copy of a feed up to date. For the log.
struct FeedBacklog {
  /// When the first of them was requested.
  Millis since;
  int32_t replies = 0;
  size_t items = 0;
  size_t bytes = 0;
};

/// Synchronization state of the local copy of a feed.
struct FeedState {
  /// The feed was listed completely, and all changes up to `revision` were applied since then.
  bool synced = false;
  KvRevision revision = 0;
  /// The list or watch in flight, 0 if there is none.
  RequestId request = 0;
  Millis next_at;
  /// Earliest time of the next request, also if a cell waits for the copy: the last one failed, or
  /// its reply took long to process.
  Millis not_before;
  /// When the last request was sent.
  Millis sent_at;
  /// The latest store revision known when the last request was sent, and when the call that
  /// reported it was sent.
  KvRevision least_revision = 0;
  Millis least_revision_at;
  /// Consecutive requests that timed out.
  int32_t timeouts = 0;
  /// The copy holds everything that the store held at this time. Empty until the feed was first
  /// listed completely.
  std::optional<Millis> known_at;
  /// When the first page of the list in flight was requested.
  Millis list_began_at;
  /// The last key of the previous page of the list in flight.
  std::string page_after;
  /// The revision from which the watch starts after the list.
  KvRevision listed_from = 0;
  /// The keys that the list in flight has returned so far.
  std::set<std::string> listed_keys;
  /// The replies since the copy was last complete.
  FeedBacklog backlog;
};

/// A store revision reported in a reply. An upper bound on the revision that the store had when
/// the call was sent.
struct RevisionMark {
  Millis sent_at;
  KvRevision revision = 0;
};

/// Reads only the cancellation records while the copy of all records is stale. These reads are
/// short, and no task of a cancelled job may start.
struct CancelReads {
  /// The read in flight, 0 if there is none.
  RequestId request = 0;
  /// The last key of the previous page.
  std::string page_after;
  /// When the first page was requested.
  Millis began_at;
  Millis next_at;
  /// All jobs that were cancelled up to this time are known.
  std::optional<Millis> known_at;
};

/// A live entry.
struct EntryView {
  EntryRecord record;
  KvRevision revision = 0;
  LeaseId lease = 0;
  /// When this incarnation of the entry was first seen here.
  Millis seen_at;
};

/// The current owner of a cell.
struct CellView {
  CellRecord record;
  KvRevision revision = 0;
};

/// The last load report of a cell's owner.
struct LoadView {
  LoadRecord record;
  KvRevision revision = 0;
};

/// A job as recorded in the store.
struct JobView {
  JobHead head;
  std::string value;
  KvRevision revision = 0;
  bool cancelled = false;
  KvRevision cancel_revision = 0;
  /// The following members are known only for jobs in owned cells.
  JobPhase phase = JobPhase::kQueued;
  std::string progress;
  KvRevision progress_revision = 0;
  /// The cell in which the progress was recorded. It can differ from the job's cell while the
  /// record of a move has not arrived yet.
  CellId progress_cell;
  /// When this entry first saw that the job had ended.
  std::optional<Millis> ended_at;
};

/// Local replica of the records that all entries share, and of the progress of jobs in owned cells.
struct View {
  std::map<EntryId, EntryView> entries;
  LayoutRecord layout;
  KvRevision layout_revision = 0;
  std::map<CellId, CellView> cells;
  std::map<CellId, LoadView> loads;
  /// The pending jobs that the owner of each cell last reported. Kept after the owner is gone.
  std::map<CellId, PendingJobs> waiting;
  std::map<JobId, JobView> jobs;
  /// Revisions at which records were removed, by key. Older updates that arrive late are ignored.
  std::map<std::string, KvRevision> removed;
};

// This entry's lease at the store

struct LeaseState {
  LeaseId lease = 0;
  /// The store keeps the lease at least until this time by this entry's clock.
  Millis valid_until;
  RequestId request = 0;
  Millis sent_at;
  Millis next_at;
  /// The entry's record was written under this lease.
  bool registered = false;
  Millis registered_at;
  /// Revision of the first such record.
  KvRevision registered_revision = 0;
  RequestId register_request = 0;
  Millis register_at;
  /// The entry's record as last sent.
  EntryRecord sent_record;
  /// Lease of the previous incarnation of this entry, which is to be revoked. 0 if there is none.
  LeaseId previous_lease = 0;
  /// The records were searched for such a lease, and its revocation was sent if there was one.
  bool previous_lease_checked = false;
  RequestId previous_lease_request = 0;
};

// Cells that this entry owns

/// State of a task.
enum class TaskPhase {
  /// Waits for preceding steps or for its scheduled time.
  kBlocked,
  /// Ready to start once a worker has capacity for it.
  kWaiting,
  /// A worker was chosen, but the binding is not recorded in the store yet.
  kBinding,
  /// The start order is still to be sent, or its outcome is unknown.
  kStarting,
  kRunning,
  /// It is to be stopped, and the worker has not listed the end of the run yet.
  kStopping,
  kDone,
  kFailed,
  /// Lent to another cell, which runs it.
  kLent,
};

inline constexpr EnumNames kTaskPhaseNames(std::to_array<EnumName<TaskPhase>>({
    {TaskPhase::kBlocked, "blocked"},
    {TaskPhase::kWaiting, "waiting"},
    {TaskPhase::kBinding, "binding"},
    {TaskPhase::kStarting, "starting"},
    {TaskPhase::kRunning, "running"},
    {TaskPhase::kStopping, "stopping"},
    {TaskPhase::kDone, "done"},
    {TaskPhase::kFailed, "failed"},
    {TaskPhase::kLent, "lent"},
}));

/// A former owner sent the task a speed limit that this owner does not know.
inline constexpr int32_t kUnknownSpeed = -1;

struct TaskState {
  TaskPhase phase = TaskPhase::kBlocked;
  /// The job is a borrowed one, and this task is not among the borrowed tasks. It counts as done.
  bool not_borrowed = false;
  Run run = 0;
  int32_t failures = 0;
  VmId worker;
  int64_t worker_incarnation = 0;
  /// The job that runs a lent task in another cell.
  JobId lent_to;
  std::string checkpoint;
  /// Earliest time of the next placement.
  Millis not_before;
  /// The start order was sent to the worker.
  bool start_sent = false;
  /// Value of `worker_event_sequence` when the start was last sent or answered. A poll that was
  /// sent later shows whether the task runs.
  uint64_t start_sequence = 0;
  /// First version of the job that contains the current binding.
  uint64_t bound_version = 0;
  /// Earliest time of the next stop order: one is in flight, or the last one was not carried out.
  Millis next_stop;
  /// The last worker on which it failed. Placement prefers others.
  VmId avoided_worker;
  /// Last value that the worker reported: tail latency in milliseconds for a long-running task,
  /// otherwise processor use in thousandths of a core.
  int64_t last_measurement = 0;
  /// When its last run started.
  Millis began;
  /// When a poll last listed it as running.
  Millis last_seen_running_at;
  /// A poll has listed the current run, in the incarnation `worker_incarnation`.
  bool listed = false;
  /// Stress of a long-running task, derived from its tail latency: 0 when unloaded, towards 1 as
  /// the tail latency grows without bound.
  std::optional<double> stress;
  /// Since when its tail latency has been above its target.
  std::optional<Millis> over_since;
  /// The part of `stress` that its own load causes.
  double own_stress = 0.0;
  /// Share of full speed, in percent, that was last sent to the worker.
  int32_t sent_speed_percent = 100;
  /// Share of full speed, in percent, that it is to have.
  int32_t target_speed_percent = 100;
};

struct StepState {
  std::vector<TaskState> tasks;
  int32_t done = 0;
};

struct OccurrenceState {
  std::vector<StepState> steps;
  bool due = false;
};

/// Identifies a task within one owned cell.
struct TaskRef {
  JobId job;
  int32_t occurrence = 0;
  int32_t step = 0;
  int32_t index = 0;

  auto operator<=>(const TaskRef&) const = default;
};

/// A job that this entry runs.
struct JobState {
  JobRecord record;
  std::vector<OccurrenceState> occurrences;
  JobPhase phase = JobPhase::kQueued;
  bool cancelled = false;
  /// A task has used up its attempts, so the job fails.
  bool attempts_exhausted = false;
  /// Increased with each change that has to be recorded.
  uint64_t version = 0;
  /// Earliest time of the next write of its progress.
  Millis next_record;
  /// The last version that is in the store.
  uint64_t recorded_version = 0;
  KvRevision progress_revision = 0;
  /// Values sent since that revision, with their versions. A write without an answer may have
  /// stored one of them.
  std::map<std::string, uint64_t> unconfirmed_values;
  /// The write that moves the job to another cell, until its outcome is known.
  struct PendingMove {
    CellId to;
    std::string value;
    RequestId request = 0;
    Millis retry_at;
  };
  std::optional<PendingMove> move;
  /// The write that lends tasks to another cell, until its outcome is known.
  struct PendingLoan {
    CellId to;
    JobId borrowed_job;
    std::string borrowed_job_value;
    std::string progress_value;
    uint64_t version = 0;
    RequestId request = 0;
    Millis retry_at;
  };
  std::optional<PendingLoan> loan;
  /// A request for capacity in another cell whose reply has not arrived.
  struct PendingReservation {
    CellId to;
    Millis expires_at;
  };
  std::optional<PendingReservation> reservation;
  /// Consecutive such requests without a reply.
  int32_t unanswered_reservations = 0;
  /// Cells that had no capacity for its tasks, and until when they are not asked again.
  std::map<CellId, Millis> declined_until;
  /// Number of tasks lent to other cells.
  int32_t lent = 0;
  /// When to poll the borrowers next.
  Millis next_loan_poll;
  /// Number of tasks bound to a worker.
  int32_t bound = 0;
  /// Since when some task has been waiting for a worker with capacity.
  std::optional<Millis> waits_since;
  /// When this entry took the job over. For the log, as are the next three.
  Millis taken_over_at;
  /// When this entry saw the cancellation.
  std::optional<Millis> cancelled_at;
  /// When the first task was bound.
  std::optional<Millis> first_bound_at;
  /// The longest wait of a task for a worker.
  Millis longest_wait;
  /// Total time for which polls showed its best-effort tasks running.
  Millis best_effort_time;
  /// The part of `best_effort_time` that was lost to throttling.
  Millis throttled_time;
  /// The part of `best_effort_time` that was lost to processors that other tasks used.
  Millis starved_time;
};

/// A poll of a worker that is in flight.
struct PollInFlight {
  RequestId request = 0;
  FencingToken token = 0;
  Millis sent_at;
  /// Value of `worker_event_sequence` when it was sent.
  uint64_t sequence = 0;
  int64_t forget_up_to = 0;
  bool renews_lease = false;
};

/// End of a run that the worker keeps in its list until it is recorded in the store.
struct RetainedEnd {
  JobId job;
  uint64_t version = 0;
  bool recorded = false;
};

/// When the leases of former owners have expired at a worker.
struct InheritedBounds {
  /// For any run.
  Millis any;
  /// For a run that a poll has listed: no order that arrives late can have started it in another
  /// incarnation of the worker, with a longer lease. Not after `any`.
  Millis listed;

  bool operator==(const InheritedBounds&) const = default;
};

/// Latest expiry of the leases at a worker, by the owner that granted them. The runs of an
/// unresponsive worker have ended by then.
struct LeaseBounds {
  /// Of leases granted by this owner. Updated when an order that may renew the lease is sent.
  Millis own;
  /// Of leases granted by former owners of the cell. Not used once the worker has answered under
  /// the current grant.
  InheritedBounds inherited;

  [[nodiscard]] Millis Expiry() const { return std::max(own, inherited.any); }
  [[nodiscard]] Millis ListedExpiry() const { return std::max(own, inherited.listed); }
};

/// A worker of an owned cell.
struct WorkerState {
  WorkerAnnouncement info;
  /// The registry contains it.
  bool listed = false;
  /// The read of its registry entry in flight, 0 if there is none, and when it was sent.
  RequestId registration_request = 0;
  Millis registration_sent_at;
  /// When the last such read that was answered was sent.
  std::optional<Millis> registration_known_at;
  /// Low part of the fencing token. Increased to invalidate orders with an unknown outcome.
  int64_t fence = 1;
  /// It answered a poll that carried the current fence.
  bool confirmed = false;
  /// It answered at least once under the current grant.
  bool contacted = false;
  std::vector<PollInFlight> polls;
  Millis next_poll;
  /// Last reading of the worker's clock.
  std::optional<int64_t> clock_ms;
  /// When that reading was taken.
  Millis clock_at;
  LeaseBounds lease;
  /// The wait for the expiry of its leases was logged.
  bool wait_logged = false;
  Millis answered_at;
  int32_t failed_polls = 0;
  /// The order in flight: a start, a speed limit, or the stop of an orphaned run. 0 if there is
  /// none.
  RequestId order_request = 0;
  WorkerOrder order;
  /// Stop orders of tasks that are in flight.
  std::map<RequestId, StopTask> stops;
  /// Earliest time of the next order after a refusal.
  Millis next_order;
  /// Ends of runs that the worker lists, by number.
  std::map<int64_t, RetainedEnd> ends;
  int64_t forgotten = 0;
  std::set<TaskRef> tasks;
  /// Jobs that have runs bound to it according to the records, until the cell is opened and `tasks`
  /// names the runs.
  std::set<JobId> inherited_jobs;
  /// Lowest incarnation that such a run was bound to which no poll has listed. Its start may still
  /// reach a later incarnation.
  std::optional<int64_t> unlisted_incarnation;
  /// Number of its tasks by step, without those for which capacity is reserved.
  std::map<StepName, int32_t> tasks_by_step;
  /// Upper bound on the number of its tasks whose start was not sent at the last count, and those
  /// bound since.
  int32_t unstarted = 0;
  /// Some of the tasks may be in the phase `kStopping`.
  bool has_stopping_tasks = false;
  /// Something changed that may require a poll or an order. Otherwise the worker is skipped until
  /// `due_at`.
  bool needs_update = true;
  Millis due_at;
  /// Runs on the worker that are not the current run of any task of this cell. They are to be
  /// stopped.
  std::map<TaskName, Run> orphaned_runs;
  /// Resources reserved by its tasks. Best-effort tasks reserve no processors.
  Resources reserved;
  /// The part of the reserved processors that belongs to long-running tasks.
  int64_t long_running_millicores = 0;
  /// Processors that its best-effort tasks request.
  int64_t best_effort_millicores = 0;
  /// Estimated use of its long-running tasks, derived from their tail latencies, in thousandths of
  /// a core.
  int64_t long_running_use = 0;
  /// Number of tasks of other cells for which capacity is reserved.
  int32_t reservations = 0;
  /// No task is placed on it before this time, because the tasks that it starts fail.
  Millis quarantined_until;
  int32_t failures_in_row = 0;
  /// Processor use of best-effort tasks by image at the last update of the interference model, as
  /// shares of the worker's capacity.
  std::map<std::string, double> best_effort_use;
  /// When the interference model was last updated from this worker.
  Millis learned_at;
  /// Expected stress of the most stressed long-running task of each image when all best-effort
  /// tasks run at full speed. Empty if tasks or measurements have changed since it was computed.
  std::optional<std::map<std::string, double>> expected_stress;
};

/// A write of progress that is in flight.
struct ProgressWrite {
  RequestId request = 0;
  /// Versions of the jobs that it contains.
  std::map<JobId, uint64_t> versions;
  /// The load report that it contains.
  std::optional<LoadRecord> load;
};

/// Handover of the leases of a cell's workers between its successive owners.
struct HandOverState {
  /// The former owner's record was read.
  bool known = false;
  /// The read in flight, 0 if there is none.
  RequestId read_request = 0;
  /// When to read the record next.
  Millis read_at;
  /// Record of a former owner that may still renew leases. There is none if `owner` is empty.
  HandOverRecord former;
  Millis next_question;
  /// When the leases of former owners have expired at the workers that their record names.
  std::map<VmId, InheritedBounds> expiries;
  /// When the leases of former owners have expired at all other workers.
  InheritedBounds default_expiry;
  /// Addresses of workers that the former owner recorded.
  std::map<VmId, Address> addresses;
  /// A witness has proved that the former owner renews leases for a short time only after the end
  /// of its own lease at the store.
  bool denied = false;
  Millis next_denial_question;
  /// When the store had ended that lease at the latest. Empty if that is not known.
  std::optional<Millis> former_lease_ended_at;
  /// The call that ends it, 0 if none is in flight, and the earliest time of the next one.
  RequestId lease_end_request = 0;
  Millis lease_end_at;
  /// This owner's record is in the store. It renews no lease before that.
  bool written = false;
  /// Current revision of the record, which may be a former owner's.
  KvRevision revision = 0;
  /// The write in flight, 0 if there is none.
  RequestId write_request = 0;
  /// Earliest time of the next write.
  Millis write_at;
  /// When the record is rewritten even if it names the same workers.
  Millis refresh_at;
  /// The expiries of their leases as last written.
  std::map<VmId, Millis> recorded_expiries;
  /// Workers that the record names.
  std::set<VmId> recorded_workers;
  /// Workers that the record may name after a write of unknown outcome.
  std::set<VmId> maybe_recorded_workers;
  /// Workers named by the write in flight.
  std::set<VmId> pending_workers;
  /// Addresses of workers that the record contains, and those of the write in flight.
  /// @{
  std::map<VmId, Address> recorded_addresses;
  std::map<VmId, Address> pending_addresses;
  /// @}
  /// Witnesses that the record names, that it may name after a write of unknown outcome, and those
  /// named by the write in flight.
  /// @{
  std::map<EntryInstance, Address> recorded_witnesses;
  std::map<EntryInstance, Address> maybe_recorded_witnesses;
  std::map<EntryInstance, Address> pending_witnesses;
  /// @}
};

/// Expiries of the leases that this entry had granted in a cell when it stopped owning it.
struct FormerCell {
  std::map<VmId, InheritedBounds> expiries;
};

/// Capacity of a cell held for tasks of one step that another cell is about to pass on.
struct Reservation {
  StepSpec step;
  /// A worker for each task.
  std::vector<VmId> workers;
  Millis expires_at;
};

/// Demand sent to a cell since its last load report, in thousandths of a core.
struct SentDemand {
  int64_t reserved = 0;
  int64_t best_effort = 0;
  /// When demand was last added.
  Millis sent_at;
};

/// A pause that doubles each time it is extended.
struct DoublingPause {
  Millis until;
  int32_t extensions = 0;

  void Extend(Millis now, Millis first, int32_t max_doublings) {
    until = now + first * (int64_t{1} << std::min(extensions, max_doublings));
    ++extensions;
  }
};

/// Requirements of best-effort tasks. A cell accepts or declines tasks with equal ones alike.
struct BestEffortNeeds {
  std::string service;
  std::string worker_label;
  std::string image;
  int64_t millicores = 0;
  int64_t memory_mib = 0;
  int64_t accelerators = 0;

  auto operator<=>(const BestEffortNeeds&) const = default;
};

/// Sort key of waiting tasks: priority, long-running tasks first, target time of the job, task.
using WaitingKey = std::tuple<int32_t, int32_t, int64_t, TaskRef>;

/// What a cell needs before it can be opened.
enum class CellInput {
  kProgress,
  kHandOver,
  kRegistry,
  kRecords,
  /// Changes of the records up to the grant.
  kRecordsAtGrant,
};

inline constexpr EnumNames kCellInputNames(std::to_array<EnumName<CellInput>>({
    {CellInput::kProgress, "progress"},
    {CellInput::kHandOver, "handover_record"},
    {CellInput::kRegistry, "registry"},
    {CellInput::kRecords, "records"},
    {CellInput::kRecordsAtGrant, "records_at_grant"},
}));

/// The entry to which an owner has offered a cell.
struct Successor {
  EntryInstance instance;
  /// Its lease at the store, 0 until it has accepted the cell.
  LeaseId lease = 0;
  Millis asked_at;
  Millis accepted_at;
};

/// A cell that this entry owns.
struct OwnedCell {
  CellId cell;
  /// Revision of the cell record that granted the cell.
  KvRevision grant = 0;
  /// The progress that former owners recorded is known.
  bool progress_known = false;
  /// The read in flight, 0 if there is none.
  RequestId progress_request = 0;
  /// The last key of its previous page.
  std::string progress_after;
  /// When to read next.
  Millis progress_at;
  HandOverState hand_over;
  /// The input that was found missing last. For the log.
  std::optional<CellInput> last_missing;
  /// All records up to the grant are known, and the jobs were taken over.
  bool open = false;
  Millis opened_at;
  /// The workers with inherited runs are known and are polled. Empty before.
  std::optional<Millis> polled_since;
  /// A lease of a worker was renewed under the grant.
  bool has_renewed = false;
  std::map<VmId, WorkerState> workers;
  /// Highest fence of the workers that were dropped. A worker that returns may have seen it, so it
  /// gets a higher one.
  int64_t dropped_fence = 0;
  std::map<JobId, JobState> jobs;
  /// Highest revision of the job records that were taken over or added.
  KvRevision newest_job_revision = 0;
  /// Tasks borrowed from other cells, by the names under which the workers know them.
  std::map<TaskName, TaskRef> borrowed_tasks;
  std::set<WaitingKey> waiting;
  std::map<StepName, Reservation> reservations;
  /// Earliest time of the next request to a cell that reports no capacity.
  Millis next_probe;
  /// Earliest time of the next request for best-effort tasks.
  Millis next_best_effort_request;
  /// Some worker may need a poll or an order.
  bool worker_update_due = true;
  /// Earliest time of the next update of all jobs.
  Millis next_job_update;
  bool placement_due = false;
  /// Earliest time of the next placement, so that a burst of jobs is placed together.
  Millis next_placement;
  /// Jobs with progress that is not recorded yet.
  std::set<JobId> dirty;
  ProgressWrite write;
  Millis next_write;
  /// The last load report that is in the store.
  LoadRecord load;
  Millis next_load;
  Millis taken_over_at;
  bool releasing = false;
  std::optional<Successor> successor;
  /// Number of the last offer, number of entries asked since this entry stops, and earliest time of
  /// the next offer.
  /// @{
  int64_t last_offer = 0;
  size_t offers_at_stop = 0;
  Millis next_offer;
  /// @}
  RequestId release_request = 0;
  /// A release of the cell was sent and has an unknown outcome, so this entry may no longer be the
  /// owner: it renews no lease and writes no handover record.
  bool maybe_released = false;
  /// Earliest time of the next search for long-running tasks on draining workers.
  Millis next_evacuation;
};

/// Workers of racks that are not assigned to a cell yet.
struct NewRacks {
  size_t workers = 0;
  /// The registry or the layout may have changed since they were counted.
  bool recount = true;
  /// When the first of them appeared.
  Millis since;
  /// When their number last changed.
  Millis changed_at;
};

/// A cell without an owner.
struct OrphanedCell {
  Millis since;
  RequestId claim = 0;
  Millis retry_at;
};

/// When to evaluate again which entry should own which cell.
struct OwnershipRound {
  /// A record has changed since the last evaluation.
  bool records_changed = true;
  Millis due_at;
};

// Callers' requests

/// A submission whose write to the store is not completed.
struct PendingSubmit {
  std::vector<RequestId> calls;
  JobRecord record;
  std::string value;
  RequestId request = 0;
  Millis retry_at;
  Millis retry_deadline;
  bool maybe_applied = false;
};

/// A cancellation whose write to the store is not completed.
struct PendingCancel {
  std::vector<RequestId> calls;
  RequestId request = 0;
  bool reading = false;
  Millis retry_at;
  /// When the callers get the answer that the outcome is unknown.
  Millis answer_deadline;
  /// When the retries end.
  Millis retry_deadline;
};

/// A query about a job that was sent to a peer, for a caller or for the lender of tasks.
struct PendingPeerQuery {
  RequestId call = 0;
  JobId job;
  /// The job that the lent tasks belong to, empty for a caller's query.
  JobId lender;
};

/// Purposes of calls to the store.
/// @{
struct FeedCalled {
  Feed feed = Feed::kRecords;
  bool list = false;
};
struct LeaseGranted {};
struct LeaseRenewed {};
struct PreviousLeaseEnded {};
struct EntryRegistered {
  LeaseId lease = 0;
};
struct LayoutWritten {};
struct CellClaimed {
  CellId cell;
};
struct CellReleased {
  CellId cell;
  KvRevision grant = 0;
  /// The entry that the same write makes the owner.
  std::optional<Successor> successor;
};
struct ProgressListed {
  CellId cell;
  KvRevision grant = 0;
};
struct ProgressWritten {
  CellId cell;
  KvRevision grant = 0;
};
struct HandOverRead {
  CellId cell;
  KvRevision grant = 0;
};
struct HandOverWritten {
  CellId cell;
  KvRevision grant = 0;
};
struct FormerLeaseEnded {
  CellId cell;
  KvRevision grant = 0;
};
struct JobMoved {
  CellId from;
  KvRevision grant = 0;
  JobId job;
};
struct TasksLent {
  CellId from;
  KvRevision grant = 0;
  JobId job;
};
struct SubmitWritten {
  JobId job;
};
struct CancelAnswered {
  JobId job;
};
struct JobRead {
  RequestId call = 0;
  JobId job;
  /// The cell in which no progress of the job was found, if it was searched for.
  CellId unrecorded;
};
struct PhaseRead {
  RequestId call = 0;
  JobId job;
  CellId cell;
};
struct WorkerRead {
  CellId cell;
  KvRevision grant = 0;
  VmId worker;
};
struct EndedJobsRemoved {};
struct LearnedWritten {};
struct CancelsRead {};
using StorePurpose =
    std::variant<FeedCalled, LeaseGranted, LeaseRenewed, PreviousLeaseEnded, EntryRegistered,
                 LayoutWritten, CellClaimed, CellReleased, ProgressListed, ProgressWritten,
                 HandOverRead, HandOverWritten, FormerLeaseEnded, JobMoved, TasksLent,
                 SubmitWritten, CancelAnswered, JobRead, PhaseRead, WorkerRead, EndedJobsRemoved,
                 LearnedWritten, CancelsRead>;
/// @}

/// A call to the store that is in flight.
struct StoreCallInFlight {
  StorePurpose purpose;
  Millis sent_at;
};

/// A call to a worker that is in flight.
struct WorkerCallInFlight {
  CellId cell;
  VmId worker;
  bool poll = false;
};

/// The model learns from changes of stress, so the prior mean is close to 0. Measurements are
/// noisy, and the effect of one image on another changes within seconds.
inline InterferenceModelSettings InterferenceSettings() {
  InterferenceModelSettings settings;
  settings.prior_mean = 0.1;
  settings.prior_deviation = 0.5;
  settings.noise_deviation = 0.08;
  settings.drift_deviation = 0.003;
  settings.caution_deviations = 0.5;
  return settings;
}

/// Exchange of the learned interference estimates between entries.
struct LearningState {
  /// Revision of the record that was last adopted or written.
  KvRevision revision = 0;
  RequestId request = 0;
  Millis next_at;
  /// The coordinator has estimates that the record does not contain yet.
  bool changed = false;
};

struct State {
  Settings settings;
  Millis now;
  int64_t unix_ms = 0;
  RequestId last_request = 0;
  /// Sequence number of the orders sent to workers and the answers received from them.
  uint64_t worker_event_sequence = 0;
  /// When the scheduler is to be called again at the latest.
  Millis wake_at;

  std::map<Feed, FeedState> feeds;
  CancelReads cancel_reads;
  View view;
  std::shared_ptr<const Routing> routing;
  /// Revision of the latest configuration record that was read, whether or not it was usable.
  KvRevision configuration_revision = 0;
  QueueTable queues;
  /// The service to which the latest configuration with a queue of that name sent it. Kept after
  /// the queue is dropped.
  std::map<std::string, std::string> service_of_queue;
  std::map<VmId, WorkerAnnouncement> registry;
  LeaseState lease;
  std::map<CellId, OwnedCell> cells;
  std::map<CellId, OrphanedCell> orphans;
  /// Cells that this incarnation of the entry owned earlier, by grant, until the leases that it
  /// granted there have expired.
  std::map<std::pair<CellId, KvRevision>, FormerCell> former_cells;
  /// How much stress each image of best-effort tasks adds to each image of long-running tasks,
  /// learned from changes measured here and by the other entries.
  InterferenceModel interference = InterferenceModel(InterferenceSettings());
  ImageStats images;
  LearningState learning;
  OwnershipRound ownership;
  /// This entry's copy of the records is recent enough to start tasks by, see `IsCaughtUp`.
  bool caught_up = false;
  /// Earliest time at which this entry accepts another cell from its owner.
  Millis next_acceptance;
  NewRacks new_racks;
  RequestId layout_request = 0;
  Millis layout_at;

  absl::flat_hash_map<RequestId, StoreCallInFlight> store_calls;
  /// Revisions later than the copy of the records, in order of time.
  std::deque<RevisionMark> revision_marks;
  KvRevision latest_revision = 0;
  /// When the call that reported it was sent.
  Millis latest_revision_at;
  absl::flat_hash_map<RequestId, WorkerCallInFlight> worker_calls;
  std::map<JobId, PendingSubmit> submits;
  std::map<JobId, PendingCancel> cancels;
  absl::flat_hash_map<RequestId, PendingPeerQuery> peer_queries;
  std::map<CellId, SentDemand> sent_demand;
  /// Cells whose owners did not reply to the last request for capacity in time, and for how long
  /// they are not asked again.
  std::map<CellId, DoublingPause> unresponsive_owners;
  /// The same for cells that had no capacity for best-effort tasks, by the requirements of these.
  std::map<std::pair<CellId, BestEffortNeeds>, DoublingPause> declined_needs;
  OutageState outage;

  /// When the store last answered any call.
  std::optional<Millis> store_answered_at;
  bool store_reachable = false;
  bool ready = false;
  bool stopping = false;
  Millis stop_requested_at;
  bool exit_announced = false;
  /// A stale copy of the records was logged.
  bool stale_records_logged = false;
  Millis next_removal;
};

}  // namespace currantpost::scheduler
