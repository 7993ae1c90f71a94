#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "currantpost/base/error.h"
#include "currantpost/scheduler/effects.h"
#include "currantpost/scheduler/events.h"
#include "currantpost/scheduler/routing.h"
#include "currantpost/transport/http_message.h"
#include "currantpost/transport/http_server.h"

/// What the process needs of the outside, whatever protocol that speaks.

namespace currantpost {

/// The platform's store.
class StorePort {
 public:
  virtual ~StorePort() = default;

  /// Makes a call. `callback` is called once, never from within `Call`.
  virtual void Call(const scheduler::StoreCall& call,
                    std::function<void(scheduler::StoreReply)> callback) = 0;
};

/// The workers.
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;

  /// Sends an order. `callback` is called once, never from within `Call`.
  virtual void Call(const scheduler::WorkerCall& call,
                    std::function<void(scheduler::WorkerReply)> callback) = 0;
};

/// What a caller asks for, with how long it waits.
struct CallerRequest {
  Millis timeout;
  std::variant<scheduler::JobSubmitted, scheduler::JobStatusRequested, scheduler::JobCancelled,
               scheduler::PendingCountRequested>
      body;
};

/// How callers speak.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  /// Reads a request. Fails with `kNotFound` if no queue takes it, with `kInvalidArgument` if it
  /// can not be understood.
  virtual Result<CallerRequest> Decode(const ReceivedRequest& request,
                                       const scheduler::QueueTable& queues) const = 0;

  /// Writes an answer.
  virtual HttpResponse Encode(const scheduler::AnswerCaller& answer) const = 0;

  /// Writes the answer to a request that could not be read.
  virtual HttpResponse Encode(const Error& error) const = 0;
};

}  // namespace currantpost
