#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "currantpost/base/time.h"

namespace currantpost::scheduler {

/// A queue: where callers hand in jobs of one kind, and how these are treated.
struct Queue {
  std::string name;
  std::string host;
  /// Paths that begin so belong to the queue.
  std::string path_prefix;
  /// Service whose workers run the tasks.
  std::string service;
  /// Smaller values go first.
  int32_t priority = 0;
  /// Failed runs of a task after which its job has failed.
  int32_t max_attempts = 1;
  /// A job's latency objective is its longest chain of work times `stretch`, and `allowance` more.
  double stretch = 1.0;
  Millis allowance;
  /// Tasks may start only on workers that the advice service names.
  bool needs_advice = false;
};

/// What is known of a service.
struct Service {
  std::string name;
  /// The service's workers reject what does not fit.
  bool enforces_capacity = false;
};

/// Bounds on callers' requests.
struct RequestLimits {
  int64_t header_bytes = 16'384;
  int64_t body_bytes = 262'144;
  Millis header_timeout = Millis(3'000);
  Millis idle_timeout = Millis(15'000);
};

/// The configuration in force. Versions rise.
struct Routing {
  int64_t version = 0;
  std::vector<Queue> queues;
  std::map<std::string, Service> services;
  RequestLimits limits;
};

/// Finds the queue of a request: the longest prefix of the path among the queues of its host.
class QueueTable {
 public:
  QueueTable() = default;
  explicit QueueTable(const Routing& routing);

  /// Returns the queue, or null if there is none. `host` may carry a port, which is ignored.
  [[nodiscard]] const Queue* Match(std::string_view host, std::string_view path) const;

  /// Returns the queue of a name, or null if there is none.
  [[nodiscard]] const Queue* Find(std::string_view name) const;

 private:
  /// By host; the longest prefix first.
  std::map<std::string, std::vector<Queue>, std::less<>> by_host_;
  std::map<std::string, Queue, std::less<>> by_name_;
};

}  // namespace currantpost::scheduler
