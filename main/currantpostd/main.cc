#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "currantpost/base/logging.h"
#include "currantpost/daemon/daemon.h"
#include "currantpost/daemon/incarnation.h"
#include "currantpost/daemon/kv_claim_store.h"
#include "currantpost/daemon/signal_thread.h"
#include "currantpost/daemon/traffic_server_port.h"
#include "currantpost/platform/kv_client.h"
#include "currantpost/platform/vm_list_client.h"
#include "currantpost/platform/worker_client.h"
#include "currantpost/settings/daemon_settings.h"
#include "currantpost/traffic/traffic_server.h"

/// The entry daemon: reads the settings, wires the parts and serves until it is told to stop.

namespace {

using namespace currantpost;  // NOLINT(google-build-using-namespace)

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

constexpr const char* kFooter =
    "Signals: SIGTERM and SIGINT begin a planned stop, SIGUSR1 logs the state.\n"
    "Exit codes: 0 stopped as planned, or settings are good; 1 failed; 2 bad settings or usage.\n"
    "Example: currantpostd --settings /etc/currantpost/entry-1.ini";

struct Options {
  std::string settings_path;
  bool check_only = false;
};

/// Longest time that an exchange of heartbeats may take.
constexpr Millis kExchangeDeadline(400);
/// Longest time that a request waits for its claim.
constexpr Millis kClaimTimeout(3'000);

/// Serves until told to stop, and then ends the process.
[[noreturn]] void Serve(DaemonSettings settings) {
  EntryIdentity& identity = settings.control.identity;
  identity.incarnation = DrawIncarnation();

  const MonotonicClock clock;
  const PlatformSettings& platform = settings.platform;
  HttpKvClient kv(platform.kv, platform.call_timeout);
  HttpVmListClient vm_list(platform.vm_list, platform.call_timeout);
  HttpWorkerClient workers(platform.worker_timeout);
  GrpcPeerClient peers(kExchangeDeadline);
  KvClaimStore claims(identity, kv, clock, kClaimTimeout);
  TrafficServer server(settings.traffic, clock, claims, identity.incarnation);
  TrafficServerPort traffic(server);
  Daemon daemon(settings, DaemonPorts{kv, vm_list, workers, peers, traffic}, clock);

  const int exit_code = daemon.Run().code ? kExitFailed : kExitOk;

  // Nothing is in flight any more but reads of the platform, such as a watch that may wait for many
  // seconds; a planned stop does not wait for these.
  std::_Exit(exit_code);
}

int Run(int argc, char** argv) {
  Options options;
  CLI::App app("currantpostd: one entry of currantpost, between callers and upstreams.");
  app.footer(kFooter);
  app.set_version_flag("--version", CURRANTPOST_VERSION);
  app.add_option("--settings", options.settings_path, "INI file with the entry's settings")
      ->required();
  app.add_flag("--check", options.check_only, "check the settings and exit");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitUsage;
  }

  // A stop that is asked for before the daemon serves waits until it can be carried out.
  if (!options.check_only) BlockSignals();

  auto settings = LoadDaemonSettings(options.settings_path);

  if (!settings) {
    for (const SettingsFault& fault : settings.error()) std::cerr << FaultText(fault) << "\n";
    return kExitUsage;
  }

  if (options.check_only) {
    std::cout << options.settings_path << ": settings are good\n";
    return kExitOk;
  }

  SetUpLogging(Severity::kInfo);

  Serve(*std::move(settings));
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "currantpostd: %s\n", exception.what());
    return kExitFailed;
  }
}
