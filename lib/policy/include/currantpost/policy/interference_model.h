#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace currantpost {

/// Load of a throttled batch task as a share of its load when not throttled.
inline constexpr double kThrottledLoadShare = 0.3;

/// Load of the batch tasks of one kind on one VM.
struct KindLoad {
  std::string kind;
  /// Processors used as a share of the VM's processors. Throttled tasks are scaled by
  /// `kThrottledLoadShare`. Negative for a decrease if it is a change of load.
  double load = 0.0;

  bool operator==(const KindLoad&) const = default;
};

/// Adds load to the entry of a kind. Creates the entry if it is missing.
void AddLoad(std::vector<KindLoad>& loads, std::string_view kind, double load);

/// One measurement of a service: its slowdown and the batch load on the same VM, or the changes of
/// both since the previous measurement.
struct InterferenceObservation {
  std::string_view service_kind;
  /// Batch load at the time of the measurement, not of the report (see `ResidencyHistory`), or its
  /// change since the previous measurement if the model learns from changes.
  std::span<const KindLoad> batch;
  /// 1.0 plus the effect attributed to `batch`. May be the latency as a multiple of the latency
  /// without other load on the VM, or 1.0 plus a change of stress.
  double slowdown = 1.0;
};

/// Settings of an `InterferenceModel`. A coefficient is the slowdown that a load of one whole VM
/// adds to 1.0. Deviations are standard deviations.
struct InterferenceModelSettings {
  /// Prior of the coefficient of a pair without observations.
  double prior_mean = 0.4;
  double prior_deviation = 0.5;
  /// Noise of one measurement.
  double noise_deviation = 0.1;
  /// Drift of a coefficient per observation of its pair.
  double drift_deviation = 0.005;
  /// The error of an observation is clamped to this many of its own deviations, so that an outlier
  /// has little effect.
  double max_error_deviations = 3.0;
  /// Number of deviations that a prediction adds to the mean.
  double caution_deviations = 0.5;
  size_t max_services = 256;
  size_t max_kinds_per_service = 512;
};

/// Measurements of one pair, in a form that can be summed over several models: the sum of the
/// precisions, and the sum of the values weighted by precision.
struct PairEvidence {
  std::string service_kind;
  std::string batch_kind;
  double precision = 0.0;
  double weighted_sum = 0.0;
  int32_t measurements = 0;

  bool operator==(const PairEvidence&) const = default;
};

/// Estimated coefficient of one pair.
struct PairEstimate {
  std::string service_kind;
  std::string batch_kind;
  double mean = 0.0;
  double deviation = 0.0;

  bool operator==(const PairEstimate&) const = default;
};

/// Estimates how much each kind of batch task slows down each kind of service.
///
/// The slowdown of a service is modelled as 1 + base + the sum of load times coefficient over the
/// batch kinds on the same VM. Each coefficient has a mean and a variance and is estimated by a
/// Kalman filter with a diagonal covariance, so memory is linear in the number of pairs. The base
/// is the slowdown of the service without any batch load.
///
/// `lib/scheduler` uses images as kinds: its long-running tasks are the services, and its
/// best-effort tasks are the batch tasks.
class InterferenceModel {
 public:
  explicit InterferenceModel(InterferenceModelSettings settings = {}) : settings_(settings) {}

  /// Updates the model with one measurement. Ignores a slowdown that is not finite and positive.
  void Observe(const InterferenceObservation& observation);

  /// Returns a cautious estimate (mean plus `caution_deviations` deviations) of the slowdown of the
  /// service with this batch load on its VM, 1.0 or more.
  [[nodiscard]] double Predict(std::string_view service_kind,
                               std::span<const KindLoad> batch) const;

  /// Returns a cautious estimate (mean plus `caution_deviations` deviations) of the slowdown that a
  /// load of one batch kind adds to the service, 0.0 or more.
  [[nodiscard]] double AddedSlowdown(std::string_view service_kind, std::string_view batch_kind,
                                     double load) const;

  /// Returns and clears the evidence measured by this model since the last call, to be merged into
  /// other models.
  std::vector<PairEvidence> DrainEvidence();

  /// Merges evidence that another model measured. Ignores invalid values.
  void MergeEvidence(const PairEvidence& evidence);

  /// Returns the estimates of at most `max_count` pairs.
  [[nodiscard]] std::vector<PairEstimate> Estimates(size_t max_count) const;

  /// Replaces the estimate of a pair, then merges the evidence of it that is not yet drained.
  /// Ignores invalid values.
  void SetEstimate(const PairEstimate& estimate);

  /// Returns the number of pairs stored.
  [[nodiscard]] size_t PairCount() const;

 private:
  struct Coefficient {
    double mean = 0.0;
    double variance = 0.0;
    uint64_t last_observed = 0;
    /// Evidence measured by this model and not yet drained.
    double precision = 0.0;
    double weighted_sum = 0.0;
    int32_t measurements = 0;
  };

  struct Service {
    Coefficient base;
    std::map<std::string, Coefficient, std::less<>> by_kind;
    uint64_t last_observed = 0;
  };

  Service& FindOrAddService(std::string_view service_kind);
  Coefficient& FindOrAddCoefficient(Service& service, std::string_view batch_kind);
  [[nodiscard]] const Service* FindService(std::string_view service_kind) const;
  [[nodiscard]] Coefficient FindCoefficient(const Service* service,
                                            std::string_view batch_kind) const;
  [[nodiscard]] Coefficient Prior() const;
  void UpdateCoefficient(Coefficient& coefficient, double load, double error,
                         double variance) const;
  static void AddEvidence(Coefficient& coefficient, double load, double error, double variance);
  void Combine(Coefficient& coefficient, double precision, double weighted_sum) const;

  InterferenceModelSettings settings_;
  std::map<std::string, Service, std::less<>> services_;
  uint64_t observations_ = 0;
};

}  // namespace currantpost
