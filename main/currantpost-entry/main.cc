#include <pthread.h>
#include <signal.h>

#include <chrono>
#include <cstdlib>
#include <exception>
#include <initializer_list>
#include <random>
#include <string>

#include "currantpost/base/logging.h"
#include "currantpost/entry/entry.h"
#include "platform/caller_protocol.h"
#include "platform/node_settings.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"

namespace {

using namespace currantpost;  // NOLINT(google-build-using-namespace): a main that only wires.

constexpr std::initializer_list<int> kSignals = {SIGTERM, SIGINT, SIGHUP};

/// Blocks the signals that this process handles, or lets those through that came meanwhile.
void SetSignalMask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : kSignals) sigaddset(&signals, number);
  pthread_sigmask(how, &signals, nullptr);
}

/// Names this life of the process.
std::string NewLife() {
  std::random_device random;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count()) + "-" +
         std::to_string(random());
}

int Run() {
  Result<platform::NodeSettings> settings = platform::LoadNodeSettings();

  if (!settings) {
    WriteLog(Severity::kError, "entry", "settings can not be used",
             {{"error", ErrorName(settings.error().code)}, {"detail", settings.error().detail}});
    return EXIT_FAILURE;
  }

  settings->scheduler.incarnation = NewLife();
  WriteLog(Severity::kInfo, "entry", "starting",
           {{"entry", settings->scheduler.entry.Text()},
            {"data_centre", settings->scheduler.data_centre.Text()},
            {"life", settings->scheduler.incarnation}});

  EventLoop loop;
  const MonotonicClock clock;
  HttpClient http(loop, clock, HttpClientLimits{});
  platform::StoreClient store(http, settings->store);
  platform::WorkerClient workers(http);
  const platform::JobProtocol callers;
  Entry entry(loop, clock, settings->addresses, settings->scheduler, store, workers, callers);

  if (const Error error = entry.Start(); error.code) {
    WriteLog(Severity::kError, "entry", "could not start", {{"detail", error.detail}});
    return EXIT_FAILURE;
  }

  loop.OnSignals(kSignals, [&](int signal) {
    if (signal == SIGHUP) {
      // Nothing that the file holds changes in the life of a process.
      WriteLog(Severity::kInfo, "entry", "settings file has changed");
      return;
    }

    entry.Stop([&] {
      WriteLog(Severity::kInfo, "entry", "stopped");
      loop.Stop();
    });
  });

  SetSignalMask(SIG_UNBLOCK);

  loop.Run();
  return EXIT_SUCCESS;
}

}  // namespace

int main() {
  // A stop that is asked for before the entry serves waits until it can be carried out.
  SetSignalMask(SIG_BLOCK);
  SetUpLogging(Severity::kInfo);

  try {
    return Run();
  } catch (const std::exception& exception) {
    // The platform starts the process again; whoever looks for the cause needs this line.
    WriteLog(Severity::kError, "entry", "ended by an unexpected fault",
             {{"what", exception.what()}});
    return EXIT_FAILURE;
  }
}
