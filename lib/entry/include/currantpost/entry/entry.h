#pragma once

#include <functional>
#include <memory>

#include "currantpost/base/error.h"
#include "currantpost/base/time.h"
#include "currantpost/entry/ports.h"
#include "currantpost/scheduler/settings.h"
#include "currantpost/transport/event_loop.h"
#include "currantpost/transport/http_client.h"

namespace currantpost {

/// Where an entry listens.
struct EntryAddresses {
  /// Callers.
  Address callers;
  /// The balancer's question whether the entry takes new connections.
  Address readiness;
  std::string readiness_path;
  /// Peers.
  Address peers;
};

/// An entry: the scheduler, and all that carries its effects out, on one loop.
class Entry {
 public:
  Entry(EventLoop& loop, const Clock& clock, EntryAddresses addresses, scheduler::Settings settings,
        StorePort& store, WorkerPort& workers, const CallerProtocol& callers);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /// Starts to listen and to work.
  Error Start();

  /// Hands everything over, answers what is open, and then calls `done`.
  void Stop(std::function<void()> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace currantpost
