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

/// Why a task was placed nowhere.
enum class PlacementRefusal {
  /// No worker takes starts: none is known, or all are leaving, quarantined or not yet read.
  kNoWorker,
  /// Larger than any worker, also an empty one.
  kNeverFits,
  /// Fits, but not beside what is committed now.
  kNoRoom,
  /// Would take more than the share of a VM that the preset leaves to batch.
  kBatchShare,
  /// Would slow a service down beyond the preset's limit.
  kInterference,
};

inline constexpr EnumNames kPlacementRefusalNames(std::to_array<EnumName<PlacementRefusal>>({
    {PlacementRefusal::kNoWorker, "no_worker"},
    {PlacementRefusal::kNeverFits, "never_fits"},
    {PlacementRefusal::kNoRoom, "no_room"},
    {PlacementRefusal::kBatchShare, "batch_share"},
    {PlacementRefusal::kInterference, "interference"},
}));

/// A worker as placement sees it. Starting tasks count as if they ran.
struct PlacementCandidate {
  /// False while the worker is leaving, quarantined, unreachable or not yet read.
  bool accepts_starts = true;
  /// True while batch on the VM is throttled.
  bool throttling = false;
  /// Whole VM, less what is never committed.
  Resources capacity;
  /// Committed to all tasks.
  Resources committed;
  /// Committed to batch tasks alone.
  Resources committed_batch;
  /// Kinds of the services on the VM, one entry for each task.
  std::vector<std::string> services;
  /// Worst slowdown of them in the latest report, 1.0 if there is none.
  double measured_slowdown = 1.0;
  /// Batch on the VM.
  std::vector<KindLoad> batch;
};

/// A task to be placed.
struct PlacementDemand {
  TaskClass task_class = TaskClass::kBatch;
  Priority priority = Priority::kNormal;
  std::string_view kind;
  /// What will be committed for it.
  Resources size;
};

/// Limits of the preset in force.
struct PlacementLimits {
  /// Share of each VM that batch tasks may hold, 0 to 1.
  double batch_share = 0.7;
  /// Slowdown that a service may suffer, 1.0 or more.
  double slowdown_limit = 1.25;
};

/// Returns the limits that a preset sets.
PlacementLimits PlacementLimitsOf(const Preset& preset);

/// Index of the candidate chosen, or why there is none.
using PlacementResult = tl::expected<size_t, PlacementRefusal>;

/// Says why a task may not be committed to a candidate now, or nothing if it may.
std::optional<PlacementRefusal> RefusalOf(const PlacementCandidate& candidate,
                                          const PlacementDemand& demand,
                                          const PlacementLimits& limits);

/// A way to choose a worker. None ever chooses one that `RefusalOf` refuses.
class PlacementStrategy {
 public:
  virtual ~PlacementStrategy() = default;

  /// Chooses one of the candidates, those of one rack or a few. Looks at each once.
  [[nodiscard]] virtual PlacementResult Place(std::span<const PlacementCandidate> candidates,
                                              const PlacementDemand& demand,
                                              const PlacementLimits& limits) = 0;
};

/// Takes the first worker with room.
class FirstFitPlacement final : public PlacementStrategy {
 public:
  [[nodiscard]] PlacementResult Place(std::span<const PlacementCandidate> candidates,
                                      const PlacementDemand& demand,
                                      const PlacementLimits& limits) override;
};

/// Takes the worker with room that has the smallest share of processors committed.
class LeastLoadedPlacement final : public PlacementStrategy {
 public:
  [[nodiscard]] PlacementResult Place(std::span<const PlacementCandidate> candidates,
                                      const PlacementDemand& demand,
                                      const PlacementLimits& limits) override;
};

/// Takes any of the workers with room, each as likely as the others.
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
  /// Share of the slowdown allowed above 1.0 that batch may be placed up to.
  double normal_headroom = 0.4;
  double urgent_headroom = 1.0;
  /// Cost of a worker for its share of processors committed, beside the predicted slowdown. Spreads
  /// waves of starts whose effect has not yet been reported.
  double load_weight = 0.05;
  /// Cost of a worker on which batch is throttled.
  double throttling_cost = 0.2;
};

/// Takes the worker whose services are predicted to suffer least from the task.
///
/// Holds a reference to the model and nothing else, so one can be made for each decision.
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
