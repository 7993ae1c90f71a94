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
#include "currantpost/scheduler/records.h"
#include "currantpost/scheduler/routing.h"
#include "currantpost/scheduler/settings.h"
#include "currantpost/scheduler/store.h"
#include "currantpost/scheduler/worker.h"

namespace currantpost::scheduler {

// ---- What the store holds, as this entry knows it -----------------------------------------------

/// How far the copy of a feed is.
struct FeedState {
  /// The feed was listed whole, and changes since then are known up to `revision`.
  bool synced = false;
  KvRevision revision = 0;
  /// The list or watch under way, 0 if there is none.
  RequestId request = 0;
  Millis next_at;
  /// When the last request was sent, and the latest revision that the store was known to have then.
  Millis sent_at;
  KvRevision least_revision = 0;
  /// Requests in a row that were not answered in time.
  int32_t timeouts = 0;
  /// The copy holds all that the store had by then; nothing before the feed was first listed whole.
  std::optional<Millis> known_at;
  /// Of a list under way: when its first page was asked for, where its next page begins, the
  /// revision to watch on from, and the keys seen.
  Millis list_began_at;
  std::string page_after;
  KvRevision listed_from = 0;
  std::set<std::string> listed_keys;
};

/// An answer of the store that says how many changes there were when the call was sent, at most.
struct RevisionMark {
  Millis sent_at;
  KvRevision revision = 0;
};

/// Reads of the cancelled jobs alone, while the copy of the records is late: they are short, and
/// nothing of these jobs may start.
struct CancelReads {
  /// The read under way, 0 if there is none.
  RequestId request = 0;
  /// Where the next page begins, and when the first one was asked for.
  std::string page_after;
  Millis began_at;
  Millis next_at;
  /// All jobs that were cancelled by then are known.
  std::optional<Millis> known_at;
};

/// A live entry.
struct EntryView {
  EntryRecord record;
  KvRevision revision = 0;
  LeaseId lease = 0;
  /// When this entry first saw this life of it.
  Millis seen_at;
};

/// The present owner of a cell.
struct CellView {
  CellRecord record;
  KvRevision revision = 0;
};

/// What the owner of a cell last told.
struct LoadView {
  LoadRecord record;
  KvRevision revision = 0;
};

/// A job as recorded.
struct JobView {
  JobHead head;
  std::string value;
  KvRevision revision = 0;
  bool cancelled = false;
  KvRevision cancel_revision = 0;
  /// The rest is known of jobs in owned cells only.
  JobPhase phase = JobPhase::kQueued;
  std::string progress;
  KvRevision progress_revision = 0;
  /// The cell in which that was recorded; news of the job's move may come later.
  CellId progress_cell;
  /// When this entry learned that the job had ended.
  std::optional<Millis> ended_at;
};

/// The records.
struct View {
  std::map<EntryId, EntryView> entries;
  LayoutRecord layout;
  KvRevision layout_revision = 0;
  std::map<CellId, CellView> cells;
  std::map<CellId, LoadView> loads;
  /// Of each cell what its owner told last; kept when the owner is gone.
  std::map<CellId, PendingJobs> waiting;
  std::map<JobId, JobView> jobs;
  /// Removed records by key, so that late news of them is told from new ones.
  std::map<std::string, KvRevision> removed;
};

// ---- This entry's lease
// --------------------------------------------------------------------------

struct LeaseState {
  LeaseId lease = 0;
  /// Until when the store surely keeps the lease, by this entry's clock.
  Millis valid_until;
  RequestId request = 0;
  Millis sent_at;
  Millis next_at;
  /// The entry's record was written under this lease.
  bool registered = false;
  RequestId register_request = 0;
  Millis register_at;
  /// Lease of the former life of this entry, to be ended.
  LeaseId previous_lease = 0;
  bool previous_lease_checked = false;
  RequestId previous_lease_request = 0;
};

// ---- Cells that this entry owns
// ------------------------------------------------------------------

/// How far a task is.
enum class TaskPhase {
  /// Waits for steps before it, or for its time.
  kBlocked,
  /// May start once there is room.
  kWaiting,
  /// A worker was chosen; the store does not say so yet.
  kBinding,
  /// The start is to be sent, or its outcome is not known yet.
  kStarting,
  kRunning,
  /// Its stop was decided; the end is not listed yet.
  kStopping,
  kDone,
  kFailed,
  /// Another cell runs it.
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

/// What a former owner told a task is not known.
inline constexpr int32_t kUnknownSpeed = -1;

struct TaskState {
  TaskPhase phase = TaskPhase::kBlocked;
  /// Of a job that was lent some tasks, this is none of them; it counts as done.
  bool not_borrowed = false;
  Run run = 0;
  int32_t failures = 0;
  VmId worker;
  int64_t worker_incarnation = 0;
  /// The job that runs it in another cell.
  JobId lent_to;
  std::string checkpoint;
  /// Not placed before this.
  Millis not_before;
  /// The start left for the worker.
  bool start_sent = false;
  /// Count of orders and answers at which the start was last sent or answered; a look that was sent
  /// later shows whether the task runs.
  uint64_t start_sequence = 0;
  /// Version of the job that first holds the present binding.
  uint64_t bound_version = 0;
  /// No stop is ordered before this: one has left, or was not carried out just now.
  Millis next_stop;
  /// The last worker on which it failed, to be avoided.
  VmId avoided_worker;
  /// Latest figure of the worker: tail of response times, or processor use.
  int64_t last_measurement = 0;
  /// When it last began to run here, and when a look last showed it.
  Millis began;
  Millis last_seen_running_at;
  /// Of a lasting task, how near its tail is to running away: 0 unloaded, 1 without bound.
  std::optional<double> stress;
  /// Since when its tail is over its target.
  std::optional<Millis> over_since;
  /// The part of it that is its own load.
  double own_stress = 0.0;
  /// Share of its speed that it was last told, and is to have.
  int32_t sent_speed_percent = 100;
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

/// Names a task within one owned cell.
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
  /// A task is out of attempts.
  bool attempts_exhausted = false;
  /// Rises with each change that is to be recorded; the last one that the store has.
  uint64_t version = 0;
  uint64_t recorded_version = 0;
  KvRevision progress_revision = 0;
  /// Values sent since that revision, with their versions: one of them may have been written though
  /// no answer came.
  std::map<std::string, uint64_t> unconfirmed_values;
  /// The write that moves the job to another cell, not settled yet.
  struct PendingMove {
    CellId to;
    std::string value;
    RequestId request = 0;
    Millis retry_at;
  };
  std::optional<PendingMove> move;
  /// The write that lends tasks to another cell, not settled yet.
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
  /// Tasks that other cells run, and when to ask these how far they are.
  int32_t lent = 0;
  Millis next_loan_poll;
  /// Tasks bound to a worker.
  int32_t bound = 0;
  /// Since when some task waits for room.
  std::optional<Millis> waits_since;
  /// For the log: when this entry took the job up, when it learned of its cancelling, when its
  /// first task was bound, and the longest wait of a task for a worker.
  Millis taken_over_at;
  std::optional<Millis> cancelled_at;
  std::optional<Millis> first_bound_at;
  Millis longest_wait;
  /// Of its filling tasks, together: how long looks showed them running, and how much of that was
  /// lost to pace and to processors that others used.
  Millis best_effort_time;
  Millis throttled_time;
  Millis starved_time;
};

/// A call to a worker under way.
struct PollInFlight {
  RequestId request = 0;
  FencingToken token = 0;
  /// Count of orders and answers when it left.
  uint64_t sequence = 0;
  int64_t forget_up_to = 0;
};

/// An end that the worker is to keep until the store has it.
struct RetainedEnd {
  JobId job;
  uint64_t version = 0;
  bool recorded = false;
};

/// Until when leases at a worker may run, by whoever granted them. Of a worker that does not
/// answer, this is when its runs have surely ended.
struct LeaseBounds {
  /// By this owner. Set as an order leaves that may renew the lease.
  Millis own;
  /// By former owners of the cell. Means nothing once the worker was met under the present grant.
  Millis inherited;

  [[nodiscard]] Millis Expiry() const { return std::max(own, inherited); }
};

/// A worker of an owned cell.
struct WorkerState {
  WorkerAnnouncement info;
  /// The registry names it.
  bool listed = false;
  /// Rises whenever orders of unknown outcome are to be made void.
  int64_t fence = 1;
  /// It answered a look under the present fence.
  bool confirmed = false;
  /// It answered under the present grant at least once.
  bool contacted = false;
  std::vector<PollInFlight> polls;
  Millis next_poll;
  /// Its clock, and when that was read.
  std::optional<int64_t> clock_ms;
  Millis clock_at;
  LeaseBounds lease;
  /// For the log: the wait for the end of its leases was noted.
  bool wait_logged = false;
  Millis answered_at;
  int32_t failed_polls = 0;
  /// The start or pace under way, or the stop of a run that nobody wants; 0 if there is none.
  RequestId order_request = 0;
  WorkerOrder order;
  /// The stops of tasks under way.
  std::map<RequestId, StopTask> stops;
  /// No order before this, after a refusal.
  Millis next_order;
  /// Ends that are listed there, by number.
  std::map<int64_t, RetainedEnd> ends;
  int64_t forgotten = 0;
  std::set<TaskRef> tasks;
  /// Some of them may be in the phase of stopping.
  bool has_stopping_tasks = false;
  /// Something about it changed, so that it may want a look or an order; else it is passed over
  /// until something is due.
  bool needs_update = true;
  Millis due_at;
  /// Runs there that nobody wants.
  std::map<TaskName, Run> orphaned_runs;
  /// What its tasks hold, and what filling tasks there ask for.
  Resources reserved;
  int64_t long_running_millicores = 0;
  int64_t best_effort_millicores = 0;
  /// What the lasting tasks there use now, as far as their tails tell, in thousandths of a core.
  int64_t long_running_use = 0;
  /// Not used before this, as it fails what it starts.
  Millis quarantined_until;
  int32_t failures_in_row = 0;
  /// Processor use of filling tasks by image when tails were last learned from, as shares of the
  /// worker's capacity, and when that was.
  std::map<std::string, double> best_effort_use;
  Millis learned_at;
  /// Stress to expect of the most strained lasting task of each image at full pace of all filling
  /// tasks; nothing where tasks or figures have changed since it was worked out.
  std::optional<std::map<std::string, double>> expected_stress;
};

/// A write of progress under way.
struct ProgressWrite {
  RequestId request = 0;
  /// Versions of the jobs that it holds.
  std::map<JobId, uint64_t> versions;
  /// The report that it holds.
  std::optional<LoadRecord> load;
};

/// What passes between the owners of a cell about the leases of its workers.
struct HandOverState {
  /// The reading of what former owners left.
  bool known = false;
  RequestId read_request = 0;
  Millis read_at;
  /// The former owner that may still renew leases, by its record; none if its `owner` is empty.
  HandOverRecord former;
  Millis next_question;
  /// When the leases of workers have lapsed that former owners named, and those of all others.
  std::map<VmId, Millis> expiries;
  Millis default_expiry;
  /// This owner's record is in the store. Before that it renews nothing.
  bool written = false;
  /// Its present revision, or that of a former owner's.
  KvRevision revision = 0;
  RequestId write_request = 0;
  Millis write_at;
  /// When the record is written anew though it names the same workers, and the ends of their leases
  /// by the last write.
  Millis refresh_at;
  std::map<VmId, Millis> recorded_expiries;
  /// Workers that the record names, and those that a write without an answer may name.
  std::set<VmId> recorded_workers;
  std::set<VmId> maybe_recorded_workers;
  /// Of the write under way.
  std::set<VmId> pending_workers;
};

/// The leases that an owner left in a cell when it lost it.
struct FormerCell {
  std::map<VmId, Millis> expiries;
};

/// Orders waiting tasks: priority, lasting first, when their job should be done, name.
using WaitingKey = std::tuple<int32_t, int32_t, int64_t, TaskRef>;

/// A cell that this entry owns.
struct OwnedCell {
  CellId cell;
  /// Revision of the grant.
  KvRevision grant = 0;
  /// What former owners recorded of the jobs is known; the reading of it under way.
  bool progress_known = false;
  RequestId progress_request = 0;
  std::string progress_after;
  Millis progress_at;
  HandOverState hand_over;
  /// All records are known up to the grant, and the jobs were taken over.
  bool open = false;
  Millis opened_at;
  std::map<VmId, WorkerState> workers;
  /// Highest fence of the workers that were dropped; one that comes back may have seen it.
  int64_t dropped_fence = 0;
  std::map<JobId, JobState> jobs;
  /// The latest revision that recorded one of the jobs taken in.
  KvRevision newest_job_revision = 0;
  /// Tasks that other cells have lent to this one, by the names that workers know them by.
  std::map<TaskName, TaskRef> borrowed_tasks;
  std::set<WaitingKey> waiting;
  /// Any of the workers may want a look or an order.
  bool worker_update_due = true;
  /// No round over the jobs before this.
  Millis next_job_update;
  bool placement_due = false;
  /// No placement before this, so that what comes in a burst is placed together.
  Millis next_placement;
  std::set<JobId> dirty;
  ProgressWrite write;
  Millis next_write;
  /// The last report that the store has.
  LoadRecord load;
  Millis next_load;
  Millis taken_over_at;
  bool releasing = false;
  RequestId release_request = 0;
  /// A release was sent and not answered: nobody may count on this owner any more.
  bool maybe_released = false;
  /// No look for lasting tasks on draining workers before this.
  Millis next_evacuation;
};

/// Workers of racks that are in no cell yet.
struct NewRacks {
  size_t workers = 0;
  /// The registry or the layout may have changed since they were counted.
  bool recount = true;
  /// When there were none, and when their number last changed.
  Millis since;
  Millis changed_at;
};

/// A cell without an owner.
struct OrphanedCell {
  Millis since;
  RequestId claim = 0;
  Millis retry_at;
};

/// When to look again who should own which cell.
struct OwnershipRound {
  /// The store or a peer told something since.
  bool records_changed = true;
  Millis due_at;
};

// ---- Callers' requests
// ---------------------------------------------------------------------------

/// A job on its way into the store.
struct PendingSubmit {
  std::vector<RequestId> calls;
  JobRecord record;
  std::string value;
  RequestId request = 0;
  Millis retry_at;
  Millis retry_deadline;
  bool maybe_applied = false;
};

/// A cancellation on its way into the store.
struct PendingCancel {
  std::vector<RequestId> calls;
  RequestId request = 0;
  bool reading = false;
  Millis retry_at;
  /// When the callers are told that the outcome is not known, and when it is not tried any more.
  Millis answer_deadline;
  Millis retry_deadline;
};

/// A question about a job that waits for a peer: a caller's, or the lender's of tasks.
struct PendingPeerQuery {
  RequestId call = 0;
  JobId job;
  /// The job that lent tasks are of.
  JobId lender;
};

/// What a call to the store was for.
/// @{
struct FeedCalled {
  Feed feed = Feed::kRecords;
  bool list = false;
};
struct LeaseGranted {};
struct LeaseRenewed {};
struct PreviousLeaseEnded {};
struct EntryRegistered {};
struct LayoutWritten {};
struct CellClaimed {
  CellId cell;
};
struct CellReleased {
  CellId cell;
  KvRevision grant = 0;
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
  /// The cell in which nothing was found recorded of it, if that was looked for.
  CellId unrecorded;
};
struct PhaseRead {
  RequestId call = 0;
  JobId job;
  CellId cell;
};
struct EndedJobsRemoved {};
struct LearnedWritten {};
struct CancelsRead {};
using StorePurpose =
    std::variant<FeedCalled, LeaseGranted, LeaseRenewed, PreviousLeaseEnded, EntryRegistered,
                 LayoutWritten, CellClaimed, CellReleased, ProgressListed, ProgressWritten,
                 HandOverRead, HandOverWritten, JobMoved, TasksLent, SubmitWritten, CancelAnswered,
                 JobRead, PhaseRead, EndedJobsRemoved, LearnedWritten, CancelsRead>;
/// @}

/// A call to the store under way.
struct StoreCallInFlight {
  StorePurpose purpose;
  Millis sent_at;
};

/// A call to a worker, by its request.
struct WorkerCallInFlight {
  CellId cell;
  VmId worker;
  bool poll = false;
};

/// Changes of stress are learned, so there is next to no base; figures are rough, and what pairs do
/// to each other changes within seconds.
inline InterferenceModelSettings InterferenceSettings() {
  InterferenceModelSettings settings;
  settings.prior_mean = 0.1;
  settings.prior_deviation = 0.5;
  settings.noise_deviation = 0.08;
  settings.drift_deviation = 0.003;
  settings.caution_deviations = 0.5;
  return settings;
}

/// The exchange of what entries learned.
struct LearningState {
  /// Revision of the record that was last adopted or written.
  KvRevision revision = 0;
  RequestId request = 0;
  Millis next_at;
  /// The keeper knows more than the record says.
  bool changed = false;
};

// ---- All of it
// -----------------------------------------------------------------------------------

struct State {
  Settings settings;
  Millis now;
  int64_t unix_ms = 0;
  RequestId last_request = 0;
  /// Counts orders sent and answers taken.
  uint64_t worker_event_sequence = 0;
  /// When the scheduler wants to be called again.
  Millis wake_at;

  std::map<Feed, FeedState> feeds;
  CancelReads cancel_reads;
  View view;
  std::shared_ptr<const Routing> routing;
  QueueTable queues;
  std::map<VmId, WorkerAnnouncement> registry;
  LeaseState lease;
  std::map<CellId, OwnedCell> cells;
  std::map<CellId, OrphanedCell> orphans;
  /// Cells that this entry had in this life, by grant, while leases that it left there may run.
  std::map<std::pair<CellId, KvRevision>, FormerCell> former_cells;
  /// How much stress each image of filling work adds to each image of lasting tasks, learned from
  /// changes here and by the other entries.
  InterferenceModel interference = InterferenceModel(InterferenceSettings());
  ImageStats images;
  LearningState learning;
  OwnershipRound ownership;
  NewRacks new_racks;
  RequestId layout_request = 0;
  Millis layout_at;

  absl::flat_hash_map<RequestId, StoreCallInFlight> store_calls;
  /// By time, later than what the copy of the records holds.
  std::deque<RevisionMark> revision_marks;
  KvRevision latest_revision = 0;
  absl::flat_hash_map<RequestId, WorkerCallInFlight> worker_calls;
  std::map<JobId, PendingSubmit> submits;
  std::map<JobId, PendingCancel> cancels;
  absl::flat_hash_map<RequestId, PendingPeerQuery> peer_queries;
  /// Demand sent to cells since their last report, in thousandths of a core.
  std::map<CellId, int64_t> sent_demand;
  std::map<CellId, int64_t> sent_best_effort_demand;

  /// When the store last answered anything.
  std::optional<Millis> store_answered_at;
  bool store_reachable = false;
  bool ready = false;
  bool stopping = false;
  Millis stop_requested_at;
  bool exit_announced = false;
  /// For the log: the copy of the records was noted as old.
  bool stale_records_logged = false;
  Millis next_removal;
};

}  // namespace currantpost::scheduler
