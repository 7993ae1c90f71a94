#include "fleet_truth.h"

#include <cmath>

namespace currantpost::bench {
namespace {

constexpr int kBatchKinds = 8;
/// Share of the pairs in which the batch kind harms the service.
constexpr double kHarmfulShare = 0.25;

double Between(std::mt19937_64& generator, double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(generator);
}

/// Returns a factor between two bounds, even in its logarithm.
double Factor(std::mt19937_64& generator, double low, double high) {
  return std::exp(Between(generator, std::log(low), std::log(high)));
}

int64_t Scaled(int64_t amount, double factor) {
  return static_cast<int64_t>(static_cast<double>(amount) * factor);
}

BatchKindTruth DrawKind(int index, std::mt19937_64& generator) {
  constexpr double kMillisPerSecond = 1'000.0;
  BatchKindTruth kind;

  kind.name = "batch-" + std::to_string(index);
  kind.used.millicores = static_cast<int64_t>(Factor(generator, 1'000, 6'000));
  kind.used.memory_mib = static_cast<int64_t>(Factor(generator, 2'000, 12'000));
  kind.run_seconds = Factor(generator, 60, 600);

  // Declared sizes and run times are far off, more often too large than too small.
  kind.declared.millicores = Scaled(kind.used.millicores, Factor(generator, 0.5, 2.5));
  kind.declared.memory_mib = Scaled(kind.used.memory_mib, Factor(generator, 0.7, 2.0));
  kind.declared_run_time = Millis(
      static_cast<int64_t>(kind.run_seconds * Factor(generator, 0.2, 5.0) * kMillisPerSecond));

  kind.wave_factor = Between(generator, 1.0, 2.2);
  return kind;
}

}  // namespace

UserProfile Hinokage() {
  return UserProfile{.name = "hinokage",
                     .data_centres = 3,
                     .workers = 48,
                     .workers_per_rack = 8,
                     .capacity = {.millicores = 32'000, .memory_mib = 125'000},
                     .services = {"board", "arrivals"},
                     .weights = {.tail_latency = 0.6, .throughput = 0.3, .evictions = 0.1}};
}

UserProfile Tepalcate() {
  return UserProfile{.name = "tepalcate",
                     .data_centres = 4,
                     .workers = 48,
                     .workers_per_rack = 6,
                     .capacity = {.millicores = 64'000, .memory_mib = 250'000},
                     .services = {"check", "watch"},
                     .weights = {.tail_latency = 0.45, .throughput = 0.2, .evictions = 0.35}};
}

FleetTruth DrawTruth(const UserProfile& user, std::mt19937_64& generator) {
  FleetTruth truth;

  for (int index = 0; index < kBatchKinds; ++index) {
    truth.kinds.push_back(DrawKind(index, generator));
  }

  for (size_t service = 0; service < user.services.size(); ++service) {
    std::vector<double> row;

    for (int index = 0; index < kBatchKinds; ++index) {
      const bool harmful = Between(generator, 0.0, 1.0) < kHarmfulShare;
      row.push_back(harmful ? Between(generator, 1.0, 2.5) : Between(generator, 0.0, 0.2));
    }

    truth.interference.push_back(row);
  }

  return truth;
}

}  // namespace currantpost::bench
