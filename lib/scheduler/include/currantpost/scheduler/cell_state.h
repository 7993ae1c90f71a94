#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/scheduler/doubling_pause.h"
#include "currantpost/scheduler/job_state.h"
#include "currantpost/scheduler/records.h"
#include "currantpost/scheduler/reservation.h"
#include "currantpost/scheduler/store.h"
#include "currantpost/scheduler/worker_state.h"

/// Cells that this entry owns.

namespace currantpost::scheduler {

/// A write of progress that is in flight.
struct ProgressWrite {
  RequestId request = 0;
  /// Versions of the jobs that it contains.
  std::map<JobId, uint64_t> versions;
  /// The load report that it contains.
  std::optional<LoadRecord> load;
  Millis load_counted_at;
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
  std::map<VmId, Millis> expiries;
  /// When the leases of former owners have expired at all other workers.
  Millis default_expiry;
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
  std::map<VmId, Millis> expiries;
};

/// Capacity of a cell held for tasks of one step that another cell is about to pass on.
struct Reservation {
  StepSpec step;
  /// A worker for each task.
  std::vector<VmId> workers;
  Millis expires_at;
};

/// Capacity of a worker that is kept from other tasks until a task that has waited long fits there.
struct WorkerHold {
  StepName name;
  /// The job in which the task waits. Borrowed jobs of one step wait separately.
  JobId job;
  Resources need;
  VmId worker;
  Millis since;
  bool is_long_running = false;
  /// The task has run before, and since when it is without a run. That is in the future if it still
  /// runs on a draining worker.
  /// @{
  bool is_interrupted = false;
  Millis absent_since;
  /// @}
  /// Priority of the task's queue.
  int32_t priority = 0;
  /// Its job is overdue, see `Urgency`.
  bool is_overdue = false;
  /// The cell in which the task waits, if its owner was offered the worker and has not asked for it
  /// yet.
  CellId offered_to;
  /// It ends then unless it is asked for again.
  Millis expires_at;
  /// When to look next for a worker that becomes free sooner.
  Millis next_choice;
};

/// How the owner of a cell replies to requests for capacity.
struct OwnerContact {
  /// What is known of one owner says nothing of the next.
  EntryId owner;
  /// Longest time that the first request without a reply has waited, or the time that the last
  /// reply took.
  Millis reply_time;
  std::optional<Millis> unanswered_since;
  /// Until when it is not asked again. Ends early with a reply to any job, or with another owner.
  Millis paused_until;
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

/// Sort key of waiting tasks: priority, interrupted long-running tasks and then other long-running
/// tasks first, target time of the job, task.
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
  /// By step and by the job that asked. Borrowed jobs of one step ask separately.
  std::map<std::pair<StepName, JobId>, Reservation> reservations;
  std::vector<WorkerHold> holds;
  /// Earliest time of the next request to a cell that reports no capacity.
  Millis next_probe;
  /// The job that sent the last one. Empty at the beginning of each cycle.
  JobId last_probe;
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
  Millis load_counted_at;
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
  /// Earliest time of the next check whether short tasks are to be stopped on kept workers.
  Millis next_eviction;
};

}  // namespace currantpost::scheduler
