#include <utility>

#include "internal.h"

/// Workers of owned cells: sends polls and orders, and handles the replies.

namespace currantpost::scheduler {
namespace {

/// Fencing tokens reserved for each grant. A token is the revision of the grant times this number
/// plus the worker's fence, so any later grant has higher tokens than all fences of this one.
constexpr FencingToken kFencesPerGrant = FencingToken{1} << 20U;
/// How long a poll waits at the worker for a run to end. Each poll renews the lease, so the lease
/// is renewed about once a second.
constexpr Millis kPollWait = Millis(1'000);
/// Wait of a poll where best-effort tasks may disturb long-running ones: the measurements in a
/// reply cover half a second.
constexpr Millis kMixedLoadPollWait = Millis(500);
/// Wait of a poll while this owner may not renew the lease yet: the next poll renews it.
constexpr Millis kUnrenewedPollWait = Millis(100);
/// A worker that answered its last poll longer ago than this may have restarted since. Longer than
/// a poll and the pause after it.
constexpr Millis kIncarnationFreshness = Millis(2'000);
/// Maximum delay of the next poll while ended runs wait to be recorded. Without the delay the
/// worker would reply with the same ended runs at once.
constexpr Millis kUnrecordedEndsPollDelay = Millis(400);
/// Backoff after a poll or an order that the worker did not answer; a poll multiplies it by the
/// number of consecutive failures, up to the maximum.
constexpr Millis kFailedPollBackoff = Millis(200);
constexpr Millis kMaxFailedPollBackoff = Millis(1'000);
/// Backoff after a refusal that does not say when to retry.
constexpr Millis kRefusalBackoff = Millis(300);
/// Maximum number of stops in flight for one worker; each uses a connection.
constexpr size_t kMaxConcurrentStops = 8;
/// Maximum number of ended runs that a worker lists in one reply.
constexpr size_t kMaxEndsPerReply = 500;
/// A stop is sent again if the worker has not listed the end of the run this long after
/// `Settings::stop_time`.
constexpr Millis kStopGrace = Millis(1'500);
/// Delay before a failed stop is sent again.
constexpr Millis kStopRetryDelay = Millis(500);
/// Number of consecutive failed runs after which a worker is quarantined. Assumes that
/// 5 % of runs fail for reasons unrelated to the worker; two in a row then happen by chance once in
/// 400 times.
constexpr int32_t kFailuresToQuarantine = 2;
constexpr Millis kQuarantine = Millis(2'000);
constexpr Millis kMaxQuarantine = Millis(8'000);
/// Delay before a task is started again after the worker rejected its start as invalid.
constexpr Millis kInvalidStartDelay = Millis(1'000);

/// Maximum time between two checks of a worker for which nothing has changed.
constexpr Millis kMaxCheckInterval = Millis(1'000);

FencingToken TokenOf(const OwnedCell& cell, const WorkerState& worker) {
  return cell.grant * kFencesPerGrant + worker.fence;
}

/// Invalidates all orders that may still arrive at the worker, and polls it for its present state.
void RaiseFence(State& state, WorkerState& worker) {
  ++worker.fence;
  worker.confirmed = false;
  worker.next_poll = state.now;
}

/// Returns whether the worker answered a poll so recently that it can hardly have restarted since.
bool IsIncarnationFresh(const State& state, const WorkerState& worker) {
  return worker.clock_ms && state.now - worker.clock_at <= kIncarnationFreshness;
}

/// Returns the lowest time that the worker's clock, which may be slow, can show now, in
/// milliseconds.
int64_t MinWorkerClock(const State& state, const WorkerState& worker) {
  const int64_t passed = (state.now - worker.clock_at).Count();
  return *worker.clock_ms + passed - passed * kClockDriftPercent / 100;
}

/// Returns the time, by the worker's clock, up to which this entry may let its tasks run, or
/// nothing if it may not renew the lease.
std::optional<int64_t> NextLeaseEnd(const State& state, const OwnedCell& cell,
                                    const WorkerState& worker) {
  if (!worker.clock_ms || !MayRenewLease(cell, worker)) return std::nullopt;

  const Millis longest = std::min(kWorkerLeaseTtl, state.settings.max_worker_lease);
  const Millis beyond_own_lease =
      IsOutageConfirmed(state, cell) ? kStoreOutageRenewalPeriod : kUnconfirmedRenewalPeriod;
  const Millis horizon = std::min(state.now + longest, state.lease.valid_until + beyond_own_lease);
  if (horizon <= state.now) return std::nullopt;

  return MinWorkerClock(state, worker) + (horizon - state.now).Count();
}

/// Extends the bound on the worker's lease, because an order that grants a lease until `until` is
/// about to be sent.
void ExtendLeaseBound(const State& state, WorkerState& worker, std::optional<int64_t> until) {
  if (!until) return;

  const Millis span(*until - MinWorkerClock(state, worker));
  worker.lease.own = std::max(worker.lease.own, state.now + MaxLeaseDuration(span));
}

/// Extends the bound on the worker's lease to the longest lease that a worker grants. A restarted
/// worker cuts a lease end computed for its former clock to that length.
void ExtendLeaseBoundToMax(const State& state, WorkerState& worker) {
  const Millis expiry = state.now + MaxLeaseDuration(state.settings.max_worker_lease);
  worker.lease.own = std::max(worker.lease.own, expiry);
}

bool IsOnWorker(TaskPhase phase) {
  return phase == TaskPhase::kRunning || phase == TaskPhase::kStopping;
}

/// Returns whether the start of a task may have reached a later incarnation of its worker than the
/// one that the task was bound to: the start was sent, and no poll has listed the run yet.
bool MayHaveReachedNewIncarnation(const TaskState& task) {
  const bool started =
      task.phase == TaskPhase::kStarting ? task.start_sent : IsOnWorker(task.phase);
  return started && !task.listed;
}

/// Handles a restart of a worker: no run of the former incarnation is left. Runs whose start may
/// have reached the new incarnation are settled by the next poll.
void HandleNewIncarnation(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                          int64_t incarnation) {
  const bool is_first = worker.info.incarnation == 0;

  if (!is_first) {
    Log(effects, Severity::kInfo, "worker has restarted",
        {{"worker", worker.info.id.Text()}, {"tasks", std::to_string(worker.tasks.size())}});
  }

  worker.info.incarnation = incarnation;
  ++worker.fence;
  worker.confirmed = false;
  worker.polls.clear();
  worker.next_poll = state.now;
  worker.clock_ms.reset();
  worker.order_request = 0;
  worker.next_order = state.now;
  worker.stops.clear();
  worker.ends.clear();
  worker.forgotten = 0;
  worker.orphaned_runs.clear();

  const std::vector<TaskRef> refs(worker.tasks.begin(), worker.tasks.end());

  for (const TaskRef& ref : refs) {
    const TaskState* task = FindTask(cell, ref);
    if (task == nullptr || task->worker_incarnation >= incarnation) continue;

    if (MayHaveReachedNewIncarnation(*task)) {
      ExtendLeaseBoundToMax(state, worker);
    } else {
      HandleLostRun(state, effects, cell, ref, "the worker has restarted");
    }
  }
}

/// Logs how long a worker's leases may still last, and why.
void LogLeaseState(const State& state, Effects& effects, const OwnedCell& cell,
                   const WorkerState& worker, std::string message) {
  const Millis answered = worker.contacted ? state.now - worker.answered_at : Millis(-1);
  Log(effects, Severity::kInfo, std::move(message),
      {{"worker", worker.info.id.Text()},
       {"cell", cell.cell.Text()},
       {"tasks", std::to_string(worker.tasks.size())},
       {"own_ms", std::to_string((worker.lease.own - state.now).Count())},
       {"inherited_ms", std::to_string((worker.lease.inherited.any - state.now).Count())},
       {"inherited_listed_ms", std::to_string((worker.lease.inherited.listed - state.now).Count())},
       {"answered_ms", std::to_string(answered.Count())},
       {"owned_ms", std::to_string((state.now - cell.taken_over_at).Count())},
       {"listed", worker.listed ? "yes" : "no"},
       {"address", worker.info.address.port == 0 ? "unknown" : "known"},
       {"draining", worker.info.draining ? "yes" : "no"}});
}

/// Returns whether a worker does not answer, or cannot be polled because its address is unknown.
bool HasFailedPollsOrNoAddress(const WorkerState& worker) {
  return worker.failed_polls > 0 || worker.info.address.port == 0;
}

/// Requeues the tasks of a worker once its lease has surely expired.
void RequeueExpiredTasks(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker) {
  if (worker.tasks.empty()) return;

  const bool all_expired = state.now >= worker.lease.Expiry();
  const bool listed_expired = state.now >= worker.lease.ListedExpiry();

  if (!listed_expired) WakeAt(state, worker.lease.ListedExpiry());

  if (!all_expired) {
    if (HasFailedPollsOrNoAddress(worker) && !std::exchange(worker.wait_logged, true)) {
      LogLeaseState(
          state, effects, cell, worker,
          "worker does not answer or has no known address; its tasks wait until its lease expires");
    }
    WakeAt(state, worker.lease.Expiry());
    if (!listed_expired) return;
  }

  const std::vector<TaskRef> refs(worker.tasks.begin(), worker.tasks.end());
  bool lost = false;

  for (const TaskRef& ref : refs) {
    const TaskState& task = *FindTask(cell, ref);
    const bool may_run = task.phase == TaskPhase::kRunning || task.phase == TaskPhase::kStopping ||
                         (task.phase == TaskPhase::kStarting && task.start_sent);
    if (!may_run || !(all_expired || task.listed)) continue;

    if (!lost) {
      LogLeaseState(state, effects, cell, worker,
                    "lease of a worker has expired; its runs are treated as lost");
    }
    HandleLostRun(state, effects, cell, ref, "the worker's lease has expired");
    lost = true;
  }

  if (lost) RaiseFence(state, worker);
}

/// Logs the first renewal under a grant: from then on the tasks of the cell's workers that have
/// answered are safe.
void LogFirstRenewal(const State& state, Effects& effects, OwnedCell& cell) {
  if (std::exchange(cell.has_renewed, true)) return;

  int64_t with_tasks = 0;
  int64_t answered = 0;

  for (const auto& [id, worker] : cell.workers) {
    if (worker.tasks.empty()) continue;

    ++with_tasks;
    if (worker.contacted) ++answered;
  }

  Log(effects, Severity::kInfo, "renewing the leases of a cell's workers",
      {{"cell", cell.cell.Text()},
       {"owned_ms", std::to_string((state.now - cell.taken_over_at).Count())},
       {"open_ms", std::to_string((state.now - cell.opened_at).Count())},
       {"workers_with_tasks", std::to_string(with_tasks)},
       {"answered", std::to_string(answered)}});
}

bool HasMixedLoad(const WorkerState& worker) {
  return worker.long_running_millicores > 0 && worker.best_effort_millicores > 0;
}

/// Returns whether the worker needs a lease renewal: it has a run that is still needed, or an ended
/// run whose result would be lost without one.
bool NeedsLease(const OwnedCell& cell, const WorkerState& worker) {
  if (!worker.ends.empty()) return true;

  return std::ranges::any_of(worker.tasks, [&](const TaskRef& ref) {
    const JobState& job = cell.jobs.at(ref.job);
    return !job.cancelled && !job.attempts_exhausted;
  });
}

/// Returns the number up to which the worker may discard the ended runs that it lists, 0 for none.
/// A number that was sent before is not repeated unless the worker still lists the ends: a new
/// incarnation that this entry has not seen yet would apply it to its own ends.
int64_t EndsToForget(const State& state, const WorkerState& worker) {
  // The worker may have restarted, and each incarnation numbers its ended runs from the start.
  if (worker.failed_polls > 0 || !IsIncarnationFresh(state, worker)) return 0;

  int64_t up_to = 0;

  for (const auto& [number, end] : worker.ends) {
    if (!end.recorded) break;
    up_to = number;
  }

  const bool sent = std::ranges::any_of(
      worker.polls, [&](const PollInFlight& poll) { return poll.forget_up_to >= up_to; });
  return sent ? 0 : up_to;
}

void SendDuePoll(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker) {
  const bool listed_without_answer = worker.listed && worker.failed_polls > 0;
  const bool needed = listed_without_answer || !worker.confirmed || !worker.tasks.empty() ||
                      !worker.ends.empty() || !worker.orphaned_runs.empty();
  if (!needed || worker.info.address.port == 0) return;

  const FencingToken token = TokenOf(cell, worker);
  const bool in_flight = std::ranges::any_of(
      worker.polls, [&](const PollInFlight& poll) { return poll.token == token; });
  if (in_flight) return;

  if (state.now < worker.next_poll) {
    WakeAt(state, worker.next_poll);
    return;
  }

  PollWorker order;
  // After a failed poll, the next one renews nothing: an unanswered renewal may have taken effect,
  // and repeated ones would extend the lease bound forever.
  const bool needs_lease = NeedsLease(cell, worker);
  const bool incarnation_fresh = IsIncarnationFresh(state, worker);
  const bool renew = worker.failed_polls == 0 && needs_lease && incarnation_fresh;
  if (renew) order.lease_until_ms = NextLeaseEnd(state, cell, worker);
  order.forget_up_to = EndsToForget(state, worker);
  if (worker.confirmed && incarnation_fresh) {
    order.wait = HasMixedLoad(worker) ? kMixedLoadPollWait : kPollWait;
  }

  if (needs_lease && !MayRenewLease(cell, worker)) {
    order.wait = std::min(order.wait, kUnrenewedPollWait);
  }
  ExtendLeaseBound(state, worker, order.lease_until_ms);
  if (order.lease_until_ms) LogFirstRenewal(state, effects, cell);

  PollInFlight poll;
  poll.request = NextRequest(state);
  poll.token = token;
  poll.sequence = ++state.worker_event_sequence;
  poll.forget_up_to = order.forget_up_to;
  worker.polls.push_back(poll);
  state.worker_calls[poll.request] = WorkerCallInFlight{cell.cell, worker.info.id, true};
  effects.emplace_back(WorkerCall{.request = poll.request,
                                  .worker = worker.info.id,
                                  .address = worker.info.address,
                                  .token = token,
                                  .order = order,
                                  .timeout = order.wait + kOrderTimeout});
}

/// Returns whether a stop order for a task is due now.
bool IsStopDue(const State& state, const TaskState& task) {
  return task.phase == TaskPhase::kStopping && state.now >= task.next_stop;
}

/// Returns whether a job's queue belongs to the worker's service. A worker that has not been
/// announced yet has no known service.
bool RunsJobsOf(const State& state, const WorkerState& worker, const JobRecord& record) {
  return worker.info.service.empty() || worker.info.service == ServiceOf(state, record);
}

/// Returns the order that is due for a task, if there is one.
std::optional<WorkerOrder> NextTaskOrder(State& state, OwnedCell& cell, WorkerState& worker,
                                         const TaskRef& ref) {
  TaskState& task = *FindTask(cell, ref);
  const JobState& job = cell.jobs.at(ref.job);

  switch (task.phase) {
    case TaskPhase::kStarting: {
      if (task.start_sent || worker.info.draining || !HoldsLease(state)) return std::nullopt;
      if (!RunsJobsOf(state, worker, job.record)) return std::nullopt;
      if (!CancelsAreCurrent(state) || !IsRegistrationCurrent(state, worker)) return std::nullopt;
      // A restarted worker cuts a lease end computed for its former clock only to the longest lease
      // that it grants.
      if (!IsIncarnationFresh(state, worker)) return std::nullopt;

      const std::optional<int64_t> until = NextLeaseEnd(state, cell, worker);
      if (!until) return std::nullopt;

      ExtendLeaseBound(state, worker, until);
      task.start_sent = true;
      task.start_sequence = ++state.worker_event_sequence;
      return StartTask{.task = NameOf(job, ref),
                       .run = task.run,
                       .payload = job.record.spec.payload,
                       .checkpoint = task.checkpoint,
                       .lease_until_ms = *until};
    }
    case TaskPhase::kStopping:
      if (!IsStopDue(state, task)) return std::nullopt;

      task.next_stop = state.now + state.settings.stop_time + kStopGrace;
      return StopTask{NameOf(job, ref), task.run};
    case TaskPhase::kRunning:
      if (task.sent_speed_percent == task.target_speed_percent) return std::nullopt;
      return SetTaskSpeed{NameOf(job, ref), task.run, task.target_speed_percent};
    default:
      return std::nullopt;
  }
}

/// Returns the next stop order that is due.
std::optional<WorkerOrder> NextStop(State& state, OwnedCell& cell, WorkerState& worker) {
  if (!worker.has_stopping_tasks) return std::nullopt;

  worker.has_stopping_tasks = false;

  for (const TaskRef& ref : worker.tasks) {
    const TaskState& task = *FindTask(cell, ref);
    if (task.phase != TaskPhase::kStopping) continue;

    worker.has_stopping_tasks = true;
    if (IsStopDue(state, task)) return NextTaskOrder(state, cell, worker, ref);

    WakeAt(state, task.next_stop);
  }

  return std::nullopt;
}

std::optional<WorkerOrder> NextOrder(State& state, OwnedCell& cell, WorkerState& worker) {
  if (!worker.orphaned_runs.empty()) {
    const auto orphaned = worker.orphaned_runs.begin();
    const StopTask order{orphaned->first, orphaned->second};
    worker.orphaned_runs.erase(orphaned);
    return order;
  }

  // Starts and speed changes are left to the next owner.
  if (cell.releasing) return std::nullopt;

  for (const TaskRef& ref : worker.tasks) {
    if (auto order = NextTaskOrder(state, cell, worker, ref)) return order;
  }

  return std::nullopt;
}

void SendOrder(State& state, Effects& effects, const OwnedCell& cell, const WorkerState& worker,
               RequestId request, WorkerOrder order) {
  ++state.worker_event_sequence;
  state.worker_calls[request] = WorkerCallInFlight{cell.cell, worker.info.id, false};
  effects.emplace_back(WorkerCall{.request = request,
                                  .worker = worker.info.id,
                                  .address = worker.info.address,
                                  .token = TokenOf(cell, worker),
                                  .order = std::move(order),
                                  .timeout = kOrderTimeout});
}

/// Sends the stops that are due, several at once: an entry that handles replies a second late would
/// otherwise need that second for each stop.
void SendDueStops(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker) {
  if (!worker.confirmed) return;

  while (worker.stops.size() < kMaxConcurrentStops) {
    const std::optional<WorkerOrder> stop = NextStop(state, cell, worker);
    if (!stop) return;

    const RequestId request = NextRequest(state);
    worker.stops[request] = std::get<StopTask>(*stop);
    SendOrder(state, effects, cell, worker, request, *stop);
  }
}

void SendDueOrder(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker) {
  if (worker.order_request != 0 || !worker.confirmed) return;

  if (state.now < worker.next_order) {
    if (!worker.tasks.empty()) WakeAt(state, worker.next_order);
    return;
  }

  std::optional<WorkerOrder> order = NextOrder(state, cell, worker);
  if (!order) return;

  worker.order_request = NextRequest(state);
  worker.order = *order;
  SendOrder(state, effects, cell, worker, worker.order_request, *std::move(order));
}

/// Reads the registry entry of a worker to which starts are to be sent, if the copy of the registry
/// is too old for that.
void ReadRegistration(State& state, Effects& effects, const OwnedCell& cell, WorkerState& worker) {
  if (worker.registration_request != 0 || cell.releasing) return;
  if (!worker.confirmed || !HoldsLease(state)) return;
  if (IsRegistrationCurrent(state, worker)) return;

  const bool awaits_start = std::ranges::any_of(worker.tasks, [&](const TaskRef& ref) {
    const JobState& job = cell.jobs.at(ref.job);
    const TaskState& task = job.occurrences[static_cast<size_t>(ref.occurrence)]
                                .steps[static_cast<size_t>(ref.step)]
                                .tasks[static_cast<size_t>(ref.index)];
    return task.phase == TaskPhase::kStarting && !task.start_sent;
  });
  if (!awaits_start) return;

  const Millis retry_at = worker.registration_sent_at + kStoreRetryDelay;
  if (state.now < retry_at) return WakeAt(state, retry_at);

  worker.registration_sent_at = state.now;
  worker.registration_request =
      CallStore(state, effects, WorkerRead{cell.cell, cell.grant, worker.info.id},
                ReadWorker{worker.info.id});
}

/// Returns whether starts that were not sent to the worker yet should be sent to another worker.
bool IsClosedToStarts(const WorkerState& worker) {
  return worker.info.draining || !worker.listed ||
         worker.failed_polls >= kFailedPollsUntilUnresponsive;
}

/// Requeues the worker's tasks whose starts were not sent yet and may not be sent any more: all of
/// them if the worker accepts no starts or the cell is being released, otherwise those whose queue
/// now belongs to another service.
void RequeueUnsentStarts(State& state, OwnedCell& cell, WorkerState& worker) {
  const bool all = cell.releasing || IsClosedToStarts(worker);
  std::vector<TaskRef> refs;

  for (const TaskRef& ref : worker.tasks) {
    const TaskState& task = *FindTask(cell, ref);
    if (task.phase != TaskPhase::kStarting || task.start_sent) continue;
    if (all || !RunsJobsOf(state, worker, cell.jobs.at(ref.job).record)) refs.push_back(ref);
  }

  for (const TaskRef& ref : refs) {
    RequeueTask(state, cell, cell.jobs.at(ref.job), ref, state.now);
  }
}

/// Counts a failure of a worker, and quarantines the worker after several in a row.
void RecordWorkerFailure(State& state, Effects& effects, WorkerState& worker) {
  ++worker.failures_in_row;
  if (worker.failures_in_row < kFailuresToQuarantine) return;

  const int64_t times = int64_t{1} << std::min(worker.failures_in_row - kFailuresToQuarantine, 4);
  const Millis span = std::min(kQuarantine * times, kMaxQuarantine);
  worker.quarantined_until = state.now + span;
  Log(effects, Severity::kInfo, "worker is quarantined",
      {{"worker", worker.info.id.Text()},
       {"failures", std::to_string(worker.failures_in_row)},
       {"for_ms", std::to_string(span.Count())}});
}

/// Adds up, for the log, the time that a best-effort task lost since the previous poll.
void AccumulateLostTime(const State& state, JobState& job, const StepSpec& spec, TaskState& task) {
  const Millis span = state.now - std::max(task.last_seen_running_at, task.began);
  task.last_seen_running_at = state.now;
  if (!spec.best_effort || spec.need.millicores <= 0) return;

  const int32_t speed = task.sent_speed_percent == kUnknownSpeed ? 100 : task.sent_speed_percent;
  const Millis throttled(span.Count() * (100 - speed) / 100);
  const Millis used(span.Count() * task.last_measurement / spec.need.millicores);
  job.best_effort_time = job.best_effort_time + span;
  job.throttled_time = job.throttled_time + throttled;
  job.starved_time = job.starved_time + std::max(span - throttled - used, Millis(0));
}

/// Marks a job as active once a worker has started a run of it.
void RecordRunStart(const State& state, Effects& effects, OwnedCell& cell, JobState& job,
                    const WorkerState& worker) {
  if (job.phase != JobPhase::kQueued) return;

  MarkActive(cell, job);
  Log(effects, Severity::kInfo, "job has started",
      {{"job", job.record.spec.job.Text()},
       {"cell", cell.cell.Text()},
       {"worker", worker.info.id.Text()},
       {"bound_ms",
        std::to_string((state.now - job.first_bound_at.value_or(job.taken_over_at)).Count())}});
}

/// Notes that a poll has listed the current run of a task. For long-running tasks this is recorded,
/// so that a successor does not wait for the lease of a run that ended with its worker's
/// incarnation.
void RecordListedRun(OwnedCell& cell, JobState& job, const TaskRef& ref, TaskState& task,
                     const WorkerState& worker) {
  task.worker_incarnation = worker.info.incarnation;
  if (std::exchange(task.listed, true) || !SpecOf(job, ref).is_long_running) return;

  MarkDirty(cell, job);
}

void HandleRunningTask(const State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                       const RunningTask& row) {
  const TaskRef ref = RefOf(cell, row.task);
  TaskState* task = FindTask(cell, ref);
  const bool bound = task != nullptr && worker.tasks.contains(ref) && task->run == row.run;

  if (!bound) {
    worker.orphaned_runs[row.task] = row.run;
    return;
  }

  if (!row.checkpoint.empty()) task->checkpoint = row.checkpoint;
  task->last_measurement = row.last_measurement;
  JobState& job = cell.jobs.at(ref.job);
  RecordRunStart(state, effects, cell, job, worker);
  RecordListedRun(cell, job, ref, *task, worker);
  AccumulateLostTime(state, job, SpecOf(job, ref), *task);
  const bool must_stop = job.cancelled || job.attempts_exhausted;

  if (task->phase == TaskPhase::kStarting || task->phase == TaskPhase::kRunning) {
    task->phase = TaskPhase::kRunning;
    task->start_sent = true;
    if (must_stop) SetStopping(worker, *task);
  }
}

void HandleEndedTask(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                     const EndedTask& row) {
  if (row.number <= worker.forgotten || worker.ends.contains(row.number)) return;

  const TaskRef ref = RefOf(cell, row.task);
  TaskState* task = FindTask(cell, ref);
  RetainedEnd retained{.job = ref.job, .recorded = true};

  if (task != nullptr && worker.tasks.contains(ref) && task->run == row.run) {
    RecordRunStart(state, effects, cell, cell.jobs.at(ref.job), worker);
    if (row.end == RunEnd::kFailed) RecordWorkerFailure(state, effects, worker);
    if (row.end == RunEnd::kDone) worker.failures_in_row = 0;

    if (row.end != RunEnd::kDone) {
      Log(effects, Severity::kInfo, "run has ended",
          {{"job", ref.job.Text()},
           {"step", std::to_string(ref.step)},
           {"task", std::to_string(ref.index)},
           {"run", std::to_string(row.run)},
           {"worker", worker.info.id.Text()},
           {"end", std::string(kRunEndNames.Name(row.end))}});
    }

    HandleRunEnd(state, effects, cell, ref, row.end, row.checkpoint);
    const auto job = cell.jobs.find(ref.job);
    retained.recorded = job == cell.jobs.end();
    if (!retained.recorded) retained.version = job->second.version;
  }

  worker.ends[row.number] = retained;
}

/// Requeues tasks that the reply does not list although the poll was sent after their start was
/// settled.
void RequeueMissingTasks(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                         const PollInFlight& poll, const WorkerReply& reply) {
  if (reply.ended.size() >= kMaxEndsPerReply) return;

  std::set<TaskName> listed;
  for (const RunningTask& row : reply.running) listed.insert(row.task);

  const std::vector<TaskRef> refs(worker.tasks.begin(), worker.tasks.end());

  for (const TaskRef& ref : refs) {
    const TaskState& task = *FindTask(cell, ref);
    const JobState& job = cell.jobs.at(ref.job);
    const bool settled = task.phase == TaskPhase::kRunning || task.phase == TaskPhase::kStopping ||
                         (task.phase == TaskPhase::kStarting && task.start_sent);
    if (!settled || listed.contains(NameOf(job, ref))) continue;
    if (task.start_sequence >= poll.sequence || poll.token != TokenOf(cell, worker)) continue;

    // The reply to its start is still in flight.
    const auto* start = std::get_if<StartTask>(&worker.order);
    if (worker.order_request != 0 && start != nullptr && start->task == NameOf(job, ref)) continue;

    HandleLostRun(state, effects, cell, ref, "the worker does not list the run");
  }
}

void HandlePollReply(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                     const PollInFlight& poll, const WorkerReply& reply) {
  int64_t forgotten = poll.forget_up_to;

  // The reply comes from another incarnation than the known one.
  if (reply.incarnation != 0 && reply.incarnation != worker.info.incarnation) {
    if (reply.incarnation < worker.info.incarnation) {
      worker.next_poll = state.now + kRefusalBackoff;
      return;
    }
    HandleNewIncarnation(state, effects, cell, worker, reply.incarnation);
    // Each incarnation numbers its ended runs from the start.
    forgotten = 0;
  }

  if (std::exchange(worker.wait_logged, false)) {
    LogLeaseState(state, effects, cell, worker, "unresponsive worker answers again");
  }

  worker.failed_polls = 0;
  worker.answered_at = state.now;
  worker.next_poll = state.now;
  // The new measurements may show room for best-effort tasks.
  cell.placement_due = true;

  if (poll.token == TokenOf(cell, worker) && !worker.confirmed) {
    worker.confirmed = true;
    cell.placement_due = true;
  }

  if (worker.confirmed && !worker.contacted) {
    // The worker now rejects renewals by former owners; the leases that they granted expire within
    // the time to live.
    worker.contacted = true;
    worker.lease.inherited = InheritedBounds{};
    worker.lease.own = std::max(worker.lease.own, state.now + MaxLeaseDuration(kWorkerLeaseTtl));

    const bool other_incarnation = std::ranges::any_of(worker.tasks, [&](const TaskRef& ref) {
      return FindTask(cell, ref)->worker_incarnation < worker.info.incarnation;
    });
    if (other_incarnation) ExtendLeaseBoundToMax(state, worker);
  }

  // Replies on two connections may overtake each other; the lists of the older reply are ignored.
  const bool is_stale = worker.clock_ms && reply.clock_ms && *reply.clock_ms < *worker.clock_ms;

  if (reply.clock_ms && !is_stale) {
    worker.clock_ms = reply.clock_ms;
    worker.clock_at = state.now;
  }

  std::erase_if(worker.ends, [&](const auto& row) { return row.first <= forgotten; });
  worker.forgotten = std::max(worker.forgotten, forgotten);

  for (const EndedTask& row : reply.ended) HandleEndedTask(state, effects, cell, worker, row);

  if (!is_stale) {
    for (const RunningTask& row : reply.running) {
      HandleRunningTask(state, effects, cell, worker, row);
    }
    RequeueMissingTasks(state, effects, cell, worker, poll, reply);
    UpdateSpeeds(state, cell, worker);
  }

  const bool unrecorded =
      std::ranges::any_of(worker.ends, [](const auto& row) { return !row.second.recorded; });
  if (unrecorded) worker.next_poll = state.now + kUnrecordedEndsPollDelay;
}

void HandleFailedPoll(State& state, Effects& effects, WorkerState& worker, OrderStatus status) {
  ++worker.failed_polls;

  if (worker.failed_polls == 1) {
    Log(effects, Severity::kInfo, "poll of the worker failed",
        {{"worker", worker.info.id.Text()},
         {"status", std::string(kOrderStatusNames.Name(status))},
         {"tasks", std::to_string(worker.tasks.size())}});
  }

  const bool refused = status == OrderStatus::kFenced || status == OrderStatus::kOtherIncarnation;
  if (refused) worker.confirmed = false;

  const Millis pause =
      refused ? kRefusalBackoff
              : std::min(kFailedPollBackoff * worker.failed_polls, kMaxFailedPollBackoff);
  worker.next_poll = state.now + pause;
}

void HandleStartReply(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                      const StartTask& start, OrderStatus status) {
  const TaskRef ref = RefOf(cell, start.task);
  TaskState* task = FindTask(cell, ref);
  if (task == nullptr || !worker.tasks.contains(ref) || task->run != start.run) return;
  // A poll may have listed the run meanwhile.
  if (task->phase != TaskPhase::kStarting) return;

  task->start_sequence = ++state.worker_event_sequence;
  JobState& job = cell.jobs.at(ref.job);
  const bool must_stop = job.cancelled || job.attempts_exhausted;

  if (status == OrderStatus::kOk) {
    RecordRunStart(state, effects, cell, job, worker);
    task->phase = TaskPhase::kRunning;
    if (must_stop) SetStopping(worker, *task);
    worker.answered_at = state.now;
    // The run works at full speed until an order changes that.
    if (SpecOf(job, ref).best_effort) UpdateSpeeds(state, cell, worker);
    return;
  }

  Log(effects, Severity::kInfo, "start order failed",
      {{"job", ref.job.Text()},
       {"step", std::to_string(ref.step)},
       {"task", std::to_string(ref.index)},
       {"run", std::to_string(start.run)},
       {"worker", worker.info.id.Text()},
       {"status", std::string(kOrderStatusNames.Name(status))}});

  Millis not_before = state.now;

  switch (status) {
    case OrderStatus::kUnknown:
      RaiseFence(state, worker);
      return;
    case OrderStatus::kFenced:
    case OrderStatus::kLeaseExpired:
      worker.confirmed = false;
      worker.next_poll = state.now;
      if (must_stop) break;

      task->start_sent = false;
      return;
    case OrderStatus::kUnreachable:
    case OrderStatus::kOtherIncarnation:
      worker.confirmed = false;
      worker.next_poll = state.now + kFailedPollBackoff;
      break;
    case OrderStatus::kUnhealthy:
      RecordWorkerFailure(state, effects, worker);
      worker.quarantined_until = std::max(worker.quarantined_until, state.now + kRefusalBackoff);
      break;
    case OrderStatus::kInvalid:
      not_before = state.now + kInvalidStartDelay;
      break;
    default:
      worker.quarantined_until = std::max(worker.quarantined_until, state.now + kRefusalBackoff);
      break;
  }

  if (must_stop) {
    UnbindTask(state, cell, job, ref);
  } else {
    RequeueTask(state, cell, job, ref, not_before);
  }

  FinalizeJobIfDone(state, effects, cell, ref.job);
}

void HandleStopReply(const State& state, Effects& effects, OwnedCell& cell,
                     const WorkerState& worker, const StopTask& stop, OrderStatus status) {
  if (status == OrderStatus::kOk) return;

  Log(effects, Severity::kInfo, "stop order failed",
      {{"job", stop.task.job.Text()},
       {"step", std::to_string(stop.task.step)},
       {"task", std::to_string(stop.task.index)},
       {"run", std::to_string(stop.run)},
       {"worker", worker.info.id.Text()},
       {"status", std::string(kOrderStatusNames.Name(status))}});

  // The run is over already; the next poll lists its end.
  if (status == OrderStatus::kStaleRun) return;

  TaskState* task = FindTask(cell, RefOf(cell, stop.task));
  if (task != nullptr && task->run == stop.run) task->next_stop = state.now + kStopRetryDelay;
}

void HandleOrderReply(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                      const WorkerReply& reply) {
  const WorkerOrder order = std::move(worker.order);
  worker.order_request = 0;

  if (const auto* start = std::get_if<StartTask>(&order)) {
    HandleStartReply(state, effects, cell, worker, *start, reply.status);
    return;
  }

  if (const auto* speed = std::get_if<SetTaskSpeed>(&order)) {
    TaskState* task = FindTask(cell, RefOf(cell, speed->task));
    if (task == nullptr || task->run != speed->run) return;

    // An order without a reply is sent again.
    if (reply.status == OrderStatus::kOk) task->sent_speed_percent = speed->percent;
  }

  if (reply.status != OrderStatus::kOk) worker.next_order = state.now + kRefusalBackoff;
}

/// Returns whether the state of a worker can be dropped without losing anything.
bool IsIdle(const WorkerState& worker) {
  const bool recorded =
      std::ranges::all_of(worker.ends, [](const auto& row) { return row.second.recorded; });
  return recorded && worker.tasks.empty() && worker.polls.empty() && worker.order_request == 0 &&
         worker.stops.empty() && worker.reservations == 0;
}

}  // namespace

WorkerState& FindOrAddWorker(OwnedCell& cell, const VmId& id) {
  const auto [found, added] = cell.workers.try_emplace(id);

  if (added) {
    found->second.info.id = id;
    found->second.fence = cell.dropped_fence + 1;
    found->second.lease.inherited = InheritedExpiry(cell, id);
  }

  return found->second;
}

void LogPendingLeaseWaits(const State& state, Effects& effects, const OwnedCell& cell) {
  for (const auto& [id, worker] : cell.workers) {
    if (worker.tasks.empty() || (worker.contacted && !HasFailedPollsOrNoAddress(worker))) continue;

    LogLeaseState(state, effects, cell, worker, "releasing a cell while a worker does not answer");
  }
}

void ApplyRegistryItem(State& state, const StoreItem& item) {
  const VmId id(item.key);

  if (item.removed || !item.worker) {
    state.registry.erase(id);
    return;
  }

  WorkerAnnouncement& known = state.registry[id];
  // An incarnation that drains does so to its end. An older change may arrive after a read.
  const bool drains = known.draining && known.incarnation == item.worker->incarnation;
  known = *item.worker;
  known.draining = known.draining || drains;
}

void HandleWorkerRead(State& state, Effects& effects, const WorkerRead& read,
                      const StoreReply& reply) {
  OwnedCell* cell = FindCell(state, read.cell, read.grant);
  if (cell == nullptr) return;

  const auto found = cell->workers.find(read.worker);
  if (found == cell->workers.end()) return;

  WorkerState& worker = found->second;
  worker.registration_request = 0;
  const bool is_gone = reply.status == StoreStatus::kNotFound;
  if (reply.status != StoreStatus::kOk && !is_gone) return;

  worker.registration_known_at = worker.registration_sent_at;
  if (is_gone) {
    ApplyRegistryItem(state, StoreItem{.key = read.worker.Text(), .removed = true});
  }
  for (const StoreItem& item : reply.items) ApplyRegistryItem(state, item);
  ApplyRegistry(state, effects);
}

void ApplyRegistry(State& state, Effects& effects) {
  state.new_racks.recount = true;

  for (auto& [id, cell] : state.cells) {
    if (!cell.open) continue;

    for (auto& [worker_id, worker] : cell.workers) {
      const bool listed = state.registry.contains(worker_id);
      const bool dropped = std::exchange(worker.listed, listed) && !listed;
      if (dropped) {
        LogLeaseState(state, effects, cell, worker, "worker was removed from the registry");
      }
    }
  }

  for (const auto& [worker_id, info] : state.registry) {
    const auto cell_id = state.view.layout.cell_of_rack.find(info.rack);
    if (cell_id == state.view.layout.cell_of_rack.end()) continue;

    const auto cell = state.cells.find(cell_id->second);
    if (cell == state.cells.end() || !cell->second.open) continue;

    WorkerState& worker = FindOrAddWorker(cell->second, worker_id);
    const int64_t known_incarnation = worker.info.incarnation;
    if (info.incarnation < known_incarnation) continue;

    const bool began_draining = info.draining && !worker.info.draining;
    worker.info = info;
    worker.info.incarnation = known_incarnation;
    worker.listed = true;

    if (info.incarnation > known_incarnation) {
      HandleNewIncarnation(state, effects, cell->second, worker, info.incarnation);
    }

    if (began_draining) {
      Log(effects, Severity::kInfo, "worker is draining",
          {{"worker", worker_id.Text()}, {"tasks", std::to_string(worker.tasks.size())}});
    }

    cell->second.placement_due = true;
  }
}

void UpdateWorkers(State& state, Effects& effects, OwnedCell& cell) {
  const bool all = std::exchange(cell.worker_update_due, false);
  const Millis wake_at = state.wake_at;

  for (auto row = cell.workers.begin(); row != cell.workers.end();) {
    WorkerState& worker = row->second;

    if (!all && !worker.needs_update && state.now < worker.due_at) {
      ++row;
      continue;
    }

    worker.needs_update = false;
    state.wake_at = state.now + kMaxCheckInterval;
    RequeueUnsentStarts(state, cell, worker);
    RequeueExpiredTasks(state, effects, cell, worker);
    SendDuePoll(state, effects, cell, worker);
    SendDueStops(state, effects, cell, worker);
    SendDueOrder(state, effects, cell, worker);
    ReadRegistration(state, effects, cell, worker);
    worker.due_at = state.wake_at;

    if (!worker.listed && IsIdle(worker)) {
      cell.dropped_fence = std::max(cell.dropped_fence, worker.fence);
      row = cell.workers.erase(row);
    } else {
      ++row;
    }
  }

  state.wake_at = wake_at;
  for (const auto& [id, worker] : cell.workers) WakeAt(state, worker.due_at);
}

void HandleWorkerAnswered(State& state, Effects& effects, const WorkerAnswered& answered) {
  const auto purpose = state.worker_calls.find(answered.request);
  if (purpose == state.worker_calls.end()) return;

  const WorkerCallInFlight call = purpose->second;
  state.worker_calls.erase(purpose);

  const auto cell = state.cells.find(call.cell);
  if (cell == state.cells.end()) return;

  const auto found = cell->second.workers.find(call.worker);
  if (found == cell->second.workers.end()) return;

  WorkerState& worker = found->second;
  worker.needs_update = true;

  if (const auto stop = worker.stops.find(answered.request); stop != worker.stops.end()) {
    const StopTask order = stop->second;
    worker.stops.erase(stop);
    HandleStopReply(state, effects, cell->second, worker, order, answered.reply.status);
    return;
  }

  if (!call.poll) {
    if (worker.order_request == answered.request) {
      HandleOrderReply(state, effects, cell->second, worker, answered.reply);
    }
    return;
  }

  const auto poll = std::ranges::find(worker.polls, answered.request, &PollInFlight::request);
  if (poll == worker.polls.end()) return;

  const PollInFlight sent = *poll;
  worker.polls.erase(poll);

  if (answered.reply.status == OrderStatus::kOk) {
    HandlePollReply(state, effects, cell->second, worker, sent, answered.reply);
  } else {
    HandleFailedPoll(state, effects, worker, answered.reply.status);
  }
}

}  // namespace currantpost::scheduler
