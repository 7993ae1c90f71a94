#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

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

/// Identifies one run of a server process; 0 if it is not known.
using PeerIdentity = int64_t;

/// How to find out which process has accepted a connection. A connection ends with that process, so
/// a call on it can't reach a process that is started later at the same address.
struct PeerCheck {
  /// The process that the call is meant for, 0 for any.
  PeerIdentity expected = 0;
  /// Makes the request that is sent first over a connection to an unknown process, if one is
  /// expected. The request must change nothing at any process.
  std::function<HttpRequest()> make_probe;
  /// Time for connecting and the probe, after which the call's own timeout begins; if not set, the
  /// call's timeout covers both.
  std::optional<Millis> probe_timeout;
  /// Returns the identity that a response contains, 0 if it contains none.
  std::function<PeerIdentity(const HttpResponse&)> identify;
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

  /// Sends a call only to the expected process. The outcome is `kOtherPeer` if another one has
  /// accepted the connection, and `kNotSent` if that is not known in time.
  void SendTo(const Address& to, PeerCheck peer, const HttpRequest& request, Millis timeout,
              Callback callback);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace currantpost
