#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/model/configuration.h"
#include "currantpost/model/job.h"
#include "currantpost/model/resources.h"
#include "currantpost/policy/interference_model.h"

namespace currantpost {

/// Reason why a task was not placed.
enum class PlacementRefusal {
  /// No worker accepts starts: none is known, or all are leaving, quarantined or not yet polled.
  kNoWorker,
  /// The task is larger than any worker, even an empty one.
  kNeverFits,
  /// The task fits an empty worker, but not the capacity that is free now.
  kNoRoom,
  /// The task would exceed the share of a VM that the preset allows for batch tasks.
  kBatchShare,
  /// The task would slow a service down beyond the limit of the preset.
  kInterference,
};

inline constexpr EnumNames kPlacementRefusalNames(std::to_array<EnumName<PlacementRefusal>>({
    {PlacementRefusal::kNoWorker, "no_worker"},
    {PlacementRefusal::kNeverFits, "never_fits"},
    {PlacementRefusal::kNoRoom, "no_room"},
    {PlacementRefusal::kBatchShare, "batch_share"},
    {PlacementRefusal::kInterference, "interference"},
}));

/// Input of placement about one worker. Starting tasks count as running.
struct PlacementCandidate {
  /// False while the worker is leaving, quarantined, unreachable or not yet polled.
  bool accepts_starts = true;
  /// True while a batch task on the VM is throttled.
  bool throttling = false;
  /// Capacity of the VM without the reserve that is never committed.
  Resources capacity;
  /// Committed to all tasks.
  Resources committed;
  /// Committed to batch tasks alone.
  Resources committed_batch;
  /// Kinds of the services on the VM, one entry per task.
  std::vector<std::string> services;
  /// Largest slowdown of a service in the latest report; 1.0 if there is none.
  double measured_slowdown = 1.0;
  /// Batch load on the VM.
  std::vector<KindLoad> batch;
};

/// The task to place.
struct PlacementDemand {
  TaskClass task_class = TaskClass::kBatch;
  Priority priority = Priority::kNormal;
  std::string_view kind;
  /// Resources that will be committed for the task.
  Resources size;
};

/// Limits of the preset in force.
struct PlacementLimits {
  /// Share of each VM that batch tasks may hold, 0 to 1.
  double batch_share = 0.7;
  /// Largest allowed slowdown of a service, 1.0 or more.
  double slowdown_limit = 1.25;
};

/// Returns the limits of a preset.
PlacementLimits PlacementLimitsOf(const Preset& preset);

/// Index of the chosen candidate, or the reason why there is none.
using PlacementResult = tl::expected<size_t, PlacementRefusal>;

/// Returns the reason why a task may not be committed to a candidate now, or nothing if it may.
std::optional<PlacementRefusal> RefusalOf(const PlacementCandidate& candidate,
                                          const PlacementDemand& demand,
                                          const PlacementLimits& limits);

/// Interface for choosing a worker. No strategy chooses a worker that `RefusalOf` refuses.
class PlacementStrategy {
 public:
  virtual ~PlacementStrategy() = default;

  /// Chooses one of the candidates, which come from one or a few racks. Visits each candidate once.
  [[nodiscard]] virtual PlacementResult Place(std::span<const PlacementCandidate> candidates,
                                              const PlacementDemand& demand,
                                              const PlacementLimits& limits) = 0;
};

/// Chooses the first worker with enough free capacity.
class FirstFitPlacement final : public PlacementStrategy {
 public:
  [[nodiscard]] PlacementResult Place(std::span<const PlacementCandidate> candidates,
                                      const PlacementDemand& demand,
                                      const PlacementLimits& limits) override;
};

/// Chooses, among the workers with enough free capacity, the one with the smallest share of
/// processors committed.
class LeastLoadedPlacement final : public PlacementStrategy {
 public:
  [[nodiscard]] PlacementResult Place(std::span<const PlacementCandidate> candidates,
                                      const PlacementDemand& demand,
                                      const PlacementLimits& limits) override;
};

/// Chooses uniformly at random among the workers with enough free capacity.
class RandomPlacement final : public PlacementStrategy {
 public:
  explicit RandomPlacement(uint64_t seed) : generator_(seed) {}

  [[nodiscard]] PlacementResult Place(std::span<const PlacementCandidate> candidates,
                                      const PlacementDemand& demand,
                                      const PlacementLimits& limits) override;

 private:
  std::mt19937_64 generator_;
};

/// Settings of an `InterferenceAwarePlacement`.
struct InterferenceAwareSettings {
  /// Share of the allowed slowdown above 1.0 that the predicted slowdown may reach, for batch tasks
  /// of normal and of urgent priority.
  double normal_headroom = 0.4;
  double urgent_headroom = 1.0;
  /// Weight of the share of processors committed in the cost of a worker, added to the predicted
  /// slowdown. Spreads bursts of starts whose effect is not yet reported.
  double load_weight = 0.05;
  /// Cost added to a worker on which a batch task is throttled.
  double throttling_cost = 0.2;
};

/// Chooses the worker with the smallest predicted slowdown of its services.
///
/// Holds only its settings and a reference to the model, so it is cheap to create per decision.
class InterferenceAwarePlacement final : public PlacementStrategy {
 public:
  explicit InterferenceAwarePlacement(const InterferenceModel& model,
                                      InterferenceAwareSettings settings = {})
      : model_(model), settings_(settings) {}

  [[nodiscard]] PlacementResult Place(std::span<const PlacementCandidate> candidates,
                                      const PlacementDemand& demand,
                                      const PlacementLimits& limits) override;

 private:
  [[nodiscard]] tl::expected<double, PlacementRefusal> BatchCost(
      const PlacementCandidate& candidate, const PlacementDemand& demand, double allowed) const;
  [[nodiscard]] double ServiceCost(const PlacementCandidate& candidate,
                                   const PlacementDemand& demand) const;

  const InterferenceModel& model_;
  InterferenceAwareSettings settings_;
};

}  // namespace currantpost
