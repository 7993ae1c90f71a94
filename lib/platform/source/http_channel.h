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

/// How one HTTP exchange ended.
enum class ExchangeStatus {
  /// A whole answer came, and it was not another request's.
  kAnswered,
  /// No connection could be made, or nothing could be sent at all.
  kNotSent,
  /// A byte may have been sent and no whole answer came in time.
  kUnknown,
};

/// One HTTP request.
struct HttpCall {
  std::string method;
  std::string path;
  std::string body;
  /// Longest time to make the connection, for one silence, and for the whole answer.
  Millis timeout;
};

/// The end of one HTTP exchange.
struct Exchange {
  ExchangeStatus status = ExchangeStatus::kUnknown;
  int http_status = 0;
  /// The service said that the call had no effect.
  bool not_applied = false;
  std::string body;
};

/// Makes one exchange on a connection of its own, and closes it.
Exchange ExchangeOnce(const Address& address, const HttpCall& call);

/// Connections to one address that are kept between calls. Usable from many threads at a time.
class HttpChannel {
 public:
  explicit HttpChannel(Address address) : address_(std::move(address)) {}

  /// Makes one exchange. Sends the request at most once.
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
