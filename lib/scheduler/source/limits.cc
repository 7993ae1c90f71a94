#include "currantpost/scheduler/limits.h"

#include <algorithm>

namespace currantpost::scheduler {
namespace {

bool IsAmount(int64_t amount) { return amount >= 0 && amount <= kMaxAmount; }
bool IsDuration(Millis span) { return span >= Millis(0) && span <= kMaxDuration; }

std::string FindStepFault(const StepSpec& step, size_t number) {
  if (step.task_count < 1 || step.task_count > kMaxTasksPerStep) {
    return "the number of tasks is out of range";
  }

  const Resources& need = step.need;
  if (!IsAmount(need.millicores) || !IsAmount(need.memory_mib) || !IsAmount(need.accelerators)) {
    return "a need is out of range";
  }

  if (!IsDuration(step.estimate) || !IsDuration(step.latency_target)) {
    return "a duration is out of range";
  }

  const bool follows = std::ranges::all_of(step.after, [number](int32_t before) {
    return before >= 0 && static_cast<size_t>(before) < number;
  });
  return follows ? std::string() : "a step must follow earlier steps";
}

}  // namespace

std::string FindFault(const JobSpec& spec) {
  if (spec.steps.empty()) return "a job has at least one step";

  int64_t tasks = 0;

  for (size_t number = 0; number < spec.steps.size(); ++number) {
    const std::string fault = FindStepFault(spec.steps[number], number);
    if (!fault.empty()) return fault;

    tasks += spec.steps[number].task_count;
  }

  if (spec.occurrences < 0) return "the number of occurrences is negative";
  if (tasks > kMaxTasksPerJob / std::max(spec.occurrences, 1)) return "a job has too many tasks";
  if (spec.first_due_unix_ms < -kMaxUnixMillis || spec.first_due_unix_ms > kMaxUnixMillis) {
    return "the due time is out of range";
  }
  if (!IsDuration(spec.interval)) return "the interval is out of range";

  return {};
}

}  // namespace currantpost::scheduler
