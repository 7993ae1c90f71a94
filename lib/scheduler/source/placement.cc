#include <limits>

#include "capacity_offers.h"
#include "cell_load.h"
#include "cell_workers.h"
#include "wait_log.h"
#include "worker_hold.h"

/// Chooses the worker for each waiting task. Designed for a load in which long-running tasks hold
/// most of the capacity, short jobs need room at once, and best-effort tasks use what the others
/// leave unused.

namespace currantpost::scheduler {
namespace {

/// Average share of the reserved processor time that long-running tasks use, in percent.
constexpr int64_t kLongRunningUsePercent = 40;
/// Minimum time between two placement rounds in a cell: half of the delay of progress writes.
constexpr Millis kPlacementInterval = Millis(30);
/// Maximum number of tasks that one round binds. The rest waits for the next round, so that a large
/// job does not delay the renewal of the entry's lease.
constexpr int32_t kMaxBindingsPerRound = 200;
/// Maximum number of workers that one round offers to tasks of other cells.
constexpr size_t kMaxOffersPerRound = 8;
/// Number of tasks of a worker whose start was not sent yet above which the worker gets no more
/// tasks of a step that has many there. Orders leave one by one, and each event of a worker looks
/// at all its tasks.
constexpr int32_t kMaxUnstartedTasks = 64;
constexpr int32_t kManyTasksOfStep = 32;
/// Maximum number of workers that a cell keeps for the short tasks of a job. They take little time,
/// so that each worker serves several of them.
constexpr int32_t kMaxShortHoldsPerJob = 2;
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

/// Returns whether a task fits on a worker beside what is kept for another one.
bool HasRoom(const WorkerState& worker, const StepSpec& spec, const Resources& kept) {
  const Resources& capacity = worker.info.capacity;
  const Resources& reserved = worker.reserved;
  if (reserved.memory_mib + kept.memory_mib + spec.need.memory_mib > capacity.memory_mib)
    return false;
  if (reserved.accelerators + kept.accelerators + spec.need.accelerators > capacity.accelerators)
    return false;

  if (!spec.best_effort) return spec.need.millicores + kept.millicores <= FreeMillicores(worker);

  return spec.need.millicores <= FreeBestEffort(worker);
}

bool HasLabel(const WorkerState& worker, const std::string& label) {
  return label.empty() || std::ranges::find(worker.info.labels, label) != worker.info.labels.end();
}

/// Counts the tasks of a step on a worker, including those lent to this cell in separate borrowed
/// jobs and those for which capacity is reserved.
int32_t CountTasksOfStep(const OwnedCell& cell, const WorkerState& worker, const StepName& name) {
  const auto bound = worker.tasks_by_step.find(name);
  int32_t count = bound == worker.tasks_by_step.end() ? 0 : bound->second;
  if (worker.reservations == 0) return count;

  for (auto held = cell.reservations.lower_bound({name, JobId()});
       held != cell.reservations.end() && held->first.first == name; ++held) {
    count += static_cast<int32_t>(std::ranges::count(held->second.workers, worker.info.id));
  }

  return count;
}

/// Returns whether a worker gets no more tasks of a step of which it has `same`, because too many
/// of its tasks still have to be started.
bool HasManyUnstarted(const WorkerState& worker, int32_t same) {
  return worker.unstarted + worker.reservations >= kMaxUnstartedTasks && same >= kManyTasksOfStep;
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
  if (!HasRoom(worker, spec, KeptFrom(state, cell, request, worker))) return std::nullopt;
  if (!MayUseWorker(state, cell, request, worker)) return std::nullopt;

  const int32_t same = CountTasksOfStep(cell, worker, request.name);
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

/// Returns a key after those of all waiting tasks of the same job and rank.
WaitingKey EndOfJob(const WaitingKey& key) {
  constexpr int32_t kLast = std::numeric_limits<int32_t>::max();
  WaitingKey end = key;
  TaskRef& ref = std::get<3>(end);
  ref.occurrence = kLast;
  ref.step = kLast;
  ref.index = kLast;
  return end;
}

/// Returns a key after those of all waiting tasks of the same step.
WaitingKey EndOfStep(const WaitingKey& key) {
  WaitingKey end = key;
  std::get<3>(end).index = std::numeric_limits<int32_t>::max();
  return end;
}

/// Returns the key of the first waiting task of each job and rank in order of placement: by
/// priority, rank and urgency, then by when the jobs should be done. Interrupted tasks have an
/// order of their own.
std::vector<WaitingKey> JobsByUrgency(const State& state, const OwnedCell& cell) {
  using Rank = std::tuple<int32_t, int32_t, Urgency>;
  std::vector<std::pair<Rank, WaitingKey>> ranked;

  for (auto key = cell.waiting.begin(); key != cell.waiting.end();
       key = cell.waiting.upper_bound(EndOfJob(*key))) {
    if (std::get<1>(*key) == kInterruptedRank) continue;

    const JobState& job = cell.jobs.at(std::get<3>(*key).job);
    const Urgency urgency = UrgencyOf(JobObjectiveOf(job.record), state.unix_ms);
    ranked.emplace_back(Rank{std::get<0>(*key), std::get<1>(*key), urgency}, *key);
  }

  std::ranges::stable_sort(ranked, {}, &std::pair<Rank, WaitingKey>::first);
  std::vector<WaitingKey> first_keys;
  first_keys.reserve(ranked.size());
  for (auto& [rank, key] : ranked) first_keys.push_back(std::move(key));
  return first_keys;
}

/// Keeps workers for the tasks of a step that have found none, if they have waited long and are not
/// interrupted ones. `first` is the first of them.
void KeepWorkersIfOverdue(const State& state, OwnedCell& cell, const JobState& job,
                          const TaskRef& first) {
  if (SpecOf(job, first).best_effort) return;

  HoldRequest request{.placement = RequestFor(state, cell, first),
                      .job = first.job,
                      .priority = job.record.priority};

  int32_t waiting = 0;

  for (const TaskRef& ref : WaitingTasksOf(cell, job)) {
    const bool is_of_step = ref.step == first.step && ref.occurrence == first.occurrence;
    if (!is_of_step || IsInterrupted(job, ref)) continue;

    ++waiting;
    const Millis since = TaskOf(job, ref).waiting_since;
    if (state.now >= since + HoldDelay(false)) ++request.tasks;
  }

  // A task that was passed on to this cell has its hold already.
  const int32_t held = CountHolds(cell, request.placement.name, first.job, false);
  request.tasks = std::max(request.tasks, std::min(held, waiting));
  if (!SpecOf(job, first).is_long_running) {
    request.tasks = std::min(request.tasks, kMaxShortHoldsPerJob);
  }
  if (request.tasks > 0) KeepWorkers(state, cell, request);
}

/// Outcome of a placement round for one job and rank.
struct JobPlacement {
  int32_t bound = 0;
  /// Some task found no worker.
  bool has_unplaced = false;
};

/// Returns whether a task may be bound to a worker now. Schedules the round in which it may.
bool IsReady(State& state, OwnedCell& cell, const TaskRef& ref) {
  const Millis ready_at = FindTask(cell, ref)->not_before;
  if (state.now >= ready_at) return true;

  cell.placement_due = true;
  cell.next_placement = std::max(state.now, std::min(cell.next_placement, ready_at));
  WakeAt(state, ready_at);
  return false;
}

void Bind(State& state, Effects& effects, OwnedCell& cell, JobState& job, const TaskRef& ref,
          WorkerState& worker) {
  const PlacementRequest request = RequestFor(state, cell, ref);
  const Millis kept = EndHold(state, cell, request.name, ref.job, worker.info.id);
  DisplaceHolds(state, cell, request, worker);
  BindTask(state, cell, job, ref, worker);
  RecordEndOfWait(state, effects, job, ref, kept);
}

/// Binds the waiting tasks of a job and rank to workers, at most `limit`. `key` is that of the
/// first of them.
JobPlacement PlaceJob(State& state, Effects& effects, OwnedCell& cell, WaitingKey key,
                      int32_t limit) {
  JobPlacement placement;
  JobState& job = cell.jobs.at(std::get<3>(key).job);
  const WaitingKey end = EndOfJob(key);

  for (auto next = cell.waiting.lower_bound(key); next != cell.waiting.end() && *next < end;
       next = cell.waiting.upper_bound(key)) {
    key = *next;
    const TaskRef& ref = std::get<3>(key);
    if (!IsReady(state, cell, ref)) continue;

    if (placement.bound == limit) {
      cell.placement_due = true;
      WakeAt(state, cell.next_placement);
      break;
    }

    const bool yields = Yields(state, cell, ref);
    WorkerState* worker =
        yields ? nullptr : ChooseWorker(state, cell, RequestFor(state, cell, ref));

    if (worker == nullptr) {
      placement.has_unplaced = true;
      if (!yields) KeepWorkersIfOverdue(state, cell, job, ref);
      // All tasks of a step have the same requirements.
      key = EndOfStep(key);
      continue;
    }

    Bind(state, effects, cell, job, ref, *worker);
    ++placement.bound;
  }

  return placement;
}

/// What a placement round has done.
struct RoundOutcome {
  int32_t bindings = 0;
  /// Jobs of which a task was bound, and jobs of which one found no worker.
  std::set<JobId> bound;
  std::set<JobId> unplaced;
  std::vector<OfferedTask> offers;
};

/// Gives workers of a cell to interrupted tasks, its own and those of other cells, in one order.
class InterruptedRound {
 public:
  InterruptedRound(State& state, Effects& effects, OwnedCell& cell)
      : state_(state),
        effects_(effects),
        cell_(cell),
        may_offer_(MayOffer(state, cell)),
        bound_(state, cell),
        tasks_(InterruptedTasksFor(state, cell)) {}

  /// Handles the tasks whose turn is before the other tasks of a priority.
  void PlaceUpTo(int32_t priority, RoundOutcome& outcome) {
    bound_.Reset();

    for (; next_ < tasks_.size() && tasks_[next_].priority <= priority; ++next_) {
      const InterruptedTask& task = tasks_[next_];

      if (task.own) {
        Place(*task.own, outcome);
      } else if (may_offer_ && outcome.offers.size() < kMaxOffersPerRound) {
        const InterruptedWait& wait = task.reported->task;
        const auto offer = MakeOffer(state_, cell_, bound_, task, ++seen_[{wait.name, wait.job}]);
        if (offer) outcome.offers.push_back(*offer);
      }
    }
  }

 private:
  void Place(const TaskRef& ref, RoundOutcome& outcome) {
    JobState& job = cell_.jobs.at(ref.job);
    if (job.move || job.loan || !IsReady(state_, cell_, ref)) return;

    if (outcome.bindings == kMaxBindingsPerRound) {
      cell_.placement_due = true;
      WakeAt(state_, cell_.next_placement);
      return;
    }

    const PlacementRequest request = RequestFor(state_, cell_, ref);
    const bool may_fit = bound_.MayFit(request);
    WorkerState* worker = may_fit ? ChooseWorker(state_, cell_, request) : nullptr;

    if (worker != nullptr) {
      Bind(state_, effects_, cell_, job, ref, *worker);
      bound_.Reset();
      ++outcome.bindings;
      outcome.bound.insert(ref.job);
      return;
    }

    outcome.unplaced.insert(ref.job);
    const int32_t rank = ++seen_[{request.name, ref.job}];
    if (!may_fit) return;

    const bool is_overdue = state_.now >= *request.absent_since + HoldDelay(true);
    // A task that was passed on to this cell has its hold already.
    if (!is_overdue && rank > CountHolds(cell_, request.name, ref.job, true)) return;

    KeepWorkers(
        state_, cell_,
        HoldRequest{
            .placement = request, .job = ref.job, .tasks = rank, .priority = job.record.priority});
    bound_.Reset();
  }

  State& state_;
  Effects& effects_;
  OwnedCell& cell_;
  bool may_offer_;
  RoomBound bound_;
  std::vector<InterruptedTask> tasks_;
  size_t next_ = 0;
  /// Number of the tasks of each step and job that have found no worker so far.
  std::map<std::pair<StepName, JobId>, int32_t> seen_;
};

}  // namespace

int64_t FreeMillicores(const WorkerState& worker) {
  return worker.info.capacity.millicores - worker.reserved.millicores;
}

int64_t FreeBestEffort(const WorkerState& worker) {
  const int64_t short_running = worker.reserved.millicores - worker.long_running_millicores;
  const int64_t expected = worker.long_running_millicores * kLongRunningUsePercent / 100;
  const int64_t used = short_running + std::max(expected, worker.long_running_use);
  return worker.info.capacity.millicores - used -
         worker.best_effort_millicores * kBestEffortUsePercent / 100;
}

const std::string& ServiceOf(const State& state, const JobRecord& record) {
  const auto service = state.service_of_queue.find(record.queue);
  return service == state.service_of_queue.end() ? record.service : service->second;
}

bool Yields(const State& state, const OwnedCell& cell, const TaskRef& ref) {
  const JobState& job = cell.jobs.at(ref.job);
  return YieldsToInterrupted(state, SpecOf(job, ref), ServiceOf(state, job.record),
                             IsInterrupted(job, ref)) &&
         CountHolds(cell, StepNameOf(job, ref), ref.job, false) == 0;
}

WorkerState* ChooseWorker(const State& state, OwnedCell& cell, const PlacementRequest& request) {
  WorkerState* best = nullptr;
  int64_t best_score = 0;
  if (request.absent_since) state.counts.search.Add(SearchVisit::kWorker, cell.workers.size());

  for (auto& [id, worker] : cell.workers) {
    const std::optional<int64_t> score = ScoreWorker(state, cell, request, worker);
    if (!score || (best != nullptr && *score <= best_score)) continue;

    best = &worker;
    best_score = *score;
  }

  return best;
}

WorkerState* ChooseWorker(const State& state, OwnedCell& cell, const TaskRef& ref) {
  return ChooseWorker(state, cell, RequestFor(state, cell, ref));
}

bool MayUseWorker(const State& state, const OwnedCell& cell, const PlacementRequest& request,
                  const WorkerState& worker) {
  const StepSpec& spec = request.spec;
  if (!AcceptsTasks(state, worker) || worker.info.service != request.service) return false;
  if (!HasLabel(worker, spec.worker_label)) return false;

  const int32_t same = CountTasksOfStep(cell, worker, request.name);
  return !HasManyUnstarted(worker, same) &&
         (spec.max_per_worker <= 0 || same < spec.max_per_worker);
}

bool FitsOnWorker(const State& state, OwnedCell& cell, const PlacementRequest& request,
                  WorkerState& worker) {
  return ScoreWorker(state, cell, request, worker).has_value();
}

void PlaceTasks(State& state, Effects& effects, OwnedCell& cell) {
  if (cell.releasing || !cell.placement_due) return;
  if (cell.waiting.empty() && !state.rooms.HasInterruptedWaits()) return;

  if (state.now < cell.next_placement) {
    WakeAt(state, cell.next_placement);
    return;
  }

  cell.placement_due = false;
  cell.next_placement = state.now + kPlacementInterval;
  CountUnstartedTasks(cell);
  DropUselessHolds(state, cell);
  RoundOutcome outcome;
  InterruptedRound interrupted(state, effects, cell);

  for (const WaitingKey& key : JobsByUrgency(state, cell)) {
    const JobId& id = std::get<3>(key).job;
    JobState& job = cell.jobs.at(id);
    interrupted.PlaceUpTo(std::get<0>(key), outcome);
    if (job.move || job.loan) continue;

    const JobPlacement placement =
        PlaceJob(state, effects, cell, key, kMaxBindingsPerRound - outcome.bindings);
    outcome.bindings += placement.bound;
    if (placement.bound > 0) outcome.bound.insert(id);
    if (placement.has_unplaced) outcome.unplaced.insert(id);
  }

  interrupted.PlaceUpTo(std::numeric_limits<int32_t>::max(), outcome);
  SendOffers(state, effects, cell.cell, outcome.offers);

  for (const JobId& id : outcome.unplaced) {
    JobState& job = cell.jobs.at(id);
    if (!job.waits_since) job.waits_since = state.now;
  }
  for (const JobId& id : outcome.bound) {
    if (!outcome.unplaced.contains(id)) cell.jobs.at(id).waits_since.reset();
  }
}

void CountUnstartedTasks(OwnedCell& cell) {
  for (auto& [id, worker] : cell.workers) {
    worker.unstarted = static_cast<int32_t>(worker.tasks.size());
    if (worker.unstarted < kManyTasksOfStep) continue;

    const auto unstarted = std::ranges::count_if(worker.tasks, [&cell](const TaskRef& ref) {
      const TaskState& task = *FindTask(cell, ref);
      return task.phase == TaskPhase::kBinding ||
             (task.phase == TaskPhase::kStarting && !task.start_sent);
    });
    worker.unstarted = static_cast<int32_t>(unstarted);
  }
}

}  // namespace currantpost::scheduler
