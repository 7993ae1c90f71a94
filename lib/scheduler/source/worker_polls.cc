#include <utility>

#include "poll_schedule.h"

/// Polls of workers: each renews the lease, and its reply lists what runs there and what has ended.

namespace currantpost::scheduler {
namespace {

/// How long a poll waits at the worker for a run to end. Each poll renews the lease, so the lease
/// is renewed about once a second.
constexpr Millis kPollWait = Millis(1'000);
/// Wait of a poll where best-effort tasks may disturb long-running ones: the measurements in a
/// reply cover half a second.
constexpr Millis kMixedLoadPollWait = Millis(500);
/// Wait of a poll while this owner may not renew the lease yet: the next poll renews it.
constexpr Millis kUnrenewedPollWait = Millis(100);
/// Maximum delay of the next poll while ended runs wait to be recorded. Without the delay the
/// worker would reply with the same ended runs at once.
constexpr Millis kUnrecordedEndsPollDelay = Millis(400);
/// Maximum number of ended runs that a worker lists in one reply.
constexpr size_t kMaxEndsPerReply = 500;

/// Logs the first renewal under a grant: from then on the tasks of the cell's workers that have
/// answered are safe.
void LogFirstRenewal(const State& state, Effects& effects, OwnedCell& cell) {
  if (std::exchange(cell.has_renewed, true)) return;

  int64_t with_tasks = 0;
  int64_t answered = 0;

  for (const auto& [id, worker] : cell.workers) {
    if (!MayHaveRuns(worker)) continue;

    ++with_tasks;
    if (worker.contacted) ++answered;
  }

  Log(effects, Severity::kInfo, "renewing the leases of a cell's workers",
      {{"cell", cell.cell.Text()},
       {"owned_ms", std::to_string((state.now - cell.taken_over_at).Count())},
       {"open", cell.open ? "yes" : "no"},
       {"workers_with_tasks", std::to_string(with_tasks)},
       {"answered", std::to_string(answered)}});
}

/// Logs a renewal, or a permission to discard ended runs, that a later incarnation than the
/// intended one has carried out.
void LogMisdirectedPoll(Effects& effects, const WorkerState& worker, const PollInFlight& poll,
                        const WorkerReply& reply) {
  if (worker.info.incarnation == 0 || (!poll.grant && poll.forget_up_to == 0)) return;

  const int64_t lease_until = poll.grant ? poll.grant->lease_until_ms : 0;
  Log(effects, Severity::kWarning, "a later incarnation of the worker has carried out a poll",
      {{"worker", worker.info.id.Text()},
       {"intended", std::to_string(worker.info.incarnation)},
       {"incarnation", std::to_string(reply.incarnation)},
       {"lease_until_ms", std::to_string(lease_until)},
       {"clock_ms", std::to_string(reply.clock_ms.value_or(0))},
       {"forget_up_to", std::to_string(poll.forget_up_to)}});
}

/// Counts what was left of a lease when its renewal was confirmed. Only counted if an earlier reply
/// has listed a run, as nothing depends on the lease of an idle worker.
void CountRenewal(const State& state, OwnedCell& cell, const WorkerState& worker) {
  const bool had_runs = std::ranges::any_of(worker.tasks, [&](const TaskRef& ref) {
    return FindTask(cell, ref)->phase == TaskPhase::kRunning;
  });
  if (!had_runs) return;

  state.counts.lease_rests.Add(std::max(worker.lease.earliest - state.now, Millis(0)));
}

/// Returns the delay of the next poll of a worker that lists ended runs. A poll that renewed
/// nothing is followed soon by one that does.
Millis EndsPollDelay(const PollInFlight& poll) {
  return poll.grant ? kUnrecordedEndsPollDelay : kUnrenewedPollWait;
}

/// Polls the silent workers of a cell's data centre: one that was silent answers again, so the
/// others probably do too, and what is left of their leases may be shorter than the pause after a
/// failed poll.
void PollSilentNeighbours(State& state, const OwnedCell& cell) {
  for (auto& [id, other] : state.cells) {
    if (DataCentreOf(id) == DataCentreOf(cell.cell)) PollUncontactedWorkers(state, other);
  }
}

bool HasMixedLoad(const WorkerState& worker) {
  return worker.long_running_millicores > 0 && worker.best_effort_millicores > 0;
}

/// Returns the number up to which the worker may discard the ended runs that it lists, 0 for none.
int64_t EndsToForget(const WorkerState& worker) {
  int64_t up_to = 0;

  for (const auto& [number, end] : worker.ends) {
    if (!end.recorded) break;
    up_to = number;
  }

  return up_to;
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

void HandleRunningTask(const State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                       const RunningTask& row) {
  const TaskRef ref = RefOf(cell, row.task);
  TaskState* task = FindTask(cell, ref);
  const bool bound = task != nullptr && worker.tasks.contains(ref) && task->run == row.run;

  if (!bound) {
    worker.orphaned_runs[row.task] = row.run;
    return;
  }

  if (WasBoundBefore(task->worker_incarnation, worker.info.incarnation)) {
    Log(effects, Severity::kWarning, "worker lists a run that was bound to its former incarnation",
        {{"job", ref.job.Text()},
         {"step", std::to_string(ref.step)},
         {"task", std::to_string(ref.index)},
         {"run", std::to_string(row.run)},
         {"worker", worker.info.id.Text()},
         {"bound_to", std::to_string(task->worker_incarnation)},
         {"incarnation", std::to_string(worker.info.incarnation)}});
    task->worker_incarnation = worker.info.incarnation;
  }

  if (!row.checkpoint.empty()) task->checkpoint = row.checkpoint;
  task->last_measurement = row.last_measurement;
  JobState& job = cell.jobs.at(ref.job);
  RecordRunStart(state, effects, cell, job, worker);
  AccumulateLostTime(state, job, SpecOf(job, ref), *task);
  const bool must_stop = job.cancelled || job.attempts_exhausted;

  if (task->phase == TaskPhase::kStarting || task->phase == TaskPhase::kRunning) {
    task->phase = TaskPhase::kRunning;
    task->start_sent = true;
    if (must_stop) SetStopping(worker, *task);
  }
}

/// Returns an end that the worker keeps until the present state of its job is recorded.
RetainedEnd RetainUntilRecorded(const OwnedCell& cell, const JobId& id) {
  const auto job = cell.jobs.find(id);
  if (job == cell.jobs.end()) return RetainedEnd{.job = id, .recorded = true};

  return RetainedEnd{.job = id, .version = job->second.version};
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
    retained = RetainUntilRecorded(cell, ref.job);
  } else if (task != nullptr && HandleEndOfLostRun(state, effects, cell, ref, row)) {
    retained = RetainUntilRecorded(cell, ref.job);
  }

  worker.ends[row.number] = retained;
}

/// Returns whether two readings of a worker's clock can both be right. Each was taken between the
/// sending of its poll and the handling of the reply.
bool IsConsistentClock(const State& state, const WorkerState& worker, const PollInFlight& poll,
                       int64_t clock_ms) {
  const Millis passed(clock_ms - *worker.clock_ms);
  const Millis least = poll.sent_at - worker.clock_at;
  const Millis most = state.now - worker.clock_sent_at;
  const Millis slowest = std::max(least, Millis(0)) * kClockDriftPercent / 100;
  return passed + kLeaseExpiryMargin >= least - slowest && passed <= MaxLeaseDuration(most);
}

/// Takes the reading of a worker's clock from a reply. If it contradicts the last one, neither is
/// used: a lease end by a clock that is too high would outlive the bound on the lease.
void ReadWorkerClock(const State& state, Effects& effects, WorkerState& worker,
                     const PollInFlight& poll, const WorkerReply& reply) {
  if (!reply.clock_ms) return;

  if (worker.clock_ms && !IsConsistentClock(state, worker, poll, *reply.clock_ms)) {
    Log(effects, Severity::kWarning, "readings of the worker's clock contradict each other",
        {{"worker", worker.info.id.Text()},
         {"former_ms", std::to_string(*worker.clock_ms)},
         {"former_age_ms", std::to_string((state.now - worker.clock_at).Count())},
         {"clock_ms", std::to_string(*reply.clock_ms)}});

    // The former reading may have been too high, and the worker grants the longest lease then.
    if (*reply.clock_ms < *worker.clock_ms) {
      worker.lease.own =
          std::max(worker.lease.own, state.now + MaxLeaseDuration(state.settings.max_worker_lease));
    }
    worker.clock_ms.reset();
    return;
  }

  if (worker.clock_ms && *reply.clock_ms < *worker.clock_ms) return;

  worker.clock_ms = reply.clock_ms;
  worker.clock_at = state.now;
  worker.clock_sent_at = poll.sent_at;
}

/// Measures how long the reply to a poll took beside its wait at the worker. Shorter times count
/// for a quarter.
void MeasureReplyDelay(const State& state, WorkerState& worker, const PollInFlight& poll) {
  const Millis delay = std::max(state.now - poll.sent_at - poll.wait, Millis(0));
  worker.reply_delay = std::max(delay, (worker.reply_delay * 3 + delay) / 4);
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

    HandleLostRun(state, effects, cell, ref, LossReason::kNotListed);
  }
}

/// Takes the worker's word on whether it is the incarnation that the registry names.
void SettleAnnouncedIncarnation(Effects& effects, const OwnedCell& cell, WorkerState& worker,
                                const PollInFlight& poll, const WorkerReply& reply) {
  // An earlier poll may have been answered before a restart.
  if (poll.token != TokenOf(cell, worker)) return;

  const int64_t named = std::max(worker.announced_incarnation, worker.info.incarnation);
  worker.announced_incarnation = 0;
  if (reply.incarnation >= named) return;

  worker.refuted_incarnation = named;
  Log(effects, Severity::kWarning, "worker is an earlier incarnation than was announced",
      {{"worker", worker.info.id.Text()},
       {"announced", std::to_string(named)},
       {"incarnation", std::to_string(reply.incarnation)}});
}

}  // namespace

void NoteUnanswered(const State& state, const OwnedCell& cell, WorkerState& worker,
                    const PollInFlight& poll) {
  const Millis due = std::min(DueOf(poll), state.now);
  const bool counts = poll.sent_at >= worker.lease.Expiry() || !WasAway(state, due);

  if (counts) {
    worker.unanswered_at = std::max(worker.unanswered_at.value_or(due), due);
  } else if (poll.token == TokenOf(cell, worker)) {
    worker.unanswered_at.reset();
  }
}

void SendDuePoll(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker) {
  const bool listed_without_answer = worker.listed && worker.failed_polls > 0;
  const bool needed = listed_without_answer || !worker.confirmed || MayHaveRuns(worker) ||
                      !worker.ends.empty() || !worker.orphaned_runs.empty();
  if (!needed || worker.info.address.port == 0) return;

  const std::optional<Millis> poll_at = NextPollTime(state, cell, worker);
  if (!poll_at) return;

  if (state.now < *poll_at) {
    WakeAt(state, *poll_at);
    return;
  }

  PollWorker order;
  // Meant for the incarnation that the registry names, a poll leaves on a connection that this one
  // has accepted, or else brings the word of another one.
  const bool asks_incarnation = worker.announced_incarnation != 0;
  const std::optional<LeaseGrant> grant =
      asks_incarnation ? std::nullopt : GrantOfNextPoll(state, cell, worker);
  order.forget_up_to = asks_incarnation ? 0 : EndsToForget(worker);
  if (worker.confirmed && HasAnsweredRecently(state, worker) && !IsRepeat(cell, worker)) {
    order.wait = HasMixedLoad(worker) ? kMixedLoadPollWait : kPollWait;
  }

  if (grant) {
    order.lease_until_ms = grant->lease_until_ms;
    order.wait = std::min(order.wait, MaxRenewalWait(state, worker));
    LogFirstRenewal(state, effects, cell);
    if (!worker.unanswered_grant) ExtendLeaseBound(state, worker, *grant);
    worker.unanswered_grant = grant;
  } else if (NeedsLease(state, cell, worker) && !MayRenewLease(cell, worker)) {
    order.wait = std::min(order.wait, kUnrenewedPollWait);
  }

  const FencingToken token = TokenOf(cell, worker);
  // The lease end is a time on the clock of the known incarnation, and it numbered the ended runs.
  const bool changes_worker = order.lease_until_ms || order.forget_up_to > 0;
  const int64_t known = changes_worker ? worker.info.incarnation : 0;
  PollInFlight poll;
  poll.request = NextRequest(state);
  poll.token = token;
  poll.sent_at = state.now;
  poll.wait = order.wait;
  poll.sequence = ++state.worker_event_sequence;
  poll.forget_up_to = order.forget_up_to;
  poll.grant = grant;
  worker.polls.push_back(poll);
  state.worker_calls[poll.request] = WorkerCallInFlight{cell.cell, worker.info.id, true};
  effects.emplace_back(
      WorkerCall{.request = poll.request,
                 .worker = worker.info.id,
                 .address = worker.info.address,
                 .incarnation = asks_incarnation ? worker.announced_incarnation : known,
                 .token = token,
                 .order = order,
                 .timeout = order.wait + kOrderTimeout});
}

void HandlePollReply(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                     const PollInFlight& poll, const WorkerReply& reply) {
  const bool carried_out = reply.status == OrderStatus::kOk;
  int64_t forgotten = carried_out ? poll.forget_up_to : 0;
  const bool was_asked = worker.announced_incarnation != 0 && poll.token == TokenOf(cell, worker) &&
                         reply.incarnation == worker.announced_incarnation;
  if (reply.incarnation != 0) SettleAnnouncedIncarnation(effects, cell, worker, poll, reply);

  // The reply comes from another incarnation than the known one. The worker's own word counts, also
  // for an earlier one: the registry may have been wrong, or the worker's clock was set back. All
  // polls in flight were sent since the known one was learned.
  if (reply.incarnation != 0 && reply.incarnation != worker.info.incarnation) {
    if (carried_out) LogMisdirectedPoll(effects, worker, poll, reply);
    HandleNewIncarnation(state, effects, cell, worker, reply.incarnation);
    // The question has raised the fence, and no order has left since.
    if (was_asked) --worker.fence;
    // Each incarnation numbers its ended runs from the start.
    forgotten = 0;
  } else if (poll.grant && carried_out) {
    CountRenewal(state, cell, worker);
    worker.lease.earliest = std::max(worker.lease.earliest, poll.grant->ends_at);
  }

  if (std::exchange(worker.wait_logged, false)) {
    LogLeaseState(state, effects, cell, worker, "unresponsive worker answers again");
  }

  MeasureReplyDelay(state, worker, poll);
  worker.unanswered_grant.reset();
  worker.unanswered_at.reset();
  worker.settled_polls = std::max(worker.settled_polls, poll.sequence);
  const bool was_silent = std::exchange(worker.failed_polls, 0) > 0;
  worker.answered_at = state.now;
  worker.next_poll = state.now;
  // The new measurements may show room for best-effort tasks.
  cell.placement_due = true;

  if (poll.token == TokenOf(cell, worker) && !worker.confirmed) {
    worker.confirmed = true;
    cell.placement_due = true;
  }

  if (worker.confirmed && worker.fenced_incarnation != worker.info.incarnation) {
    // This incarnation now rejects renewals by former owners; the leases that they granted expire
    // within the time to live.
    worker.fenced_incarnation = worker.info.incarnation;
    // What is known of the former owners' leases holds for the incarnation that answers first.
    const Millis longest = state.now + MaxLeaseDuration(kWorkerLeaseTtl);
    const Millis former = worker.contacted ? longest : std::min(worker.lease.inherited, longest);
    worker.lease.own = std::max(worker.lease.own, former);
    worker.contacted = true;
    worker.lease.inherited = Millis(0);
  }

  if (was_silent) PollSilentNeighbours(state, cell);

  // Replies on two connections may overtake each other; the lists of the older reply are ignored.
  const bool is_stale = worker.clock_ms && reply.clock_ms && *reply.clock_ms < *worker.clock_ms;
  ReadWorkerClock(state, effects, worker, poll, reply);

  if (!cell.open) {
    for (const RunningTask& row : reply.running) {
      const auto job = state.view.jobs.find(row.task.job);
      const bool cancelled = job != state.view.jobs.end() && job->second.cancelled;
      if (cancelled) worker.orphaned_runs[row.task] = row.run;
    }

    // The worker replies at once while it lists ends, which are taken when the cell is open.
    if (!reply.ended.empty()) worker.next_poll = state.now + EndsPollDelay(poll);
    return;
  }

  std::erase_if(worker.ends, [&](const auto& row) { return row.first <= forgotten; });
  worker.forgotten = std::max(worker.forgotten, forgotten);

  const bool lapsed = std::ranges::any_of(reply.ended, [&](const EndedTask& row) {
    return row.end == RunEnd::kLeaseExpired && row.number > worker.forgotten &&
           !worker.ends.contains(row.number);
  });
  state.counts.lapsed_replies += lapsed ? 1 : 0;
  if (lapsed) LogLeaseState(state, effects, cell, worker, "runs have lapsed at a worker");

  for (const EndedTask& row : reply.ended) HandleEndedTask(state, effects, cell, worker, row);

  if (!is_stale) {
    for (const RunningTask& row : reply.running) {
      HandleRunningTask(state, effects, cell, worker, row);
    }
    RequeueMissingTasks(state, effects, cell, worker, poll, reply);
    UpdateSpeeds(state, cell, worker);
    LogTasksOverTarget(state, effects, cell, worker);
    worker.measured_at = state.now;
  }

  const bool unrecorded =
      std::ranges::any_of(worker.ends, [](const auto& row) { return !row.second.recorded; });
  if (unrecorded) worker.next_poll = state.now + EndsPollDelay(poll);
}

void HandleFailedPoll(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                      const PollInFlight& poll, OrderStatus status) {
  const bool refused = status == OrderStatus::kFenced || status == OrderStatus::kOtherIncarnation;
  if (refused) worker.confirmed = false;
  if (!refused && poll.sequence <= worker.settled_polls) return;

  NoteUnanswered(state, cell, worker, poll);
  ++worker.failed_polls;
  worker.settled_polls = state.worker_event_sequence;
  LogTasksOverTarget(state, effects, cell, worker);

  // A poll that fails early tells nothing of a worker that is reached again at once. The first
  // question may have had no chance of an answer; after the second one the registry counts in any
  // case.
  const bool was_asked_for_long = state.now >= worker.announced_at + kOrderTimeout;
  const bool counts =
      was_asked_for_long && (!WasAway(state, DueOf(poll)) || poll.sent_at > worker.announced_at);
  if (worker.announced_incarnation != 0 && counts && status != OrderStatus::kFenced) {
    HandleNewIncarnation(state, effects, cell, worker, worker.announced_incarnation);
  }

  if (worker.failed_polls == 1) {
    Log(effects, Severity::kInfo, "poll of the worker failed",
        {{"worker", worker.info.id.Text()},
         {"status", std::string(kOrderStatusNames.Name(status))},
         {"tasks", std::to_string(worker.tasks.size())},
         {"took_ms", std::to_string((state.now - poll.sent_at).Count())},
         {"renewed", poll.grant ? "yes" : "no"},
         {"earliest_ms", std::to_string((worker.lease.earliest - state.now).Count())},
         {"own_ms", std::to_string((worker.lease.own - state.now).Count())}});
  }

  worker.next_poll =
      state.now + (refused ? kRefusalBackoff : PauseAfterFailedPoll(state, cell, worker));
}

}  // namespace currantpost::scheduler
