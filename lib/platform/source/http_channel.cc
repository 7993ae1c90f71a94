#include "http_channel.h"

#include <utility>

#include "currantpost/platform/headers.h"

namespace currantpost {
namespace {

/// A device on the path may drop the state of a connection that is idle for longer than this.
constexpr Millis kIdleAgeLimit(5'000);
/// Maximum size of a response in bytes.
constexpr size_t kMaxResponseBytes = 67'108'864;

std::chrono::milliseconds Duration(Millis span) { return std::chrono::milliseconds(span.Count()); }

std::unique_ptr<httplib::Client> MakeClient(const Address& address) {
  auto client = std::make_unique<httplib::Client>(address.host, address.port);
  client->set_tcp_nodelay(true);
  client->set_keep_alive(true);
  return client;
}

std::string NextRequestId() {
  static std::atomic<uint64_t> last = 0;
  return std::to_string(++last);
}

/// Returns whether the request was certainly not sent.
bool IsNotSent(httplib::Error error) {
  return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

Exchange SendRequest(httplib::Client& client, const HttpCall& call) {
  client.set_connection_timeout(Duration(call.timeout));
  client.set_read_timeout(Duration(call.timeout));
  client.set_write_timeout(Duration(call.timeout));

  httplib::Request request;
  request.method = call.method;
  request.path = call.path;
  request.body = call.body;
  if (!call.body.empty()) request.set_header("Content-Type", "application/json");

  const std::string id = NextRequestId();
  request.set_header(platform_headers::kRequestId, id);

  // The library's timeouts limit each single read or write. This limits the total time and size.
  const MonotonicClock clock;
  const Millis deadline = clock.Now() + call.timeout;
  request.progress = [&](uint64_t current, uint64_t total) {
    return clock.Now() <= deadline && current <= kMaxResponseBytes && total <= kMaxResponseBytes;
  };

  httplib::Response response;
  httplib::Error error = httplib::Error::Success;

  if (!client.send(request, response, error)) {
    return Exchange{IsNotSent(error) ? ExchangeStatus::kNotSent : ExchangeStatus::kUnknown};
  }

  const std::string response_id = response.get_header_value(platform_headers::kRequestId);
  if (!response_id.empty() && response_id != id) return Exchange{};

  return Exchange{ExchangeStatus::kAnswered, response.status,
                  response.get_header_value(platform_headers::kNotApplied) == "1",
                  std::move(response.body)};
}

}  // namespace

Exchange ExchangeOnce(const Address& address, const HttpCall& call) {
  const std::unique_ptr<httplib::Client> client = MakeClient(address);
  client->set_keep_alive(false);
  return SendRequest(*client, call);
}

Exchange HttpChannel::Call(const HttpCall& call) {
  std::unique_ptr<httplib::Client> client = AcquireClient();
  Exchange exchange = SendRequest(*client, call);

  if (exchange.status == ExchangeStatus::kAnswered) {
    ReleaseClient(std::move(client));
  } else {
    // The fault that broke this connection may have broken the idle ones too.
    CloseIdleConnections();
  }

  return exchange;
}

std::unique_ptr<httplib::Client> HttpChannel::AcquireClient() {
  const std::lock_guard lock(mutex_);
  const Millis oldest = clock_.Now() - kIdleAgeLimit;
  std::erase_if(idle_, [&](const Connection& each) { return each.idle_since < oldest; });

  if (idle_.empty()) return MakeClient(address_);

  std::unique_ptr<httplib::Client> client = std::move(idle_.back().client);
  idle_.pop_back();
  return client;
}

void HttpChannel::ReleaseClient(std::unique_ptr<httplib::Client> client) {
  const std::lock_guard lock(mutex_);
  idle_.push_back(Connection{std::move(client), clock_.Now()});
}

void HttpChannel::CloseIdleConnections() {
  const std::lock_guard lock(mutex_);
  idle_.clear();
}

}  // namespace currantpost
