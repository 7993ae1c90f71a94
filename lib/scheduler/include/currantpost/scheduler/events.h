#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/scheduler/job_spec.h"
#include "currantpost/scheduler/store.h"
#include "currantpost/scheduler/worker.h"

/// Events that the scheduler handles. Every event may arrive late, twice or never.

namespace currantpost::scheduler {

/// Time has passed.
struct Tick {};

/// The reply to one `StoreCall`, or its loss.
struct StoreAnswered {
  RequestId request = 0;
  StoreReply reply;
};

/// The reply to one `WorkerCall`, or its loss.
struct WorkerAnswered {
  RequestId request = 0;
  WorkerReply reply;
};

/// A caller submits a job.
struct JobSubmitted {
  std::string queue;
  JobSpec spec;
};

/// A caller asks for the phase of a job.
struct JobStatusRequested {
  JobId job;
};

/// A caller cancels a job.
struct JobCancelled {
  JobId job;
};

/// A caller asks for the number of jobs of a queue that have not started.
struct PendingCountRequested {
  std::string queue;
};

/// A caller's request.
struct CallerRequested {
  /// Identifies this request in the `AnswerCaller` effect.
  RequestId call = 0;
  /// How long the caller waits for the response.
  Millis caller_timeout;
  std::variant<JobSubmitted, JobStatusRequested, JobCancelled, PendingCountRequested> body;
};

/// A peer sends records that it has just written.
struct RecordsPushed {
  std::vector<StoreItem> items;
};

/// A peer asks for the phase of a job whose cell this entry owns.
struct PeerQueried {
  /// Identifies this question in the `AnswerPeer` effect.
  RequestId call = 0;
  JobId job;
  /// How long the peer waits for the answer, 0 if it is an earlier version.
  Millis timeout = Millis(0);
};

/// A peer's answer about the phase of a job, or its loss.
struct PeerAnswered {
  RequestId request = 0;
  /// Empty if the peer is not the owner or did not answer.
  std::optional<JobPhase> phase;
};

/// The process was asked to stop.
struct StopRequested {};

/// Names of the kinds of events, in the order of `Event::body`. For the log.
inline constexpr std::array<std::string_view, 8> kEventKindNames = {
    "tick",           "store_answer", "worker_answer", "caller_request",
    "pushed_records", "peer_query",   "peer_answer",   "stop_request"};

/// How far a process is behind with what arrives.
struct Backlog {
  /// How long events wait at present before they are handled.
  Millis lateness;
  /// Everything that had arrived by then has been handled, or is the present event. Empty if
  /// nothing waits.
  std::optional<Millis> handled_up_to;
};

/// One event, with the time at which the process started to handle it.
struct Event {
  Millis now;
  /// Time of day in Unix milliseconds; may jump. Used only to decide when scheduled work is due and
  /// to stamp accepted jobs.
  int64_t unix_ms = 0;
  std::variant<Tick, StoreAnswered, WorkerAnswered, CallerRequested, RecordsPushed, PeerQueried,
               PeerAnswered, StopRequested>
      body;
  Backlog backlog = {};
};

static_assert(std::variant_size_v<decltype(Event::body)> == kEventKindNames.size());

}  // namespace currantpost::scheduler
