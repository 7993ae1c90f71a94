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

/// The first waiting task of one team and priority.
struct WaitingTask {
  TeamId team;
  Priority priority = Priority::kNormal;
  Resources size;
  Millis waiting_since;
};

/// Keeps what each team holds against its quota, and says whose turn it is.
class QuotaLedger {
 public:
  /// Sets the most that a team may hold. A team without a quota may hold anything.
  void SetQuota(const TeamId& team, const Resources& quota);

  /// Takes a team's quota away.
  void ClearQuota(const TeamId& team);

  /// Counts resources as held by a team. Never refuses, since what runs must be counted.
  void Charge(const TeamId& team, const Resources& amount);

  /// Counts resources as no longer held.
  void Release(const TeamId& team, const Resources& amount);

  /// Forgets all that is held, before it is counted anew.
  void ResetUsage();

  /// Returns what a team holds.
  [[nodiscard]] Resources Used(const TeamId& team) const;

  /// Says whether a team may hold so much more.
  [[nodiscard]] bool Admits(const TeamId& team, const Resources& amount) const;

  /// Returns the index of the task whose turn it is, or nothing if no team has quota left.
  ///
  /// Urgent work goes first; then the team that holds the smallest share of its quota, in the
  /// dimension where that is largest; then the task that has waited longest; then the team's name.
  /// Teams without a quota count by `reference`, what the data centre holds in all.
  [[nodiscard]] std::optional<size_t> SelectNext(std::span<const WaitingTask> waiting,
                                                 const Resources& reference) const;

 private:
  [[nodiscard]] double DominantShare(const TeamId& team, const Resources& reference) const;

  std::map<TeamId, Resources> quotas_;
  std::map<TeamId, Resources> used_;
};

}  // namespace currantpost
