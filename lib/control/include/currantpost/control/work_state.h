#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/codec.h"
#include "currantpost/model/job.h"
#include "currantpost/model/worker.h"
#include "currantpost/policy/eviction_planner.h"
#include "currantpost/policy/interference_model.h"
#include "currantpost/policy/quarantine.h"
#include "currantpost/policy/residency_history.h"
#include "currantpost/policy/size_estimator.h"

namespace currantpost {

/// How far a task that has a worker is.
enum class TaskPhase {
  /// The start is to be sent, or its outcome is not known yet. Committed in full.
  kStarting,
  kRunning,
  /// To be stopped, as its job was cancelled or the preset asks for room.
  kStopping,
  /// Ended for good; the part record does not say so yet.
  kRecording,
  /// Its row at the worker is to be removed.
  kAcknowledging,
};

inline constexpr EnumNames kTaskPhaseNames(std::to_array<EnumName<TaskPhase>>({
    {TaskPhase::kStarting, "starting"},
    {TaskPhase::kRunning, "running"},
    {TaskPhase::kStopping, "stopping"},
    {TaskPhase::kRecording, "recording"},
    {TaskPhase::kAcknowledging, "acknowledging"},
}));

/// A task that a worker runs, may run, or still has a row of.
struct ActiveTask {
  VmId worker;
  int32_t attempt = 1;
  TaskPhase phase = TaskPhase::kStarting;
  /// Checkpoint to resume from, empty to begin anew.
  std::string checkpoint;
  /// The start left for the worker, and neither a table nor a refusal has settled it.
  bool start_sent = false;
  /// What was committed for it when it was placed.
  Resources size;
  /// Largest use seen of it.
  Resources peak_usage;
  /// Use in the latest report.
  Resources used;
  /// When this owner first saw it running.
  Millis running_since;
  /// Whether the worker is to slow it down.
  bool throttle = false;
  /// A checkpoint is to be confirmed before it is stopped.
  bool checkpoint_due = false;
};

/// A task that waits for a further attempt.
struct QueuedRetry {
  int32_t attempt = 1;
  std::string checkpoint;
  Millis not_before;
};

/// Tasks of a part by what the platform's store holds of them.
struct RecordedPart {
  absl::btree_set<int32_t> completed;
  absl::btree_set<int32_t> failed;
  KvRevision revision = 0;
};

using QueueHook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// The tasks of one job that have one owned rack as their home.
struct PartState : QueueHook {
  JobSpec spec;
  JobPart part;
  bool cancelled = false;
  RecordedPart recorded;
  /// Ended, but not yet in the store.
  absl::btree_set<int32_t> unrecorded_completed;
  absl::btree_set<int32_t> unrecorded_failed;
  /// The write of the part record under way, 0 if there is none.
  RequestId write_request = 0;
  Millis write_due;
  /// Tasks from this number on were not started by this owner, unless they are in `active`.
  int32_t next_unstarted = 0;
  absl::btree_map<int32_t, QueuedRetry> retries;
  std::map<int32_t, ActiveTask> active;
  /// Failed attempts, by task.
  absl::btree_map<int32_t, int32_t> failures;
};

using PartQueue = boost::intrusive::list<PartState, boost::intrusive::constant_time_size<false>>;

/// The order that a worker has not answered yet.
struct OutstandingOrder {
  RequestId request = 0;
  WorkerOrder order;
  Millis sent_at;
};

/// A worker of an owned rack. It has at most one order outstanding, so that the tables it answers
/// with come in order.
struct WorkerState {
  RackMember member;
  /// The rack's record in the store names this life of the worker, so it may be given tasks.
  bool in_record = false;
  /// The record named it already when the rack was taken, so it may run tasks of former owners.
  bool inherited = false;
  /// It has answered under the present epoch, and no order since then has an unknown outcome.
  bool confirmed = false;
  bool ever_confirmed = false;
  /// The part of the epoch that the owner raises by itself, to fence its own lost orders.
  Epoch fence = 0;
  bool leaving = false;
  Resources capacity;
  /// The rows of the last table.
  std::map<TaskKey, WorkerTask> rows;
  /// Tasks of own parts that this worker has.
  absl::btree_set<TaskKey> tasks;
  Resources committed;
  Resources committed_batch;
  std::optional<OutstandingOrder> outstanding;
  /// When to renew leases, or to try again.
  Millis next_poll;
  /// No other order before this, after a refusal.
  Millis next_order;
  /// When the last table came.
  Millis answered_at;
  /// When this process last went on after a pause; before that, the silence was its own.
  Millis resumed_at;
  /// Left out of a write of the record, as the leases of its tasks have lapsed. Gets no orders.
  bool leases_expired = false;
  /// Tasks that failed since one last finished, while the worker was thought healthy.
  std::vector<TaskKey> suspect_failures;
  /// Batch that ran here and when.
  ResidencyHistory residency = ResidencyHistory();
  /// When the latest usage was measured, and the worst slowdown of services in it.
  Millis measured_at;
  double slowdown = 1.0;
};

/// What a write of a rack's record is for.
enum class RackWriteKind { kClaim, kMembers, kRelease };

inline constexpr EnumNames kRackWriteKindNames(std::to_array<EnumName<RackWriteKind>>({
    {RackWriteKind::kClaim, "claim"},
    {RackWriteKind::kMembers, "members"},
    {RackWriteKind::kRelease, "release"},
}));

/// A write of a rack's record that is not settled yet. It is repeated as it is until it is.
struct RackWrite {
  RackWriteKind kind = RackWriteKind::kClaim;
  RackRecord record;
  KvRevision expected = 0;
  /// 0 while it waits to be repeated.
  RequestId request = 0;
  Millis retry_at;
  /// An attempt was lost, so the write may have taken effect.
  bool maybe_applied = false;
};

/// How far the present entry is with a rack.
enum class RackPhase {
  kNotOwned,
  /// Waits for each inherited worker to answer under the new epoch.
  kRaisingEpoch,
  /// Reads the part records.
  kListing,
  /// Starts tasks.
  kOpen,
};

inline constexpr EnumNames kRackPhaseNames(std::to_array<EnumName<RackPhase>>({
    {RackPhase::kNotOwned, "not_owned"},
    {RackPhase::kRaisingEpoch, "raising"},
    {RackPhase::kListing, "listing"},
    {RackPhase::kOpen, "open"},
}));

/// A rack of the own data centre.
struct RackState {
  RackId rack;
  /// The record as last seen in the store.
  RackRecord record;
  KvRevision revision = 0;
  /// When the record was seen to change, which shows that its owner was alive then.
  std::optional<Millis> changed_at;
  /// Highest grant seen anywhere, also at workers.
  Epoch highest_epoch = 0;
  std::optional<RackWrite> write;
  /// No new write before this, after a failure.
  Millis write_not_before;
  /// An attempt's row has to go before its next attempt is known to run, so the record is to say
  /// so.
  bool attempt_release_due = false;
  Millis attempt_release_not_before;
  /// Since when this entry has a reason to take the rack.
  std::optional<Millis> claimable_since;

  RackPhase phase = RackPhase::kNotOwned;
  Epoch epoch = 0;
  /// Highest fence given to a worker under this grant.
  Epoch last_fence = 0;
  /// The read of the part records under way, 0 if there is none.
  RequestId list_request = 0;
  Millis list_retry_at;
  /// Part records of jobs not seen yet.
  std::map<JobId, RecordedPart> recorded;
  std::map<JobId, PartState> parts;
  /// Jobs with tasks that are over and not recorded.
  absl::btree_set<JobId> unrecorded;
  /// Room or waiting tasks have come since the last placement.
  bool placement_due = false;
  /// Parts with waiting tasks, by priority.
  std::array<PartQueue, 3> queues;
  std::map<VmId, WorkerState> workers;
};

/// A job record as last seen in the store.
struct JobState {
  JobRecord record;
  KvRevision revision = 0;
};

/// A submission that the store has not settled yet.
struct PendingSubmit {
  RequestId command = 0;
  JobRecord record;
  Millis deadline;
  Millis retry_at;
  RequestId request = 0;
  bool maybe_applied = false;
};

/// A cancellation that the store has not settled yet.
struct PendingCancel {
  RequestId command = 0;
  JobId job;
  JobRecord record;
  KvRevision expected = 0;
  std::string change_id;
  Millis deadline;
  Millis retry_at;
  RequestId request = 0;
  bool maybe_applied = false;
  /// The present record is being read first.
  bool reading = true;
};

/// A question about a job that waits for part records of racks owned elsewhere.
struct PendingShow {
  RequestId command = 0;
  JobId job;
  /// The read of the job record, 0 once it is answered.
  RequestId job_request = 0;
  /// Reads of part records without an answer.
  absl::btree_set<RequestId> part_requests;
  JobRecord record;
  int64_t completed = 0;
  int64_t failed = 0;
  int64_t active = 0;
  /// Some part could not be read.
  bool partial = false;
};

/// What a call to the store was for.
/// @{
struct PrefixListed {};
struct RackWritten {
  RackId rack;
};
struct PartsListed {
  RackId rack;
};
struct PartWritten {
  RackId rack;
  JobId job;
  absl::btree_set<int32_t> completed;
  absl::btree_set<int32_t> failed;
};
struct JobLookedUp {
  JobId job;
};
struct SubmitWritten {
  RequestId command = 0;
};
struct CancelAnswered {
  RequestId command = 0;
};
struct ShowJobRead {
  RequestId command = 0;
};
struct ShowPartRead {
  RequestId command = 0;
};
using KvPurpose = std::variant<PrefixListed, RackWritten, PartsListed, PartWritten, JobLookedUp,
                               SubmitWritten, CancelAnswered, ShowJobRead, ShowPartRead>;
/// @}

/// A call to the store without an answer.
struct OutstandingCall {
  KvPurpose purpose;
  Millis sent_at;
};

/// The watch on the records of the data centre.
struct WorkWatch {
  /// The records were read once.
  bool synced = false;
  /// The list or watch under way, 0 if there is none.
  RequestId request = 0;
  KvRevision after = 0;
  Millis retry_at;
};

/// Racks, workers, tasks and jobs, as far as this entry owns them.
struct WorkState {
  /// Epoch of each rack that this entry owns and may order.
  std::map<RackId, Epoch> owned;

  std::optional<Millis> started_at;
  /// What is learned of workers and kinds of tasks; forgotten with the process.
  /// @{
  Quarantine quarantine;
  InterferenceModel interference;
  SizeEstimator sizes;
  EvictionPlanner evictions;
  /// @}
  WorkWatch watch;
  std::map<RequestId, OutstandingCall> calls;
  /// The rack of each worker that has an order outstanding, by request.
  std::map<RequestId, RackId> orders;
  std::map<RackId, RackState> racks;
  std::map<JobId, JobState> jobs;
  /// Jobs that workers have rows of and the store has no record of.
  absl::btree_set<JobId> absent_jobs;
  absl::btree_set<JobId> lookups;
  std::map<RequestId, PendingSubmit> submits;
  std::map<RequestId, PendingCancel> cancels;
  std::map<RequestId, PendingShow> shows;
};

}  // namespace currantpost
