#pragma once

#include <httplib.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"

namespace currantpost {

/// Outcome of one HTTP exchange.
enum class ExchangeStatus {
  /// A complete response to this request arrived.
  kAnswered,
  /// No connection could be made, so nothing was sent.
  kNotSent,
  /// Some bytes may have been sent, but no complete response arrived in time.
  kUnknown,
};

/// One HTTP request.
struct HttpCall {
  std::string method;
  std::string path;
  std::string body;
  /// Limits connecting, each single read or write, and the time until the response is complete.
  Millis timeout;
};

/// Result of one HTTP exchange.
struct Exchange {
  ExchangeStatus status = ExchangeStatus::kUnknown;
  int http_status = 0;
  /// The service reported that the call had no effect.
  bool not_applied = false;
  std::string body;
};

/// Makes one exchange on a new connection and closes it afterwards.
Exchange ExchangeOnce(const Address& address, const HttpCall& call);

/// Pool of persistent connections to one address. Thread-safe.
class HttpChannel {
 public:
  explicit HttpChannel(Address address) : address_(std::move(address)) {}

  /// Makes one exchange. Sends the request at most once; never retries.
  Exchange Call(const HttpCall& call);

 private:
  struct Connection {
    std::unique_ptr<httplib::Client> client;
    Millis idle_since;
  };

  std::unique_ptr<httplib::Client> AcquireClient();
  void ReleaseClient(std::unique_ptr<httplib::Client> client);
  void CloseIdleConnections();

  Address address_;
  MonotonicClock clock_;
  std::mutex mutex_;
  std::vector<Connection> idle_;
};

}  // namespace currantpost
