#include <algorithm>

#include "work.h"

/// Selects workers for pending tasks.

namespace currantpost {
namespace {

/// Returns a share of processors and memory. Accelerators are not divided.
Resources ShareOf(const Resources& capacity, double share) {
  return Resources{
      .millicores = static_cast<int64_t>(static_cast<double>(capacity.millicores) * share),
      .memory_mib = static_cast<int64_t>(static_cast<double>(capacity.memory_mib) * share),
      .accelerators = capacity.accelerators};
}

bool AcceptsTasks(const State& state, const WorkerState& worker) {
  const bool usable = worker.in_record && worker.confirmed && !worker.leases_expired &&
                      !worker.leaving && state.now >= worker.next_order;
  if (!usable) return false;

  return state.work.quarantine.Health(state.now, worker.member.vm) != WorkerHealth::kQuarantined;
}

Resources UsableCapacity(const State& state, const WorkerState& worker) {
  return ShareOf(worker.capacity, 1.0 - state.settings.capacity_reserve);
}

PlacementCandidate CandidateOf(const State& state, const RackState& rack,
                               const WorkerState& worker) {
  return PlacementCandidate{.accepts_starts = AcceptsTasks(state, worker),
                            .capacity = UsableCapacity(state, worker),
                            .committed = worker.committed,
                            .committed_batch = worker.committed_batch,
                            .services = ServicesOn(rack, worker),
                            .measured_slowdown = worker.slowdown,
                            .batch = BatchOn(rack, worker)};
}

/// The workers of a rack as placement candidates during one placement round.
class Candidates {
 public:
  Candidates(const State& state, RackState& rack) : state_(state), rack_(rack) {
    for (auto& [id, worker] : rack.workers) {
      workers_.push_back(&worker);
      candidates_.push_back(CandidateOf(state, rack, worker));
    }
  }

  /// Returns the worker for a task, or null if there is none. A worker that still has the row of an
  /// earlier attempt is the last choice, as that row must be removed before the next attempt can
  /// start.
  WorkerState* Choose(const JobSpec& spec, const Resources& size, const TaskKey& key) {
    const PlacementDemand demand{
        .task_class = spec.task_class, .priority = spec.priority, .kind = spec.kind, .size = size};
    std::vector<size_t> deferred;

    for (size_t index = 0; index < workers_.size(); ++index) {
      const bool has_old_row = workers_[index]->rows.contains(key);
      if (has_old_row && candidates_[index].accepts_starts) deferred.push_back(index);
    }

    for (const size_t index : deferred) candidates_[index].accepts_starts = false;
    PlacementResult result = Decide(demand);
    for (const size_t index : deferred) candidates_[index].accepts_starts = true;

    if (!result && !deferred.empty()) result = Decide(demand);
    return result ? workers_[*result] : nullptr;
  }

  /// Updates the candidate of a worker after a task was placed on it.
  void Refresh(const WorkerState& worker) {
    const auto index = std::ranges::find(workers_, &worker) - workers_.begin();
    candidates_[index] = CandidateOf(state_, rack_, worker);
  }

  /// Returns the resources to commit for a task: the estimated use of its kind where that exceeds
  /// the declared resources, limited to what the largest worker of the rack can hold.
  [[nodiscard]] Resources SizeOf(const JobSpec& spec) const {
    Resources max_size;
    for (const PlacementCandidate& candidate : candidates_) {
      max_size = ComponentMax(max_size, candidate.capacity);
    }
    if (spec.task_class == TaskClass::kBatch) max_size = ShareOf(max_size, Limits().batch_share);

    Resources size = state_.work.sizes.Estimate(spec.kind, spec.declared);
    size.millicores = std::min(size.millicores, max_size.millicores);
    size.memory_mib = std::min(size.memory_mib, max_size.memory_mib);
    return ComponentMax(size, spec.declared);
  }

 private:
  [[nodiscard]] PlacementLimits Limits() const {
    return PlacementLimitsOf(PresetInForce(state_.configuration.current));
  }

  PlacementResult Decide(const PlacementDemand& demand) {
    switch (state_.settings.placement) {
      case PlacementRule::kInterferenceAware:
        return InterferenceAwarePlacement(state_.work.interference)
            .Place(candidates_, demand, Limits());
      case PlacementRule::kFirstFit:
        return FirstFitPlacement().Place(candidates_, demand, Limits());
      case PlacementRule::kLeastLoaded:
        return LeastLoadedPlacement().Place(candidates_, demand, Limits());
    }

    return tl::unexpected(PlacementRefusal::kNoWorker);
  }

  const State& state_;
  const RackState& rack_;
  std::vector<WorkerState*> workers_;
  std::vector<PlacementCandidate> candidates_;
};

void Place(State& state, Effects& effects, RackState& rack, PartState& part, int32_t index,
           WorkerState& worker, const Resources& size) {
  ActiveTask task;
  task.size = size;
  task.worker = worker.member.vm;

  if (const auto retry = part.retries.find(index); retry != part.retries.end()) {
    task.attempt = retry->second.attempt;
    task.checkpoint = retry->second.checkpoint;
    part.retries.erase(retry);
  }

  part.active[index] = std::move(task);
  if (worker.rows.contains(TaskKey{part.spec.job, index})) rack.attempt_release_due = true;
  worker.tasks.insert(TaskKey{part.spec.job, index});
  RecountCommitments(rack, worker);
  worker.residency.Record(state.now, BatchOn(rack, worker));
  state.work.quarantine.RecordStart(state.now, worker.member.vm);
  SendNextOrder(state, effects, rack, worker);
}

/// Places as many tasks of one part as possible. All its tasks have the same demand, so the first
/// that does not fit ends the loop.
void PlacePart(State& state, Effects& effects, RackState& rack, PartState& part,
               Candidates& candidates) {
  const Resources size = candidates.SizeOf(part.spec);

  while (const std::optional<int32_t> index = NextPendingTask(state, part)) {
    WorkerState* worker = candidates.Choose(part.spec, size, TaskKey{part.spec.job, *index});
    if (worker == nullptr) return;

    Place(state, effects, rack, part, *index, *worker, size);
    candidates.Refresh(*worker);
  }
}

}  // namespace

void PlaceTasks(State& state, Effects& effects, RackState& rack) {
  rack.placement_due = false;
  if (rack.phase != RackPhase::kOpen || state.shutdown.requested) return;
  if (!state.configuration.known) return;

  const bool none_pending = std::ranges::all_of(rack.queues, &PartQueue::empty);
  if (none_pending) return;

  Candidates candidates(state, rack);

  for (PartQueue& queue : rack.queues) {
    for (auto part = queue.begin(); part != queue.end();) {
      PartState& current = *part++;
      PlacePart(state, effects, rack, current, candidates);

      const bool has_pending =
          !current.retries.empty() || NextPendingTask(state, current).has_value();
      if (!has_pending) current.unlink();
    }
  }
}

}  // namespace currantpost
