#include <algorithm>
#include <cmath>

#include "work.h"

/// Evaluates usage reports, and throttles or evicts batch tasks that slow services down.

namespace currantpost {
namespace {

/// Reports whose measurement times differ by less than this are the same report, sent again.
constexpr Millis kMinReportInterval = Millis(100);
/// Minimum relative change of a predicted slowdown that is published to the traffic threads.
constexpr double kMinPublishedChange = 0.05;

bool IsBatch(const JobSpec& spec) { return spec.task_class == TaskClass::kBatch; }

double LoadOf(const WorkerState& worker, const ActiveTask& task) {
  if (worker.capacity.millicores <= 0) return 0.0;

  const double share =
      static_cast<double>(task.size.millicores) / static_cast<double>(worker.capacity.millicores);
  return task.throttle ? share * kThrottledLoadShare : share;
}

template <typename Visit>
void ForEachTaskHoldingResources(const RackState& rack, const WorkerState& worker, Visit visit) {
  for (const TaskKey& key : worker.tasks) {
    const ActiveTask* task = FindActive(rack, key);
    if (task != nullptr && HoldsResources(task->phase)) {
      visit(key, *task, rack.parts.at(key.job).spec);
    }
  }
}

/// Records the usage of each task and updates the estimates. Returns the worst slowdown of the
/// services.
double RecordTaskUsage(State& state, RackState& rack, const WorkerState& worker,
                       const WorkerTable& table, Millis measured_at) {
  const std::vector<KindLoad>* batch = worker.residency.At(measured_at);
  double slowdown = 1.0;

  for (const TaskUsage& usage : table.usage) {
    ActiveTask* task = FindActive(rack, usage.task);
    if (task == nullptr || task->attempt != usage.attempt) continue;

    const JobSpec& spec = rack.parts.at(usage.task.job).spec;
    task->peak_usage = ComponentMax(task->peak_usage, usage.used);
    task->used = usage.used;
    state.work.sizes.Observe(spec.kind, usage.used);
    if (IsBatch(spec)) continue;

    slowdown = std::max(slowdown, usage.slowdown);
    if (batch == nullptr) continue;

    state.work.interference.Observe(
        {.service_kind = spec.kind, .batch = *batch, .slowdown = usage.slowdown});
  }

  return slowdown;
}

double AddedSlowdownOf(const State& state, const std::vector<std::string>& services,
                       const std::string& kind, double load) {
  double added_slowdown = 0.0;
  for (const std::string& service : services) {
    added_slowdown =
        std::max(added_slowdown, state.work.interference.AddedSlowdown(service, kind, load));
  }

  return added_slowdown;
}

VmPressure PressureOf(const State& state, const RackState& rack, const WorkerState& worker) {
  VmPressure pressure{.vm = worker.member.vm,
                      .rack = rack.rack,
                      .capacity = worker.capacity,
                      .committed = worker.committed,
                      .slowdown = worker.slowdown,
                      .measured_at = worker.measured_at};
  const std::vector<std::string> services = ServicesOn(rack, worker);

  ForEachTaskHoldingResources(
      rack, worker, [&](const TaskKey& key, const ActiveTask& task, const JobSpec& spec) {
        pressure.used += task.used;
        if (!IsBatch(spec) || task.phase != TaskPhase::kRunning) return;

        const Millis age = state.now - task.running_since;
        pressure.batch.push_back(
            {.task = key,
             .attempt = task.attempt,
             .priority = spec.priority,
             .committed = task.size,
             .age = age,
             .unsaved_progress = age,
             .added_slowdown = AddedSlowdownOf(state, services, spec.kind, LoadOf(worker, task)),
             .throttled = task.throttle});
      });
  return pressure;
}

void ApplyDecision(Effects& effects, RackState& rack, const PressureDecision& decision) {
  ActiveTask* task = FindActive(rack, decision.task);
  if (task == nullptr || task->attempt != decision.attempt) return;

  Log(effects, Severity::kInfo, LogComponent::kTasks, "applied pressure decision",
      {{"action", std::string(kPressureActionNames.Name(decision.action))},
       {"reason", std::string(kPressureReasonNames.Name(decision.reason))},
       {"job", decision.task.job.Text()},
       {"task", std::to_string(decision.task.index)},
       {"worker", task->worker.Text()}});

  switch (decision.action) {
    case PressureAction::kThrottle:
      task->throttle = true;
      return;
    case PressureAction::kUnthrottle:
      task->throttle = false;
      return;
    case PressureAction::kEvict:
      if (task->phase != TaskPhase::kRunning) return;
      task->phase = TaskPhase::kStopping;
      task->checkpoint_due = true;
      return;
  }
}

/// Publishes the predicted slowdown of the VM's services to the traffic threads.
void UpdatePredictedSlowdown(State& state, const RackState& rack, const WorkerState& worker) {
  const auto upstream = state.upstreams.upstreams.find(worker.member.vm);
  if (upstream == state.upstreams.upstreams.end()) return;

  const std::vector<KindLoad> batch = BatchOn(rack, worker);
  double predicted = 1.0;
  for (const std::string& service : ServicesOn(rack, worker)) {
    predicted = std::max(predicted, state.work.interference.Predict(service, batch));
  }

  double& published = upstream->second.predicted_slowdown;
  if (std::abs(predicted - published) <= kMinPublishedChange * published) return;

  published = predicted;
  state.upstreams.snapshot_outdated = true;
}

}  // namespace

std::vector<std::string> ServicesOn(const RackState& rack, const WorkerState& worker) {
  std::vector<std::string> services;
  ForEachTaskHoldingResources(
      rack, worker, [&](const TaskKey& /*key*/, const ActiveTask& /*task*/, const JobSpec& spec) {
        if (!IsBatch(spec)) services.push_back(spec.kind);
      });
  return services;
}

std::vector<KindLoad> BatchOn(const RackState& rack, const WorkerState& worker) {
  std::vector<KindLoad> batch;
  ForEachTaskHoldingResources(
      rack, worker, [&](const TaskKey& /*key*/, const ActiveTask& task, const JobSpec& spec) {
        if (IsBatch(spec)) AddLoad(batch, spec.kind, LoadOf(worker, task));
      });
  return batch;
}

void HandleUsageReport(State& state, Effects& effects, RackState& rack, WorkerState& worker,
                       const WorkerTable& table) {
  worker.residency.Record(state.now, BatchOn(rack, worker));
  if (table.usage.empty()) return;

  const Millis measured_at = state.now - table.usage_age;
  if (measured_at < worker.measured_at + kMinReportInterval) return;

  worker.measured_at = measured_at;
  worker.slowdown = RecordTaskUsage(state, rack, worker, table, measured_at);

  const PressureLimits limits = PressureLimitsOf(PresetInForce(state.configuration.current));
  const VmPressure pressure = PressureOf(state, rack, worker);
  for (const PressureDecision& decision : state.work.evictions.Plan(state.now, pressure, limits)) {
    ApplyDecision(effects, rack, decision);
  }

  UpdatePredictedSlowdown(state, rack, worker);
}

}  // namespace currantpost
