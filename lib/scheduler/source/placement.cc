#include "internal.h"

/// Which worker takes a task, and which cell a job. Answers the load of lasting tasks that hold
/// most of the room, short jobs that must find room at once, and filling work on what is left
/// unused.

namespace currantpost::scheduler {
namespace {

/// A worker that has not answered for so long gets nothing new: two looks have failed.
constexpr Millis kSilentAfter = Millis(2'600);
/// Share of what they hold that lasting tasks use on average, in percent.
constexpr int64_t kLastingUsePercent = 40;
/// Least time between two placements in a cell: half of what progress writes wait for.
constexpr Millis kPlacementInterval = Millis(30);
/// What counts for a lasting task to be among those of its image only, and to begin on a worker
/// without any; more than any difference in room.
constexpr int64_t kSameImageScore = 1'000'000;
constexpr int64_t kEmptyScore = 500'000;
/// What counts for work that disturbs no lasting task to go beside one.
constexpr int64_t kBesideLastingScore = 20'000;
/// Filling work that disturbs lasting tasks everywhere is placed after so long all the same, where
/// it disturbs least, and paced.
constexpr Millis kSlackPatience = Millis(6'000);
/// Share of what they ask for that filling tasks use on average, in percent.
constexpr int64_t kFillingUsePercent = 85;
/// Scores that decide before room does.
/// @{
constexpr int64_t kPreferredRackScore = 1'000'000'000;
constexpr int64_t kAvoidScore = -4'000'000'000;
/// For each task of the same step on the worker, so that one loss takes few of them.
constexpr int64_t kSameStepScore = -4'000;
/// @}
/// Slack of the lasting tasks above which more of it does not matter, and what a whole unit of
/// slack counts, in thousandths of a core: a tenth as much as a third of a worker's processors.
constexpr double kFullSlack = 0.3;
constexpr double kSlackScore = 100'000.0;

bool TakesTasks(const State& state, const WorkerState& worker) {
  if (!worker.listed || worker.info.draining || !worker.confirmed) return false;
  if (state.now < worker.quarantined_until) return false;

  return worker.failed_looks == 0 || state.now - worker.answered_at < kSilentAfter;
}

int64_t FreeMillicores(const WorkerState& worker) {
  return worker.info.capacity.millicores - worker.held.millicores;
}

/// Room for filling tasks: what the others are expected to leave unused.
int64_t FreeFilling(const WorkerState& worker) {
  const int64_t brief = worker.held.millicores - worker.lasting_millicores;
  const int64_t usual = worker.lasting_millicores * kLastingUsePercent / 100;
  const int64_t used = brief + std::max(usual, worker.lasting_use);
  return worker.info.capacity.millicores - used -
         worker.filling_millicores * kFillingUsePercent / 100;
}

bool HasRoom(const WorkerState& worker, const StepSpec& spec) {
  const Resources& capacity = worker.info.capacity;
  if (worker.held.memory_mib + spec.need.memory_mib > capacity.memory_mib) return false;
  if (worker.held.accelerators + spec.need.accelerators > capacity.accelerators) return false;

  if (!spec.filling) return spec.need.millicores <= FreeMillicores(worker);

  return spec.need.millicores <= FreeFilling(worker);
}

bool HasLabel(const WorkerState& worker, const std::string& label) {
  return label.empty() || std::ranges::find(worker.info.labels, label) != worker.info.labels.end();
}

/// Counts the tasks of the same step on a worker, also those that were lent to this cell one by
/// one.
int32_t SameStep(const OwnedCell& cell, const WorkerState& worker, const TaskName& name) {
  int32_t count = 0;

  for (const TaskRef& ref : worker.tasks) {
    if (ref.occurrence != name.occurrence || ref.step != name.step) continue;
    if (NameOf(cell.jobs.at(ref.job), ref).job == name.job) ++count;
  }

  return count;
}

/// Says how well a worker suits a lasting task by the images of those that are there. Any filling
/// image disturbs some images of lasting tasks and leaves others alone, so that it finds a place
/// where it harms nobody if lasting tasks of one image stay among themselves.
int64_t Company(OwnedCell& cell, const WorkerState& worker, const std::string& image) {
  if (worker.lasting_millicores == 0) return kEmptyScore;

  int64_t same = 0;

  for (const TaskRef& ref : worker.tasks) {
    const StepSpec& spec = SpecOf(cell.jobs.at(ref.job), ref);
    if (spec.lasting && spec.image == image) same += spec.need.millicores;
  }

  return same * kSameImageScore / worker.lasting_millicores;
}

/// Says how well a worker suits a task; nothing if it does not.
std::optional<int64_t> Score(const State& state, OwnedCell& cell, const JobState& job,
                             const TaskRef& ref, const TaskState& task, WorkerState& worker,
                             const std::string& service) {
  const StepSpec& spec = SpecOf(job, ref);
  if (!TakesTasks(state, worker) || worker.info.service != service) return std::nullopt;
  if (!HasRoom(worker, spec) || !HasLabel(worker, spec.needed_label)) return std::nullopt;

  const int32_t same = SameStep(cell, worker, NameOf(job, ref));
  if (spec.most_per_worker > 0 && same >= spec.most_per_worker) return std::nullopt;

  int64_t score = 0;

  if (spec.filling) {
    const double slack = SlackWith(state, cell, worker, spec.image, spec.need.millicores);
    const bool patient = state.now - task.not_before < kSlackPatience;
    if (slack < 0.0 && patient) return std::nullopt;

    score = FreeFilling(worker) + static_cast<int64_t>(std::min(slack, kFullSlack) * kSlackScore);
    // Harmless work leaves the workers without lasting tasks to the harmful.
    if (slack >= kFullSlack && worker.lasting_millicores > 0) score += kBesideLastingScore;
    score += same * kSameStepScore;
  } else if (spec.lasting) {
    // The tightest fit keeps large holes for large tasks.
    score = -FreeMillicores(worker) + Company(cell, worker, spec.image);
  } else {
    score = FreeMillicores(worker);
  }

  if (worker.info.id == task.avoid) score += kAvoidScore;
  if (!spec.preferred_rack.empty() && worker.info.rack.Text() == spec.preferred_rack) {
    score += kPreferredRackScore;
  }

  return score;
}

/// Returns the service whose workers run a job now: the queue's, or the one of its acceptance if
/// the queue is gone.
const std::string& ServiceOf(const State& state, const JobRecord& record) {
  const Queue* queue = state.queues.Find(record.queue);
  return queue == nullptr ? record.service : queue->service;
}

/// Returns the waiting tasks in the order in which they are placed: by priority, class and urgency,
/// then by when their jobs should be done.
std::vector<TaskRef> MostUrgentFirst(const State& state, const OwnedCell& cell) {
  using Rank = std::tuple<int32_t, int32_t, Urgency>;
  std::vector<std::pair<Rank, const TaskRef*>> ranked;
  ranked.reserve(cell.waiting.size());

  for (const WaitingKey& key : cell.waiting) {
    const TaskRef& ref = std::get<3>(key);
    const Urgency urgency = UrgencyOf(TimesOf(cell.jobs.at(ref.job).record), state.unix_ms);
    ranked.emplace_back(Rank{std::get<0>(key), std::get<1>(key), urgency}, &ref);
  }

  std::ranges::stable_sort(ranked, {}, &std::pair<Rank, const TaskRef*>::first);
  std::vector<TaskRef> refs;
  refs.reserve(ranked.size());
  for (const auto& [rank, ref] : ranked) refs.push_back(*ref);
  return refs;
}

}  // namespace

WorkerState* ChooseWorker(const State& state, OwnedCell& cell, const TaskRef& ref) {
  const JobState& job = cell.jobs.at(ref.job);
  const TaskState& task = *FindTask(cell, ref);
  const std::string& service = ServiceOf(state, job.record);
  WorkerState* best = nullptr;
  int64_t best_score = 0;

  for (auto& [id, worker] : cell.workers) {
    const std::optional<int64_t> score = Score(state, cell, job, ref, task, worker, service);
    if (!score || (best != nullptr && *score <= best_score)) continue;

    best = &worker;
    best_score = *score;
  }

  return best;
}

void PlaceTasks(State& state, Effects& /*effects*/, OwnedCell& cell) {
  if (cell.releasing || cell.waiting.empty() || !cell.placement_due) return;

  if (state.now < cell.next_placement) {
    WakeAt(state, cell.next_placement);
    return;
  }

  cell.placement_due = false;
  cell.next_placement = state.now + kPlacementInterval;
  std::set<std::tuple<JobId, int32_t, int32_t>> unfit;

  for (const TaskRef& ref : MostUrgentFirst(state, cell)) {
    JobState& job = cell.jobs.at(ref.job);
    const TaskState& task = *FindTask(cell, ref);
    if (job.move || job.loan) continue;

    if (state.now < task.not_before) {
      cell.placement_due = true;
      cell.next_placement = std::max(state.now, std::min(cell.next_placement, task.not_before));
      WakeAt(state, task.not_before);
      continue;
    }

    // All tasks of a step ask for the same.
    const auto step = std::make_tuple(ref.job, ref.occurrence, ref.step);
    if (unfit.contains(step)) continue;

    WorkerState* worker = ChooseWorker(state, cell, ref);

    if (worker == nullptr) {
      unfit.insert(step);
      if (!job.waits_since) job.waits_since = state.now;
      continue;
    }

    BindTask(state, cell, job, ref, *worker);
    job.waits_since.reset();
  }
}

WaitingJobs CountWaiting(const State& state, const OwnedCell& cell, KvRevision up_to) {
  WaitingJobs waiting{.up_to = up_to};

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
    if (!TakesTasks(state, worker)) continue;

    ServiceLoad& load = record.services[worker.info.service];
    const int64_t free = std::max<int64_t>(FreeMillicores(worker), 0);
    load.capacity += worker.info.capacity.millicores;
    load.free += free;
    load.largest_free = std::max(load.largest_free, free);
    load.free_filling += std::max<int64_t>(FreeFilling(worker), 0);

    for (const TaskRef& ref : worker.tasks) {
      const StepSpec& spec = SpecOf(cell.jobs.at(ref.job), ref);
      if (spec.lasting) load.lasting[spec.image] += spec.need.millicores;
    }
  }

  record.waiting = CountWaiting(state, cell, state.feeds.at(Feed::kRecords).revision);

  for (const WaitingKey& key : cell.waiting) {
    const TaskRef& ref = std::get<3>(key);
    const JobState& job = cell.jobs.at(ref.job);
    const StepSpec& spec = SpecOf(job, ref);
    ServiceLoad& load = record.services[ServiceOf(state, job.record)];
    (spec.filling ? load.waiting_filling : load.waiting) += spec.need.millicores;
  }

  return record;
}

}  // namespace currantpost::scheduler
