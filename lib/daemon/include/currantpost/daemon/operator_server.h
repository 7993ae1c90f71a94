#pragma once

#include <functional>
#include <memory>
#include <thread>

#include "currantpost/base/error.h"
#include "currantpost/daemon/command_gateway.h"
#include "currantpost/daemon/metrics.h"
#include "currantpost/daemon/process_status.h"
#include "currantpost/model/vm.h"

namespace httplib {
class Server;
}  // namespace httplib

namespace currantpost {

/// Serves operators, the balancer's probes and the metrics' reader over HTTP.
///
/// Each connection carries one request, so that a client that keeps one open holds no thread.
class OperatorServer {
 public:
  OperatorServer(Address listen, CommandGateway& commands, const Metrics& metrics,
                 const ProcessStatus& status);
  ~OperatorServer();

  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  /// Starts to listen. Returns the port, which is chosen by the system if the address has port 0.
  Result<int> Start();

  /// Ends all requests and stops listening. May be called again.
  void Stop();

 private:
  void AddRoutes();

  const Address listen_;
  CommandGateway& commands_;
  const Metrics& metrics_;
  const ProcessStatus& status_;
  std::unique_ptr<httplib::Server> server_;
  std::thread thread_;
};

}  // namespace currantpost
