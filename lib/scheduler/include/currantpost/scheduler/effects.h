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

/// All that the scheduler can ask of the world. Effects are data; the process carries them out.

namespace currantpost::scheduler {

/// Calls the store. Answered by `StoreAnswered`.
struct StoreCall {
  RequestId request = 0;
  StoreBody body;
  Millis timeout;
};

/// Sends an order to a worker. Answered by `WorkerAnswered`.
struct WorkerCall {
  RequestId request = 0;
  VmId worker;
  Address address;
  FencingToken token = 0;
  WorkerOrder order;
  Millis timeout;
};

/// Passes records on to a peer that needs them soon. Not answered.
struct PushRecords {
  Address peer;
  std::vector<StoreItem> items;
};

/// Asks a peer how far a job is. Answered by `PeerAnswered`.
struct QueryPeer {
  RequestId request = 0;
  Address peer;
  JobId job;
  Millis timeout;
};

/// Answers `PeerAsked`.
struct AnswerPeer {
  RequestId call = 0;
  std::optional<JobPhase> phase;
};

/// What a caller is told.
enum class CallerOutcome {
  /// The job is stored and will run.
  kAccepted,
  /// Not accepted; it will never run unless it is handed in again.
  kRefused,
  /// Whether it was accepted can not be told.
  kUnknown,
  /// Answers with the job's phase.
  kPhase,
  kCancelled,
  /// Answers with a count.
  kPending,
  kNoSuchJob,
  kNoSuchQueue,
  /// Nothing can be said at present.
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
  /// When it is worth asking again, for refusals.
  Millis retry_after;
};

/// Says whether the entry takes new connections.
struct SetReadiness {
  bool ready = false;
};

/// A configuration has come into force.
struct ApplyRouting {
  std::shared_ptr<const Routing> routing;
};

/// Everything was handed over; the process may end once its callers are answered.
struct ReadyToExit {};

/// Writes a log line.
struct LogLine {
  Severity severity = Severity::kInfo;
  /// A short sentence without variable parts; these are in the fields.
  std::string message;
  std::vector<LogField> fields;
};

using Effect = std::variant<StoreCall, WorkerCall, PushRecords, QueryPeer, AnswerPeer, AnswerCaller,
                            SetReadiness, ApplyRouting, ReadyToExit, LogLine>;

/// Effects in the order in which they were decided.
using Effects = std::vector<Effect>;

}  // namespace currantpost::scheduler
