#include "reservations.h"

/// Chooses the worker for each waiting task, and reports the load of a cell. Designed for a load in
/// which long-running tasks hold most of the capacity, short jobs need room at once, and
/// best-effort tasks use what the others leave unused.

namespace currantpost::scheduler {
namespace {

/// A worker that has not answered for this long gets no new tasks: two polls have failed by then.
constexpr Millis kUnresponsiveAfter = Millis(2'600);
/// Average share of the reserved processor time that long-running tasks use, in percent.
constexpr int64_t kLongRunningUsePercent = 40;
/// Minimum time between two placement rounds in a cell: half of the delay of progress writes.
constexpr Millis kPlacementInterval = Millis(30);
/// Scores of a long-running task for a worker whose long-running tasks are all of the same image,
/// and for a worker without any. Both outweigh any difference in free capacity.
constexpr int64_t kSameImageScore = 1'000'000;
constexpr int64_t kNoLongRunningScore = 500'000;
/// Score of best-effort tasks that add little stress for a worker with long-running tasks.
constexpr int64_t kBesideLongRunningScore = 20'000;
/// Maximum wait of a best-effort task that would disturb long-running tasks on every worker. After
/// that it is placed where it disturbs least, and throttled.
constexpr Millis kMaxHeadroomWait = Millis(6'000);
/// Average share of the requested processor time that best-effort tasks use, in percent.
constexpr int64_t kBestEffortUsePercent = 85;
/// Scores that outweigh free capacity.
/// @{
constexpr int64_t kPreferredRackScore = 1'000'000'000;
constexpr int64_t kFailedWorkerScore = -4'000'000'000;
/// For each task of the same step on the worker, so that the loss of one worker hits few of them.
constexpr int64_t kSameStepScore = -4'000;
/// @}
/// Stress headroom of the long-running tasks above which more makes no difference, and the score of
/// one unit of headroom, in thousandths of a core: a tenth as much as a third of a worker's
/// processors.
constexpr double kFullHeadroom = 0.3;
constexpr double kHeadroomScore = 100'000.0;

bool AcceptsTasks(const State& state, const WorkerState& worker) {
  if (!worker.listed || worker.info.draining || !worker.confirmed) return false;
  if (state.now < worker.quarantined_until) return false;

  return worker.failed_polls == 0 || state.now - worker.answered_at < kUnresponsiveAfter;
}

int64_t FreeMillicores(const WorkerState& worker) {
  return worker.info.capacity.millicores - worker.reserved.millicores;
}

/// Returns the free capacity for best-effort tasks, in thousandths of a core: what the other tasks
/// are expected to leave unused.
int64_t FreeBestEffort(const WorkerState& worker) {
  const int64_t short_running = worker.reserved.millicores - worker.long_running_millicores;
  const int64_t expected = worker.long_running_millicores * kLongRunningUsePercent / 100;
  const int64_t used = short_running + std::max(expected, worker.long_running_use);
  return worker.info.capacity.millicores - used -
         worker.best_effort_millicores * kBestEffortUsePercent / 100;
}

bool HasRoom(const WorkerState& worker, const StepSpec& spec) {
  const Resources& capacity = worker.info.capacity;
  if (worker.reserved.memory_mib + spec.need.memory_mib > capacity.memory_mib) return false;
  if (worker.reserved.accelerators + spec.need.accelerators > capacity.accelerators) return false;

  if (!spec.best_effort) return spec.need.millicores <= FreeMillicores(worker);

  return spec.need.millicores <= FreeBestEffort(worker);
}

bool HasLabel(const WorkerState& worker, const std::string& label) {
  return label.empty() || std::ranges::find(worker.info.labels, label) != worker.info.labels.end();
}

/// Counts the tasks of a step on a worker, including those lent to this cell in separate borrowed
/// jobs and those for which capacity is reserved.
int32_t CountTasksOfStep(const OwnedCell& cell, const WorkerState& worker, const StepName& name) {
  int32_t count = 0;

  for (const TaskRef& ref : worker.tasks) {
    if (ref.occurrence != name.occurrence || ref.step != name.step) continue;
    if (NameOf(cell.jobs.at(ref.job), ref).job == name.job) ++count;
  }

  if (worker.reservations == 0) return count;

  const auto held = cell.reservations.find(name);
  if (held == cell.reservations.end()) return count;

  return count + static_cast<int32_t>(std::ranges::count(held->second.workers, worker.info.id));
}

/// Returns how well a worker suits a long-running task, by the images of the long-running tasks
/// there. Each best-effort image disturbs only some images of long-running tasks. Grouping
/// long-running tasks by image therefore leaves workers where a best-effort image disturbs none of
/// them.
int64_t ImageAffinityScore(OwnedCell& cell, const WorkerState& worker, const std::string& image) {
  if (worker.long_running_millicores == 0) return kNoLongRunningScore;

  int64_t same = 0;

  for (const TaskRef& ref : worker.tasks) {
    const StepSpec& spec = SpecOf(cell.jobs.at(ref.job), ref);
    if (spec.is_long_running && spec.image == image) same += spec.need.millicores;
  }

  return same * kSameImageScore / worker.long_running_millicores;
}

/// Returns the score of a worker for a task, or nothing if the task may not be placed there.
std::optional<int64_t> ScoreWorker(const State& state, OwnedCell& cell,
                                   const PlacementRequest& request, WorkerState& worker) {
  const StepSpec& spec = request.spec;
  if (!AcceptsTasks(state, worker) || worker.info.service != request.service) return std::nullopt;
  if (!HasRoom(worker, spec) || !HasLabel(worker, spec.worker_label)) return std::nullopt;

  const int32_t same = CountTasksOfStep(cell, worker, request.name);
  if (spec.max_per_worker > 0 && same >= spec.max_per_worker) return std::nullopt;

  int64_t score = 0;

  if (spec.best_effort) {
    const double headroom =
        StressHeadroomWith(state, cell, worker, spec.image, spec.need.millicores);
    const bool may_wait = state.now - request.ready_at < kMaxHeadroomWait;
    if (headroom < 0.0 && may_wait) return std::nullopt;

    score = FreeBestEffort(worker) +
            static_cast<int64_t>(std::min(headroom, kFullHeadroom) * kHeadroomScore);
    // Keeps workers without long-running tasks free for best-effort tasks that would disturb them.
    if (headroom >= kFullHeadroom && worker.long_running_millicores > 0) {
      score += kBesideLongRunningScore;
    }
    score += same * kSameStepScore;
  } else if (spec.is_long_running) {
    // Best fit: keeps large free capacities for large tasks.
    score = -FreeMillicores(worker) + ImageAffinityScore(cell, worker, spec.image);
  } else {
    score = FreeMillicores(worker);
  }

  if (worker.info.id == request.avoided_worker) score += kFailedWorkerScore;
  if (!spec.preferred_rack.empty() && worker.info.rack.Text() == spec.preferred_rack) {
    score += kPreferredRackScore;
  }

  return score;
}

/// Returns the waiting tasks in order of placement: by priority, rank and urgency, then by when
/// their jobs should be done.
std::vector<TaskRef> TasksByUrgency(const State& state, const OwnedCell& cell) {
  using Rank = std::tuple<int32_t, int32_t, Urgency>;
  std::vector<std::pair<Rank, const TaskRef*>> ranked;
  ranked.reserve(cell.waiting.size());

  for (const WaitingKey& key : cell.waiting) {
    const TaskRef& ref = std::get<3>(key);
    const Urgency urgency = UrgencyOf(JobObjectiveOf(cell.jobs.at(ref.job).record), state.unix_ms);
    ranked.emplace_back(Rank{std::get<0>(key), std::get<1>(key), urgency}, &ref);
  }

  std::ranges::stable_sort(ranked, {}, &std::pair<Rank, const TaskRef*>::first);
  std::vector<TaskRef> refs;
  refs.reserve(ranked.size());
  for (const auto& [rank, ref] : ranked) refs.push_back(*ref);
  return refs;
}

}  // namespace

const std::string& ServiceOf(const State& state, const JobRecord& record) {
  const auto service = state.service_of_queue.find(record.queue);
  return service == state.service_of_queue.end() ? record.service : service->second;
}

StepName StepNameOf(const JobState& job, const TaskRef& ref) {
  const TaskName name = NameOf(job, ref);
  return StepName{name.job, name.occurrence, name.step};
}

WorkerState* ChooseWorker(const State& state, OwnedCell& cell, const PlacementRequest& request) {
  WorkerState* best = nullptr;
  int64_t best_score = 0;

  for (auto& [id, worker] : cell.workers) {
    const std::optional<int64_t> score = ScoreWorker(state, cell, request, worker);
    if (!score || (best != nullptr && *score <= best_score)) continue;

    best = &worker;
    best_score = *score;
  }

  return best;
}

WorkerState* ChooseWorker(const State& state, OwnedCell& cell, const TaskRef& ref) {
  const JobState& job = cell.jobs.at(ref.job);
  const TaskState& task = *FindTask(cell, ref);
  return ChooseWorker(state, cell,
                      PlacementRequest{.name = StepNameOf(job, ref),
                                       .spec = SpecOf(job, ref),
                                       .service = ServiceOf(state, job.record),
                                       .avoided_worker = task.avoided_worker,
                                       .ready_at = task.not_before});
}

bool FitsOnWorker(const State& state, OwnedCell& cell, const PlacementRequest& request,
                  WorkerState& worker) {
  return ScoreWorker(state, cell, request, worker).has_value();
}

void PlaceTasks(State& state, Effects& /*effects*/, OwnedCell& cell) {
  if (cell.releasing || cell.waiting.empty() || !cell.placement_due) return;

  if (state.now < cell.next_placement) {
    WakeAt(state, cell.next_placement);
    return;
  }

  cell.placement_due = false;
  cell.next_placement = state.now + kPlacementInterval;
  std::set<std::tuple<JobId, int32_t, int32_t>> unplaceable;
  std::set<JobId> bound;

  for (const TaskRef& ref : TasksByUrgency(state, cell)) {
    JobState& job = cell.jobs.at(ref.job);
    const TaskState& task = *FindTask(cell, ref);
    if (job.move || job.loan) continue;

    if (state.now < task.not_before) {
      cell.placement_due = true;
      cell.next_placement = std::max(state.now, std::min(cell.next_placement, task.not_before));
      WakeAt(state, task.not_before);
      continue;
    }

    // All tasks of a step have the same requirements.
    const auto step = std::make_tuple(ref.job, ref.occurrence, ref.step);
    if (unplaceable.contains(step)) continue;

    WorkerState* worker = ChooseWorker(state, cell, ref);

    if (worker == nullptr) {
      unplaceable.insert(step);
      if (!job.waits_since) job.waits_since = state.now;
      continue;
    }

    BindTask(state, cell, job, ref, *worker);
    bound.insert(ref.job);
  }

  for (const JobId& id : bound) {
    const auto waiting = unplaceable.lower_bound(std::make_tuple(id, 0, 0));
    const bool waits = waiting != unplaceable.end() && std::get<0>(*waiting) == id;
    if (!waits) cell.jobs.at(id).waits_since.reset();
  }
}

PendingJobs CountCellPendingJobs(const State& state, const OwnedCell& cell, KvRevision up_to) {
  PendingJobs waiting{.up_to = up_to};

  for (const auto& [id, job] : cell.jobs) {
    const bool immediate = job.record.spec.occurrences == 0 && job.record.parent.Empty();
    if (!immediate || job.phase != JobPhase::kQueued || job.cancelled) continue;

    const auto view = state.view.jobs.find(id);
    if (view != state.view.jobs.end() && view->second.revision > up_to) continue;

    ++waiting.by_queue[job.record.queue];
  }

  return waiting;
}

LoadRecord CountLoad(const State& state, const OwnedCell& cell) {
  LoadRecord record;

  for (const auto& [id, worker] : cell.workers) {
    if (!AcceptsTasks(state, worker)) continue;

    ServiceLoad& load = record.services[worker.info.service];
    const int64_t free = std::max<int64_t>(FreeMillicores(worker), 0);
    load.capacity += worker.info.capacity.millicores;
    load.free += free;
    load.largest_free = std::max(load.largest_free, free);
    load.free_best_effort += std::max<int64_t>(FreeBestEffort(worker), 0);

    for (const TaskRef& ref : worker.tasks) {
      const StepSpec& spec = SpecOf(cell.jobs.at(ref.job), ref);
      if (spec.is_long_running) load.long_running_by_image[spec.image] += spec.need.millicores;
    }
  }

  record.waiting = CountCellPendingJobs(state, cell, state.feeds.at(Feed::kRecords).revision);

  for (const WaitingKey& key : cell.waiting) {
    const TaskRef& ref = std::get<3>(key);
    const JobState& job = cell.jobs.at(ref.job);
    const StepSpec& spec = SpecOf(job, ref);
    ServiceLoad& load = record.services[ServiceOf(state, job.record)];
    (spec.best_effort ? load.waiting_best_effort : load.waiting) += spec.need.millicores;
  }

  return record;
}

}  // namespace currantpost::scheduler
