#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/scheduler/job_spec.h"
#include "currantpost/scheduler/store.h"
#include "currantpost/scheduler/worker.h"

/// All that can happen to the scheduler. Every event may come late, twice or never.

namespace currantpost::scheduler {

/// Time has passed.
struct Tick {};

/// The answer to, or the loss of, one `StoreCall`.
struct StoreAnswered {
  RequestId request = 0;
  StoreReply reply;
};

/// The answer to, or the loss of, one `WorkerCall`.
struct WorkerAnswered {
  RequestId request = 0;
  WorkerReply reply;
};

/// A caller hands a job in.
struct JobSubmitted {
  std::string queue;
  JobSpec spec;
};

/// A caller asks how far a job is.
struct JobStatusRequested {
  JobId job;
};

/// A caller cancels a job.
struct JobCancelled {
  JobId job;
};

/// A caller asks how many jobs of a queue have not begun.
struct PendingCountRequested {
  std::string queue;
};

/// A caller's request.
struct CallerRequested {
  /// Ties the `AnswerCaller` effect to this request.
  RequestId call = 0;
  /// How long the caller waits.
  Millis caller_timeout;
  std::variant<JobSubmitted, JobStatusRequested, JobCancelled, PendingCountRequested> body;
};

/// A peer passes on records that it has just written.
struct RecordsPushed {
  std::vector<StoreItem> items;
};

/// A peer asks how far a job is that this entry is the owner of.
struct PeerQueried {
  /// Ties the `AnswerPeer` effect to this question.
  RequestId call = 0;
  JobId job;
};

/// A peer's answer about a job, or its loss.
struct PeerAnswered {
  RequestId request = 0;
  /// Nothing if the peer is not the owner or did not answer.
  std::optional<JobPhase> phase;
};

/// The process was told to stop.
struct StopRequested {};

/// One event, with the time at which the process took it up.
struct Event {
  Millis now;
  /// Time of day in Unix milliseconds; may jump. Decides only when scheduled work is due.
  int64_t unix_ms = 0;
  std::variant<Tick, StoreAnswered, WorkerAnswered, CallerRequested, RecordsPushed, PeerQueried,
               PeerAnswered, StopRequested>
      body;
};

}  // namespace currantpost::scheduler
