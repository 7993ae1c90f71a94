#include "currantpost/policy/size_estimator.h"

#include <algorithm>
#include <cmath>

namespace currantpost {
namespace {

/// Quantile of the run time samples that is the expected run time.
constexpr double kRunTimeQuantile = 0.5;

int64_t Scaled(int64_t amount, double factor) {
  return static_cast<int64_t>(std::ceil(static_cast<double>(amount) * factor));
}

}  // namespace

void SizeEstimator::Observe(std::string_view kind, const Resources& used) {
  Kind& known = FindOrAddKind(kind);

  known.millicores.Add(used.millicores);
  known.memory_mib.Add(used.memory_mib);
}

void SizeEstimator::ObserveRunTime(std::string_view kind, Millis run_time) {
  FindOrAddKind(kind).run_time.Add(run_time.Count());
}

Resources SizeEstimator::Estimate(std::string_view kind, const Resources& declared) const {
  if (settings_.rule == SizeRule::kDeclared) return declared;

  const auto found = kinds_.find(kind);
  if (found == kinds_.end()) return declared;

  const Kind& known = found->second;
  if (known.millicores.Count() < settings_.min_samples) return declared;

  const int64_t millicores = known.millicores.Quantile(settings_.processor_quantile);
  const int64_t memory_mib = known.memory_mib.Quantile(settings_.memory_quantile);

  Resources estimate = declared;
  estimate.millicores = std::max(declared.millicores, millicores);
  estimate.memory_mib = std::max(declared.memory_mib, memory_mib);

  if (settings_.rule == SizeRule::kLargest) return estimate;

  estimate.millicores = AtLeastFloor(millicores, declared.millicores);
  if (settings_.rule == SizeRule::kLearnedProcessors) return estimate;

  // The margin never raises the estimate above the larger of the learned and the declared size.
  const int64_t with_margin = std::min(Scaled(memory_mib, settings_.memory_margin),
                                       std::max(memory_mib, declared.memory_mib));
  estimate.memory_mib = AtLeastFloor(with_margin, declared.memory_mib);
  return estimate;
}

Millis SizeEstimator::EstimateRunTime(std::string_view kind, Millis declared) const {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end()) return declared;

  const UsageHistogram& run_time = found->second.run_time;
  if (run_time.Count() < settings_.min_samples) return declared;

  return Millis(run_time.Quantile(kRunTimeQuantile));
}

SizeEstimator::Kind& SizeEstimator::FindOrAddKind(std::string_view kind) {
  auto found = kinds_.find(kind);

  if (found == kinds_.end()) {
    if (kinds_.size() >= settings_.max_kinds) RemoveOldest();
    found = kinds_.emplace(std::string(kind), Kind(settings_.half_life)).first;
  }

  found->second.last_observed = ++observations_;
  return found->second;
}

void SizeEstimator::RemoveOldest() {
  const auto oldest =
      std::min_element(kinds_.begin(), kinds_.end(), [](const auto& left, const auto& right) {
        return left.second.last_observed < right.second.last_observed;
      });

  if (oldest != kinds_.end()) kinds_.erase(oldest);
}

int64_t SizeEstimator::AtLeastFloor(int64_t learned, int64_t declared) const {
  return std::max(learned, Scaled(declared, settings_.min_share_of_declared));
}

Resources CommitmentOf(const Resources& committed_at_start, const Resources& used) {
  Resources commitment = ComponentMax(committed_at_start, used);
  commitment.accelerators = committed_at_start.accelerators;
  return commitment;
}

}  // namespace currantpost
