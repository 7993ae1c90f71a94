#include "work.h"

/// Quarantine of workers on which tasks keep failing.

namespace currantpost {
namespace {

/// Maximum number of failures that are kept per worker until one of its tasks finishes.
constexpr size_t kMaxSuspectFailures = 32;

/// Reverts the task failure counts that led to a quarantine, as the worker caused those failures.
void RevertFailureCounts(RackState& rack, WorkerState& worker) {
  for (const TaskKey& key : worker.suspect_failures) {
    const auto part = rack.parts.find(key.job);
    if (part == rack.parts.end()) continue;

    const auto failures = part->second.failures.find(key.index);
    if (failures != part->second.failures.end() && failures->second > 0) --failures->second;
  }

  worker.suspect_failures.clear();
}

/// Returns the id under which the quarantine counts a failure. All failures of one job count as one
/// source, as the job may fail on every worker. Once tasks of the job have finished, each of its
/// tasks is a source of its own.
JobId FailureSourceOf(const RackState& rack, const TaskKey& key) {
  const auto part = rack.parts.find(key.job);
  const bool has_finished =
      part != rack.parts.end() &&
      (!part->second.recorded.completed.empty() || !part->second.unrecorded_completed.empty());
  return has_finished ? JobId(key.job.Text() + "/" + std::to_string(key.index)) : key.job;
}

}  // namespace

bool RecordWorkerFailure(State& state, Effects& effects, RackState& rack, WorkerState& worker,
                         const TaskKey& key) {
  Quarantine& quarantine = state.work.quarantine;
  const VmId& vm = worker.member.vm;
  const bool was_healthy = quarantine.Health(state.now, vm) == WorkerHealth::kHealthy;
  quarantine.RecordFailure(state.now, vm, FailureSourceOf(rack, key));
  if (!was_healthy) return false;

  if (quarantine.Health(state.now, vm) != WorkerHealth::kHealthy) {
    Log(effects, Severity::kWarning, LogComponent::kTasks, "quarantined a worker",
        {{"worker", vm.Text()}});
    RevertFailureCounts(rack, worker);
    return false;
  }

  if (worker.suspect_failures.size() >= kMaxSuspectFailures) {
    worker.suspect_failures.erase(worker.suspect_failures.begin());
  }
  worker.suspect_failures.push_back(key);
  return true;
}

void RecordWorkerSuccess(State& state, WorkerState& worker) {
  state.work.quarantine.RecordSuccess(worker.member.vm);
  worker.suspect_failures.clear();
}

}  // namespace currantpost
