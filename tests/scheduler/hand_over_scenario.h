#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "random_source.h"
#include "run_audit.h"
#include "world.h"

namespace currantpost::scheduler {

/// Actions scheduled for later times.
class ActionSchedule {
 public:
  explicit ActionSchedule(const World& world) : world_(world) {}

  void After(Millis span, std::function<void()> action) {
    actions_.emplace(world_.now() + span, std::move(action));
  }

  void Advance() {
    while (!actions_.empty() && actions_.begin()->first <= world_.now()) {
      const std::function<void()> action = actions_.begin()->second;
      actions_.erase(actions_.begin());
      action();
    }
  }

 private:
  const World& world_;
  std::multimap<Millis, std::function<void()>> actions_;
};

/// One scenario: episodes of hand-overs and worker faults, each followed by a
/// time without disruption. All faults start and end between two rounds.
class HandOverScenario {
 public:
  static constexpr Millis kRoundInterval = Millis(100);

  explicit HandOverScenario(uint64_t seed);
  ~HandOverScenario();

  void RunAll();
  /// Adds a finding.
  void Fail(const std::string& check, const std::string& text);

  /// Returns the first three findings of each check.
  [[nodiscard]] std::string Report() const;
  void SaveLog(const std::string& path) const;

  [[nodiscard]] const RunAudit& audit() const { return audit_; }
  [[nodiscard]] World& world() { return world_; }
  [[nodiscard]] ActionSchedule& schedule() { return schedule_; }

  /// Called at the start of each episode with its span, and before and after
  /// each round.
  std::function<void(Millis)> on_episode = [](Millis) {};
  std::function<void()> before_round = [] {};
  std::function<void()> after_round = [] {};

 private:
  class WorkerFaults;
  class OwnerFaults;
  class Callers;

  void Advance(bool traffic = true);
  void RunFor(Millis span);
  void RunEpisode();
  void RunUntilSettled();
  /// Counts starts and ends of runs.
  [[nodiscard]] size_t CountRunEvents() const;

  uint64_t seed_;
  RandomSource random_source_;
  WorldShape shape_;
  World world_;
  std::map<std::string, std::vector<std::string>> findings_;
  RunAudit audit_;
  ActionSchedule schedule_;
  std::unique_ptr<Callers> callers_;
  std::unique_ptr<WorkerFaults> worker_faults_;
  std::unique_ptr<OwnerFaults> owner_faults_;
};

/// Returns the seeds that CURRANTPOST_AUDIT_SEEDS names, such as 100-199, or
/// the default ones.
std::vector<uint64_t> SelectAuditSeeds(const std::vector<uint64_t>& defaults);

}  // namespace currantpost::scheduler
