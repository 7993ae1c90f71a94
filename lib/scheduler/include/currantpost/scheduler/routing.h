#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "currantpost/base/time.h"

namespace currantpost::scheduler {

/// A queue: where callers submit jobs of one kind, and how these are scheduled.
struct Queue {
  std::string name;
  std::string host;
  /// Requests whose path starts with this prefix belong to the queue.
  std::string path_prefix;
  /// Service whose workers run the tasks.
  std::string service;
  /// Smaller values are scheduled first.
  int32_t priority = 0;
  /// Number of failed runs of a task after which its job fails.
  int32_t max_attempts = 1;
  /// A job's latency objective is the estimated run time of its longest chain of steps times
  /// `stretch`, plus `allowance`.
  double stretch = 1.0;
  Millis allowance;
  /// Tasks may start only on workers that the advice service selects.
  bool needs_advice = false;
};

/// A service as configured.
struct Service {
  std::string name;
  /// The service's workers reject tasks that exceed their capacity.
  bool enforces_capacity = false;
};

/// Limits on callers' requests.
struct RequestLimits {
  int64_t header_bytes = 16'384;
  int64_t body_bytes = 262'144;
  Millis header_timeout = Millis(3'000);
  Millis idle_timeout = Millis(15'000);
};

/// The active configuration. Versions increase.
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

  /// Returns the queue, or null if there is none. `host` may include a port, which is ignored.
  [[nodiscard]] const Queue* Match(std::string_view host, std::string_view path) const;

  /// Returns the queue with the name, or null if there is none.
  [[nodiscard]] const Queue* Find(std::string_view name) const;

 private:
  /// By lower-case host; the longest prefix first.
  std::map<std::string, std::vector<Queue>, std::less<>> by_host_;
  std::map<std::string, Queue, std::less<>> by_name_;
};

}  // namespace currantpost::scheduler
