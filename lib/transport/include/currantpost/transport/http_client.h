#pragma once

#include <functional>
#include <memory>

#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"
#include "currantpost/transport/event_loop.h"
#include "currantpost/transport/http_message.h"

namespace currantpost {

/// Limits of an `HttpClient`.
struct HttpClientLimits {
  /// A connection that was idle for longer is not reused: the server may have closed it, and a call
  /// on it would then end with an unknown outcome.
  Millis max_idle_time = Millis(8'000);
  /// Maximum size of a response body.
  size_t max_body_bytes = 8U << 20U;
};

/// Sends HTTP/1.1 calls over persistent connections. Sends each call once and never retries it.
class HttpClient {
 public:
  using Callback = std::function<void(HttpReply)>;

  HttpClient(EventLoop& loop, const Clock& clock, HttpClientLimits limits);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a call. `callback` is called once, never from within `Send`.
  /// `timeout` covers connecting, sending and receiving the complete response together.
  void Send(const Address& to, const HttpRequest& request, Millis timeout, Callback callback);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace currantpost
