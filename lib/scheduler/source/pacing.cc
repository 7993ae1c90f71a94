#include <cmath>

#include "currantpost/policy/pace_allotment.h"
#include "internal.h"

/// How fast filling tasks may work beside lasting ones. Answers tails that come half a second late
/// and rough, swing with the lasting tasks' own load, and run away within a second where filling
/// work of a wrong image is put beside them.
///
/// A tail is taken as `unloaded / (1 - stress)`. Stress is the lasting task's own load and what
/// each image of filling work adds in proportion to its processor use, so it adds up where tails do
/// not.

namespace currantpost::scheduler {
namespace {

/// Stress above which filling tasks are slowed down, and to which. A tail at its target has 0.83
/// where the target is six times the unloaded tail; the rest is for figures that are half a second
/// old, in which a lasting task's own load rises by up to 0.04.
constexpr double kMostStress = 0.81;
constexpr double kRelievedStress = 0.80;
/// Stress up to which filling tasks are placed; lower, as a lasting task's own load still swings.
constexpr double kMostStressPlaced = 0.80;
/// Own stress of lasting tasks taken until figures came, the weight of a figure in its mean, and
/// how far above the mean it usually swings.
constexpr double kUsualStress = 0.48;
constexpr double kUsualWeight = 0.02;
constexpr double kUsualSwing = 0.12;
/// Filling work that adds less stress than this is no cause, and slowing it down no cure.
constexpr double kNegligibleStress = 0.03;
/// The target as a multiple of the unloaded tail, taken until a lower tail was seen.
constexpr int64_t kTargetOfUnloaded = 6;
/// The least tail seen is that of a lightly loaded task; unloaded it is this much of it, in
/// percent.
constexpr int64_t kUnloadedPercent = 80;
/// Time between two looks that are learned from; the figures cover half a second.
constexpr Millis kLearnInterval = Millis(400);
/// A lasting task's tail says nothing so soon after its start.
constexpr Millis kStartup = Millis(1'500);
/// Changes of use below this share of a worker say nothing; learning from them would only wash out
/// what is known.
constexpr double kLeastChange = 0.02;
/// Use of a filling task that has just begun or is given pace, as a share of what it asks for.
constexpr double kUsualUse = 0.85;
/// Share of a worker that all its tasks may be expected to use, in percent. Tails run away beyond.
constexpr int64_t kMostUsePercent = 93;
/// A tail that is over its target for so many eighths of `Settings::relief_time` is relieved of all
/// filling work, whatever was learned: 1.5 of 4 s, with two looks and the figures' half second to
/// spare.
constexpr int64_t kLongestOverEighths = 3;

double Unloaded(State& state, const StepSpec& spec, int64_t tail) {
  int64_t& least = state.images.least_tail[spec.image];
  if (least == 0 || tail < least) least = tail;

  const double by_target =
      static_cast<double>(spec.latency_target.Count()) / static_cast<double>(kTargetOfUnloaded);
  const double by_least = static_cast<double>(least * kUnloadedPercent) / 100.0;
  return std::min(by_target, by_least);
}

double Share(const WorkerState& worker, double millicores) {
  return millicores / static_cast<double>(std::max<int64_t>(worker.info.capacity.millicores, 1));
}

/// Calls `visit` with the spec and state of each task of a worker.
template <typename Visit>
void ForEachTask(OwnedCell& cell, const WorkerState& worker, Visit visit) {
  for (const TaskRef& ref : worker.tasks) {
    visit(SpecOf(cell.jobs.at(ref.job), ref), *FindTask(cell, ref));
  }
}

bool HasTail(const StepSpec& spec, const TaskState& task) {
  return spec.lasting && spec.latency_target > Millis(0) && task.phase == TaskPhase::kRunning;
}

/// Returns the measured processor use of filling tasks by image.
std::map<std::string, double> MeasuredUse(OwnedCell& cell, const WorkerState& worker) {
  std::map<std::string, double> use;

  ForEachTask(cell, worker, [&](const StepSpec& spec, const TaskState& task) {
    if (!spec.filling || task.phase != TaskPhase::kRunning) return;
    use[spec.image] += Share(worker, static_cast<double>(task.recent));
  });

  return use;
}

/// Returns the use of filling tasks by image if all of them work at full pace.
std::map<std::string, double> FullUse(OwnedCell& cell, const WorkerState& worker) {
  std::map<std::string, double> use;

  ForEachTask(cell, worker, [&](const StepSpec& spec, const TaskState& task) {
    if (!spec.filling || task.phase == TaskPhase::kStopping) return;
    use[spec.image] += Share(worker, kUsualUse * static_cast<double>(spec.need.millicores));
  });

  return use;
}

/// Learns what changes of filling work did to the stress of lasting tasks.
void Learn(State& state, OwnedCell& cell, WorkerState& worker) {
  if (state.now - worker.learned_at < kLearnInterval) return;

  const std::map<std::string, double> use = MeasuredUse(cell, worker);
  std::vector<KindLoad> changes;

  for (const auto& [image, share] : use) {
    const auto before = worker.filling_use.find(image);
    const double change = share - (before == worker.filling_use.end() ? 0.0 : before->second);
    if (std::abs(change) >= kLeastChange) changes.push_back(KindLoad{image, change});
  }

  for (const auto& [image, share] : worker.filling_use) {
    if (!use.contains(image) && share >= kLeastChange) changes.push_back(KindLoad{image, -share});
  }

  ForEachTask(cell, worker, [&](const StepSpec& spec, TaskState& task) {
    if (!HasTail(spec, task) || task.recent <= 0 || state.now - task.began < kStartup) {
      task.stress.reset();
      return;
    }

    const double unloaded = Unloaded(state, spec, task.recent);
    const double stress = std::max(0.0, 1.0 - unloaded / static_cast<double>(task.recent));

    if (task.stress && !changes.empty()) {
      state.interference.Observe(InterferenceObservation{
          .service_kind = spec.image, .batch = changes, .slowdown = 1.0 + stress - *task.stress});
    }

    task.stress = stress;
    double own = stress;
    for (const auto& [image, share] : use) own -= state.interference.Harm(spec.image, image, share);
    own = std::max(own, 0.0);
    task.own_stress = own;

    double& usual = state.images.usual_stress.try_emplace(spec.image, kUsualStress).first->second;
    usual += kUsualWeight * (own - usual);
  });

  // A lasting task's own stress is the share of what it holds that it uses.
  double lasting_use = 0.0;
  ForEachTask(cell, worker, [&](const StepSpec& spec, const TaskState& task) {
    if (!spec.lasting) return;
    const double share = task.stress ? task.own_stress : kUsualStress;
    lasting_use += share * static_cast<double>(spec.need.millicores);
  });
  worker.lasting_use = static_cast<int64_t>(lasting_use);

  worker.filling_use = use;
  worker.learned_at = state.now;
}

/// Returns the stress of a lasting task once filling work is changed from the measured use.
double StressAfter(const State& state, const std::string& image, double stress,
                   const std::map<std::string, double>& measured,
                   const std::map<std::string, double>& planned) {
  for (const auto& [filling, share] : planned) {
    const auto now = measured.find(filling);
    const double change = share - (now == measured.end() ? 0.0 : now->second);
    const double harm = state.interference.Harm(image, filling, std::abs(change));
    stress += change < 0.0 ? -harm : harm;
  }

  return stress;
}

/// Lowers paces, those of the most harmful images first, until a lasting task can bear the rest.
void Relieve(const State& state, const std::string& image, double excess,
             const std::map<std::string, double>& full, std::map<std::string, double>& paces) {
  std::vector<std::pair<double, std::string>> by_harm;

  for (const auto& [filling, share] : full) {
    by_harm.emplace_back(state.interference.Harm(image, filling, 1.0), filling);
  }

  std::ranges::sort(by_harm, std::greater<>());

  for (const auto& [harm, filling] : by_harm) {
    if (excess <= 0.0) return;

    const double whole = harm * full.at(filling);
    if (whole <= kNegligibleStress) continue;

    double& pace = paces[filling];
    const double cut = std::min(pace, excess / whole);
    pace -= cut;
    excess -= cut * whole;
  }
}

/// Returns the share of a worker that its filling tasks may use, so that all tasks together find
/// processors.
double ShareForFilling(const WorkerState& worker) {
  const int64_t brief = worker.held.millicores - worker.lasting_millicores;
  const int64_t others = brief + worker.lasting_use;
  const int64_t most = worker.info.capacity.millicores * kMostUsePercent / 100;
  return std::max(Share(worker, static_cast<double>(most - others)), 0.0);
}

/// Gives each filling task of a worker its pace. Of those that are equally fast, the most urgent is
/// sped up first and slowed last.
void SetPaces(const State& state, OwnedCell& cell, const WorkerState& worker,
              const FillingBounds& bounds) {
  std::vector<std::tuple<Urgency, WaitingKey, TaskState*>> most_urgent_first;

  for (const TaskRef& ref : worker.tasks) {
    const JobState& job = cell.jobs.at(ref.job);
    TaskState* task = FindTask(cell, ref);
    const bool paced = SpecOf(job, ref).filling && task->phase != TaskPhase::kStopping;
    if (!paced) continue;

    const Urgency urgency = UrgencyOf(TimesOf(job.record), state.unix_ms);
    most_urgent_first.emplace_back(urgency, KeyOf(job, ref), task);
  }

  std::ranges::sort(most_urgent_first);
  std::vector<FillingTask> tasks;

  for (const auto& [urgency, key, task] : most_urgent_first) {
    const TaskRef& ref = std::get<3>(key);
    const StepSpec& spec = SpecOf(cell.jobs.at(ref.job), ref);
    const double full = kUsualUse * static_cast<double>(spec.need.millicores);
    tasks.push_back({spec.image, Share(worker, full), task->wanted_pace});
  }

  AllotPaces(PaceAllotmentSettings{}, bounds, tasks);

  for (size_t number = 0; number < tasks.size(); ++number) {
    std::get<2>(most_urgent_first[number])->wanted_pace = tasks[number].pace;
  }
}

/// Notes which lasting tasks are over their targets. Returns whether one has been for too long.
bool IsOverForLong(const State& state, OwnedCell& cell, const WorkerState& worker) {
  const Millis longest = state.settings.relief_time * kLongestOverEighths / 8;
  bool for_long = false;

  ForEachTask(cell, worker, [&](const StepSpec& spec, TaskState& task) {
    if (!HasTail(spec, task) || Millis(task.recent) <= spec.latency_target) {
      task.over_since.reset();
      return;
    }

    if (!task.over_since) task.over_since = state.now;
    for_long = for_long || state.now - *task.over_since >= longest;
  });

  return for_long;
}

/// Returns the stress to expect of the most strained lasting task of each image at full pace.
std::map<std::string, double> ExpectedStress(const State& state, OwnedCell& cell,
                                             const WorkerState& worker) {
  const std::map<std::string, double> measured = MeasuredUse(cell, worker);
  const std::map<std::string, double> planned = FullUse(cell, worker);
  std::map<std::string, double> stress_now;

  ForEachTask(cell, worker, [&](const StepSpec& spec, const TaskState& task) {
    if (!spec.lasting || spec.latency_target <= Millis(0)) return;

    double& worst = stress_now[spec.image];
    worst = std::max(worst, task.stress.value_or(0.0));
  });

  for (auto& [image, stress] : stress_now) {
    stress = StressAfter(state, image, stress, measured, planned);

    // A load that is low now comes back to its usual height while the filling task still works.
    const auto usual = state.images.usual_stress.find(image);
    const double peak =
        (usual == state.images.usual_stress.end() ? kUsualStress : usual->second) + kUsualSwing;
    stress = std::max(stress, StressAfter(state, image, peak, {}, planned));
  }

  return stress_now;
}

}  // namespace

void UpdatePace(State& state, OwnedCell& cell, WorkerState& worker) {
  Learn(state, cell, worker);
  worker.expected_stress.reset();
  if (worker.filling_millicores == 0) return;

  const std::map<std::string, double> measured = MeasuredUse(cell, worker);
  const std::map<std::string, double> full = FullUse(cell, worker);
  std::map<std::string, double> paces;
  for (const auto& [image, share] : full) paces[image] = 1.0;

  ForEachTask(cell, worker, [&](const StepSpec& spec, const TaskState& task) {
    if (!task.stress) return;

    std::map<std::string, double> planned = full;
    for (auto& [image, share] : planned) share *= paces[image];

    const double stress = StressAfter(state, spec.image, *task.stress, measured, planned);
    if (stress > kMostStress) Relieve(state, spec.image, stress - kRelievedStress, full, paces);
  });

  FillingBounds bounds{.most = ShareForFilling(worker)};
  for (const auto& [image, share] : full) bounds.most_of_image[image] = share * paces[image];
  if (IsOverForLong(state, cell, worker)) bounds.most = 0.0;
  SetPaces(state, cell, worker, bounds);
}

double SlackWith(const State& state, OwnedCell& cell, WorkerState& worker, const std::string& image,
                 int64_t millicores) {
  if (!worker.expected_stress) worker.expected_stress = ExpectedStress(state, cell, worker);

  const double added = Share(worker, kUsualUse * static_cast<double>(millicores));
  double slack = 1.0;

  for (const auto& [lasting, stress] : *worker.expected_stress) {
    const double harm = state.interference.Harm(lasting, image, added);
    if (harm > kNegligibleStress) slack = std::min(slack, kMostStressPlaced - stress - harm);
  }

  return slack;
}

}  // namespace currantpost::scheduler
