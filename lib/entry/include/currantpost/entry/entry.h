#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "currantpost/base/error.h"
#include "currantpost/base/time.h"
#include "currantpost/entry/ports.h"
#include "currantpost/scheduler/settings.h"
#include "currantpost/transport/event_loop.h"
#include "currantpost/transport/http_client.h"

namespace currantpost {

/// The addresses that an entry listens on.
struct EntryAddresses {
  /// For callers' requests.
  Address callers;
  /// For the balancer's readiness probes: whether the entry accepts new connections.
  Address readiness;
  std::string readiness_path;
  /// For other entries.
  Address peers;
  /// For readers of the metrics; nothing if they are not served.
  std::optional<Address> metrics;
  std::string metrics_path;
};

/// An entry: the scheduler and the servers and clients that carry out its effects, on one event
/// loop.
class Entry {
 public:
  Entry(EventLoop& loop, const Clock& clock, EntryAddresses addresses, scheduler::Settings settings,
        StorePort& store, WorkerPort& workers, const CallerProtocol& callers);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /// Starts listening and running the scheduler. Returns an error if an address cannot be bound,
  /// other than that of the metrics, without which it goes on.
  Error Start();

  /// Hands all work over to other entries, answers the requests in flight, and then calls `done`.
  void Stop(std::function<void()> done);

  /// Returns the port on which the metrics are served, or 0 if they are not.
  [[nodiscard]] int metrics_port() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace currantpost
