#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/scheduler/records.h"
#include "currantpost/scheduler/store.h"
#include "currantpost/scheduler/worker.h"

/// Jobs of owned cells and their tasks.

namespace currantpost::scheduler {

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
  /// Since when it has been in the phase `kWaiting`, in this cell and those that passed it on.
  Millis waiting_since;
  /// Since when it has been in that phase in this cell.
  Millis queued_at;
  /// How long it had waited before in cells that passed it on, until it waits here.
  Millis waited_before;
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
  /// How often it was stopped to make room for an interrupted long-running task.
  int32_t evictions = 0;
  /// When a poll last listed it as running.
  Millis last_seen_running_at;
  /// Stress of a long-running task, derived from its tail latency: 0 when unloaded, towards 1 as
  /// the tail latency grows without bound.
  std::optional<double> stress;
  /// Since when its tail latency has been above its target, without being clearly below since.
  std::optional<Millis> over_since;
  /// When that was last logged.
  std::optional<Millis> over_logged_at;
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

/// What the search for capacity did for a job's waiting tasks since it was last logged.
struct SearchCounts {
  int32_t asked_own_cells = 0;
  int32_t asked_other_cells = 0;
  /// Searches that found no cell to ask.
  int32_t without_cell = 0;
  /// Replies of cells that keep a worker, and of cells that neither have capacity nor keep a
  /// worker.
  int32_t kept = 0;
  int32_t declined = 0;
  int32_t unanswered = 0;
  /// Workers that were offered to the tasks.
  int32_t offered = 0;
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
    /// The owner had offered a worker.
    bool is_offered = false;
  };
  std::optional<PendingReservation> reservation;
  /// A cell whose owner keeps a worker for an interrupted task of the job, and has not been asked
  /// for it yet.
  struct OfferedWorker {
    CellId cell;
    Millis expires_at;
    /// By the clock of that owner.
    Millis offered_at;
  };
  std::vector<OfferedWorker> offers;
  /// Capacity in another cell for tasks on draining workers, which run until it is held.
  struct Evacuation {
    CellId to;
    /// Until when the reply is awaited, then until when the capacity is held.
    Millis expires_at;
    /// Number of tasks for which it is held, 0 before the reply.
    int32_t held = 0;
    Millis asked_at;
  };
  std::optional<Evacuation> evacuation;
  /// Consecutive such requests without a reply.
  int32_t unanswered_reservations = 0;
  /// Earliest time of the next search for a cell to ask.
  Millis next_search;
  /// Cells that had no capacity for its tasks, and until when they are not asked again.
  std::map<CellId, Millis> declined_until;
  SearchCounts search;
  /// Earliest time of the next log line about a task that waits.
  Millis next_wait_log;
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

}  // namespace currantpost::scheduler
