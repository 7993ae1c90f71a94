#include "internal.h"

/// Slows filling tasks down where they disturb lasting ones. Answers figures that are half a second
/// old and rough: it acts early, halves at once and gives back slowly.

namespace currantpost::scheduler {
namespace {

/// Tail of a lasting task, as a share of its target in percent, above which filling tasks beside it
/// are slowed down, and below which they get pace back.
constexpr int64_t kSlowAbovePercent = 85;
constexpr int64_t kFasterBelowPercent = 65;
/// Pace given back at a time; a lower pace than the least is none.
constexpr int32_t kPaceStep = 20;
constexpr int32_t kLeastPace = 20;
/// The figures cover half a second, so a change shows fully only after that.
constexpr Millis kPaceInterval = Millis(600);

/// Returns the worst tail on a worker as a share of its target, in percent.
int64_t WorstTail(OwnedCell& cell, const WorkerState& worker) {
  int64_t worst = 0;

  for (const TaskRef& ref : worker.tasks) {
    const StepSpec& spec = SpecOf(cell.jobs.at(ref.job), ref);
    if (!spec.lasting || spec.latency_target <= Millis(0)) continue;

    const TaskState& task = *FindTask(cell, ref);
    if (task.phase != TaskPhase::kRunning) continue;

    worst = std::max(worst, task.recent * 100 / spec.latency_target.Count());
  }

  return worst;
}

}  // namespace

void UpdatePace(State& state, Effects& effects, OwnedCell& cell, WorkerState& worker) {
  if (worker.filling_millicores == 0) {
    worker.filling_pace = 100;
    return;
  }

  const int64_t tail = WorstTail(cell, worker);
  const int32_t before = worker.filling_pace;

  if (state.now - worker.pace_changed >= kPaceInterval) {
    if (tail > kSlowAbovePercent) {
      worker.filling_pace = before / 2 < kLeastPace ? 0 : before / 2;
    } else if (tail < kFasterBelowPercent) {
      worker.filling_pace = std::min(100, before + kPaceStep);
    }
  }

  if (worker.filling_pace != before) {
    worker.pace_changed = state.now;
    if (worker.filling_pace < before) {
      Log(effects, Severity::kInfo, "slowing filling tasks",
          {{"worker", worker.info.id.Text()},
           {"tail_percent", std::to_string(tail)},
           {"pace", std::to_string(worker.filling_pace)}});
    }
  }

  for (const TaskRef& ref : worker.tasks) {
    if (SpecOf(cell.jobs.at(ref.job), ref).filling) {
      FindTask(cell, ref)->wanted_pace = worker.filling_pace;
    }
  }
}

}  // namespace currantpost::scheduler
