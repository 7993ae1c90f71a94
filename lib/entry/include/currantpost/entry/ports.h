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

/// Interfaces to the store, the workers and the callers, independent of their protocols.

namespace currantpost {

/// Access to the platform's key-value store.
class StorePort {
 public:
  virtual ~StorePort() = default;

  /// Starts a call. `callback` is called once, never from within `Call`.
  virtual void Call(const scheduler::StoreCall& call,
                    std::function<void(scheduler::StoreReply)> callback) = 0;
};

/// Access to the workers.
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;

  /// Sends an order. `callback` is called once, never from within `Call`.
  virtual void Call(const scheduler::WorkerCall& call,
                    std::function<void(scheduler::WorkerReply)> callback) = 0;
};

/// A caller's request.
struct CallerRequest {
  /// How long the caller waits for the answer.
  Millis timeout;
  std::variant<scheduler::JobSubmitted, scheduler::JobStatusRequested, scheduler::JobCancelled,
               scheduler::PendingCountRequested>
      body;
};

/// The protocol of callers' requests and answers.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  /// Decodes a request. Fails with `kNotFound` if it matches no queue, and with `kInvalidArgument`
  /// if it is malformed.
  virtual Result<CallerRequest> Decode(const ReceivedRequest& request,
                                       const scheduler::QueueTable& queues) const = 0;

  /// Encodes an answer.
  virtual HttpResponse Encode(const scheduler::AnswerCaller& answer) const = 0;

  /// Encodes the answer to a request that `Decode` failed on.
  virtual HttpResponse Encode(const Error& error) const = 0;
};

}  // namespace currantpost
