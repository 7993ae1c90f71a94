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

/// All that the control state can ask of the world. Effects are data; the process carries them out.

namespace currantpost {

/// Reads one key.
struct KvGet {
  std::string key;
};

/// Reads all keys under a prefix.
struct KvList {
  std::string prefix;
};

/// Writes a key if its revision is the expected one.
struct KvPut {
  std::string key;
  std::string value;
  /// 0 asks that the key be absent.
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

/// Waits for a change under a prefix after a revision. Answered by `KvWatchAnswered`.
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

/// Sends a heartbeat to a peer; its answer comes as `HeartbeatReceived`.
struct SendHeartbeat {
  Address peer;
  Heartbeat heartbeat;
};

/// Hands the traffic threads a new snapshot.
struct PublishRouting {
  std::shared_ptr<const RoutingSnapshot> snapshot;
};

/// Answers a command.
struct CommandReply {
  RequestId command = 0;
  /// Code kOk, or what went wrong.
  Error error;
  /// JSON; also set on some errors, such as the present revision on a conflict.
  std::string body;
};

/// Tells the balancer whether the entry takes new requests.
struct SetReadiness {
  bool ready = false;
};

/// Ends the process; nothing is in flight any more.
struct ExitProcess {};

/// Parts of the control state, as the prefix of their log lines.
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
  /// A short sentence without variable parts; these are in the fields.
  std::string message;
  std::vector<LogField> fields;
};

using Effect = std::variant<KvCall, KvWatch, WorkerCall, SendHeartbeat, PublishRouting,
                            CommandReply, SetReadiness, ExitProcess, LogLine>;

/// Effects in the order in which they were decided.
using Effects = std::vector<Effect>;

}  // namespace currantpost
