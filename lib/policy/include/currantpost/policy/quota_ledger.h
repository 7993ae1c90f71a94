#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/job.h"
#include "currantpost/model/resources.h"

namespace currantpost {

/// The first pending task of one team and priority.
struct WaitingTask {
  TeamId team;
  Priority priority = Priority::kNormal;
  Resources size;
  Millis waiting_since;
};

/// Tracks the usage of each team against its quota and selects the next task to start.
class QuotaLedger {
 public:
  /// Sets the quota of a team. The usage of a team without a quota is unlimited.
  void SetQuota(const TeamId& team, const Resources& quota);

  /// Removes the quota of a team, so that its usage is unlimited.
  void ClearQuota(const TeamId& team);

  /// Adds resources to the usage of a team, also beyond the quota, since every running task must be
  /// counted.
  void Charge(const TeamId& team, const Resources& amount);

  /// Subtracts resources from the usage of a team.
  void Release(const TeamId& team, const Resources& amount);

  /// Clears the usage of all teams before a recount.
  void ResetUsage();

  /// Returns the usage of a team.
  [[nodiscard]] Resources Used(const TeamId& team) const;

  /// Returns whether the quota of a team allows this additional amount.
  [[nodiscard]] bool Admits(const TeamId& team, const Resources& amount) const;

  /// Returns the index of the task to start next, or nothing if no team has quota left.
  ///
  /// Orders by priority, most urgent first; then by the smallest dominant share of the team's
  /// quota, which is its largest share over all dimensions; then by the longest wait; then by team
  /// name. For teams without a quota, `reference`, the total of the data centre, takes its place.
  [[nodiscard]] std::optional<size_t> SelectNext(std::span<const WaitingTask> waiting,
                                                 const Resources& reference) const;

 private:
  [[nodiscard]] double DominantShare(const TeamId& team, const Resources& reference) const;

  std::map<TeamId, Resources> quotas_;
  std::map<TeamId, Resources> used_;
};

}  // namespace currantpost
