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
#include "currantpost/scheduler/background_pace.h"
#include "currantpost/scheduler/cell_state.h"
#include "currantpost/scheduler/counts.h"
#include "currantpost/scheduler/events.h"
#include "currantpost/scheduler/outage.h"
#include "currantpost/scheduler/records.h"
#include "currantpost/scheduler/replica.h"
#include "currantpost/scheduler/reservation.h"
#include "currantpost/scheduler/room_table.h"
#include "currantpost/scheduler/routing.h"
#include "currantpost/scheduler/settings.h"
#include "currantpost/scheduler/store.h"
#include "currantpost/scheduler/worker.h"

namespace currantpost::scheduler {

// This entry's lease at the store

struct LeaseState {
  LeaseId lease = 0;
  /// The store keeps the lease at least until this time by this entry's clock.
  Millis valid_until;
  RequestId request = 0;
  Millis sent_at;
  /// When the first request was sent since the store last answered any call.
  Millis unanswered_since;
  Millis next_at;
  /// Number of the last answered renewals that all took too long to start tasks by replies that
  /// take as long.
  int32_t late_renewals = 0;
  /// Until when this entry counts as slow because of that.
  Millis slow_until;
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

// Distribution of cells among the entries

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

/// A cell that its owner offers to this entry, which reads the recorded progress before it accepts.
struct CellOffer {
  CellId cell;
  TransferOffer offer;
  Millis received_at;
  /// The last key of the previous page.
  std::string read_up_to;
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

/// What a pending cancellation asks of the store.
enum class CancelStep {
  /// Whether it has the job, which this entry does not know.
  kReading,
  /// To accept no submission of the job, which it does not have.
  kWithdrawing,
  kCancelling,
};

/// A cancellation whose write to the store is not completed.
struct PendingCancel {
  std::vector<RequestId> calls;
  RequestId request = 0;
  CancelStep step = CancelStep::kReading;
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
struct OfferedProgressListed {
  CellId cell;
  KvRevision grant = 0;
  /// The number of the offer.
  int64_t number = 0;
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
  /// Revision of the copy of the registry when the read was sent.
  KvRevision copied = 0;
};
struct EndedJobsRemoved {};
struct WithdrawalsRemoved {
  std::vector<JobId> jobs;
};
struct LearnedWritten {};
struct CancelsRead {};
using StorePurpose =
    std::variant<FeedCalled, LeaseGranted, LeaseRenewed, PreviousLeaseEnded, EntryRegistered,
                 LayoutWritten, CellClaimed, CellReleased, ProgressListed, OfferedProgressListed,
                 ProgressWritten, HandOverRead, HandOverWritten, FormerLeaseEnded, JobMoved,
                 TasksLent, SubmitWritten, CancelAnswered, JobRead, PhaseRead, WorkerRead,
                 EndedJobsRemoved, WithdrawalsRemoved, LearnedWritten, CancelsRead>;
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

/// Background work: the search for capacity for the jobs of all owned cells, and upkeep.
struct BackgroundWork {
  BackgroundPace pace;
  /// When the last pass over all jobs began.
  Millis pass_began;
  /// The pass has not reached the last job yet.
  bool in_pass = false;
  /// The job that it reached last.
  CellId cell;
  JobId job;
};

/// Exchange of the learned interference estimates between entries.
struct LearningState {
  /// Revision of the record that was last adopted or written.
  KvRevision revision = 0;
  RequestId request = 0;
  Millis next_at;
  /// The coordinator has estimates that the record does not contain yet.
  bool changed = false;
};

/// Number of log lines about waiting tasks in the present interval.
struct WaitLines {
  Millis since;
  int32_t written = 0;
};

struct State {
  Settings settings;
  Millis now;
  int64_t unix_ms = 0;
  /// How long events wait at present before this entry handles them.
  Millis lateness;
  /// Everything that had arrived by then has been handled.
  Millis handled_up_to;
  BackgroundWork background;
  WaitLines wait_lines;
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
  /// The offer whose progress records this entry reads.
  std::optional<CellOffer> offered;
  /// Entries that could not read the progress of an offered cell in time, and until when they get
  /// no other offer of this entry.
  std::map<EntryId, DoublingPause> slow_readers;
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
  /// The removal of old withdrawal records that is in flight, 0 if there is none.
  RequestId withdrawal_removal = 0;
  Millis next_withdrawal_removal;
  absl::flat_hash_map<RequestId, PendingPeerQuery> peer_queries;
  /// The load reports as the choice of cells needs them.
  RoomTable rooms;
  /// How the owners of other cells reply to requests for capacity.
  std::map<CellId, OwnerContact> owner_contacts;
  /// Cells that had no capacity for best-effort tasks, by the requirements of these, and for how
  /// long they are not asked again for such tasks.
  std::map<BestEffortNeeds, std::map<CellId, DoublingPause>> declined_needs;
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
  /// Mutable, as choices by a constant state are counted too.
  mutable Counts counts;
};

}  // namespace currantpost::scheduler
