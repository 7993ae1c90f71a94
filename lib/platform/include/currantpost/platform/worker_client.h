#pragma once

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"
#include "currantpost/model/worker.h"

namespace currantpost {

/// Sends orders to workers. Sends each order once; never retries.
class WorkerClient {
 public:
  virtual ~WorkerClient() = default;

  /// Sends an order to one incarnation of a worker. Any other incarnation refuses the order and
  /// replies with its own table and incarnation.
  virtual WorkerReply SendOrder(const Address& address, const VmId& worker, Incarnation incarnation,
                                Epoch epoch, const WorkerOrder& order) = 0;
};

/// Sends orders as JSON over HTTP, with a new connection for each order. Thread-safe.
class HttpWorkerClient final : public WorkerClient {
 public:
  explicit HttpWorkerClient(Millis timeout) : timeout_(timeout) {}

  WorkerReply SendOrder(const Address& address, const VmId& worker, Incarnation incarnation,
                        Epoch epoch, const WorkerOrder& order) override;

 private:
  Millis timeout_;
};

}  // namespace currantpost
