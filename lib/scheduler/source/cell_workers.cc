#include <utility>

#include "internal.h"

/// Workers of owned cells: looks, orders, and what their answers mean.

namespace currantpost::scheduler {
namespace {

/// Orders of one grant carry its revision times this, and the worker's fence below it, so that any
/// later grant is above all fences of this one.
constexpr FencingToken kFencesPerGrant = FencingToken{1} << 20U;
/// How long a look waits for an end. Renews the lease about once a second.
constexpr Millis kLookWait = Millis(1'000);
/// The same where filling tasks disturb lasting ones: the figures of a look cover half a second.
constexpr Millis kWatchfulWait = Millis(500);
/// The same while this owner may not renew the lease yet: the renewal follows with the next look.
constexpr Millis kUnrenewedWait = Millis(100);
/// A worker whose last look was answered longer ago may have begun a new life: longer than a look
/// and a pause.
constexpr Millis kLifeKnown = Millis(2'000);
/// Longest pause before the next look while ends wait to be recorded; without the pause the worker
/// would list the same ends at once again.
constexpr Millis kRecordPause = Millis(400);
/// Pause after a look or an order that found nobody, times the number of failures in a row.
constexpr Millis kSilencePause = Millis(200);
constexpr Millis kLongestSilencePause = Millis(1'000);
/// Pause after a refusal that says nothing of when to come back.
constexpr Millis kRefusalPause = Millis(300);
/// Stops under way at a worker at most; each takes a connection.
constexpr size_t kMostStopsAtOnce = 8;
/// A worker lists so many ends at most in one answer.
constexpr size_t kEndsInAnswer = 500;
/// A stop whose end is not listed so long after `Settings::stop_time` is ordered again.
constexpr Millis kStopGrace = Millis(1'500);
/// A stop that failed is ordered again after this pause.
constexpr Millis kStopRetry = Millis(500);
/// Failed runs in a row after which a worker is given a rest. One in twenty runs fails by itself,
/// so two in a row by chance are one in four hundred.
constexpr int32_t kFailuresToQuarantine = 2;
constexpr Millis kQuarantine = Millis(2'000);
constexpr Millis kLongestQuarantine = Millis(8'000);
/// Pause after a start that the worker rejected as invalid.
constexpr Millis kInvalidPause = Millis(1'000);

/// Longest time in which a worker without news is passed over.
constexpr Millis kLongestRest = Millis(1'000);

FencingToken TokenOf(const OwnedCell& cell, const WorkerState& worker) {
  return cell.grant * kFencesPerGrant + worker.fence;
}

/// Makes all orders void that may still arrive, and asks what is true.
void RaiseFence(State& state, WorkerState& worker) {
  ++worker.fence;
  worker.confirmed = false;
  worker.next_look = state.now;
}

/// Says whether a look was answered so lately that the worker can hardly have begun a new life
/// since.
bool KnowsLife(const State& state, const WorkerState& worker) {
  return worker.clock_ms && state.now - worker.clock_at <= kLifeKnown;
}

/// Returns the least that the worker's clock, which may be slow, shows now.
int64_t ClockNow(const State& state, const WorkerState& worker) {
  const int64_t passed = (state.now - worker.clock_at).Count();
  return *worker.clock_ms + passed - passed * kClockDriftPercent / 100;
}

/// Returns the worker's clock up to which this entry may let its tasks run, or nothing.
std::optional<int64_t> LeaseUntil(const State& state, const OwnedCell& cell,
                                  const WorkerState& worker) {
  if (!worker.clock_ms || !MayRenew(cell, worker)) return std::nullopt;

  const Millis longest = std::min(kWorkerLease, state.settings.longest_worker_lease);
  const Millis horizon = std::min(state.now + longest, state.lease.valid_until + kOutageHold);
  if (horizon <= state.now) return std::nullopt;

  return ClockNow(state, worker) + (horizon - state.now).Count();
}

/// Notes that the worker was granted a lease, or may have been.
void NoteLease(const State& state, WorkerState& worker, std::optional<int64_t> until) {
  if (!until) return;

  const Millis span(*until - ClockNow(state, worker));
  worker.lease.own = std::max(worker.lease.own, state.now + LongestRun(span));
}

/// Notes that the worker may hold the longest lease that it grants: a lease by the clock of another
/// life is shortened to that.
void NoteLongestLease(const State& state, WorkerState& worker) {
  const Millis lapse = state.now + LongestRun(state.settings.longest_worker_lease);
  worker.lease.own = std::max(worker.lease.own, lapse);
}

bool IsAtWorker(TaskPhase phase) {
  return phase == TaskPhase::kRunning || phase == TaskPhase::kStopping;
}

/// Says whether the start of a task may have reached a later life of its worker than the one that
/// it was bound to: it has left, and no look has shown the run yet.
bool MayHaveMetNewLife(const TaskState& task) {
  const bool started = task.phase == TaskPhase::kStarting ? task.sent : IsAtWorker(task.phase);
  return started && task.shown_at <= task.began;
}

/// Ends the former life of a worker: nothing of it runs any more. The next look tells of runs whose
/// start may have reached the new one.
void BeginLife(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker, int64_t born) {
  const bool first_met = worker.info.born == 0;

  if (!first_met) {
    Log(effects, Severity::kInfo, "worker began a new life",
        {{"worker", worker.info.id.Text()}, {"tasks", std::to_string(worker.tasks.size())}});
  }

  worker.info.born = born;
  ++worker.fence;
  worker.confirmed = false;
  worker.looks.clear();
  worker.next_look = state.now;
  worker.clock_ms.reset();
  worker.order_request = 0;
  worker.next_order = state.now;
  worker.stops.clear();
  worker.ends.clear();
  worker.forgotten = 0;
  worker.strays.clear();

  const std::vector<TaskRef> refs(worker.tasks.begin(), worker.tasks.end());

  for (const TaskRef& ref : refs) {
    const TaskState* task = FindTask(cell, ref);
    if (task == nullptr || task->worker_born >= born) continue;

    if (MayHaveMetNewLife(*task)) {
      NoteLongestLease(state, worker);
    } else {
      TakeLostRun(state, effects, cell, ref, "the worker began a new life");
    }
  }
}

/// Logs what is known of a worker's leases: how long they may last yet, and why.
void LogLapse(const State& state, Effects& effects, const OwnedCell& cell,
              const WorkerState& worker, std::string sentence) {
  const Millis answered = worker.met ? state.now - worker.answered_at : Millis(-1);
  Log(effects, Severity::kInfo, std::move(sentence),
      {{"worker", worker.info.id.Text()},
       {"cell", cell.cell.Text()},
       {"tasks", std::to_string(worker.tasks.size())},
       {"own_ms", std::to_string((worker.lease.own - state.now).Count())},
       {"inherited_ms", std::to_string((worker.lease.inherited - state.now).Count())},
       {"answered_ms", std::to_string(answered.Count())},
       {"owned_ms", std::to_string((state.now - cell.taken_at).Count())},
       {"listed", worker.listed ? "yes" : "no"},
       {"draining", worker.info.draining ? "yes" : "no"}});
}

/// Says whether a worker does not answer, or can't be asked as no address of it is known.
bool IsSilent(const WorkerState& worker) {
  return worker.failed_looks > 0 || worker.info.address.port == 0;
}

/// Requeues what surely lapsed at a worker that does not answer.
void ExpireTasks(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker) {
  if (worker.tasks.empty()) return;

  if (state.now < worker.lease.Lapse()) {
    if (IsSilent(worker) && !std::exchange(worker.wait_noted, true)) {
      LogLapse(state, effects, cell, worker, "tasks wait for a silent worker's lease");
    }
    WakeAt(state, worker.lease.Lapse());
    return;
  }

  const std::vector<TaskRef> refs(worker.tasks.begin(), worker.tasks.end());
  bool lost = false;

  for (const TaskRef& ref : refs) {
    const TaskState& task = *FindTask(cell, ref);
    const bool may_run = task.phase == TaskPhase::kRunning || task.phase == TaskPhase::kStopping ||
                         (task.phase == TaskPhase::kStarting && task.sent);
    if (!may_run) continue;

    if (!lost) LogLapse(state, effects, cell, worker, "a silent worker's lease has lapsed");
    TakeLostRun(state, effects, cell, ref, "the worker's lease has lapsed");
    lost = true;
  }

  if (lost) RaiseFence(state, worker);
}

bool HasMixedLoad(const WorkerState& worker) {
  return worker.lasting_millicores > 0 && worker.filling_millicores > 0;
}

/// Says whether something at a worker is to outlive its present lease: a run that is wanted, or an
/// end that would count for nothing.
bool NeedsLease(const OwnedCell& cell, const WorkerState& worker) {
  if (!worker.ends.empty()) return true;

  return std::ranges::any_of(worker.tasks, [&](const TaskRef& ref) {
    const JobState& job = cell.jobs.at(ref.job);
    return !job.cancelled && !job.doomed;
  });
}

/// Returns the number up to which the worker may forget ends.
int64_t EndsToForget(const State& state, const WorkerState& worker) {
  // It may have begun a new life, which numbers its ends anew.
  if (worker.failed_looks > 0 || !KnowsLife(state, worker)) return 0;

  int64_t up_to = worker.forgotten;

  for (const auto& [number, end] : worker.ends) {
    if (!end.recorded) break;
    up_to = number;
  }

  return up_to;
}

void DriveLook(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker) {
  const bool silent = worker.listed && worker.failed_looks > 0;
  const bool needed = silent || !worker.confirmed || !worker.tasks.empty() ||
                      !worker.ends.empty() || !worker.strays.empty();
  if (!needed || worker.info.address.port == 0) return;

  const FencingToken token = TokenOf(cell, worker);
  const bool under_way = std::ranges::any_of(
      worker.looks, [&](const LookUnderWay& look) { return look.token == token; });
  if (under_way) return;

  if (state.now < worker.next_look) {
    WakeAt(state, worker.next_look);
    return;
  }

  LookAtWorker order;
  // A worker that was silent is asked first and renewed then: a renewal that is not answered may
  // have been carried out, so that leases which it may have extended could never count as lapsed.
  const bool needs_lease = NeedsLease(cell, worker);
  const bool life_known = KnowsLife(state, worker);
  const bool renew = worker.failed_looks == 0 && needs_lease && life_known;
  if (renew) order.lease_until_ms = LeaseUntil(state, cell, worker);
  order.forget_up_to = EndsToForget(state, worker);
  if (worker.confirmed && life_known) {
    order.wait = HasMixedLoad(worker) ? kWatchfulWait : kLookWait;
  }

  if (needs_lease && !MayRenew(cell, worker)) order.wait = std::min(order.wait, kUnrenewedWait);
  NoteLease(state, worker, order.lease_until_ms);

  LookUnderWay look;
  look.request = NextRequest(state);
  look.token = token;
  look.sent = ++state.order_count;
  look.forget_up_to = order.forget_up_to;
  worker.looks.push_back(look);
  state.worker_calls[look.request] = WorkerPurpose{cell.cell, worker.info.id, true};
  effects.emplace_back(WorkerCall{.request = look.request,
                                  .worker = worker.info.id,
                                  .address = worker.info.address,
                                  .token = token,
                                  .order = order,
                                  .timeout = order.wait + kOrderTimeout});
}

/// Says whether a task is to be stopped by an order now.
bool WantsStop(const State& state, const TaskState& task) {
  return task.phase == TaskPhase::kStopping && state.now >= task.next_stop;
}

/// Returns the order that a task asks for, if it asks for one.
std::optional<WorkerOrder> TaskOrder(State& state, OwnedCell& cell, WorkerState& worker,
                                     const TaskRef& ref) {
  TaskState& task = *FindTask(cell, ref);
  const JobState& job = cell.jobs.at(ref.job);

  switch (task.phase) {
    case TaskPhase::kStarting: {
      if (task.sent || worker.info.draining || !HoldsLease(state)) return std::nullopt;
      if (!KnowsCancels(state)) return std::nullopt;
      // A new life would hold a lease by the former one's clock for the longest time.
      if (!KnowsLife(state, worker)) return std::nullopt;

      const std::optional<int64_t> until = LeaseUntil(state, cell, worker);
      if (!until) return std::nullopt;

      NoteLease(state, worker, until);
      task.sent = true;
      task.settled_at = ++state.order_count;
      return StartTask{.task = NameOf(job, ref),
                       .run = task.run,
                       .payload = job.record.spec.payload,
                       .checkpoint = task.checkpoint,
                       .lease_until_ms = *until};
    }
    case TaskPhase::kStopping:
      if (!WantsStop(state, task)) return std::nullopt;

      task.next_stop = state.now + state.settings.stop_time + kStopGrace;
      return StopTask{NameOf(job, ref), task.run};
    case TaskPhase::kRunning:
      if (task.paced == task.wanted_pace) return std::nullopt;
      return PaceTask{NameOf(job, ref), task.run, task.wanted_pace};
    default:
      return std::nullopt;
  }
}

/// Returns the stop that is to be ordered next.
std::optional<WorkerOrder> NextStop(State& state, OwnedCell& cell, WorkerState& worker) {
  if (!worker.has_stops) return std::nullopt;

  worker.has_stops = false;

  for (const TaskRef& ref : worker.tasks) {
    const TaskState& task = *FindTask(cell, ref);
    if (task.phase != TaskPhase::kStopping) continue;

    worker.has_stops = true;
    if (WantsStop(state, task)) return TaskOrder(state, cell, worker, ref);

    WakeAt(state, task.next_stop);
  }

  return std::nullopt;
}

std::optional<WorkerOrder> NextOrder(State& state, OwnedCell& cell, WorkerState& worker) {
  if (!worker.strays.empty()) {
    const auto stray = worker.strays.begin();
    const StopTask order{stray->first, stray->second};
    worker.strays.erase(stray);
    return order;
  }

  // The next owner starts and paces.
  if (cell.releasing) return std::nullopt;

  for (const TaskRef& ref : worker.tasks) {
    if (auto order = TaskOrder(state, cell, worker, ref)) return order;
  }

  return std::nullopt;
}

void SendOrder(State& state, Effects& effects, const OwnedCell& cell, const WorkerState& worker,
               RequestId request, WorkerOrder order) {
  ++state.order_count;
  state.worker_calls[request] = WorkerPurpose{cell.cell, worker.info.id, false};
  effects.emplace_back(WorkerCall{.request = request,
                                  .worker = worker.info.id,
                                  .address = worker.info.address,
                                  .token = TokenOf(cell, worker),
                                  .order = std::move(order),
                                  .timeout = kOrderTimeout});
}

/// Orders stops, several at a time: an entry that takes up answers a second late would else need
/// that second for each.
void DriveStops(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker) {
  if (!worker.confirmed) return;

  while (worker.stops.size() < kMostStopsAtOnce) {
    const std::optional<WorkerOrder> stop = NextStop(state, cell, worker);
    if (!stop) return;

    const RequestId request = NextRequest(state);
    worker.stops[request] = std::get<StopTask>(*stop);
    SendOrder(state, effects, cell, worker, request, *stop);
  }
}

void DriveOrder(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker) {
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

/// Says whether starts that have not left for a worker are better sent elsewhere.
bool TakesNoStarts(const WorkerState& worker) {
  return worker.info.draining || !worker.listed || worker.failed_looks >= kLooksBeforeSilent;
}

/// Frees bindings whose starts have not left, at a worker that takes none any more.
void FreeUnsent(State& state, OwnedCell& cell, WorkerState& worker) {
  const std::vector<TaskRef> refs(worker.tasks.begin(), worker.tasks.end());

  for (const TaskRef& ref : refs) {
    const TaskState& task = *FindTask(cell, ref);
    if (task.phase != TaskPhase::kStarting || task.sent) continue;

    RequeueTask(state, cell, cell.jobs.at(ref.job), ref, state.now);
  }
}

/// Notes that a worker failed what it was given.
void NoteFailure(State& state, Effects& effects, WorkerState& worker) {
  ++worker.failures_in_row;
  if (worker.failures_in_row < kFailuresToQuarantine) return;

  const int64_t times = int64_t{1} << std::min(worker.failures_in_row - kFailuresToQuarantine, 4);
  const Millis span = std::min(kQuarantine * times, kLongestQuarantine);
  worker.quarantined_until = state.now + span;
  Log(effects, Severity::kInfo, "worker is given a rest",
      {{"worker", worker.info.id.Text()},
       {"failures", std::to_string(worker.failures_in_row)},
       {"for_ms", std::to_string(span.Count())}});
}

/// Notes what a filling task lost since the look before, for the log.
void NoteLostTime(const State& state, JobState& job, const StepSpec& spec, TaskState& task) {
  const Millis span = state.now - std::max(task.shown_at, task.began);
  task.shown_at = state.now;
  if (!spec.filling || spec.need.millicores <= 0) return;

  const int32_t pace = task.paced == kUnknownPace ? 100 : task.paced;
  const Millis paced(span.Count() * (100 - pace) / 100);
  const Millis used(span.Count() * task.recent / spec.need.millicores);
  job.filling_time = job.filling_time + span;
  job.paced_time = job.paced_time + paced;
  job.starved_time = job.starved_time + std::max(span - paced - used, Millis(0));
}

/// Notes that a worker has begun a run of a job.
void NoteRun(const State& state, Effects& effects, OwnedCell& cell, JobState& job,
             const WorkerState& worker) {
  if (job.phase != JobPhase::kQueued) return;

  NoteBegun(cell, job);
  Log(effects, Severity::kInfo, "job has begun",
      {{"job", job.record.spec.job.Text()},
       {"cell", cell.cell.Text()},
       {"worker", worker.info.id.Text()},
       {"bound_ms",
        std::to_string((state.now - job.first_bound_at.value_or(job.taken_at)).Count())}});
}

void TakeRunningRow(const State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                    const RunningTask& row) {
  const TaskRef ref = RefOf(cell, row.task);
  TaskState* task = FindTask(cell, ref);
  const bool bound = task != nullptr && worker.tasks.contains(ref) && task->run == row.run;

  if (!bound) {
    worker.strays[row.task] = row.run;
    return;
  }

  if (!row.checkpoint.empty()) task->checkpoint = row.checkpoint;
  task->recent = row.recent;
  JobState& job = cell.jobs.at(ref.job);
  NoteRun(state, effects, cell, job, worker);
  NoteLostTime(state, job, SpecOf(job, ref), *task);
  const bool unwanted = job.cancelled || job.doomed;

  if (task->phase == TaskPhase::kStarting || task->phase == TaskPhase::kRunning) {
    task->phase = TaskPhase::kRunning;
    task->sent = true;
    if (unwanted) SetStopping(worker, *task);
  }
}

void TakeEndedRow(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                  const EndedTask& row) {
  if (row.number <= worker.forgotten || worker.ends.contains(row.number)) return;

  const TaskRef ref = RefOf(cell, row.task);
  TaskState* task = FindTask(cell, ref);
  KeptEnd kept{.job = ref.job, .recorded = true};

  if (task != nullptr && worker.tasks.contains(ref) && task->run == row.run) {
    NoteRun(state, effects, cell, cell.jobs.at(ref.job), worker);
    if (row.end == RunEnd::kFailed) NoteFailure(state, effects, worker);
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

    TakeEnd(state, effects, cell, ref, row.end, row.checkpoint);
    const auto job = cell.jobs.find(ref.job);
    kept.recorded = job == cell.jobs.end();
    if (!kept.recorded) kept.version = job->second.version;
  }

  worker.ends[row.number] = kept;
}

/// Requeues tasks that a look, sent after their start was settled, does not show.
void TakeMissing(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                 const LookUnderWay& look, const WorkerReply& reply) {
  if (reply.ended.size() >= kEndsInAnswer) return;

  std::set<TaskName> shown;
  for (const RunningTask& row : reply.running) shown.insert(row.task);

  const std::vector<TaskRef> refs(worker.tasks.begin(), worker.tasks.end());

  for (const TaskRef& ref : refs) {
    const TaskState& task = *FindTask(cell, ref);
    const JobState& job = cell.jobs.at(ref.job);
    const bool settled = task.phase == TaskPhase::kRunning || task.phase == TaskPhase::kStopping ||
                         (task.phase == TaskPhase::kStarting && task.sent);
    if (!settled || shown.contains(NameOf(job, ref))) continue;
    if (task.settled_at >= look.sent || look.token != TokenOf(cell, worker)) continue;

    // The answer to its start is still under way.
    const auto* start = std::get_if<StartTask>(&worker.order);
    if (worker.order_request != 0 && start != nullptr && start->task == NameOf(job, ref)) continue;

    TakeLostRun(state, effects, cell, ref, "the worker does not list it");
  }
}

void TakeLook(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
              const LookUnderWay& look, const WorkerReply& reply) {
  int64_t forgotten = look.forget_up_to;

  // An answer of another life than the one that is known is news of that life.
  if (reply.born != 0 && reply.born != worker.info.born) {
    if (reply.born < worker.info.born) {
      worker.next_look = state.now + kRefusalPause;
      return;
    }
    BeginLife(state, effects, cell, worker, reply.born);
    // Each life numbers its ends anew.
    forgotten = 0;
  }

  if (std::exchange(worker.wait_noted, false)) {
    LogLapse(state, effects, cell, worker, "silent worker answers");
  }

  worker.failed_looks = 0;
  worker.answered_at = state.now;
  worker.next_look = state.now;
  // The figures that it brings may make room for filling work.
  cell.placement_due = true;

  if (look.token == TokenOf(cell, worker) && !worker.confirmed) {
    worker.confirmed = true;
    cell.placement_due = true;
  }

  if (worker.confirmed && !worker.met) {
    // No former owner can renew any more; the leases that they granted end in their time.
    worker.met = true;
    worker.lease.inherited = Millis(0);
    worker.lease.own = std::max(worker.lease.own, state.now + LongestRun(kWorkerLease));

    const bool other_life = std::ranges::any_of(worker.tasks, [&](const TaskRef& ref) {
      return FindTask(cell, ref)->worker_born < worker.info.born;
    });
    if (other_life) NoteLongestLease(state, worker);
  }

  // Answers on two connections may overtake each other; the lists of the older one say nothing.
  const bool older = worker.clock_ms && reply.clock_ms && *reply.clock_ms < *worker.clock_ms;

  if (reply.clock_ms && !older) {
    worker.clock_ms = reply.clock_ms;
    worker.clock_at = state.now;
  }

  std::erase_if(worker.ends, [&](const auto& row) { return row.first <= forgotten; });
  worker.forgotten = std::max(worker.forgotten, forgotten);

  for (const EndedTask& row : reply.ended) TakeEndedRow(state, effects, cell, worker, row);

  if (!older) {
    for (const RunningTask& row : reply.running) TakeRunningRow(state, effects, cell, worker, row);
    TakeMissing(state, effects, cell, worker, look, reply);
    UpdatePace(state, cell, worker);
  }

  const bool unrecorded =
      std::ranges::any_of(worker.ends, [](const auto& row) { return !row.second.recorded; });
  if (unrecorded) worker.next_look = state.now + kRecordPause;
}

void TakeFailedLook(State& state, Effects& effects, WorkerState& worker, OrderStatus status) {
  ++worker.failed_looks;

  if (worker.failed_looks == 1) {
    Log(effects, Severity::kInfo, "worker did not answer a look",
        {{"worker", worker.info.id.Text()},
         {"status", std::string(kOrderStatusNames.Name(status))},
         {"tasks", std::to_string(worker.tasks.size())}});
  }

  const bool refused = status == OrderStatus::kFenced || status == OrderStatus::kOtherLife;
  if (refused) worker.confirmed = false;

  const Millis pause =
      refused ? kRefusalPause : std::min(kSilencePause * worker.failed_looks, kLongestSilencePause);
  worker.next_look = state.now + pause;
}

void TakeStartAnswer(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                     const StartTask& start, OrderStatus status) {
  const TaskRef ref = RefOf(cell, start.task);
  TaskState* task = FindTask(cell, ref);
  if (task == nullptr || !worker.tasks.contains(ref) || task->run != start.run) return;
  // A look may have shown it meanwhile.
  if (task->phase != TaskPhase::kStarting) return;

  task->settled_at = ++state.order_count;
  JobState& job = cell.jobs.at(ref.job);
  const bool unwanted = job.cancelled || job.doomed;

  if (status == OrderStatus::kOk) {
    NoteRun(state, effects, cell, job, worker);
    task->phase = TaskPhase::kRunning;
    if (unwanted) SetStopping(worker, *task);
    worker.answered_at = state.now;
    // It works at full pace until it is told otherwise.
    if (SpecOf(job, ref).filling) UpdatePace(state, cell, worker);
    return;
  }

  Log(effects, Severity::kInfo, "start did not succeed",
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
    case OrderStatus::kLate:
      worker.confirmed = false;
      worker.next_look = state.now;
      if (unwanted) break;

      task->sent = false;
      return;
    case OrderStatus::kUnreachable:
    case OrderStatus::kOtherLife:
      worker.confirmed = false;
      worker.next_look = state.now + kSilencePause;
      break;
    case OrderStatus::kUnhealthy:
      NoteFailure(state, effects, worker);
      worker.quarantined_until = std::max(worker.quarantined_until, state.now + kRefusalPause);
      break;
    case OrderStatus::kInvalid:
      not_before = state.now + kInvalidPause;
      break;
    default:
      worker.quarantined_until = std::max(worker.quarantined_until, state.now + kRefusalPause);
      break;
  }

  if (unwanted) {
    UnbindTask(state, cell, job, ref);
  } else {
    RequeueTask(state, cell, job, ref, not_before);
  }

  SettleJob(state, effects, cell, ref.job);
}

void TakeStopAnswer(const State& state, Effects& effects, OwnedCell& cell,
                    const WorkerState& worker, const StopTask& stop, OrderStatus status) {
  if (status == OrderStatus::kOk) return;

  Log(effects, Severity::kInfo, "stop did not succeed",
      {{"job", stop.task.job.Text()},
       {"step", std::to_string(stop.task.step)},
       {"task", std::to_string(stop.task.index)},
       {"run", std::to_string(stop.run)},
       {"worker", worker.info.id.Text()},
       {"status", std::string(kOrderStatusNames.Name(status))}});

  // The run is over already, and the next look lists its end.
  if (status == OrderStatus::kOldRun) return;

  TaskState* task = FindTask(cell, RefOf(cell, stop.task));
  if (task != nullptr && task->run == stop.run) task->next_stop = state.now + kStopRetry;
}

void TakeOrderAnswer(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker,
                     const WorkerReply& reply) {
  const WorkerOrder order = std::move(worker.order);
  worker.order_request = 0;

  if (const auto* start = std::get_if<StartTask>(&order)) {
    TakeStartAnswer(state, effects, cell, worker, *start, reply.status);
    return;
  }

  if (const auto* pace = std::get_if<PaceTask>(&order)) {
    TaskState* task = FindTask(cell, RefOf(cell, pace->task));
    if (task == nullptr || task->run != pace->run) return;

    // One without an answer is ordered again.
    if (reply.status == OrderStatus::kOk) task->paced = pace->percent;
  }

  if (reply.status != OrderStatus::kOk) worker.next_order = state.now + kRefusalPause;
}

/// Says whether nothing is lost if what is known of a worker is forgotten.
bool IsIdle(const WorkerState& worker) {
  const bool recorded =
      std::ranges::all_of(worker.ends, [](const auto& row) { return row.second.recorded; });
  return recorded && worker.tasks.empty() && worker.looks.empty() && worker.order_request == 0 &&
         worker.stops.empty();
}

}  // namespace

WorkerState& AddWorker(OwnedCell& cell, const VmId& id) {
  const auto [found, added] = cell.workers.try_emplace(id);

  if (added) {
    found->second.info.id = id;
    found->second.fence = cell.dropped_fence + 1;
    found->second.lease.inherited = InheritedLapse(cell, id);
  }

  return found->second;
}

void LogOpenWaits(const State& state, Effects& effects, const OwnedCell& cell) {
  for (const auto& [id, worker] : cell.workers) {
    if (worker.tasks.empty() || (worker.met && !IsSilent(worker))) continue;

    LogLapse(state, effects, cell, worker, "giving a cell up while a worker is silent");
  }
}

void ApplyRegistryItem(State& state, const StoreItem& item) {
  const VmId id(item.key);

  if (item.removed || !item.worker) {
    state.registry.erase(id);
    return;
  }

  state.registry[id] = *item.worker;
}

void ApplyRegistry(State& state, Effects& effects) {
  state.new_racks.recount = true;

  for (auto& [id, cell] : state.cells) {
    if (!cell.open) continue;

    for (auto& [worker_id, worker] : cell.workers) {
      const bool listed = state.registry.contains(worker_id);
      const bool dropped = std::exchange(worker.listed, listed) && !listed;
      if (dropped) LogLapse(state, effects, cell, worker, "the registry dropped a worker");
    }
  }

  for (const auto& [worker_id, info] : state.registry) {
    const auto cell_id = state.view.layout.cell_of_rack.find(info.rack);
    if (cell_id == state.view.layout.cell_of_rack.end()) continue;

    const auto cell = state.cells.find(cell_id->second);
    if (cell == state.cells.end() || !cell->second.open) continue;

    WorkerState& worker = AddWorker(cell->second, worker_id);
    const int64_t known_life = worker.info.born;
    if (info.born < known_life) continue;

    const bool began_draining = info.draining && !worker.info.draining;
    worker.info = info;
    worker.info.born = known_life;
    worker.listed = true;

    if (info.born > known_life) BeginLife(state, effects, cell->second, worker, info.born);

    if (began_draining) {
      Log(effects, Severity::kInfo, "worker is draining",
          {{"worker", worker_id.Text()}, {"tasks", std::to_string(worker.tasks.size())}});
    }

    cell->second.placement_due = true;
  }
}

void UpdateWorkers(State& state, Effects& effects, OwnedCell& cell) {
  const bool all = std::exchange(cell.sweep_due, false);
  const Millis wake_at = state.wake_at;

  for (auto row = cell.workers.begin(); row != cell.workers.end();) {
    WorkerState& worker = row->second;

    if (!all && !worker.attention && state.now < worker.due_at) {
      ++row;
      continue;
    }

    worker.attention = false;
    state.wake_at = state.now + kLongestRest;
    if (cell.releasing || TakesNoStarts(worker)) FreeUnsent(state, cell, worker);
    ExpireTasks(state, effects, cell, worker);
    DriveLook(state, effects, cell, worker);
    DriveStops(state, effects, cell, worker);
    DriveOrder(state, effects, cell, worker);
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

  const WorkerPurpose call = purpose->second;
  state.worker_calls.erase(purpose);

  const auto cell = state.cells.find(call.cell);
  if (cell == state.cells.end()) return;

  const auto found = cell->second.workers.find(call.worker);
  if (found == cell->second.workers.end()) return;

  WorkerState& worker = found->second;
  worker.attention = true;

  if (const auto stop = worker.stops.find(answered.request); stop != worker.stops.end()) {
    const StopTask order = stop->second;
    worker.stops.erase(stop);
    TakeStopAnswer(state, effects, cell->second, worker, order, answered.reply.status);
    return;
  }

  if (!call.look) {
    if (worker.order_request == answered.request) {
      TakeOrderAnswer(state, effects, cell->second, worker, answered.reply);
    }
    return;
  }

  const auto look = std::ranges::find(worker.looks, answered.request, &LookUnderWay::request);
  if (look == worker.looks.end()) return;

  const LookUnderWay sent = *look;
  worker.looks.erase(look);

  if (answered.reply.status == OrderStatus::kOk) {
    TakeLook(state, effects, cell->second, worker, sent, answered.reply);
  } else {
    TakeFailedLook(state, effects, worker, answered.reply.status);
  }
}

}  // namespace currantpost::scheduler
