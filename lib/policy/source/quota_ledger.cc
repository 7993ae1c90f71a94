#include "currantpost/policy/quota_ledger.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace currantpost {
namespace {

double Share(int64_t part, int64_t whole) {
  if (part <= 0) return 0.0;
  if (whole <= 0) return std::numeric_limits<double>::infinity();

  return static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

void QuotaLedger::SetQuota(const TeamId& team, const Resources& quota) { quotas_[team] = quota; }

void QuotaLedger::ClearQuota(const TeamId& team) { quotas_.erase(team); }

void QuotaLedger::Charge(const TeamId& team, const Resources& amount) { used_[team] += amount; }

void QuotaLedger::Release(const TeamId& team, const Resources& amount) {
  const auto found = used_.find(team);
  if (found == used_.end()) return;

  // Clamped at zero, so that a release counted twice does not extend the quota.
  found->second = ComponentMax(found->second - amount, Resources{});
  if (found->second == Resources{}) used_.erase(found);
}

void QuotaLedger::ResetUsage() { used_.clear(); }

Resources QuotaLedger::Used(const TeamId& team) const {
  const auto found = used_.find(team);
  return found == used_.end() ? Resources{} : found->second;
}

bool QuotaLedger::Admits(const TeamId& team, const Resources& amount) const {
  const auto quota = quotas_.find(team);
  return quota == quotas_.end() || FitsWithin(Used(team) + amount, quota->second);
}

std::optional<size_t> QuotaLedger::SelectNext(std::span<const WaitingTask> waiting,
                                              const Resources& reference) const {
  std::optional<size_t> next;

  const auto sort_key = [&](const WaitingTask& task) {
    return std::tuple(task.priority, DominantShare(task.team, reference), task.waiting_since,
                      task.team);
  };

  for (size_t index = 0; index < waiting.size(); ++index) {
    if (!Admits(waiting[index].team, waiting[index].size)) continue;
    if (!next || sort_key(waiting[index]) < sort_key(waiting[*next])) next = index;
  }

  return next;
}

double QuotaLedger::DominantShare(const TeamId& team, const Resources& reference) const {
  const auto quota = quotas_.find(team);
  const Resources& whole = quota == quotas_.end() ? reference : quota->second;
  const Resources used = Used(team);

  return std::max({Share(used.millicores, whole.millicores),
                   Share(used.memory_mib, whole.memory_mib),
                   Share(used.accelerators, whole.accelerators)});
}

}  // namespace currantpost
