#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/scheduler/job_state.h"
#include "currantpost/scheduler/reservation.h"
#include "currantpost/scheduler/worker.h"

/// Workers of owned cells.

namespace currantpost::scheduler {

/// End of a lease that an order grants to a worker.
struct LeaseGrant {
  /// By the worker's clock, in milliseconds.
  int64_t lease_until_ms = 0;
  /// The same by this entry's clock. The worker's clock shows it earlier by up to the age of the
  /// reading that this was computed from, so only schedules rely on it, no promise.
  Millis ends_at;
};

/// A poll of a worker that is in flight.
struct PollInFlight {
  RequestId request = 0;
  FencingToken token = 0;
  Millis sent_at;
  /// How long the worker may hold back its reply.
  Millis wait;
  /// Value of `worker_event_sequence` when it was sent.
  uint64_t sequence = 0;
  int64_t forget_up_to = 0;
  std::optional<LeaseGrant> grant;
};

/// End of a run that the worker keeps in its list until it is recorded in the store.
struct RetainedEnd {
  JobId job;
  uint64_t version = 0;
  bool recorded = false;
};

/// Bounds on the expiry of the leases at a worker, by the owner that granted them. The runs of an
/// unresponsive worker have ended by the latest of them.
struct LeaseBounds {
  /// Earliest expected expiry: of the longest lease that this owner granted in a poll which was
  /// answered.
  Millis earliest;
  /// Latest expiry of leases granted by this owner. Updated when an order that may renew the lease
  /// is sent.
  Millis own;
  /// Latest expiry of leases granted by former owners of the cell. Not used once the worker has
  /// answered under the current grant.
  Millis inherited;

  [[nodiscard]] Millis Expiry() const { return std::max(own, inherited); }
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
  /// The last incarnation that answered under the current grant, 0 if none did. It rejects orders
  /// of former owners.
  int64_t fenced_incarnation = 0;
  /// A later incarnation that the registry names, while the worker is asked about it, and since
  /// when it is asked. 0 if there is none.
  int64_t announced_incarnation = 0;
  Millis announced_at;
  /// An incarnation that the registry named although the worker has answered since as an earlier
  /// one, 0 if there is none.
  int64_t refuted_incarnation = 0;
  std::vector<PollInFlight> polls;
  Millis next_poll;
  /// Polls up to this sequence number no longer count as failed: a later one was answered, or an
  /// overlapping one has failed.
  uint64_t settled_polls = 0;
  /// Lease end granted since the worker last replied to a poll.
  std::optional<LeaseGrant> unanswered_grant;
  /// Last reading of the worker's clock.
  std::optional<int64_t> clock_ms;
  /// When the reply with that reading was handled, and when the poll that it answers was sent.
  Millis clock_at;
  Millis clock_sent_at;
  LeaseBounds lease;
  /// The wait for the expiry of its leases was logged.
  bool wait_logged = false;
  Millis answered_at;
  /// How long replies take beside the wait at the worker: the longest lately.
  Millis reply_delay;
  int32_t failed_polls = 0;
  /// By when the last poll should have been answered that failed since the worker's last reply.
  /// Empty too if this entry was away or behind, so that it would have read no reply in time.
  std::optional<Millis> unanswered_at;
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
  /// When the measurements of its tasks last arrived.
  Millis measured_at;
  /// Expected stress of the most stressed long-running task of each image when all best-effort
  /// tasks run at full speed. Empty if tasks or measurements have changed since it was computed.
  std::optional<std::map<std::string, double>> expected_stress;
};

}  // namespace currantpost::scheduler
