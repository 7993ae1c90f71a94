#include "currantpost/policy/placement.h"

namespace currantpost {
namespace {

Resources BatchCapacity(const Resources& capacity, double batch_share) {
  // Accelerators are for batch tasks only. The share limits the resources that services need as
  // well.
  return Resources{
      .millicores = static_cast<int64_t>(static_cast<double>(capacity.millicores) * batch_share),
      .memory_mib = static_cast<int64_t>(static_cast<double>(capacity.memory_mib) * batch_share),
      .accelerators = capacity.accelerators};
}

}  // namespace

PlacementLimits PlacementLimitsOf(const Preset& preset) {
  return PlacementLimits{.batch_share = preset.batch_share,
                         .slowdown_limit = preset.slowdown_limit};
}

std::optional<PlacementRefusal> RefusalOf(const PlacementCandidate& candidate,
                                          const PlacementDemand& demand,
                                          const PlacementLimits& limits) {
  if (!FitsWithin(demand.size, candidate.capacity)) return PlacementRefusal::kNeverFits;
  if (!candidate.accepts_starts) return PlacementRefusal::kNoWorker;

  if (!FitsWithin(demand.size, candidate.capacity - candidate.committed)) {
    return PlacementRefusal::kNoRoom;
  }

  if (demand.task_class == TaskClass::kService) return std::nullopt;

  const Resources batch_capacity = BatchCapacity(candidate.capacity, limits.batch_share);
  if (!FitsWithin(candidate.committed_batch + demand.size, batch_capacity)) {
    return PlacementRefusal::kBatchShare;
  }

  return std::nullopt;
}

}  // namespace currantpost
