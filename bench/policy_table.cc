#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <cmath>
#include <fstream>
#include <iostream>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "currantpost/base/enum_names.h"
#include "fleet_model.h"
#include "fleet_policy.h"
#include "svg_plot.h"

/// Compares placement policies over the same seeds and prints one table for each user and fault
/// setting: medians over the seeds, with quartiles.

namespace currantpost::bench {
namespace {

enum class PolicyKind { kNoBatch, kFirstFit, kLeastLoaded, kRandom, kLearning };

constexpr EnumNames kPolicyNames(std::to_array<EnumName<PolicyKind>>({
    {PolicyKind::kNoBatch, "no_batch"},
    {PolicyKind::kFirstFit, "first_fit"},
    {PolicyKind::kLeastLoaded, "least_loaded"},
    {PolicyKind::kRandom, "random"},
    {PolicyKind::kLearning, "currantpost"},
}));

/// Measures of one run.
struct Measures {
  double p50_ms = 0.0;
  double p99_ms = 0.0;
  double late_percent = 0.0;
  double core_hours_per_hour = 0.0;
  double evictions_per_hour = 0.0;
  double memory_kills_per_hour = 0.0;
  double wasted_percent = 0.0;
  double utilisation_percent = 0.0;
  double contended_percent = 0.0;
  double given_up = 0.0;
  /// Against the same seed without batch, and under first fit.
  double p99_ratio = 0.0;
  double throughput_ratio = 0.0;
  double eviction_ratio = 0.0;
  double score = 0.0;
};

/// One column of the table.
struct Column {
  const char* title;
  double Measures::*value;
  int digits;
};

constexpr Column kColumns[] = {
    {"p50 ms", &Measures::p50_ms, 0},
    {"p99 ms", &Measures::p99_ms, 0},
    {"late %", &Measures::late_percent, 2},
    {"batch core-h/h", &Measures::core_hours_per_hour, 0},
    {"evictions/h", &Measures::evictions_per_hour, 0},
    {"memory kills/h", &Measures::memory_kills_per_hour, 0},
    {"wasted %", &Measures::wasted_percent, 2},
    {"utilisation %", &Measures::utilisation_percent, 1},
    {"short of cores %", &Measures::contended_percent, 1},
    {"given up", &Measures::given_up, 0},
    {"p99 / no batch", &Measures::p99_ratio, 3},
    {"batch / first fit", &Measures::throughput_ratio, 3},
    {"evictions / first fit", &Measures::eviction_ratio, 3},
    {"score", &Measures::score, 3},
};

std::unique_ptr<FleetPolicy> MakePolicy(PolicyKind kind, uint64_t seed,
                                        const LearningPolicySettings& learning) {
  switch (kind) {
    case PolicyKind::kNoBatch:
      return std::make_unique<NoBatchPolicy>();
    case PolicyKind::kFirstFit:
      return std::make_unique<PlainPolicy>(std::make_unique<FirstFitPlacement>(), learning.preset);
    case PolicyKind::kLeastLoaded:
      return std::make_unique<PlainPolicy>(std::make_unique<LeastLoadedPlacement>(),
                                           learning.preset);
    case PolicyKind::kRandom:
      return std::make_unique<PlainPolicy>(std::make_unique<RandomPlacement>(seed),
                                           learning.preset);
    case PolicyKind::kLearning:
      return std::make_unique<LearningPolicy>(learning);
  }

  return nullptr;
}

Measures Run(const Scenario& scenario, PolicyKind kind, const LearningPolicySettings& learning) {
  FleetModel model(scenario);
  model.Run(*MakePolicy(kind, scenario.seed, learning));

  const ModelCounts& counts = model.Counts();
  const double hours = (scenario.seconds - scenario.warm_up_seconds) / 3'600.0;
  const double done = counts.useful_core_seconds + counts.wasted_core_seconds;

  Measures measures;
  measures.p50_ms = model.Latencies().Quantile(0.50);
  measures.p99_ms = model.Latencies().Quantile(0.99);
  measures.late_percent = 100.0 * model.Latencies().LateShare();
  measures.core_hours_per_hour = counts.useful_core_seconds / 3'600.0 / hours;
  measures.evictions_per_hour = static_cast<double>(counts.evictions) / hours;
  measures.memory_kills_per_hour = static_cast<double>(counts.memory_kills) / hours;
  measures.wasted_percent = done > 0.0 ? 100.0 * counts.wasted_core_seconds / done : 0.0;
  measures.utilisation_percent = 100.0 * counts.used_core_seconds / counts.capacity_core_seconds;
  measures.contended_percent = 100.0 * static_cast<double>(counts.contended_seconds) /
                               static_cast<double>(counts.worker_seconds);
  measures.given_up = static_cast<double>(counts.given_up);
  return measures;
}

/// All policies over one seed.
using SeedMeasures = std::vector<Measures>;

double Interruptions(const Measures& measures) {
  return measures.evictions_per_hour + measures.memory_kills_per_hour;
}

/// Fills in what compares a policy with the others of the same seed.
void Compare(SeedMeasures& policies, const ScoreWeights& weights) {
  const Measures no_batch = policies[static_cast<size_t>(PolicyKind::kNoBatch)];
  const Measures first_fit = policies[static_cast<size_t>(PolicyKind::kFirstFit)];

  for (Measures& policy : policies) {
    policy.p99_ratio = policy.p99_ms / no_batch.p99_ms;
    policy.throughput_ratio = policy.core_hours_per_hour / first_fit.core_hours_per_hour;
    policy.eviction_ratio = Interruptions(policy) / std::max(1.0, Interruptions(first_fit));
    policy.score = weights.tail_latency * std::min(1.0, 1.0 / policy.p99_ratio) +
                   weights.throughput * std::min(1.0, policy.throughput_ratio) +
                   weights.evictions * std::max(0.0, 1.0 - policy.eviction_ratio);
  }
}

double QuantileOf(std::vector<double> values, double quantile) {
  std::sort(values.begin(), values.end());
  const double at = quantile * static_cast<double>(values.size() - 1);
  const auto low = static_cast<size_t>(at);
  const size_t high = std::min(low + 1, values.size() - 1);

  return values[low] + (at - static_cast<double>(low)) * (values[high] - values[low]);
}

std::vector<double> ColumnOf(const std::vector<SeedMeasures>& seeds, size_t policy,
                             const Column& column) {
  std::vector<double> values;
  for (const SeedMeasures& seed : seeds) values.push_back(seed[policy].*column.value);

  return values;
}

void PrintTable(const std::string& title, const std::vector<SeedMeasures>& seeds) {
  std::cout << "\n" << title << "\n" << absl::StrFormat("%-22s", "median [quartiles]");
  for (const auto& row : kPolicyNames.Rows()) {
    std::cout << absl::StrFormat(" %24s", std::string(row.name));
  }
  std::cout << "\n";

  for (const Column& column : kColumns) {
    std::cout << absl::StrFormat("%-22s", column.title);

    for (size_t policy = 0; policy < kPolicyNames.Rows().size(); ++policy) {
      const auto values = ColumnOf(seeds, policy, column);
      const std::string cell = absl::StrFormat(
          "%.*f [%.*f..%.*f]", column.digits, QuantileOf(values, 0.5), column.digits,
          QuantileOf(values, 0.25), column.digits, QuantileOf(values, 0.75));
      std::cout << absl::StrFormat(" %24s", cell);
    }

    std::cout << "\n";
  }
}

std::vector<PlotPanel> Panels(const std::vector<SeedMeasures>& seeds) {
  std::vector<PlotPanel> panels;

  for (const Column& column : kColumns) {
    PlotPanel panel{.title = column.title};

    for (size_t policy = 0; policy < kPolicyNames.Rows().size(); ++policy) {
      const auto values = ColumnOf(seeds, policy, column);
      panel.bars.push_back({.name = std::string(kPolicyNames.Rows()[policy].name),
                            .low = QuantileOf(values, 0.25),
                            .median = QuantileOf(values, 0.5),
                            .high = QuantileOf(values, 0.75)});
    }

    panels.push_back(std::move(panel));
  }

  return panels;
}

/// What is run.
struct RunOptions {
  uint64_t first_seed = 1;
  int32_t seeds = 12;
  int32_t seconds = 3'000;
  int32_t threads = 2;
};

/// Runs all policies over all seeds, several runs at a time. No run depends on another.
std::vector<SeedMeasures> RunSeeds(const UserProfile& user, bool faults, const RunOptions& options,
                                   const LearningPolicySettings& learning) {
  const size_t policies = kPolicyNames.Rows().size();
  std::vector<SeedMeasures> all(static_cast<size_t>(options.seeds), SeedMeasures(policies));
  std::atomic<size_t> next = 0;

  const auto work = [&] {
    for (size_t run = next++; run < all.size() * policies; run = next++) {
      const size_t seed = run / policies;
      const size_t policy = run % policies;
      const Scenario scenario{.user = user,
                              .seed = seed + options.first_seed,
                              .faults = faults,
                              .seconds = options.seconds};
      all[seed][policy] = Run(scenario, kPolicyNames.Rows()[policy].value, learning);
    }
  };

  std::vector<std::thread> workers;
  for (int32_t thread = 0; thread < options.threads; ++thread) workers.emplace_back(work);
  for (std::thread& worker : workers) worker.join();

  for (SeedMeasures& seed : all) Compare(seed, user.weights);
  return all;
}

}  // namespace
}  // namespace currantpost::bench

// An exception here ends the program, as it should.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  using namespace currantpost::bench;  // NOLINT(google-build-using-namespace)

  CLI::App app("Compares placement policies over the same seeds.");
  RunOptions options;
  std::string plots;
  app.add_option("--first-seed", options.first_seed, "First seed");
  app.add_option("--seeds", options.seeds, "Number of seeds")->check(CLI::Range(1, 1'000));
  app.add_option("--seconds", options.seconds, "Length of a run")->check(CLI::Range(400, 100'000));
  app.add_option("--threads", options.threads, "Runs at a time")->check(CLI::Range(1, 64));
  app.add_option("--plots", plots, "Folder for SVG plots; none are drawn without it");
  CLI11_PARSE(app, argc, argv);

  const LearningPolicySettings learning;
  std::cout << options.seeds << " seeds from " << options.first_seed << ", " << options.seconds
            << " s each\n";

  for (const UserProfile& user : {Hinokage(), Tepalcate()}) {
    for (const bool faults : {false, true}) {
      const auto measured = RunSeeds(user, faults, options, learning);
      const std::string title = absl::StrCat(user.name, faults ? ", faults on" : ", faults off");
      PrintTable(title, measured);

      if (plots.empty()) continue;
      const std::string name = absl::StrCat(user.name, faults ? "-faults" : "");
      std::ofstream(absl::StrCat(plots, "/policy-", name, ".svg"))
          << DrawBars(title, Panels(measured));
    }
  }

  return 0;
}
