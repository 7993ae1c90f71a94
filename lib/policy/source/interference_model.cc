#include "currantpost/policy/interference_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace currantpost {
namespace {

/// Prior standard deviation of the base of a service.
constexpr double kBaseDeviation = 0.1;

double Square(double value) { return value * value; }

/// Removes the least recently observed entry.
template <typename Map>
void RemoveOldest(Map& map) {
  const auto oldest =
      std::min_element(map.begin(), map.end(), [](const auto& left, const auto& right) {
        return left.second.last_observed < right.second.last_observed;
      });

  if (oldest != map.end()) map.erase(oldest);
}

}  // namespace

void AddLoad(std::vector<KindLoad>& loads, std::string_view kind, double load) {
  for (KindLoad& known : loads) {
    if (known.kind == kind) {
      known.load += load;
      return;
    }
  }

  loads.push_back(KindLoad{.kind = std::string(kind), .load = load});
}

void InterferenceModel::Observe(const InterferenceObservation& observation) {
  if (!std::isfinite(observation.slowdown) || observation.slowdown <= 0.0) return;

  Service& service = FindOrAddService(observation.service_kind);
  double expected = 1.0 + service.base.mean;
  double variance = Square(settings_.noise_deviation) + service.base.variance;

  std::vector<Coefficient*> coefficients;
  coefficients.reserve(observation.batch.size());

  for (const KindLoad& batch : observation.batch) {
    Coefficient& coefficient = FindOrAddCoefficient(service, batch.kind);
    expected += coefficient.mean * batch.load;
    variance += coefficient.variance * Square(batch.load);
    coefficients.push_back(&coefficient);
  }

  const double max_error = settings_.max_error_deviations * std::sqrt(variance);
  const double error = std::clamp(observation.slowdown - expected, -max_error, max_error);

  UpdateCoefficient(service.base, 1.0, error, variance);
  for (size_t index = 0; index < coefficients.size(); ++index) {
    AddEvidence(*coefficients[index], observation.batch[index].load, error, variance);
    UpdateCoefficient(*coefficients[index], observation.batch[index].load, error, variance);
  }

  while (service.by_kind.size() > settings_.max_kinds_per_service) RemoveOldest(service.by_kind);
}

double InterferenceModel::Predict(std::string_view service_kind,
                                  std::span<const KindLoad> batch) const {
  const Service* service = FindService(service_kind);
  double mean = service == nullptr ? 0.0 : service->base.mean;
  double variance = 0.0;

  for (const KindLoad& other : batch) {
    const Coefficient coefficient = FindCoefficient(service, other.kind);
    mean += coefficient.mean * other.load;
    variance += coefficient.variance * Square(other.load);
  }

  return std::max(1.0, 1.0 + mean + settings_.caution_deviations * std::sqrt(variance));
}

double InterferenceModel::AddedSlowdown(std::string_view service_kind, std::string_view batch_kind,
                                        double load) const {
  const Coefficient coefficient = FindCoefficient(FindService(service_kind), batch_kind);
  const double deviation = std::sqrt(coefficient.variance);

  return std::max(0.0, (coefficient.mean + settings_.caution_deviations * deviation) * load);
}

std::vector<PairEvidence> InterferenceModel::DrainEvidence() {
  std::vector<PairEvidence> drained;

  for (auto& [kind, service] : services_) {
    for (auto& [batch_kind, coefficient] : service.by_kind) {
      if (coefficient.measurements == 0) continue;

      drained.push_back(PairEvidence{.service_kind = kind,
                                     .batch_kind = batch_kind,
                                     .precision = std::exchange(coefficient.precision, 0.0),
                                     .weighted_sum = std::exchange(coefficient.weighted_sum, 0.0),
                                     .measurements = std::exchange(coefficient.measurements, 0)});
    }
  }

  return drained;
}

void InterferenceModel::MergeEvidence(const PairEvidence& evidence) {
  if (!std::isfinite(evidence.precision) || !std::isfinite(evidence.weighted_sum)) return;
  if (evidence.precision <= 0.0 || evidence.measurements <= 0) return;

  Coefficient& coefficient =
      FindOrAddCoefficient(FindOrAddService(evidence.service_kind), evidence.batch_kind);
  Combine(coefficient, evidence.precision, evidence.weighted_sum);
  coefficient.variance += evidence.measurements * Square(settings_.drift_deviation);
  coefficient.variance = std::min(coefficient.variance, Square(settings_.prior_deviation));
}

std::vector<PairEstimate> InterferenceModel::Estimates(size_t max_count) const {
  std::vector<PairEstimate> estimates;

  for (const auto& [kind, service] : services_) {
    for (const auto& [batch_kind, coefficient] : service.by_kind) {
      if (estimates.size() >= max_count) return estimates;

      estimates.push_back(PairEstimate{.service_kind = kind,
                                       .batch_kind = batch_kind,
                                       .mean = coefficient.mean,
                                       .deviation = std::sqrt(coefficient.variance)});
    }
  }

  return estimates;
}

void InterferenceModel::SetEstimate(const PairEstimate& estimate) {
  if (!std::isfinite(estimate.mean) || !std::isfinite(estimate.deviation)) return;
  if (estimate.deviation <= 0.0) return;

  Coefficient& coefficient =
      FindOrAddCoefficient(FindOrAddService(estimate.service_kind), estimate.batch_kind);
  coefficient.mean = estimate.mean;
  coefficient.variance = std::min(Square(estimate.deviation), Square(settings_.prior_deviation));
  Combine(coefficient, coefficient.precision, coefficient.weighted_sum);
}

size_t InterferenceModel::PairCount() const {
  size_t pairs = 0;
  for (const auto& [kind, service] : services_) pairs += service.by_kind.size();

  return pairs;
}

InterferenceModel::Service& InterferenceModel::FindOrAddService(std::string_view service_kind) {
  auto found = services_.find(service_kind);

  if (found == services_.end()) {
    if (services_.size() >= settings_.max_services) RemoveOldest(services_);

    Service service;
    service.base.variance = Square(kBaseDeviation);
    found = services_.emplace(std::string(service_kind), std::move(service)).first;
  }

  found->second.last_observed = ++observations_;
  return found->second;
}

InterferenceModel::Coefficient& InterferenceModel::FindOrAddCoefficient(
    Service& service, std::string_view batch_kind) {
  auto found = service.by_kind.find(batch_kind);

  if (found == service.by_kind.end()) {
    found = service.by_kind.emplace(std::string(batch_kind), Prior()).first;
  }

  found->second.last_observed = observations_;
  return found->second;
}

const InterferenceModel::Service* InterferenceModel::FindService(
    std::string_view service_kind) const {
  const auto found = services_.find(service_kind);
  return found == services_.end() ? nullptr : &found->second;
}

InterferenceModel::Coefficient InterferenceModel::FindCoefficient(
    const Service* service, std::string_view batch_kind) const {
  if (service == nullptr) return Prior();

  const auto found = service->by_kind.find(batch_kind);
  return found == service->by_kind.end() ? Prior() : found->second;
}

InterferenceModel::Coefficient InterferenceModel::Prior() const {
  return Coefficient{.mean = settings_.prior_mean, .variance = Square(settings_.prior_deviation)};
}

void InterferenceModel::AddEvidence(Coefficient& coefficient, double load, double error,
                                    double variance) {
  // The measurement of this pair alone: the value of the coefficient if all other terms were as
  // expected, with the variance of the other terms.
  const double other_variance = variance - coefficient.variance * Square(load);
  if (load == 0.0 || other_variance <= 0.0) return;

  const double precision = Square(load) / other_variance;
  coefficient.precision += precision;
  coefficient.weighted_sum += precision * (coefficient.mean + error / load);
  ++coefficient.measurements;
}

void InterferenceModel::Combine(Coefficient& coefficient, double precision,
                                double weighted_sum) const {
  const double own_precision =
      1.0 / std::max(coefficient.variance, Square(settings_.drift_deviation));
  const double total_precision = own_precision + precision;
  coefficient.mean = (coefficient.mean * own_precision + weighted_sum) / total_precision;
  coefficient.variance = 1.0 / total_precision;
}

void InterferenceModel::UpdateCoefficient(Coefficient& coefficient, double load, double error,
                                          double variance) const {
  const double gain = coefficient.variance * load / variance;

  coefficient.mean += gain * error;
  coefficient.variance *= 1.0 - gain * load;
  coefficient.variance += Square(settings_.drift_deviation);
  coefficient.variance = std::min(coefficient.variance, Square(settings_.prior_deviation));
}

}  // namespace currantpost
