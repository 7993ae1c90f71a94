#pragma once

#include <grpcpp/server.h>

#include <functional>
#include <memory>

#include "currantpost/base/error.h"
#include "currantpost/model/peer.h"
#include "currantpost/model/vm.h"
#include "peer.grpc.pb.h"

namespace currantpost {

/// Takes a peer's heartbeat and returns the own one, or why there is none. Called by several
/// threads.
using HeartbeatHandler = std::function<Result<Heartbeat>(const Heartbeat&)>;

/// Answers peers' heartbeats over gRPC, with a bounded number of threads.
class PeerServer {
 public:
  PeerServer(Address listen, HeartbeatHandler handler);
  ~PeerServer();

  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Starts to listen. Returns the port, which is chosen by the system if the address has port 0.
  Result<int> Start();

  /// Ends all exchanges and stops listening. May be called again.
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
