#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "currantpost/base/error.h"
#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"
#include "currantpost/transport/event_loop.h"
#include "currantpost/transport/http_message.h"

namespace currantpost {

/// Bounds that protect a server from its callers.
struct HttpServerLimits {
  size_t max_header_bytes = 16'384;
  size_t max_body_bytes = 262'144;
  /// A request whose header is not whole by then ends the connection.
  Millis header_timeout = Millis(3'000);
  /// A connection without a request for so long is closed.
  Millis idle_timeout = Millis(15'000);
  /// Connections beyond this number are closed at once.
  size_t max_connections = 3'000;
};

/// A whole request that a server has read.
struct ReceivedRequest {
  std::string method;
  std::string target;
  std::string host;
  std::string content_type;
  HttpFields fields;
  std::string body;

  /// Returns the value of a field, ignoring case, or nothing.
  [[nodiscard]] std::optional<std::string_view> Field(std::string_view name) const;
};

/// Answers one request, at once or later. An answer to a caller that has left does nothing.
using Respond = std::function<void(HttpResponse)>;

/// Listens on one address and hands over whole requests.
///
/// Malformed, oversized and slow input is answered with 400, 413, 431 or 408 here.
class HttpServer {
 public:
  using Handler = std::function<void(ReceivedRequest, Respond)>;

  HttpServer(EventLoop& loop, const Clock& clock, HttpServerLimits limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to listen. Fails with `kUnavailable` if the address cannot be bound.
  Error Listen(const Address& address);

  /// Returns the port that is listened on.
  [[nodiscard]] int port() const;

  /// Takes other bounds for requests that begin later.
  void SetLimits(const HttpServerLimits& limits);

  /// Every answer from now on ends its connection.
  void BeginDrain();

  /// Returns the number of requests that have no answer yet.
  [[nodiscard]] size_t open_requests() const;

  /// Returns the number of connections.
  [[nodiscard]] size_t connections() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace currantpost
