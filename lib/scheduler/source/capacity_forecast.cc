#include "capacity_forecast.h"

#include "eviction.h"

namespace currantpost::scheduler {
namespace {

/// Time until the end of a run has reached the owner.
constexpr Millis kMinRest = Millis(50);

/// What a task leaves, and in what time.
struct Release {
  Millis after;
  Resources freed;
};

/// Returns when the short tasks on a worker end, in ascending order.
std::vector<Release> ReleasesOn(const State& state, const OwnedCell& cell,
                                const WorkerState& worker,
                                std::optional<int32_t> evicting_priority) {
  std::vector<Release> releases;

  for (const TaskRef& ref : worker.tasks) {
    const JobState& job = cell.jobs.at(ref.job);
    const StepSpec& spec = SpecOf(job, ref);
    const TaskState& task = TaskOf(job, ref);
    if (spec.is_long_running && task.phase != TaskPhase::kStopping) continue;

    Millis after = ForecastRest(state, spec, task);
    const bool is_evictable = evicting_priority && IsEvictable(state, job, ref, *evicting_priority);
    if (is_evictable) after = std::min(after, kUsualStopTime);
    releases.push_back({after, ReservedBy(spec)});
  }

  std::ranges::sort(releases, {}, &Release::after);
  return releases;
}

}  // namespace

Resources ReservedBy(const StepSpec& spec) {
  Resources reserved = spec.need;
  if (spec.best_effort) reserved.millicores = 0;
  return reserved;
}

Millis ForecastRest(const State& state, const StepSpec& spec, const TaskState& task) {
  if (task.phase == TaskPhase::kStopping) return kUsualStopTime;

  const Millis elapsed = task.phase == TaskPhase::kRunning ? state.now - task.began : Millis(0);
  if (elapsed < spec.estimate) return std::max(spec.estimate - elapsed, kMinRest);

  // One that has overrun its estimate probably goes on for as long as it has run.
  return std::max(elapsed, kMinRest);
}

Millis ForecastRoom(const State& state, const OwnedCell& cell, const WorkerState& worker,
                    const Resources& amount, std::optional<int32_t> evicting_priority) {
  Resources missing = amount;
  missing += worker.reserved;
  missing -= worker.info.capacity;
  if (FitsWithin(missing, Resources())) return Millis(0);

  for (const Release& release : ReleasesOn(state, cell, worker, evicting_priority)) {
    missing -= release.freed;
    if (FitsWithin(missing, Resources())) return std::min(release.after, kMaxForecast);
  }

  return kMaxForecast;
}

}  // namespace currantpost::scheduler
