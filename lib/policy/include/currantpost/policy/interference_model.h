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

/// Share of its load with which a throttled batch task still counts.
inline constexpr double kThrottledLoadShare = 0.3;

/// Batch tasks of one kind on one VM.
struct KindLoad {
  std::string kind;
  /// Processors they take as a share of the VM's, throttled ones by `kThrottledLoadShare`.
  double load = 0.0;

  bool operator==(const KindLoad&) const = default;
};

/// Adds load to a kind's entry, which is made if it is missing.
void AddLoad(std::vector<KindLoad>& loads, std::string_view kind, double load);

/// One measurement of a service: its slowdown and the batch that ran beside it at that time.
struct InterferenceObservation {
  std::string_view service_kind;
  /// Batch on the VM at the time measured, not at the time reported; see `ResidencyHistory`.
  std::span<const KindLoad> batch;
  /// Latency as a multiple of that alone on a VM.
  double slowdown = 1.0;
};

/// Settings of an `InterferenceModel`. Slowdowns are added to 1.0 for each whole VM of load.
struct InterferenceModelSettings {
  /// Expected of a pair never seen: a whole VM of that batch adds this much slowdown.
  double prior_mean = 0.4;
  double prior_deviation = 0.5;
  /// Deviation of one measurement.
  double noise_deviation = 0.1;
  /// Drift of a pair for each of its observations, as deviation.
  double drift_deviation = 0.005;
  /// An observation further off than so many of its own deviations counts as just that far.
  double max_error_deviations = 3.0;
  /// Deviations added to the mean by a prediction.
  double caution_deviations = 0.5;
  size_t max_services = 256;
  size_t max_kinds_per_service = 512;
};

/// What measurements say of one pair, in a form that adds up over those who measured: the sum of
/// the measurements' precisions, and of their values weighted by these.
struct PairEvidence {
  std::string service_kind;
  std::string batch_kind;
  double precision = 0.0;
  double weighted_sum = 0.0;
  int32_t measurements = 0;

  bool operator==(const PairEvidence&) const = default;
};

/// What is believed of one pair.
struct PairEstimate {
  std::string service_kind;
  std::string batch_kind;
  double mean = 0.0;
  double deviation = 0.0;

  bool operator==(const PairEstimate&) const = default;
};

/// Learns how much each kind of batch slows down each kind of service.
///
/// The slowdown of a service is taken as 1 + base + the sum of load times coefficient over the
/// batch kinds beside it. Each coefficient carries a mean and a variance and is learned by a Kalman
/// filter with a diagonal covariance, so memory is linear in the pairs seen. The base takes up what
/// slows a service down with no batch beside it.
class InterferenceModel {
 public:
  explicit InterferenceModel(InterferenceModelSettings settings = {}) : settings_(settings) {}

  /// Takes in one measurement. One that is not a finite number above zero is left out.
  void Observe(const InterferenceObservation& observation);

  /// Returns the slowdown to expect of the service beside the batch, 1.0 or more.
  [[nodiscard]] double Predict(std::string_view service_kind,
                               std::span<const KindLoad> batch) const;

  /// Returns the slowdown that a load of one batch kind adds to the service, 0.0 or more.
  [[nodiscard]] double AddedSlowdown(std::string_view service_kind, std::string_view batch_kind,
                                     double load) const;

  /// Returns what was measured here since the last call, for other models to absorb.
  std::vector<PairEvidence> DrainEvidence();

  /// Takes in what another model measured.
  void MergeEvidence(const PairEvidence& evidence);

  /// Returns what is believed of each pair, at most so many of them.
  [[nodiscard]] std::vector<PairEstimate> Estimates(size_t max_count) const;

  /// Replaces what is believed of a pair, but for the evidence of it that was not taken yet.
  void SetEstimate(const PairEstimate& estimate);

  /// Returns the number of pairs remembered.
  [[nodiscard]] size_t PairCount() const;

 private:
  struct Coefficient {
    double mean = 0.0;
    double variance = 0.0;
    uint64_t last_observed = 0;
    /// Measured here and not taken yet.
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
