#include "currantpost/policy/eviction_planner.h"

#include <algorithm>
#include <tuple>

#include "currantpost/policy/interference_model.h"

namespace currantpost {
namespace {

/// Period over which evictions count against the budget of a rack.
constexpr Millis kBudgetPeriod = Millis(60'000);

PressureDecision MakeDecision(PressureAction action, PressureReason reason,
                              const BatchResident& resident) {
  return PressureDecision{
      .action = action, .reason = reason, .task = resident.task, .attempt = resident.attempt};
}

/// Orders by the cost of an eviction: least urgent first, then least lost progress.
bool CheaperToEvict(const BatchResident* left, const BatchResident* right) {
  return std::tuple(-static_cast<int>(left->priority), left->unsaved_progress, left->task) <
         std::tuple(-static_cast<int>(right->priority), right->unsaved_progress, right->task);
}

bool AddsMoreSlowdown(const BatchResident* left, const BatchResident* right) {
  return std::tuple(-left->added_slowdown, left->task) <
         std::tuple(-right->added_slowdown, right->task);
}

bool CommitsMoreProcessors(const BatchResident* left, const BatchResident* right) {
  return std::tuple(-left->committed.millicores, left->task) <
         std::tuple(-right->committed.millicores, right->task);
}

std::vector<const BatchResident*> Residents(const VmPressure& pressure, bool throttled) {
  std::vector<const BatchResident*> residents;

  for (const BatchResident& resident : pressure.batch) {
    if (resident.throttled == throttled) residents.push_back(&resident);
  }

  return residents;
}

std::vector<const BatchResident*> InOrderOfEviction(const VmPressure& pressure) {
  std::vector<const BatchResident*> residents;
  for (const BatchResident& resident : pressure.batch) residents.push_back(&resident);

  std::sort(residents.begin(), residents.end(), CheaperToEvict);
  return residents;
}

/// Returns whether evicting the resident reduces the shortage. Ignores processors, since throttling
/// handles a shortage of them.
bool ReducesShortage(const BatchResident& resident, const Resources& shortage) {
  return (shortage.memory_mib > 0 && resident.committed.memory_mib > 0) ||
         (shortage.accelerators > 0 && resident.committed.accelerators > 0);
}

bool IsShort(const Resources& shortage) {
  return shortage.memory_mib > 0 || shortage.accelerators > 0;
}

}  // namespace

PressureLimits PressureLimitsOf(const Preset& preset) {
  return PressureLimits{.slowdown_limit = preset.slowdown_limit,
                        .evictions_per_minute = preset.evictions_per_minute,
                        .eviction_hysteresis = preset.eviction_hysteresis};
}

std::vector<PressureDecision> EvictionPlanner::Plan(Millis now, const VmPressure& pressure,
                                                    const PressureLimits& limits) {
  Decisions decisions;
  VmHistory& history = vms_[pressure.vm];
  const bool new_report = !history.has_acted || pressure.measured_at > history.last_action;

  if (new_report) RelieveOverCommitment(now, pressure, limits, decisions);
  if (new_report && decisions.empty()) ThrottleForProcessors(pressure, decisions);
  if (new_report && decisions.empty()) RelieveSlowdown(now, pressure, limits, history, decisions);
  if (new_report && decisions.empty()) UnthrottleTasks(now, pressure, limits, history, decisions);

  if (!decisions.empty()) {
    history.has_acted = true;
    history.last_action = now;
  }

  return decisions;
}

int32_t EvictionPlanner::RemainingBudget(Millis now, const RackId& rack,
                                         const PressureLimits& limits) const {
  const auto found = evictions_.find(rack);
  if (found == evictions_.end()) return limits.evictions_per_minute;

  const auto spent = std::count_if(found->second.begin(), found->second.end(),
                                   [now](Millis time) { return now - time < kBudgetPeriod; });

  return std::max(0, limits.evictions_per_minute - static_cast<int32_t>(spent));
}

void EvictionPlanner::RelieveOverCommitment(Millis now, const VmPressure& pressure,
                                            const PressureLimits& limits, Decisions& decisions) {
  Resources shortage = pressure.committed - pressure.capacity;

  // No hysteresis here: the capacity of the VM is a hard limit, unlike the slowdown of a service.
  for (const BatchResident* resident : InOrderOfEviction(pressure)) {
    if (!IsShort(shortage)) return;
    if (!ReducesShortage(*resident, shortage)) continue;
    if (!TryTakeEvictionBudget(now, pressure.rack, limits)) return;

    decisions.push_back(
        MakeDecision(PressureAction::kEvict, PressureReason::kOverCommitted, *resident));
    shortage -= resident->committed;
  }
}

void EvictionPlanner::ThrottleForProcessors(const VmPressure& pressure, Decisions& decisions) {
  double excess = static_cast<double>(pressure.used.millicores - pressure.capacity.millicores);
  auto residents = Residents(pressure, false);

  std::sort(residents.begin(), residents.end(), CommitsMoreProcessors);

  for (const BatchResident* resident : residents) {
    if (excess <= 0.0) return;

    decisions.push_back(
        MakeDecision(PressureAction::kThrottle, PressureReason::kOverCommitted, *resident));
    excess -= static_cast<double>(resident->committed.millicores) * (1.0 - kThrottledLoadShare);
  }
}

void EvictionPlanner::RelieveSlowdown(Millis now, const VmPressure& pressure,
                                      const PressureLimits& limits, VmHistory& history,
                                      Decisions& decisions) {
  if (pressure.slowdown <= limits.slowdown_limit) {
    history.over_limit = false;
    return;
  }

  history.recovered = false;

  if (!history.over_limit) {
    history.over_limit = true;
    history.over_limit_since = now;
  }

  auto unthrottled = Residents(pressure, false);

  if (!unthrottled.empty()) {
    std::sort(unthrottled.begin(), unthrottled.end(), AddsMoreSlowdown);
    double excess = pressure.slowdown - limits.slowdown_limit;

    for (const BatchResident* resident : unthrottled) {
      if (excess <= 0.0) break;

      decisions.push_back(
          MakeDecision(PressureAction::kThrottle, PressureReason::kSlowdown, *resident));
      excess -= resident->added_slowdown;
    }

    // The delay before an eviction starts at the last throttling.
    history.over_limit_since = now;
    return;
  }

  if (now - history.over_limit_since < settings_.eviction_delay) return;

  for (const BatchResident* resident : InOrderOfEviction(pressure)) {
    if (resident->age < limits.eviction_hysteresis) continue;
    if (!TryTakeEvictionBudget(now, pressure.rack, limits)) return;

    decisions.push_back(MakeDecision(PressureAction::kEvict, PressureReason::kSlowdown, *resident));
    history.over_limit_since = now;
    return;
  }
}

void EvictionPlanner::UnthrottleTasks(Millis now, const VmPressure& pressure,
                                      const PressureLimits& limits, VmHistory& history,
                                      Decisions& decisions) {
  const double recovered_below = 1.0 + settings_.recovery_share * (limits.slowdown_limit - 1.0);

  if (pressure.slowdown >= recovered_below) {
    history.recovered = false;
    return;
  }

  if (!history.recovered) {
    history.recovered = true;
    history.recovered_since = now;
  }

  if (now - history.recovered_since < settings_.recovery_period) return;

  auto throttled = Residents(pressure, true);
  if (throttled.empty()) return;

  // Ascending order of added slowdown.
  std::sort(throttled.rbegin(), throttled.rend(), AddsMoreSlowdown);
  const double unthrottle_up_to = 1.0 + settings_.unthrottle_share * (limits.slowdown_limit - 1.0);
  double remaining = unthrottle_up_to - pressure.slowdown;

  // Always unthrottles the task with the least added slowdown, so that a wrong prediction cannot
  // keep tasks throttled forever.
  for (const BatchResident* resident : throttled) {
    // `added_slowdown` is that of the throttled task; unthrottled, it grows by this much.
    const double increase = resident->added_slowdown * (1.0 / kThrottledLoadShare - 1.0);
    const bool first = decisions.empty();
    if (!first && (resident->added_slowdown <= 0.0 || increase > remaining)) break;

    decisions.push_back(
        MakeDecision(PressureAction::kUnthrottle, PressureReason::kRecovered, *resident));
    remaining -= increase;
  }

  history.recovered_since = now;
}

bool EvictionPlanner::TryTakeEvictionBudget(Millis now, const RackId& rack,
                                            const PressureLimits& limits) {
  if (RemainingBudget(now, rack, limits) <= 0) return false;

  std::deque<Millis>& spent = evictions_[rack];
  while (!spent.empty() && now - spent.front() >= kBudgetPeriod) spent.pop_front();

  spent.push_back(now);
  return true;
}

}  // namespace currantpost
