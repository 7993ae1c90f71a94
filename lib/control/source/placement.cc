#include "work.h"

/// Which worker a waiting task is given to.

namespace currantpost {
namespace {

/// Returns a share of processors and memory; accelerators are whole.
Resources ShareOf(const Resources& capacity, double share) {
  return Resources{
      .millicores = static_cast<int64_t>(static_cast<double>(capacity.millicores) * share),
      .memory_mib = static_cast<int64_t>(static_cast<double>(capacity.memory_mib) * share),
      .accelerators = capacity.accelerators};
}

bool TakesTasks(const State& state, const WorkerState& worker) {
  return worker.in_record && worker.confirmed && !worker.lapsed && !worker.leaving &&
         state.now >= worker.next_order;
}

bool HasRoom(const State& state, const WorkerState& worker, const JobSpec& spec) {
  const Resources usable = ShareOf(worker.capacity, 1.0 - state.settings.capacity_reserve);
  if (!FitsWithin(worker.committed + spec.declared, usable)) return false;
  if (spec.task_class != TaskClass::kBatch) return true;

  const Preset& preset = PresetInForce(state.configuration.present);
  return FitsWithin(worker.committed_batch + spec.declared, ShareOf(usable, preset.batch_share));
}

/// Returns the worker for a task, or null if there is no room. One that keeps the row of an earlier
/// attempt comes last: there the row has to go before the next attempt starts.
WorkerState* ChooseWorker(const State& state, RackState& rack, const JobSpec& spec, int32_t index) {
  const TaskKey key{spec.job, index};
  WorkerState* last = nullptr;

  for (auto& [id, worker] : rack.workers) {
    if (!TakesTasks(state, worker) || !HasRoom(state, worker, spec)) continue;
    if (!worker.rows.contains(key)) return &worker;

    last = &worker;
  }

  return last;
}

void Place(State& state, Effects& effects, RackState& rack, PartState& part, int32_t index,
           WorkerState& worker) {
  ActiveTask task;
  task.worker = worker.member.vm;

  if (const auto retry = part.retries.find(index); retry != part.retries.end()) {
    task.attempt = retry->second.attempt;
    task.checkpoint = retry->second.checkpoint;
    part.retries.erase(retry);
  }

  part.active[index] = std::move(task);
  if (worker.rows.contains(TaskKey{part.spec.job, index})) rack.release_due = true;
  worker.tasks.insert(TaskKey{part.spec.job, index});
  RecountCommitments(rack, worker);
  DriveWorker(state, effects, rack, worker);
}

/// Places what it can of one part. Its tasks are alike, so the first without room ends it.
void PlacePart(State& state, Effects& effects, RackState& rack, PartState& part) {
  while (const std::optional<int32_t> index = NextWaiting(state, part)) {
    WorkerState* worker = ChooseWorker(state, rack, part.spec, *index);
    if (worker == nullptr) return;

    Place(state, effects, rack, part, *index, *worker);
  }
}

}  // namespace

void PlaceTasks(State& state, Effects& effects, RackState& rack) {
  rack.placement_due = false;
  if (rack.phase != RackPhase::kOpen || state.shutdown.requested) return;
  if (!state.configuration.known) return;

  for (PartQueue& queue : rack.queues) {
    for (auto part = queue.begin(); part != queue.end();) {
      PartState& present = *part++;
      PlacePart(state, effects, rack, present);

      const bool waits = !present.retries.empty() || NextWaiting(state, present).has_value();
      if (!waits) present.unlink();
    }
  }
}

}  // namespace currantpost
