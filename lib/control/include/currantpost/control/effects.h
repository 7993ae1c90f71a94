#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/error.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/logging.h"
#include "currantpost/model/kv.h"
#include "currantpost/model/peer.h"
#include "currantpost/model/routing.h"
#include "currantpost/model/vm.h"
#include "currantpost/model/worker.h"

/// Effects that the control state requests. They are plain data; the process executes them.

namespace currantpost {

/// Reads one key.
struct KvGet {
  std::string key;
};

/// Reads all keys with a prefix.
struct KvList {
  std::string prefix;
};

/// Writes a key if its revision is the expected one.
struct KvPut {
  std::string key;
  std::string value;
  /// 0 requires that the key does not exist.
  KvRevision expected = 0;
};

/// Removes a key if its revision is the expected one.
struct KvDelete {
  std::string key;
  KvRevision expected = 0;
};

/// Calls the platform's key-value service. Answered by `KvAnswered`.
struct KvCall {
  RequestId request = 0;
  std::variant<KvGet, KvList, KvPut, KvDelete> body;
};

/// Waits for a change to keys with a prefix after a revision. Answered by `KvWatchAnswered`.
struct KvWatch {
  RequestId request = 0;
  std::string prefix;
  KvRevision after = 0;
};

/// Sends an order to a worker. Answered by `WorkerAnswered`.
struct WorkerCall {
  RequestId request = 0;
  VmId worker;
  Incarnation incarnation = 0;
  Address address;
  Epoch epoch = 0;
  WorkerOrder order;
};

/// Sends a heartbeat to a peer. Answered by `HeartbeatReceived`.
struct SendHeartbeat {
  Address peer;
  Heartbeat heartbeat;
};

/// Publishes a new routing snapshot to the traffic threads.
struct PublishRouting {
  std::shared_ptr<const RoutingSnapshot> snapshot;
};

/// Answers a command.
struct CommandReply {
  RequestId command = 0;
  /// Code kOk on success.
  Error error;
  /// JSON; also set on some errors, such as the current revision on a conflict.
  std::string body;
};

/// Reports to the balancer whether the entry accepts new requests.
struct SetReadiness {
  bool ready = false;
};

/// Ends the process. Nothing is in flight at this point.
struct ExitProcess {};

/// Components of the control state; their names prefix the log lines.
enum class LogComponent {
  kConfiguration,
  kMembership,
  kUpstreams,
  kOwnership,
  kTasks,
  kJobs,
  kShutdown
};

inline constexpr EnumNames kLogComponentNames(std::to_array<EnumName<LogComponent>>({
    {LogComponent::kConfiguration, "configuration"},
    {LogComponent::kMembership, "membership"},
    {LogComponent::kUpstreams, "upstreams"},
    {LogComponent::kOwnership, "ownership"},
    {LogComponent::kTasks, "tasks"},
    {LogComponent::kJobs, "jobs"},
    {LogComponent::kShutdown, "shutdown"},
}));

/// Writes a log line.
struct LogLine {
  Severity severity = Severity::kInfo;
  LogComponent component = LogComponent::kConfiguration;
  /// A short constant sentence; variable parts go into the fields.
  std::string message;
  std::vector<LogField> fields;
};

using Effect = std::variant<KvCall, KvWatch, WorkerCall, SendHeartbeat, PublishRouting,
                            CommandReply, SetReadiness, ExitProcess, LogLine>;

/// Effects in the order in which they were decided.
using Effects = std::vector<Effect>;

}  // namespace currantpost
