#include <utility>

#include "cell_workers.h"

/// Orders to workers: starts, stops and speed limits, and the replies to them.

namespace currantpost::scheduler {
namespace {

/// Maximum number of stops in flight for one worker; each uses a connection.
constexpr size_t kMaxConcurrentStops = 8;
/// A stop is sent again if the worker has not listed the end of the run this long after
/// `Settings::stop_time`.
constexpr Millis kStopGrace = Millis(1'500);
/// Delay before a failed stop is sent again.
constexpr Millis kStopRetryDelay = Millis(500);
/// Delay before a task is started again after the worker rejected its start as invalid.
constexpr Millis kInvalidStartDelay = Millis(1'000);

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
      // A worker that hasn't answered for a while may not be able to run the task.
      if (!HasAnsweredRecently(state, worker)) return std::nullopt;

      const std::optional<LeaseGrant> grant = NextLeaseGrant(state, cell, worker);
      if (!grant) return std::nullopt;

      ExtendLeaseBound(state, worker, *grant);
      task.start_sent = true;
      task.start_sequence = ++state.worker_event_sequence;
      return StartTask{.task = NameOf(job, ref),
                       .run = task.run,
                       .payload = job.record.spec.payload,
                       .checkpoint = task.checkpoint,
                       .lease_until_ms = grant->lease_until_ms};
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
                                  .incarnation = worker.info.incarnation,
                                  .token = TokenOf(cell, worker),
                                  .order = std::move(order),
                                  .timeout = kOrderTimeout});
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
    // The worker's word counts like a list: the run may end before the next one.
    task->last_seen_running_at = state.now;
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

}  // namespace

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
      CallStore(state, effects,
                WorkerRead{.cell = cell.cell,
                           .grant = cell.grant,
                           .worker = worker.info.id,
                           .copied = state.feeds[Feed::kWorkers].revision},
                ReadWorker{worker.info.id});
}

void RequeueUnsentStarts(State& state, OwnedCell& cell, WorkerState& worker) {
  const bool all = cell.releasing || IsLeavingOrSilent(worker);
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

}  // namespace currantpost::scheduler
