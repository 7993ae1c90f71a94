#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "standin_upstream.h"
#include "standin_worker.h"
#include "wait_for_signal.h"

namespace {

namespace standins = currantpost::standins;

/// Flags of the program.
struct Options {
  std::string name = "vm";
  int count = 1;
  int first_worker_port = 0;
  int first_upstream_port = 0;
  int64_t service_ms = 5;
  int64_t usage_lag_ms = 500;
  currantpost::Resources capacity{32'000, 125'000, 0};
};

/// One VM: its worker and its service.
struct StandinVm {
  StandinVm(const Options& options, const currantpost::VmId& vm)
      : worker({vm, 1, options.capacity, currantpost::Millis(options.usage_lag_ms)}),
        upstream({vm, currantpost::Millis(options.service_ms)}) {}

  standins::StandinWorker worker;
  standins::StandinUpstream upstream;
};

int NthPort(int first, int number) { return first == 0 ? 0 : first + number; }

/// Starts one VM and prints its name and ports. Says whether the ports were free.
bool StartVm(const Options& options, int number, StandinVm& vm) {
  const int worker = vm.worker.Start(NthPort(options.first_worker_port, number));
  const int upstream = vm.upstream.Start(NthPort(options.first_upstream_port, number));
  if (worker < 0 || upstream < 0) return false;

  std::cout << options.name << "-" << number << " " << worker << " " << upstream << std::endl;
  return true;
}

/// Parses the flags, serves until told to stop, and returns the exit code.
int Serve(int argc, char** argv) {
  Options options;
  CLI::App app("Stands in for VMs: each has a worker and serves requests.");
  app.add_option("--name", options.name, "Name of the VMs, before their number");
  app.add_option("--count", options.count, "How many VMs")->check(CLI::Range(1, 256));
  app.add_option("--first-port", options.first_worker_port, "Port of the first worker, 0 for any");
  app.add_option("--first-upstream-port", options.first_upstream_port,
                 "Port of the first upstream, 0 for any");
  app.add_option("--service-ms", options.service_ms, "How long a request takes");
  app.add_option("--usage-lag-ms", options.usage_lag_ms, "How old reported usage is");
  app.add_option("--millicores", options.capacity.millicores, "Processor time of each VM");
  app.add_option("--memory-mib", options.capacity.memory_mib, "Memory of each VM");
  app.add_option("--accelerators", options.capacity.accelerators, "Accelerators of each VM");
  CLI11_PARSE(app, argc, argv);

  standins::BlockStopSignals();
  std::vector<std::unique_ptr<StandinVm>> vms;

  for (int number = 0; number < options.count; ++number) {
    const currantpost::VmId vm(options.name + "-" + std::to_string(number));
    vms.push_back(std::make_unique<StandinVm>(options, vm));

    if (!StartVm(options, number, *vms.back())) {
      std::cerr << "[standin] port taken\n";
      return 1;
    }
  }

  standins::WaitForStopSignal();
  return 0;
}

}  // namespace

/// Workers and upstreams of one or several VMs, for tests and the demo.
int main(int argc, char** argv) {
  try {
    return Serve(argc, argv);
  } catch (const std::exception& exception) {
    std::cerr << "[standin] " << exception.what() << "\n";
    return 1;
  }
}
