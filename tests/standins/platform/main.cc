#include <CLI/CLI.hpp>
#include <iostream>

#include "standin_kv.h"
#include "standin_vm_list.h"
#include "wait_for_signal.h"

namespace {

/// Parses the flags, serves until told to stop, and returns the exit code.
int Serve(int argc, char** argv) {
  namespace standins = currantpost::standins;

  CLI::App app("Stands in for the platform: its key-value service and its list of VMs.");
  int kv_port = 0;
  int vm_list_port = 0;
  int64_t list_lag_ms = 500;
  app.add_option("--kv-port", kv_port, "Port of the key-value service, 0 for any");
  app.add_option("--vm-list-port", vm_list_port, "Port of the list of VMs, 0 for any");
  app.add_option("--list-lag-ms", list_lag_ms, "How far the list is behind the truth");
  CLI11_PARSE(app, argc, argv);

  standins::BlockStopSignals();
  standins::StandinKv kv;
  standins::StandinVmList vm_list{currantpost::Millis(list_lag_ms)};

  kv_port = kv.Start(kv_port);
  vm_list_port = vm_list.Start(vm_list_port);

  if (kv_port < 0 || vm_list_port < 0) {
    std::cerr << "[standin] port taken\n";
    return 1;
  }

  std::cout << "kv " << kv_port << "\nvm_list " << vm_list_port << std::endl;
  standins::WaitForStopSignal();
  return 0;
}

}  // namespace

/// The platform's two services, for tests and the demo.
int main(int argc, char** argv) {
  try {
    return Serve(argc, argv);
  } catch (const std::exception& exception) {
    std::cerr << "[standin] " << exception.what() << "\n";
    return 1;
  }
}
