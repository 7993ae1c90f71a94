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

/// Action on a batch task.
enum class PressureAction { kThrottle, kUnthrottle, kEvict };

inline constexpr EnumNames kPressureActionNames(std::to_array<EnumName<PressureAction>>({
    {PressureAction::kThrottle, "throttle"},
    {PressureAction::kUnthrottle, "unthrottle"},
    {PressureAction::kEvict, "evict"},
}));

/// Reason for a `PressureAction`.
enum class PressureReason {
  /// The slowdown of a service exceeds the limit of the preset.
  kSlowdown,
  /// Tasks use more than the capacity of the VM.
  kOverCommitted,
  /// The slowdown of all services has stayed well below the limit for a period.
  kRecovered,
};

inline constexpr EnumNames kPressureReasonNames(std::to_array<EnumName<PressureReason>>({
    {PressureReason::kSlowdown, "slowdown"},
    {PressureReason::kOverCommitted, "over_committed"},
    {PressureReason::kRecovered, "calm"},
}));

/// Input of the planner about one running batch task.
struct BatchResident {
  TaskKey task;
  int32_t attempt = 0;
  Priority priority = Priority::kNormal;
  /// Result of `CommitmentOf` for the task.
  Resources committed;
  /// Run time of this attempt so far.
  Millis age;
  /// Run time since the last checkpoint. An eviction without a new checkpoint loses this work.
  Millis unsaved_progress;
  /// Predicted slowdown that the task adds to the service it affects most, in its present state,
  /// throttled or not; 0.0 if unknown.
  double added_slowdown = 0.0;
  bool throttled = false;
};

/// Input of the planner about one VM.
struct VmPressure {
  VmId vm;
  RackId rack;
  Resources capacity;
  /// Sum of `CommitmentOf` over all tasks.
  Resources committed;
  /// Measured use of all tasks together; zero if unknown.
  Resources used;
  /// Largest slowdown of a service on the VM in the latest report.
  double slowdown = 1.0;
  /// When the values of that report were measured. A report shows the effect of an action only if
  /// it was measured after that action.
  Millis measured_at;
  std::vector<BatchResident> batch;
};

/// Limits of the preset in force.
struct PressureLimits {
  /// Slowdown of a service above which batch tasks on the same VM are throttled, then evicted.
  double slowdown_limit = 1.25;
  /// Evictions allowed per rack within any minute.
  int32_t evictions_per_minute = 4;
  /// Minimum run time of a task before it may be evicted because of a slowdown.
  Millis eviction_hysteresis = Millis(30'000);
};

/// Returns the limits of a preset.
PressureLimits PressureLimitsOf(const Preset& preset);

/// An action on one task.
struct PressureDecision {
  PressureAction action = PressureAction::kThrottle;
  PressureReason reason = PressureReason::kSlowdown;
  TaskKey task;
  int32_t attempt = 0;

  bool operator==(const PressureDecision&) const = default;
};

/// Settings of an `EvictionPlanner`.
struct EvictionPlannerSettings {
  /// A VM has recovered while its slowdown above 1.0 is below this share of the allowed slowdown
  /// above 1.0.
  double recovery_share = 0.6;
  /// Several tasks are unthrottled together as long as the predicted slowdown above 1.0 stays
  /// within this share of the allowed slowdown above 1.0.
  double unthrottle_share = 0.8;
  /// How long a VM must have recovered before its tasks are unthrottled.
  Millis recovery_period = Millis(10'000);
  /// How long the slowdown must exceed the limit with all batch tasks throttled before a task is
  /// evicted.
  Millis eviction_delay = Millis(15'000);
};

/// Decides which batch tasks to throttle, unthrottle and evict.
///
/// Throttles first, in descending order of added slowdown. Evicts for a slowdown only if all batch
/// tasks are throttled and the slowdown persists. Eviction order is by priority, least urgent
/// first, then by least lost progress. Memory and accelerators cannot be throttled, so a shortage
/// of them evicts at once; a shortage of processors throttles. Acts on a VM only if the report was
/// measured after the last action on that VM.
class EvictionPlanner {
 public:
  explicit EvictionPlanner(EvictionPlannerSettings settings = {}) : settings_(settings) {}

  /// Returns the decisions for one VM. Call it once per report of the VM, and at most once per
  /// tick. The caller executes the decisions. Each eviction returned is charged to the rack's
  /// budget.
  [[nodiscard]] std::vector<PressureDecision> Plan(Millis now, const VmPressure& pressure,
                                                   const PressureLimits& limits);

  /// Removes the history of a VM that no longer exists. The rack's budget is unchanged.
  void Forget(const VmId& vm) { vms_.erase(vm); }

  /// Returns the number of evictions that a rack may still make at this time.
  [[nodiscard]] int32_t RemainingBudget(Millis now, const RackId& rack,
                                        const PressureLimits& limits) const;

 private:
  struct VmHistory {
    Millis last_action;
    bool has_acted = false;
    /// Start of the present uninterrupted period above the limit, or the last action against the
    /// slowdown in it. Valid only if `over_limit` is set.
    Millis over_limit_since;
    bool over_limit = false;
    /// Start of the present recovery, or the last unthrottling in it. Valid only if `recovered` is
    /// set.
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
  /// Times of the evictions within the last minute, by rack.
  std::map<RackId, std::deque<Millis>> evictions_;
};

}  // namespace currantpost
