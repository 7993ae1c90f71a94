#pragma once

namespace currantpost {

/// Bounds extra attempts to a share of the requests, so that failures cannot multiply the load.
/// Over any time, extra attempts <= requests * share + `kBurst`.
class RetryBudget {
 public:
  /// Extra attempts allowed before any request was seen.
  static constexpr double kBurst = 10.0;

  /// Counts one request, which earns `share` of an extra attempt.
  void OnRequest(double share);

  /// Takes one extra attempt. False if none is left.
  bool Take();

 private:
  double tokens_ = kBurst;
};

}  // namespace currantpost
