#include <httplib.h>
#include <sys/types.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <exception>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "currantpost/base/time.h"
#include "fleet.h"

/// Measures what a request costs through an entry, against straight to the upstream stand-ins.
/// Both ways take turns within one run, so that a busy machine slows both.

namespace currantpost::bench {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr size_t kMeasuredEntry = 0;
constexpr int kHttpOk = 200;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kKibPerMib = 1'024.0;

struct Options {
  std::string build = "build";
  int threads = 4;
  int rounds = 6;
  int requests = 300;
  int64_t service_ms = 5;
};

/// What one way of sending gave, over all rounds.
struct Tally {
  std::vector<double> micros;
  double seconds = 0.0;
  int64_t failed = 0;
};

/// Processor time and memory of a process.
struct Usage {
  double cpu_seconds = 0.0;
  double resident_mib = 0.0;
};

/// Returns the middle or another quantile of the times, 0 if there are none.
double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0.0;

  std::ranges::sort(values);
  return values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))];
}

/// Reads the processor time out of /proc/<pid>/stat and the memory out of /proc/<pid>/status.
Usage ReadUsage(pid_t pid) {
  const std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream stat(folder + "/stat");
  std::string line;
  std::getline(stat, line);

  // The name in parentheses may hold spaces; the fields from the third on follow it.
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  constexpr int kFieldsBeforeUserTime = 11;
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) fields >> skipped;

  int64_t user = 0;
  int64_t system = 0;
  fields >> user >> system;

  Usage usage;
  usage.cpu_seconds =
      static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));

  std::ifstream status(folder + "/status");
  while (std::getline(status, line)) {
    if (!line.starts_with("VmRSS:")) continue;
    usage.resident_mib = std::stod(line.substr(line.find(':') + 1)) / kKibPerMib;
  }

  return usage;
}

/// One caller: sends its requests one after the other over one connection.
Tally SendMany(const Address& address, int requests, const std::string& name) {
  Tally tally;
  httplib::Client client(address.host, address.port);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);

  for (int number = 0; number < requests; ++number) {
    const auto begin = SteadyClock::now();
    const auto answer = client.Get("/board/" + name + "-" + std::to_string(number));
    const std::chrono::duration<double> taken = SteadyClock::now() - begin;

    if (answer && answer->status == kHttpOk) {
      tally.micros.push_back(taken.count() * kMicrosPerSecond);
    } else {
      ++tally.failed;
    }
  }

  return tally;
}

/// Sends one round with several callers at a time, and adds what they saw.
void SendRound(const std::vector<Address>& targets, const Options& options, Tally& total) {
  std::vector<Tally> tallies(static_cast<size_t>(options.threads));
  std::vector<std::thread> callers;
  const auto begin = SteadyClock::now();

  for (size_t caller = 0; caller < tallies.size(); ++caller) {
    callers.emplace_back([&, caller] {
      const Address& target = targets[caller % targets.size()];
      tallies[caller] =
          SendMany(target, options.requests / options.threads, "c" + std::to_string(caller));
    });
  }

  for (std::thread& caller : callers) caller.join();
  total.seconds += std::chrono::duration<double>(SteadyClock::now() - begin).count();

  for (const Tally& tally : tallies) {
    total.micros.insert(total.micros.end(), tally.micros.begin(), tally.micros.end());
    total.failed += tally.failed;
  }
}

struct Figures {
  double p50 = 0.0;
  double p99 = 0.0;
  double rate = 0.0;
};

Figures FiguresOf(const Tally& tally) {
  constexpr double kMiddle = 0.5;
  constexpr double kTail = 0.99;

  return Figures{Quantile(tally.micros, kMiddle), Quantile(tally.micros, kTail),
                 static_cast<double>(tally.micros.size()) / std::max(tally.seconds, 1e-9)};
}

void PrintRow(const char* way, const Figures& figures, const Tally& tally) {
  std::printf("%-16s %9.0f %9.0f %11.1f %9zu %7lld\n", way, figures.p50, figures.p99, figures.rate,
              tally.micros.size(), static_cast<long long>(tally.failed));
}

int Measure(const Options& options) {
  testing_support::Fleet fleet(
      testing_support::Programs{options.build + "/main/currantpostd/currantpostd",
                                options.build + "/tests/standins/standin_platform",
                                options.build + "/tests/standins/standin_vm"},
      testing_support::FleetOptions{.service_time = Millis(options.service_ms)});

  if (!fleet.Start()) {
    std::fprintf(stderr, "The entries did not become ready in time.\n%s",
                 fleet.EntryOutput().c_str());
    return 1;
  }

  const testing_support::Entry& entry = fleet.Entries()[kMeasuredEntry];
  std::vector<Address> upstreams;
  for (const VmRecord& vm : fleet.Vms()) {
    if (vm.data_centre.Text() == entry.data_centre) upstreams.push_back(vm.upstream);
  }

  Tally warm_up;
  SendRound(upstreams, options, warm_up);
  SendRound({entry.callers}, options, warm_up);

  // The control thread and heartbeats go on without requests; their cost is taken off.
  const pid_t pid = entry.process->Pid();
  const auto idle_begin = SteadyClock::now();
  const Usage before_idle = ReadUsage(pid);
  std::this_thread::sleep_for(std::chrono::seconds(4));
  const Usage after_idle = ReadUsage(pid);
  const double idle_seconds =
      std::chrono::duration<double>(SteadyClock::now() - idle_begin).count();
  const double idle_share = (after_idle.cpu_seconds - before_idle.cpu_seconds) / idle_seconds;

  Tally straight;
  Tally through;
  double cpu_seconds = 0.0;

  for (int round = 0; round < options.rounds; ++round) {
    SendRound(upstreams, options, straight);

    const Usage before = ReadUsage(pid);
    SendRound({entry.callers}, options, through);
    cpu_seconds += ReadUsage(pid).cpu_seconds - before.cpu_seconds;
  }

  const Figures direct = FiguresOf(straight);
  const Figures relayed = FiguresOf(through);
  const double own_cpu = cpu_seconds - idle_share * through.seconds;

  std::printf("%d callers, %d rounds of %d requests each way, service time %lld ms\n",
              options.threads, options.rounds, options.requests,
              static_cast<long long>(options.service_ms));
  std::printf("%-16s %9s %9s %11s %9s %7s\n", "way", "p50 us", "p99 us", "requests/s", "whole",
              "failed");
  PrintRow("straight", direct, straight);
  PrintRow("through entry", relayed, through);
  std::printf("%-16s %9.2f %9.2f %11.2f\n", "ratio", relayed.p50 / direct.p50,
              relayed.p99 / direct.p99, relayed.rate / direct.rate);
  std::printf("added at p50: %.0f us\n", relayed.p50 - direct.p50);
  std::printf("entry: resident %.1f MiB idle, %.1f MiB after the load\n", after_idle.resident_mib,
              ReadUsage(pid).resident_mib);
  std::printf("entry: idle %.2f %% of a core; %.0f us of processor time per request beyond that\n",
              idle_share * 100.0,
              own_cpu * kMicrosPerSecond / static_cast<double>(through.micros.size()));
  return straight.failed + through.failed == 0 ? 0 : 1;
}

int Run(int argc, char** argv) {
  Options options;
  CLI::App app("Measures the cost of the path through an entry, as a ratio within one run.");
  app.add_option("--build-dir", options.build, "Folder that the programs were built in");
  app.add_option("--threads", options.threads, "Callers at a time")->check(CLI::Range(1, 16));
  app.add_option("--rounds", options.rounds, "Rounds of each way")->check(CLI::Range(1, 50));
  app.add_option("--requests", options.requests, "Requests of a round")
      ->check(CLI::Range(16, 2'000));
  app.add_option("--service-ms", options.service_ms, "Time that an upstream takes")
      ->check(CLI::Range(0, 1'000));
  CLI11_PARSE(app, argc, argv);

  return Measure(options);
}

}  // namespace
}  // namespace currantpost::bench

int main(int argc, char** argv) {
  try {
    return currantpost::bench::Run(argc, argv);
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "[path_cost] %s\n", exception.what());
    return 1;
  }
}
