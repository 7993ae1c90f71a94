#include <cmath>

#include "currantpost/policy/pace_allotment.h"
#include "internal.h"

/// Sets how fast best-effort tasks may work beside long-running ones. Tail latencies arrive half a
/// second late and are rough, vary with the long-running tasks' own load, and grow without bound
/// within a second where best-effort tasks of an image that adds much stress run beside them.
///
/// A tail latency is modelled as `unloaded / (1 - stress)`. Stress is the long-running task's own
/// load plus what each best-effort image adds in proportion to its processor use, so stress is
/// additive and tail latencies are not.

namespace currantpost::scheduler {
namespace {

/// Stress above which best-effort tasks are slowed down, and the stress that this brings it down
/// to. A tail latency at its target has a stress of 0.83 where the target is six times the unloaded
/// tail latency. The margin is for measurements that are half a second old: a long-running task's
/// own load rises by up to 0.04 in that time.
constexpr double kMaxStress = 0.81;
constexpr double kReducedStress = 0.80;
/// Stress up to which best-effort tasks are placed. Lower than `kMaxStress`, as a long-running
/// task's own load still varies.
constexpr double kMaxStressForPlacement = 0.80;
/// Own stress of long-running tasks that is assumed before any measurement, the weight of one
/// measurement in the mean, and how far own stress usually rises above its mean.
constexpr double kDefaultStress = 0.48;
constexpr double kMeanStressWeight = 0.02;
constexpr double kStressSwing = 0.12;
/// Best-effort tasks that add less stress than this are not the cause of a high tail latency, and
/// slowing them down does not lower it.
constexpr double kNegligibleStress = 0.03;
/// Assumed ratio of the latency target to the unloaded tail latency, used until a lower tail
/// latency was measured.
constexpr int64_t kTargetToUnloadedRatio = 6;
/// The lowest measured tail latency is that of a lightly loaded task. The unloaded tail latency is
/// this share of it, in percent.
constexpr int64_t kUnloadedPercent = 80;
/// Minimum time between two polls that are learned from, as the measurements cover half a second.
constexpr Millis kLearnInterval = Millis(400);
/// Time after the start of a long-running task during which its tail latency is not meaningful.
constexpr Millis kTailWarmup = Millis(1'500);
/// Minimum change of use to learn from, as a share of a worker. Smaller changes carry no
/// information and would only dilute the estimates.
constexpr double kMinUseChange = 0.02;
/// Expected use of a best-effort task that has just started or is sped up, as a share of what it
/// requests.
constexpr double kExpectedUse = 0.85;
/// Maximum share of a worker that all its tasks may be expected to use, in percent. Above it tail
/// latencies grow without bound.
constexpr int64_t kMaxUsePercent = 93;
/// Once a tail latency has been over its target for this many eighths of `Settings::relief_time`,
/// all best-effort tasks beside it are slowed down to a halt, regardless of the learned estimates.
/// That is after 1.5 of 4 s, which leaves time for two polls and the half second that measurements
/// cover.
constexpr int64_t kMaxOverTargetEighths = 3;
/// A tail latency that was over its target counts as over it until it is below this many eighths of
/// the target. Measurements are rough: one that is just below the target is no proof, and without
/// the margin the slowed down tasks are sped up at once and bring the tail latency back. At this
/// share the stress is about `kMaxStress`, where tasks are slowed down anyway.
constexpr int64_t kRelievedEighths = 7;

double UnloadedTail(State& state, const StepSpec& spec, int64_t tail) {
  int64_t& least = state.images.min_tail[spec.image];
  if (least == 0 || tail < least) least = tail;

  const double by_target = static_cast<double>(spec.latency_target.Count()) /
                           static_cast<double>(kTargetToUnloadedRatio);
  const double by_least = static_cast<double>(least * kUnloadedPercent) / 100.0;
  return std::min(by_target, by_least);
}

double ShareOfWorker(const WorkerState& worker, double millicores) {
  return millicores / static_cast<double>(std::max<int64_t>(worker.info.capacity.millicores, 1));
}

/// Calls `visit` with the spec and state of each task of a worker.
template <typename Visit>
void ForEachTask(OwnedCell& cell, const WorkerState& worker, Visit visit) {
  for (const TaskRef& ref : worker.tasks) {
    visit(SpecOf(cell.jobs.at(ref.job), ref), *FindTask(cell, ref));
  }
}

bool ReportsTailLatency(const StepSpec& spec, const TaskState& task) {
  return spec.is_long_running && spec.latency_target > Millis(0) &&
         task.phase == TaskPhase::kRunning;
}

/// Returns the measured processor use of best-effort tasks by image, as shares of the worker.
std::map<std::string, double> MeasuredUse(OwnedCell& cell, const WorkerState& worker) {
  std::map<std::string, double> use;

  ForEachTask(cell, worker, [&](const StepSpec& spec, const TaskState& task) {
    if (!spec.best_effort || task.phase != TaskPhase::kRunning) return;
    use[spec.image] += ShareOfWorker(worker, static_cast<double>(task.last_measurement));
  });

  return use;
}

/// Returns the expected processor use of best-effort tasks by image at full speed, as shares of the
/// worker.
std::map<std::string, double> FullSpeedUse(OwnedCell& cell, const WorkerState& worker) {
  std::map<std::string, double> use;

  ForEachTask(cell, worker, [&](const StepSpec& spec, const TaskState& task) {
    if (!spec.best_effort || task.phase == TaskPhase::kStopping) return;
    use[spec.image] +=
        ShareOfWorker(worker, kExpectedUse * static_cast<double>(spec.need.millicores));
  });

  return use;
}

/// Learns how changes in best-effort use have changed the stress of long-running tasks.
void LearnInterference(State& state, OwnedCell& cell, WorkerState& worker) {
  if (state.now - worker.learned_at < kLearnInterval) return;

  const std::map<std::string, double> use = MeasuredUse(cell, worker);
  std::vector<KindLoad> changes;

  for (const auto& [image, share] : use) {
    const auto before = worker.best_effort_use.find(image);
    const double change = share - (before == worker.best_effort_use.end() ? 0.0 : before->second);
    if (std::abs(change) >= kMinUseChange) changes.push_back(KindLoad{image, change});
  }

  for (const auto& [image, share] : worker.best_effort_use) {
    if (!use.contains(image) && share >= kMinUseChange) changes.push_back(KindLoad{image, -share});
  }

  ForEachTask(cell, worker, [&](const StepSpec& spec, TaskState& task) {
    if (!ReportsTailLatency(spec, task) || task.last_measurement <= 0 ||
        state.now - task.began < kTailWarmup) {
      task.stress.reset();
      return;
    }

    const double unloaded = UnloadedTail(state, spec, task.last_measurement);
    const double stress =
        std::max(0.0, 1.0 - unloaded / static_cast<double>(task.last_measurement));

    if (task.stress && !changes.empty()) {
      // The model is used for changes: its slowdown is 1 plus the change of stress.
      state.interference.Observe(InterferenceObservation{
          .service_kind = spec.image, .batch = changes, .slowdown = 1.0 + stress - *task.stress});
    }

    task.stress = stress;
    double own = stress;
    for (const auto& [image, share] : use) {
      own -= state.interference.AddedSlowdown(spec.image, image, share);
    }
    own = std::max(own, 0.0);
    task.own_stress = own;

    double& mean = state.images.mean_stress.try_emplace(spec.image, kDefaultStress).first->second;
    mean += kMeanStressWeight * (own - mean);
  });

  // The own stress of a long-running task equals the share of its reserved processor time that it
  // uses.
  double long_running_use = 0.0;
  ForEachTask(cell, worker, [&](const StepSpec& spec, const TaskState& task) {
    if (!spec.is_long_running) return;
    const double share = task.stress ? task.own_stress : kDefaultStress;
    long_running_use += share * static_cast<double>(spec.need.millicores);
  });
  worker.long_running_use = static_cast<int64_t>(long_running_use);

  worker.best_effort_use = use;
  worker.learned_at = state.now;
}

/// Returns the stress of a long-running task after best-effort use changes from measured to
/// planned.
double StressAfter(const State& state, const std::string& image, double stress,
                   const std::map<std::string, double>& measured,
                   const std::map<std::string, double>& planned) {
  for (const auto& [best_effort, share] : planned) {
    const auto now = measured.find(best_effort);
    const double change = share - (now == measured.end() ? 0.0 : now->second);
    const double added_stress =
        state.interference.AddedSlowdown(image, best_effort, std::abs(change));
    stress += change < 0.0 ? -added_stress : added_stress;
  }

  return stress;
}

/// Reduces speeds, those of the images that add most stress first, until the excess stress of a
/// long-running task is gone.
void ReduceSpeeds(const State& state, const std::string& image, double excess,
                  const std::map<std::string, double>& full,
                  std::map<std::string, double>& speeds) {
  std::vector<std::pair<double, std::string>> by_added_stress;

  for (const auto& [best_effort, share] : full) {
    by_added_stress.emplace_back(state.interference.AddedSlowdown(image, best_effort, 1.0),
                                 best_effort);
  }

  std::ranges::sort(by_added_stress, std::greater<>());

  for (const auto& [added_stress, best_effort] : by_added_stress) {
    if (excess <= 0.0) return;

    const double whole = added_stress * full.at(best_effort);
    if (whole <= kNegligibleStress) continue;

    double& speed = speeds[best_effort];
    const double cut = std::min(speed, excess / whole);
    speed -= cut;
    excess -= cut * whole;
  }
}

/// Returns the share of a worker that its best-effort tasks may use without exceeding its
/// processors together with all other tasks.
double ShareForBestEffort(const WorkerState& worker) {
  const int64_t short_running = worker.reserved.millicores - worker.long_running_millicores;
  const int64_t others = short_running + worker.long_running_use;
  const int64_t max_total = worker.info.capacity.millicores * kMaxUsePercent / 100;
  return std::max(ShareOfWorker(worker, static_cast<double>(max_total - others)), 0.0);
}

/// Sets the target speed of each best-effort task of a worker. Of tasks with equal speed, the most
/// urgent one is sped up first and slowed down last.
void SetTargetSpeeds(const State& state, OwnedCell& cell, const WorkerState& worker,
                     const BestEffortLimits& bounds) {
  std::vector<std::tuple<Urgency, WaitingKey, TaskState*>> most_urgent_first;

  for (const TaskRef& ref : worker.tasks) {
    const JobState& job = cell.jobs.at(ref.job);
    TaskState* task = FindTask(cell, ref);
    const bool has_speed = SpecOf(job, ref).best_effort && task->phase != TaskPhase::kStopping;
    if (!has_speed) continue;

    const Urgency urgency = UrgencyOf(JobObjectiveOf(job.record), state.unix_ms);
    most_urgent_first.emplace_back(urgency, WaitingKeyOf(job, ref), task);
  }

  std::ranges::sort(most_urgent_first);
  std::vector<BestEffortTask> tasks;

  for (const auto& [urgency, key, task] : most_urgent_first) {
    const TaskRef& ref = std::get<3>(key);
    const StepSpec& spec = SpecOf(cell.jobs.at(ref.job), ref);
    const double full = kExpectedUse * static_cast<double>(spec.need.millicores);
    tasks.push_back({spec.image, ShareOfWorker(worker, full), task->target_speed_percent});
  }

  AssignSpeeds(SpeedAssignmentSettings{}, bounds, tasks);

  for (size_t number = 0; number < tasks.size(); ++number) {
    std::get<2>(most_urgent_first[number])->target_speed_percent = tasks[number].speed;
  }
}

/// Updates since when the tail latencies of long-running tasks are over their targets. Returns
/// whether one has been for too long.
bool IsOverTargetTooLong(const State& state, OwnedCell& cell, const WorkerState& worker) {
  const Millis max_over_target_time = state.settings.relief_time * kMaxOverTargetEighths / 8;
  bool too_long = false;

  ForEachTask(cell, worker, [&](const StepSpec& spec, TaskState& task) {
    const Millis tail(task.last_measurement);

    if (!ReportsTailLatency(spec, task) || tail <= spec.latency_target * kRelievedEighths / 8) {
      task.over_since.reset();
      return;
    }

    if (!task.over_since && tail > spec.latency_target) task.over_since = state.now;
    if (!task.over_since) return;

    too_long = too_long || state.now - *task.over_since >= max_over_target_time;
  });

  return too_long;
}

/// Returns, by image, the expected stress of the long-running task under most stress if all
/// best-effort tasks work at full speed.
std::map<std::string, double> ExpectedStress(const State& state, OwnedCell& cell,
                                             const WorkerState& worker) {
  const std::map<std::string, double> measured = MeasuredUse(cell, worker);
  const std::map<std::string, double> planned = FullSpeedUse(cell, worker);
  std::map<std::string, double> stress_now;

  ForEachTask(cell, worker, [&](const StepSpec& spec, const TaskState& task) {
    if (!spec.is_long_running || spec.latency_target <= Millis(0)) return;

    double& worst = stress_now[spec.image];
    worst = std::max(worst, task.stress.value_or(0.0));
  });

  for (auto& [image, stress] : stress_now) {
    stress = StressAfter(state, image, stress, measured, planned);

    // A load that is low now returns to its usual level while the best-effort task still runs.
    const auto mean = state.images.mean_stress.find(image);
    const double peak =
        (mean == state.images.mean_stress.end() ? kDefaultStress : mean->second) + kStressSwing;
    stress = std::max(stress, StressAfter(state, image, peak, {}, planned));
  }

  return stress_now;
}

}  // namespace

void UpdateSpeeds(State& state, OwnedCell& cell, WorkerState& worker) {
  LearnInterference(state, cell, worker);
  worker.expected_stress.reset();
  if (worker.best_effort_millicores == 0) return;

  const std::map<std::string, double> measured = MeasuredUse(cell, worker);
  const std::map<std::string, double> full = FullSpeedUse(cell, worker);
  std::map<std::string, double> speeds;
  for (const auto& [image, share] : full) speeds[image] = 1.0;

  ForEachTask(cell, worker, [&](const StepSpec& spec, const TaskState& task) {
    if (!task.stress) return;

    std::map<std::string, double> planned = full;
    for (auto& [image, share] : planned) share *= speeds[image];

    const double stress = StressAfter(state, spec.image, *task.stress, measured, planned);
    if (stress > kMaxStress) ReduceSpeeds(state, spec.image, stress - kReducedStress, full, speeds);
  });

  BestEffortLimits bounds{.max_total = ShareForBestEffort(worker)};
  for (const auto& [image, share] : full) bounds.max_by_image[image] = share * speeds[image];
  if (IsOverTargetTooLong(state, cell, worker)) bounds.max_total = 0.0;
  SetTargetSpeeds(state, cell, worker, bounds);
}

double StressHeadroomWith(const State& state, OwnedCell& cell, WorkerState& worker,
                          const std::string& image, int64_t millicores) {
  if (!worker.expected_stress) worker.expected_stress = ExpectedStress(state, cell, worker);

  const double added = ShareOfWorker(worker, kExpectedUse * static_cast<double>(millicores));
  double headroom = 1.0;

  for (const auto& [long_running_image, stress] : *worker.expected_stress) {
    const double added_stress = state.interference.AddedSlowdown(long_running_image, image, added);
    if (added_stress > kNegligibleStress) {
      headroom = std::min(headroom, kMaxStressForPlacement - stress - added_stress);
    }
  }

  return headroom;
}

}  // namespace currantpost::scheduler
