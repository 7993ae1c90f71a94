#include <algorithm>
#include <limits>

#include "currantpost/policy/placement.h"

namespace currantpost {
namespace {

/// Collects the refusals of candidates and returns the one nearest to a placement, that is, the one
/// that passed the most checks.
class RefusalTally {
 public:
  void Add(PlacementRefusal refusal) {
    if (!nearest_ || Nearness(refusal) > Nearness(*nearest_)) nearest_ = refusal;
  }

  [[nodiscard]] PlacementRefusal Nearest() const {
    return nearest_.value_or(PlacementRefusal::kNoWorker);
  }

 private:
  static int Nearness(PlacementRefusal refusal) {
    switch (refusal) {
      case PlacementRefusal::kNeverFits:
        return 0;
      case PlacementRefusal::kNoWorker:
        return 1;
      case PlacementRefusal::kNoRoom:
        return 2;
      case PlacementRefusal::kBatchShare:
        return 3;
      case PlacementRefusal::kInterference:
        return 4;
    }

    return 0;
  }

  std::optional<PlacementRefusal> nearest_;
};

double ProcessorShare(const PlacementCandidate& candidate) {
  if (candidate.capacity.millicores <= 0) return 1.0;

  return static_cast<double>(candidate.committed.millicores) /
         static_cast<double>(candidate.capacity.millicores);
}

double LoadOf(const PlacementCandidate& candidate, const PlacementDemand& demand) {
  if (candidate.capacity.millicores <= 0) return 1.0;

  return static_cast<double>(demand.size.millicores) /
         static_cast<double>(candidate.capacity.millicores);
}

/// Chooses the candidate with the smallest cost. `cost` returns the cost, or the reason of a
/// refusal.
template <typename Cost>
PlacementResult Cheapest(std::span<const PlacementCandidate> candidates,
                         const PlacementDemand& demand, const PlacementLimits& limits, Cost cost) {
  RefusalTally refusals;
  double lowest_cost = std::numeric_limits<double>::infinity();
  std::optional<size_t> chosen;

  for (size_t index = 0; index < candidates.size(); ++index) {
    const auto refusal = RefusalOf(candidates[index], demand, limits);

    if (refusal) {
      refusals.Add(*refusal);
      continue;
    }

    const tl::expected<double, PlacementRefusal> candidate_cost = cost(candidates[index]);

    if (!candidate_cost) {
      refusals.Add(candidate_cost.error());
    } else if (*candidate_cost < lowest_cost) {
      lowest_cost = *candidate_cost;
      chosen = index;
    }
  }

  if (chosen) return *chosen;
  return tl::unexpected(refusals.Nearest());
}

}  // namespace

PlacementResult FirstFitPlacement::Place(std::span<const PlacementCandidate> candidates,
                                         const PlacementDemand& demand,
                                         const PlacementLimits& limits) {
  RefusalTally refusals;

  for (size_t index = 0; index < candidates.size(); ++index) {
    const auto refusal = RefusalOf(candidates[index], demand, limits);
    if (!refusal) return index;

    refusals.Add(*refusal);
  }

  return tl::unexpected(refusals.Nearest());
}

PlacementResult LeastLoadedPlacement::Place(std::span<const PlacementCandidate> candidates,
                                            const PlacementDemand& demand,
                                            const PlacementLimits& limits) {
  return Cheapest(candidates, demand, limits, ProcessorShare);
}

PlacementResult RandomPlacement::Place(std::span<const PlacementCandidate> candidates,
                                       const PlacementDemand& demand,
                                       const PlacementLimits& limits) {
  return Cheapest(candidates, demand, limits, [this](const PlacementCandidate& /*candidate*/) {
    return static_cast<double>(generator_());
  });
}

PlacementResult InterferenceAwarePlacement::Place(std::span<const PlacementCandidate> candidates,
                                                  const PlacementDemand& demand,
                                                  const PlacementLimits& limits) {
  if (demand.task_class == TaskClass::kService) {
    return Cheapest(candidates, demand, limits, [&](const PlacementCandidate& candidate) {
      return ServiceCost(candidate, demand);
    });
  }

  const bool urgent = demand.priority == Priority::kUrgent;
  const double headroom = urgent ? settings_.urgent_headroom : settings_.normal_headroom;
  const double allowed = 1.0 + headroom * (limits.slowdown_limit - 1.0);

  return Cheapest(candidates, demand, limits, [&](const PlacementCandidate& candidate) {
    return BatchCost(candidate, demand, allowed);
  });
}

tl::expected<double, PlacementRefusal> InterferenceAwarePlacement::BatchCost(
    const PlacementCandidate& candidate, const PlacementDemand& demand, double allowed) const {
  std::vector<KindLoad> after = candidate.batch;
  AddLoad(after, demand.kind, LoadOf(candidate, demand));

  double worst = 1.0;
  for (const std::string& service : candidate.services) {
    worst = std::max(worst, model_.Predict(service, after));
  }

  if (worst > allowed && !candidate.services.empty()) {
    return tl::unexpected(PlacementRefusal::kInterference);
  }

  const double throttling = candidate.throttling ? settings_.throttling_cost : 0.0;
  return worst - 1.0 + throttling + settings_.load_weight * ProcessorShare(candidate);
}

double InterferenceAwarePlacement::ServiceCost(const PlacementCandidate& candidate,
                                               const PlacementDemand& demand) const {
  const double predicted = model_.Predict(demand.kind, candidate.batch);

  return predicted - 1.0 + ProcessorShare(candidate);
}

}  // namespace currantpost
