#pragma once

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"
#include "currantpost/model/worker.h"

namespace currantpost {

/// The workers. An order is sent once and never repeated by the client.
class WorkerClient {
 public:
  virtual ~WorkerClient() = default;

  /// Sends an order to one life of a worker. Any other life refuses it, and answers its table with
  /// its own incarnation.
  virtual WorkerReply SendOrder(const Address& address, const VmId& worker, Incarnation incarnation,
                                Epoch epoch, const WorkerOrder& order) = 0;
};

/// The workers over HTTP and JSON, with a connection for each order. Usable from many threads at a
/// time.
class HttpWorkerClient final : public WorkerClient {
 public:
  explicit HttpWorkerClient(Millis timeout) : timeout_(timeout) {}

  WorkerReply SendOrder(const Address& address, const VmId& worker, Incarnation incarnation,
                        Epoch epoch, const WorkerOrder& order) override;

 private:
  Millis timeout_;
};

}  // namespace currantpost
