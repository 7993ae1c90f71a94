#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/configuration.h"
#include "currantpost/model/job.h"
#include "currantpost/model/resources.h"

namespace currantpost {

/// What is to be done to a batch task.
enum class PressureAction { kThrottle, kUnthrottle, kEvict };

inline constexpr EnumNames kPressureActionNames(std::to_array<EnumName<PressureAction>>({
    {PressureAction::kThrottle, "throttle"},
    {PressureAction::kUnthrottle, "unthrottle"},
    {PressureAction::kEvict, "evict"},
}));

/// Why it is to be done.
enum class PressureReason {
  /// A service is slower than the preset allows.
  kSlowdown,
  /// Tasks use more than the VM holds.
  kOverCommitted,
  /// Services have been well below the limit for a while.
  kRecovered,
};

inline constexpr EnumNames kPressureReasonNames(std::to_array<EnumName<PressureReason>>({
    {PressureReason::kSlowdown, "slowdown"},
    {PressureReason::kOverCommitted, "over_committed"},
    {PressureReason::kRecovered, "calm"},
}));

/// A running batch task, as the planner sees it.
struct BatchResident {
  TaskKey task;
  int32_t attempt = 0;
  Priority priority = Priority::kNormal;
  /// `CommitmentOf` the task.
  Resources committed;
  /// How long this attempt has run.
  Millis age;
  /// Work done since the last checkpoint, lost by an eviction without a new one.
  Millis unsaved_progress;
  /// Slowdown that it is predicted to add to the worst off service as it runs now, throttled or
  /// not; 0.0 if unknown.
  double added_slowdown = 0.0;
  bool throttled = false;
};

/// A VM, as the planner sees it.
struct VmPressure {
  VmId vm;
  RackId rack;
  Resources capacity;
  /// Sum of `CommitmentOf` all tasks.
  Resources committed;
  /// Sum of what all tasks were measured to use; zero if unknown.
  Resources used;
  /// Worst slowdown of the services on the VM in the latest report.
  double slowdown = 1.0;
  /// When that report was measured; the action of a time before it is known.
  Millis measured_at;
  std::vector<BatchResident> batch;
};

/// Limits of the preset in force.
struct PressureLimits {
  /// Slowdown of a service above which batch beside it is throttled, then evicted.
  double slowdown_limit = 1.25;
  /// Evictions allowed for each rack within any minute.
  int32_t evictions_per_minute = 4;
  /// How long a task runs before it may be evicted.
  Millis eviction_hysteresis = Millis(30'000);
};

/// Returns the limits that a preset sets.
PressureLimits PressureLimitsOf(const Preset& preset);

/// One action on one task.
struct PressureDecision {
  PressureAction action = PressureAction::kThrottle;
  PressureReason reason = PressureReason::kSlowdown;
  TaskKey task;
  int32_t attempt = 0;

  bool operator==(const PressureDecision&) const = default;
};

/// Settings of an `EvictionPlanner`.
struct EvictionPlannerSettings {
  /// Share of the slowdown allowed above 1.0 below which a VM is calm.
  double recovery_share = 0.6;
  /// Share of the slowdown allowed above 1.0 up to which tasks are let go together, as predicted.
  double unthrottle_share = 0.8;
  /// How long a VM must be calm before tasks of it are let go again.
  Millis recovery_period = Millis(10'000);
  /// How long services must stay too slow beside throttled batch before a task is evicted.
  Millis eviction_delay = Millis(15'000);
};

/// Decides which batch tasks to throttle, let go again and evict.
///
/// Throttles first, the most harmful first. Evicts last: only where all batch is throttled and does
/// not help, and then the task with the least lost progress, low priority before urgent. Memory and
/// accelerators cannot be throttled, so a shortage of them evicts at once; one of processors
/// throttles. Acts on a VM only upon a report that was measured after the last action on it.
class EvictionPlanner {
 public:
  explicit EvictionPlanner(EvictionPlannerSettings settings = {}) : settings_(settings) {}

  /// Decides about one VM. Meant to be called once for each report of it, and at most once a tick.
  /// The caller carries the decisions out; each eviction returned is taken from the rack's budget.
  [[nodiscard]] std::vector<PressureDecision> Plan(Millis now, const VmPressure& pressure,
                                                   const PressureLimits& limits);

  /// Forgets a VM that is gone. The rack's budget stays as spent.
  void Forget(const VmId& vm) { vms_.erase(vm); }

  /// Returns how many evictions a rack has left at this time.
  [[nodiscard]] int32_t RemainingBudget(Millis now, const RackId& rack,
                                        const PressureLimits& limits) const;

 private:
  struct VmHistory {
    Millis last_action;
    bool has_acted = false;
    /// Since when services are too slow, or calm, without a break; meaningful where set.
    Millis over_limit_since;
    bool over_limit = false;
    Millis recovered_since;
    bool recovered = false;
  };

  using Decisions = std::vector<PressureDecision>;

  void RelieveOverCommitment(Millis now, const VmPressure& pressure, const PressureLimits& limits,
                             Decisions& decisions);
  void ThrottleForProcessors(const VmPressure& pressure, Decisions& decisions);
  void RelieveSlowdown(Millis now, const VmPressure& pressure, const PressureLimits& limits,
                       VmHistory& history, Decisions& decisions);
  void UnthrottleTasks(Millis now, const VmPressure& pressure, const PressureLimits& limits,
                       VmHistory& history, Decisions& decisions);
  bool TryTakeEvictionBudget(Millis now, const RackId& rack, const PressureLimits& limits);

  EvictionPlannerSettings settings_;
  std::map<VmId, VmHistory> vms_;
  /// Times of the evictions of the last minute.
  std::map<RackId, std::deque<Millis>> evictions_;
};

}  // namespace currantpost
