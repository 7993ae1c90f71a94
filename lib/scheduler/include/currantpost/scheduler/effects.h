#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/logging.h"
#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"
#include "currantpost/scheduler/store.h"
#include "currantpost/scheduler/worker.h"

/// Effects that the scheduler can request. Effects are data; the process executes them.

namespace currantpost::scheduler {

/// Calls the store. Completed by `StoreAnswered`.
struct StoreCall {
  RequestId request = 0;
  StoreBody body;
  Millis timeout;
};

/// Sends an order to a worker. Completed by `WorkerAnswered`.
struct WorkerCall {
  RequestId request = 0;
  VmId worker;
  Address address;
  /// The only incarnation that may carry out the order: it is sent over a connection that this
  /// incarnation has accepted. 0 for any, if the order means the same to each.
  int64_t incarnation = 0;
  FencingToken token = 0;
  WorkerOrder order;
  Millis timeout;
};

/// Sends records to a peer that needs them before its watch delivers them. Has no reply.
struct PushRecords {
  Address peer;
  std::vector<StoreItem> items;
};

/// Asks a peer for the phase of a job. Completed by `PeerAnswered`.
struct QueryPeer {
  RequestId request = 0;
  Address peer;
  JobId job;
  Millis timeout;
};

/// Answers `PeerQueried`.
struct AnswerPeer {
  RequestId call = 0;
  std::optional<JobPhase> phase;
};

/// Outcome of a caller's request.
enum class CallerOutcome {
  /// The job is stored and will run.
  kAccepted,
  /// Not accepted; the job does not run unless it is submitted again.
  kRefused,
  /// It is not known whether the job was accepted or cancelled.
  kUnknown,
  /// The reply contains the job's phase.
  kPhase,
  kCancelled,
  /// The reply contains the number of pending jobs.
  kPending,
  kNoSuchJob,
  kNoSuchQueue,
  /// The state is not known at present.
  kUnavailable,
};

inline constexpr EnumNames kCallerOutcomeNames(std::to_array<EnumName<CallerOutcome>>({
    {CallerOutcome::kAccepted, "accepted"},
    {CallerOutcome::kRefused, "refused"},
    {CallerOutcome::kUnknown, "unknown"},
    {CallerOutcome::kPhase, "phase"},
    {CallerOutcome::kCancelled, "cancelled"},
    {CallerOutcome::kPending, "pending"},
    {CallerOutcome::kNoSuchJob, "no_such_job"},
    {CallerOutcome::kNoSuchQueue, "no_such_queue"},
    {CallerOutcome::kUnavailable, "unavailable"},
}));

/// Answers a caller's request.
struct AnswerCaller {
  RequestId call = 0;
  CallerOutcome outcome = CallerOutcome::kUnavailable;
  JobPhase phase = JobPhase::kQueued;
  int64_t pending = 0;
  /// For refusals, the delay before a retry is useful.
  Millis retry_after;
};

/// Sets whether the entry accepts new connections.
struct SetReadiness {
  bool ready = false;
};

/// Applies a new configuration.
struct ApplyRouting {
  std::shared_ptr<const Routing> routing;
};

/// All cells are released; the process may exit once its callers have their responses.
struct ReadyToExit {};

/// Writes a log line.
struct LogLine {
  Severity severity = Severity::kInfo;
  /// A short constant text; variable parts go into the fields.
  std::string message;
  std::vector<LogField> fields;
};

using Effect = std::variant<StoreCall, WorkerCall, PushRecords, QueryPeer, AnswerPeer, AnswerCaller,
                            SetReadiness, ApplyRouting, ReadyToExit, LogLine>;

/// Effects in the order in which the scheduler requested them.
using Effects = std::vector<Effect>;

}  // namespace currantpost::scheduler
