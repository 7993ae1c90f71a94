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

/// Phase of a task that is assigned to a worker.
enum class TaskPhase {
  /// The start order is not sent yet, or its outcome is unknown. Its resources are fully committed.
  kStarting,
  kRunning,
  /// Being stopped, because its job was cancelled or the preset requires an eviction.
  kStopping,
  /// Ended for good, but not yet in the part record.
  kRecording,
  /// Waits for the removal of its row from the worker's table.
  kAcknowledging,
};

inline constexpr EnumNames kTaskPhaseNames(std::to_array<EnumName<TaskPhase>>({
    {TaskPhase::kStarting, "starting"},
    {TaskPhase::kRunning, "running"},
    {TaskPhase::kStopping, "stopping"},
    {TaskPhase::kRecording, "recording"},
    {TaskPhase::kAcknowledging, "acknowledging"},
}));

/// A task that a worker runs, may run, or still lists in its table.
struct ActiveTask {
  VmId worker;
  int32_t attempt = 1;
  TaskPhase phase = TaskPhase::kStarting;
  /// Checkpoint to resume from; empty to start from the beginning.
  std::string checkpoint;
  /// The start order was sent, and neither a table nor a refusal has shown its outcome yet.
  bool start_sent = false;
  /// Resources committed for it at its placement.
  Resources size;
  /// Maximum usage reported so far.
  Resources peak_usage;
  /// Usage in the latest report.
  Resources used;
  /// When this owner first saw it running.
  Millis running_since;
  /// Whether the worker should slow it down.
  bool throttle = false;
  /// A checkpoint must be confirmed before the task is stopped.
  bool checkpoint_due = false;
};

/// A task that waits for its next attempt.
struct QueuedRetry {
  int32_t attempt = 1;
  std::string checkpoint;
  Millis not_before;
};

/// Completed and failed tasks of a part, as recorded in the platform's store.
struct RecordedPart {
  absl::btree_set<int32_t> completed;
  absl::btree_set<int32_t> failed;
  KvRevision revision = 0;
};

using QueueHook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// The tasks of one job whose home is the same owned rack.
struct PartState : QueueHook {
  JobSpec spec;
  JobPart part;
  bool cancelled = false;
  RecordedPart recorded;
  /// Tasks that have ended but are not in the store yet.
  absl::btree_set<int32_t> unrecorded_completed;
  absl::btree_set<int32_t> unrecorded_failed;
  /// The write of the part record in flight, or 0.
  RequestId write_request = 0;
  Millis write_due;
  /// This owner has not started tasks with this index or a higher one, unless they are in `active`.
  int32_t next_unstarted = 0;
  absl::btree_map<int32_t, QueuedRetry> retries;
  std::map<int32_t, ActiveTask> active;
  /// Number of failed attempts, by task.
  absl::btree_map<int32_t, int32_t> failures;
};

using PartQueue = boost::intrusive::list<PartState, boost::intrusive::constant_time_size<false>>;

/// An order that a worker has not answered yet.
struct OutstandingOrder {
  RequestId request = 0;
  WorkerOrder order;
  Millis sent_at;
};

/// A worker of an owned rack. It has at most one order outstanding, so that the tables in its
/// responses arrive in order.
struct WorkerState {
  RackMember member;
  /// The rack's record in the store lists this incarnation of the worker, so it may get tasks.
  bool in_record = false;
  /// The record already listed it when the rack was claimed, so it may run tasks of former owners.
  bool inherited = false;
  /// It has answered under the current epoch, and no later order has an unknown outcome.
  bool confirmed = false;
  bool ever_confirmed = false;
  /// The part of the epoch that the owner increments on its own, to fence its own lost orders.
  Epoch fence = 0;
  bool leaving = false;
  Resources capacity;
  /// The rows of the latest table.
  std::map<TaskKey, WorkerTask> rows;
  /// Active tasks of own parts at this worker.
  absl::btree_set<TaskKey> tasks;
  Resources committed;
  Resources committed_batch;
  std::optional<OutstandingOrder> outstanding;
  /// When to renew leases or to retry.
  Millis next_poll;
  /// Earliest time of the next order after a refusal.
  Millis next_order;
  /// When the latest table arrived.
  Millis answered_at;
  /// When this process last resumed after a pause. Silence before that time is not attributed to
  /// the worker.
  Millis resumed_at;
  /// Left out of a write of the record, because the leases of its tasks have expired. Gets no
  /// orders.
  bool leases_expired = false;
  /// Tasks that failed since the last success, while the worker was considered healthy.
  std::vector<TaskKey> suspect_failures;
  /// Batch tasks that ran here, and when.
  ResidencyHistory residency = ResidencyHistory();
  /// When the latest usage was measured, and the worst slowdown of services in it.
  Millis measured_at;
  double slowdown = 1.0;
};

/// Purpose of a write of a rack's record.
enum class RackWriteKind { kClaim, kMembers, kRelease };

inline constexpr EnumNames kRackWriteKindNames(std::to_array<EnumName<RackWriteKind>>({
    {RackWriteKind::kClaim, "claim"},
    {RackWriteKind::kMembers, "members"},
    {RackWriteKind::kRelease, "release"},
}));

/// A write of a rack's record whose outcome is not known yet. It is retried unchanged until the
/// outcome is known.
struct RackWrite {
  RackWriteKind kind = RackWriteKind::kClaim;
  RackRecord record;
  KvRevision expected = 0;
  /// The call in flight, or 0 while the write waits for a retry.
  RequestId request = 0;
  Millis retry_at;
  /// The response to an attempt was lost, so the write may have taken effect.
  bool maybe_applied = false;
};

/// Phase of this entry's ownership of a rack.
enum class RackPhase {
  kNotOwned,
  /// Waiting for each inherited worker to answer under the new epoch.
  kRaisingEpoch,
  /// Reading the part records.
  kListing,
  /// Starting tasks.
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
  /// When the record was last seen to change, which shows that its owner was alive then.
  std::optional<Millis> changed_at;
  /// Highest epoch of the rack's grants that was seen anywhere, including at workers.
  Epoch highest_epoch = 0;
  std::optional<RackWrite> write;
  /// Earliest time of the next write after a failure.
  Millis write_not_before;
  /// A worker's row of an attempt must be removed before its next attempt is known to run, so the
  /// record must list that attempt as released.
  bool attempt_release_due = false;
  Millis attempt_release_not_before;
  /// Since when this entry has had a reason to claim the rack.
  std::optional<Millis> claimable_since;

  RackPhase phase = RackPhase::kNotOwned;
  Epoch epoch = 0;
  /// Highest fence given to a worker in the current epoch.
  Epoch last_fence = 0;
  /// The read of the part records in flight, or 0.
  RequestId list_request = 0;
  Millis list_retry_at;
  /// Part records of jobs whose job record is not known yet.
  std::map<JobId, RecordedPart> recorded;
  std::map<JobId, PartState> parts;
  /// Jobs with ended tasks that are not recorded yet.
  absl::btree_set<JobId> unrecorded;
  /// Free capacity or waiting tasks have been added since the last placement.
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

/// A submission whose outcome at the store is not known yet.
struct PendingSubmit {
  RequestId command = 0;
  JobRecord record;
  Millis deadline;
  Millis retry_at;
  RequestId request = 0;
  bool maybe_applied = false;
};

/// A cancellation whose outcome at the store is not known yet.
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
  /// The current record is being read first.
  bool reading = true;
};

/// A query about a job, waiting for the part records of racks owned by other entries.
struct PendingShow {
  RequestId command = 0;
  JobId job;
  /// The read of the job record, or 0 once it is answered.
  RequestId job_request = 0;
  /// Reads of part records in flight.
  absl::btree_set<RequestId> part_requests;
  JobRecord record;
  int64_t completed = 0;
  int64_t failed = 0;
  int64_t active = 0;
  /// Some part could not be read.
  bool partial = false;
};

/// Purposes of calls to the store.
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

/// A call to the store that has not been answered yet.
struct OutstandingCall {
  KvPurpose purpose;
  Millis sent_at;
};

/// The watch on the records of the data centre.
struct WorkWatch {
  /// The initial list of the records is complete.
  bool synced = false;
  /// The list or watch in flight, or 0.
  RequestId request = 0;
  KvRevision after = 0;
  Millis retry_at;
};

/// Racks, workers, tasks and jobs that this entry owns.
struct WorkState {
  /// Epoch of each rack that this entry owns and whose workers it may send orders to.
  std::map<RackId, Epoch> owned;

  std::optional<Millis> started_at;
  /// Learned properties of workers and kinds of tasks; held in memory only.
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
  /// Jobs that appear in workers' tables but have no record in the store.
  absl::btree_set<JobId> absent_jobs;
  absl::btree_set<JobId> lookups;
  std::map<RequestId, PendingSubmit> submits;
  std::map<RequestId, PendingCancel> cancels;
  std::map<RequestId, PendingShow> shows;
};

}  // namespace currantpost
