#pragma once

#include <grpcpp/server.h>

#include <functional>
#include <memory>

#include "currantpost/base/error.h"
#include "currantpost/model/peer.h"
#include "currantpost/model/vm.h"
#include "peer.grpc.pb.h"

namespace currantpost {

/// Handles a peer's heartbeat and returns the local heartbeat, or an error. Called concurrently by
/// several threads.
using HeartbeatHandler = std::function<Result<Heartbeat>(const Heartbeat&)>;

/// Responds to peers' heartbeats over gRPC with a limited number of threads.
class PeerServer {
 public:
  PeerServer(Address listen, HeartbeatHandler handler);
  ~PeerServer();

  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Starts to listen and returns the port. The system chooses it if the address has port 0.
  Result<int> Start();

  /// Stops listening and ends all exchanges. May be called more than once.
  void Stop();

 private:
  class Service final : public wire::Peer::Service {
   public:
    explicit Service(HeartbeatHandler handler) : handler_(std::move(handler)) {}

    grpc::Status Exchange(grpc::ServerContext* context, const wire::HeartbeatMessage* request,
                          wire::HeartbeatMessage* response) override;

   private:
    HeartbeatHandler handler_;
  };

  const Address listen_;
  Service service_;
  std::unique_ptr<grpc::Server> server_;
};

}  // namespace currantpost
