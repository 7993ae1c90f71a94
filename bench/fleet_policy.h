#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "currantpost/model/configuration.h"
#include "currantpost/policy/eviction_planner.h"
#include "currantpost/policy/interference_model.h"
#include "currantpost/policy/placement.h"
#include "currantpost/policy/quarantine.h"
#include "currantpost/policy/residency_history.h"
#include "currantpost/policy/restart_pacer.h"
#include "currantpost/policy/size_estimator.h"
#include "fleet_model.h"

namespace currantpost::bench {

/// Runs no batch at all.
class NoBatchPolicy final : public FleetPolicy {
 public:
  void OnReport(FleetModel& /*model*/, const ModelReport& /*report*/) override {}
  void OnTaskEvent(FleetModel& /*model*/, const ModelTask& /*task*/,
                   ModelTaskEvent /*event*/) override {}
  void OnTick(FleetModel& /*model*/) override {}
};

/// A plain strategy with declared sizes, and a plain reactive rule: a report above the slowdown
/// limit evicts the task of the VM that started last, at most one for each VM and half minute.
class PlainPolicy final : public FleetPolicy {
 public:
  PlainPolicy(std::unique_ptr<PlacementStrategy> strategy, Preset preset)
      : strategy_(std::move(strategy)), preset_(std::move(preset)) {}

  void OnReport(FleetModel& model, const ModelReport& report) override;
  void OnTaskEvent(FleetModel& /*model*/, const ModelTask& /*task*/,
                   ModelTaskEvent /*event*/) override {}
  void OnTick(FleetModel& model) override;

 private:
  std::unique_ptr<PlacementStrategy> strategy_;
  Preset preset_;
  std::map<size_t, Millis> evicted_at_;
};

/// Settings of a `LearningPolicy`.
struct LearningPolicySettings {
  Preset preset;
  SizeEstimatorSettings sizes;
  InterferenceModelSettings interference;
  InterferenceAwareSettings placement;
  EvictionPlannerSettings eviction;
  QuarantineSettings quarantine;
  RestartPacerSettings pacing;
};

/// The policy modules put together as the owner of a rack uses them; each rack learns by itself.
class LearningPolicy final : public FleetPolicy {
 public:
  explicit LearningPolicy(LearningPolicySettings settings) : settings_(std::move(settings)) {}

  void OnReport(FleetModel& model, const ModelReport& report) override;
  void OnTaskEvent(FleetModel& model, const ModelTask& task, ModelTaskEvent event) override;
  void OnTick(FleetModel& model) override;

 private:
  struct Rack {
    explicit Rack(const LearningPolicySettings& settings)
        : sizes(settings.sizes),
          interference(settings.interference),
          planner(settings.eviction),
          quarantine(settings.quarantine),
          pacer(settings.pacing) {}

    SizeEstimator sizes;
    InterferenceModel interference;
    EvictionPlanner planner;
    Quarantine quarantine;
    RestartPacer pacer;
  };

  struct Worker {
    ResidencyHistory history;
    std::map<int64_t, ModelUsage> latest_use;
    double slowdown = 1.0;
  };

  void SetUp(const FleetModel& model);
  void Learn(const FleetModel& model, const ModelReport& report);
  void Relieve(FleetModel& model, const ModelReport& report);
  void PlaceRack(FleetModel& model, size_t rack);
  [[nodiscard]] PlacementCandidate Candidate(const FleetModel& model, size_t worker) const;
  [[nodiscard]] VmPressure Pressure(const FleetModel& model, const ModelReport& report) const;
  [[nodiscard]] std::vector<KindLoad> Loads(const FleetModel& model, size_t worker) const;
  [[nodiscard]] Resources Commitment(const ModelTask& task) const;

  LearningPolicySettings settings_;
  std::vector<Rack> racks_;
  std::vector<Worker> workers_;
};

}  // namespace currantpost::bench
