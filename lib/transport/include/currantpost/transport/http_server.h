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

/// Limits that protect a server from its callers.
struct HttpServerLimits {
  size_t max_header_bytes = 16'384;
  size_t max_body_bytes = 262'144;
  /// A connection is closed if a request header takes longer than this to arrive, or the request
  /// body after it.
  Millis header_timeout = Millis(3'000);
  /// A connection without a request for this long is closed.
  Millis idle_timeout = Millis(15'000);
  /// Connections beyond this number are closed immediately.
  size_t max_connections = 3'000;
};

/// A request that a server has received completely.
struct ReceivedRequest {
  std::string method;
  std::string target;
  std::string host;
  std::string content_type;
  HttpFields fields;
  std::string body;

  /// Returns the value of the field with this name, ignoring case, or nullopt.
  [[nodiscard]] std::optional<std::string_view> Field(std::string_view name) const;
};

/// Sends the response to one request, from within the handler or later. Does nothing if the caller
/// has disconnected.
using Respond = std::function<void(HttpResponse)>;

/// Listens on one address and passes complete requests to a handler.
///
/// Responds to malformed and oversized input with 400, 413 or 431 without calling the handler.
/// Connections with slow input are closed without a response.
class HttpServer {
 public:
  using Handler = std::function<void(ReceivedRequest, Respond)>;

  HttpServer(EventLoop& loop, const Clock& clock, HttpServerLimits limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to listen. Fails with `kUnavailable` if the address cannot be bound.
  Error Listen(const Address& address);

  /// Returns the port that the server listens on, or 0 if it does not listen.
  [[nodiscard]] int port() const;

  /// Changes the limits for requests that begin later.
  void SetLimits(const HttpServerLimits& limits);

  /// Makes the server close each connection after the next response on it.
  void BeginDrain();

  /// Returns the number of requests that have no response yet.
  [[nodiscard]] size_t open_requests() const;

  /// Returns the number of open connections.
  [[nodiscard]] size_t connections() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace currantpost
