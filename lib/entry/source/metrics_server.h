#pragma once

#include <functional>
#include <string>

#include "currantpost/base/error.h"
#include "currantpost/transport/http_server.h"

namespace currantpost {

/// Serves the metrics of a process as text, on an address of their own and under one path.
class MetricsServer {
 public:
  /// `text` is called for each request.
  MetricsServer(EventLoop& loop, const Clock& clock, std::string path,
                std::function<std::string()> text);

  /// Starts to listen. Fails with `kUnavailable` if the address cannot be bound.
  Error Listen(const Address& address) { return server_.Listen(address); }

  /// Returns the port that the server listens on, or 0 if it does not listen.
  [[nodiscard]] int port() const { return server_.port(); }

 private:
  void Handle(const ReceivedRequest& request, const Respond& respond) const;

  const std::string path_;
  const std::function<std::string()> text_;
  HttpServer server_;
};

}  // namespace currantpost
