#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <optional>
#include <string>
#include <utility>

#include "entry_process.h"
#include "soak.h"

namespace {

using namespace currantpost;  // NOLINT(google-build-using-namespace): a main that only wires.

constexpr int kPassed = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
constexpr int kTooBusy = 3;

struct CommandLine {
  uint64_t seed = 1;
  std::string seeds;
  int64_t seconds = 30;
  std::string log_folder = "soak-logs";
  bool calm = false;
  soak::SoakOptions options;
};

/// Reads "FROM-TO".
std::pair<uint64_t, uint64_t> SeedRange(const CommandLine& line) {
  if (line.seeds.empty()) return {line.seed, line.seed};
  const size_t dash = line.seeds.find('-');
  if (dash == std::string::npos) throw CLI::ValidationError("--seeds", "must be FROM-TO");
  return {std::stoull(line.seeds.substr(0, dash)), std::stoull(line.seeds.substr(dash + 1))};
}

/// Plays one seed and prints what was found. Returns the exit code.
int PlaySeed(const soak::SoakOptions& options) {
  const soak::SoakReport report = soak::RunSoak(options);
  const soak::CheckCounts& counts = report.counts;
  const bool busy = report.TooBusy();
  const char* verdict = report.findings.empty() ? "passed" : "BROKEN";

  std::printf(
      "seed %llu: %s: %zu faults, %d jobs, %d accepted, %d refused, %d cancelled, %d completed, %d "
      "starts, "
      "%d lapsed; lateness: soak %lld ms, entries in calm %lld ms\n",
      static_cast<unsigned long long>(options.seed), busy ? "TOO BUSY to judge bounds" : verdict,
      report.faults, counts.submitted, counts.accepted, counts.refused, counts.cancelled,
      counts.completed, counts.starts, counts.lapsed,
      static_cast<long long>(report.own_lateness.Count()),
      static_cast<long long>(report.entry_lateness.Count()));

  for (const soak::Finding& finding : report.findings) {
    std::printf("  seed %llu, %lld ms: %s: %s; logs in %s\n",
                static_cast<unsigned long long>(options.seed),
                static_cast<long long>(finding.at.Count()), finding.promise.c_str(),
                finding.detail.c_str(), options.log_folder.c_str());
  }

  std::fflush(stdout);
  if (busy) return kTooBusy;
  return report.findings.empty() ? kPassed : kBroken;
}

int Main(int argc, char** argv) {
  CommandLine line;
  CLI::App app("Plays random faults against real entries and checks their promises.");
  app.add_option("--seed", line.seed, "The seed to play");
  app.add_option("--seeds", line.seeds, "Several seeds, FROM-TO");
  app.add_option("--seconds", line.seconds, "How long faults and new jobs come")
      ->check(CLI::Range(5, 3'600));
  app.add_option("--entries", line.options.fleet.entries)->check(CLI::Range(1, 200));
  app.add_option("--workers", line.options.fleet.workers)->check(CLI::Range(2, 200));
  app.add_option("--jobs-per-second", line.options.jobs_per_second)->check(CLI::Range(0.1, 500.0));
  app.add_option("--log", line.log_folder, "The folder for settings and logs");
  app.add_flag("--calm", line.calm, "Plays no faults");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error);
  }

  line.options.faults = !line.calm;
  line.options.span = Millis(line.seconds * 1'000);
  const auto [first, last] = SeedRange(line);
  int result = kPassed;

  for (uint64_t seed = first; seed <= last; ++seed) {
    line.options.seed = seed;
    line.options.log_folder = line.log_folder + "/seed-" + std::to_string(seed);
    const int outcome = PlaySeed(line.options);
    // A broken promise counts above a run that says nothing.
    if (result != kBroken && outcome != kPassed) result = outcome;
  }

  return result;
}

}  // namespace

int main(int argc, char** argv) {
  if (const std::optional<int> code = soak::RunAsChild(argc, argv)) return *code;

  try {
    return Main(argc, argv);
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "the soak can't go on: %s\n", exception.what());
    return kNotRun;
  }
}
