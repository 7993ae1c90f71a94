#include <cmath>

#include "internal.h"

/// Log lines on long-running tasks whose tail latencies stay over their targets.

namespace currantpost::scheduler {
namespace {

/// How long a task is over its target before it is logged, and the interval between its lines.
constexpr Millis kLogInterval = Millis(2'000);

/// The best-effort tasks of a worker. Processors are in thousandths of a core.
struct BestEffortSummary {
  int64_t tasks = 0;
  /// Those of which this entry does not know yet that they run.
  int64_t starting = 0;
  /// Those that were bound within `kLogInterval`.
  int64_t recent = 0;
  int64_t requested = 0;
  /// What is requested, at the speeds that were ordered and at those that the worker confirmed.
  int64_t ordered = 0;
  int64_t confirmed = 0;
  int64_t used = 0;
  /// The most stress headroom that placement sees for another task like one of these, in percent.
  int64_t headroom_percent = 0;
};

int64_t ToPercent(double share) { return static_cast<int64_t>(std::lround(share * 100.0)); }

BestEffortSummary SummarizeBestEffort(const State& state, OwnedCell& cell, WorkerState& worker) {
  BestEffortSummary summary;
  double headroom = -1.0;

  for (const TaskRef& ref : worker.tasks) {
    const StepSpec& spec = SpecOf(cell.jobs.at(ref.job), ref);
    if (!spec.best_effort) continue;

    const TaskState& task = *FindTask(cell, ref);
    const int64_t need = spec.need.millicores;
    const int32_t sent = task.sent_speed_percent == kUnknownSpeed ? 100 : task.sent_speed_percent;
    ++summary.tasks;
    if (task.phase == TaskPhase::kBinding || task.phase == TaskPhase::kStarting) ++summary.starting;
    if (state.now - task.began < kLogInterval) ++summary.recent;
    summary.requested += need;
    summary.ordered += need * task.target_speed_percent / 100;
    summary.confirmed += need * sent / 100;
    summary.used += task.last_measurement;
    headroom = std::max(headroom, StressHeadroomWith(state, cell, worker, spec.image, need));
  }

  summary.headroom_percent = ToPercent(headroom);
  return summary;
}

std::vector<LogField> DescribeTask(const State& state, const WorkerState& worker,
                                   const TaskRef& ref, const TaskState& task) {
  return {{"job", ref.job.Text()},
          {"step", std::to_string(ref.step)},
          {"task", std::to_string(ref.index)},
          {"run", std::to_string(task.run)},
          {"worker", worker.info.id.Text()},
          {"tail_ms", std::to_string(task.last_measurement)},
          {"over_ms", std::to_string((state.now - *task.over_since).Count())}};
}

void LogOverTarget(const State& state, Effects& effects, const WorkerState& worker,
                   const TaskRef& ref, const StepSpec& spec, const TaskState& task,
                   const BestEffortSummary& beside) {
  std::vector<LogField> fields = DescribeTask(state, worker, ref, task);
  const int64_t stress = task.stress ? ToPercent(*task.stress) : -1;
  const int64_t own_stress = task.stress ? ToPercent(task.own_stress) : -1;

  const std::vector<LogField> known = {
      {"target_ms", std::to_string(spec.latency_target.Count())},
      {"stress", std::to_string(stress)},
      {"own_stress", std::to_string(own_stress)},
      {"measured_ms", std::to_string((state.now - worker.measured_at).Count())},
      {"failed_polls", std::to_string(worker.failed_polls)},
      {"best_effort", std::to_string(beside.tasks)},
      {"starting", std::to_string(beside.starting)},
      {"recent", std::to_string(beside.recent)},
      {"requested", std::to_string(beside.requested)},
      {"ordered", std::to_string(beside.ordered)},
      {"confirmed", std::to_string(beside.confirmed)},
      {"used", std::to_string(beside.used)},
      {"free", std::to_string(FreeMillicores(worker))},
      {"free_best_effort", std::to_string(FreeBestEffort(worker))},
      {"headroom", std::to_string(beside.headroom_percent)}};
  fields.insert(fields.end(), known.begin(), known.end());
  Log(effects, Severity::kInfo, "a long-running task stays over its target", std::move(fields));
}

}  // namespace

void LogTasksOverTarget(const State& state, Effects& effects, OwnedCell& cell,
                        WorkerState& worker) {
  std::optional<BestEffortSummary> beside;

  for (const TaskRef& ref : worker.tasks) {
    const StepSpec& spec = SpecOf(cell.jobs.at(ref.job), ref);
    if (!spec.is_long_running) continue;

    TaskState& task = *FindTask(cell, ref);

    if (!task.over_since) {
      if (task.over_logged_at) {
        Log(effects, Severity::kInfo, "a long-running task is no longer over its target",
            {{"job", ref.job.Text()},
             {"step", std::to_string(ref.step)},
             {"task", std::to_string(ref.index)},
             {"run", std::to_string(task.run)},
             {"worker", worker.info.id.Text()},
             {"tail_ms", std::to_string(task.last_measurement)}});
      }
      task.over_logged_at.reset();
      continue;
    }

    if (task.phase != TaskPhase::kRunning || worker.best_effort_millicores == 0) continue;
    if (state.now - std::max(*task.over_since, task.over_logged_at.value_or(Millis(0))) <
        kLogInterval) {
      continue;
    }

    if (!beside) beside = SummarizeBestEffort(state, cell, worker);
    LogOverTarget(state, effects, worker, ref, spec, task, *beside);
    task.over_logged_at = state.now;
  }
}

}  // namespace currantpost::scheduler
