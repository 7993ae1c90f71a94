#include "currantpost/transport/http_client.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "loop_impl.h"
// Beast needs Asio as loop_impl.h includes it.
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace currantpost {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Most bytes of a response body that one read takes. A buffer of this size is held only while a
/// long body arrives.
constexpr uint64_t kMaxReadBytes = 65'536;

/// Interval at which an overdue call whose reply has begun to arrive is checked again.
constexpr std::chrono::milliseconds kArrivedReplyInterval(20);
/// The rest of such a reply has stopped arriving after this many checks in a row without data.
/// Checks are counted rather than time, as each follows a turn of the event loop that reads.
constexpr int kMaxChecksWithoutData = 5;
/// A call ends after this many times its timeout at the latest, if its reply never ends.
constexpr int kMaxTimeouts = 10;

/// Beast throws, or cuts off, above 65,535 bytes for a name or value with its separator.
constexpr size_t kMaxFieldBytes = 65'000;

bool HasTooLongField(const HttpRequest& request) {
  return request.target.size() > kMaxFieldBytes ||
         std::ranges::any_of(request.fields, [](const auto& field) {
           return field.first.size() > kMaxFieldBytes || field.second.size() > kMaxFieldBytes;
         });
}

}  // namespace

/// A connection and its call in flight, if any.
struct ClientConnection : std::enable_shared_from_this<ClientConnection> {
  using CompletionHandler =
      std::function<void(const std::shared_ptr<ClientConnection>&, HttpReply, bool)>;

  explicit ClientConnection(asio::io_context& context) : socket(context), timer(context) {}

  /// Sends the request, after connecting if the socket is not open yet.
  void Start(const Address& to, const HttpRequest& request, Millis timeout, size_t max_body_bytes,
             CompletionHandler completion_handler) {
    on_complete = std::move(completion_handler);
    const uint64_t this_call = ++call_sequence;
    const std::chrono::milliseconds duration(timeout.Count());
    latest_end = asio::steady_timer::clock_type::now() + kMaxTimeouts * duration;
    checks_without_data = 0;
    SetTimeout(duration);

    parser.emplace();
    parser->body_limit(max_body_bytes);

    error_code error;
    const asio::ip::address host = asio::ip::make_address(to.host, error);

    if (error || HasTooLongField(request)) {
      asio::post(socket.get_executor(), [self = shared_from_this(), this_call] {
        if (self->call_sequence == this_call) self->Finish({}, false);
      });
      return;
    }

    message = {};
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, to.host + ":" + std::to_string(to.port));
    for (const auto& [name, value] : request.fields) message.set(name, value);
    message.body() = request.body;
    message.prepare_payload();

    if (socket.is_open()) {
      Write();
      return;
    }

    const asio::ip::tcp::endpoint endpoint(host, static_cast<uint16_t>(to.port));
    socket.async_connect(endpoint, [self = shared_from_this(), this_call](error_code failure) {
      if (self->call_sequence != this_call) return;
      if (failure) return self->Finish({}, false);

      SetConnectionOptions(self->socket);
      self->Write();
    });
  }

  void SetTimeout(std::chrono::milliseconds duration) {
    timer.expires_after(duration);
    timer.async_wait([self = shared_from_this(), this_call = call_sequence](error_code error) {
      if (!error && self->call_sequence == this_call) self->HandleTimeout();
    });
  }

  /// Ends the call unless its reply has begun to arrive and still does: a process that is short of
  /// processor time reads replies late, in several turns of the event loop.
  void HandleTimeout() {
    const bool has_data = HasUnreadData(socket);
    checks_without_data = has_data ? 0 : checks_without_data + 1;

    const bool has_begun = parser->got_some() || buffer.size() > 0 || has_data;
    const bool may_continue = checks_without_data <= kMaxChecksWithoutData &&
                              asio::steady_timer::clock_type::now() < latest_end;
    if (may_have_been_sent && has_begun && may_continue) return SetTimeout(kArrivedReplyInterval);

    Finish({}, false);
  }

  void Write() {
    may_have_been_sent = true;
    http::async_write(
        socket, message,
        [self = shared_from_this(), this_call = call_sequence](error_code error, size_t) {
          if (self->call_sequence != this_call) return;
          if (error) return self->Finish({}, false);

          self->Read();
        });
  }

  void Read() {
    http::async_read_header(
        socket, buffer, *parser,
        [self = shared_from_this(), this_call = call_sequence](error_code error, size_t) {
          if (self->call_sequence != this_call) return;
          if (error) return self->Finish({}, false);

          self->ReadBody();
        });
  }

  void ReadBody() {
    // Beast reads 512 bytes at a time unless the buffer has room for more.
    const uint64_t left = parser->content_length_remaining().value_or(kMaxReadBytes);
    buffer.reserve(buffer.size() + static_cast<size_t>(std::min(left, kMaxReadBytes)));
    http::async_read(
        socket, buffer, *parser,
        [self = shared_from_this(), this_call = call_sequence](error_code error, size_t) {
          if (self->call_sequence != this_call) return;
          if (error) return self->Finish({}, false);

          self->HandleResponse();
        });
  }

  void HandleResponse() {
    auto& response = parser->get();
    HttpReply reply{.outcome = CallOutcome::kAnswered};
    reply.response.status = static_cast<int>(response.result_int());
    reply.response.body = std::move(response.body());

    for (const auto& field : response) {
      reply.response.fields.emplace_back(field.name_string().to_string(),
                                         field.value().to_string());
    }

    // An idle connection holds no large buffer.
    buffer.shrink_to_fit();

    // Bytes received after the response would be read as the response to the next call, so the
    // connection is not reused if there are any.
    Finish(std::move(reply), response.keep_alive() && buffer.size() == 0);
  }

  /// Ends the current call and closes the connection unless it is reusable. It is never reusable
  /// after a call without a response.
  void Finish(HttpReply reply, bool reusable) {
    if (reply.outcome != CallOutcome::kAnswered) {
      reply.outcome = may_have_been_sent ? CallOutcome::kUnknown : CallOutcome::kNotSent;
    }

    ++call_sequence;
    may_have_been_sent = false;
    timer.cancel();

    if (!reusable) {
      error_code ignored;
      socket.close(ignored);
    }

    const CompletionHandler handler = std::move(on_complete);
    on_complete = nullptr;
    handler(shared_from_this(), std::move(reply), reusable);
  }

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  http::request<http::string_body> message;
  std::optional<http::response_parser<http::string_body>> parser;
  beast::flat_buffer buffer;
  CompletionHandler on_complete;
  /// Incremented at the start and end of each call, so that late handlers can detect that their
  /// call has ended.
  uint64_t call_sequence = 0;
  asio::steady_timer::time_point latest_end;
  int checks_without_data = 0;
  bool may_have_been_sent = false;
  Millis idle_since;
  /// The process that has accepted the connection, 0 while it is not known.
  PeerIdentity peer = 0;
};

namespace {

/// A call to a particular process.
struct CheckedCall {
  Address to;
  PeerCheck check;
  HttpRequest request;
  Millis timeout;
  /// When a call times out whose timeout covers the probe.
  Millis deadline;
  HttpClient::Callback callback;
};

}  // namespace

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
  Impl(EventLoop& loop, const Clock& the_clock, HttpClientLimits the_limits)
      : context(loop.impl().context), clock(the_clock), limits(the_limits) {}

  /// Returns an idle connection to the expected process, or to one that is not known yet, or
  /// nothing. Closes those to other processes.
  std::shared_ptr<ClientConnection> PopIdleConnection(const Address& to, PeerIdentity expected) {
    auto& waiting = idle[to];

    while (!waiting.empty()) {
      std::shared_ptr<ClientConnection> connection = std::move(waiting.back());
      waiting.pop_back();
      const bool stale = clock.Now() - connection->idle_since > limits.max_idle_time;
      const bool other = expected != 0 && connection->peer != 0 && connection->peer != expected;
      // Unsolicited data, or the end of the connection, makes it unusable.
      if (!stale && !other && !HasUnreadData(connection->socket)) return connection;
    }

    return nullptr;
  }

  std::shared_ptr<ClientConnection> TakeConnection(const Address& to, PeerIdentity expected) {
    std::shared_ptr<ClientConnection> connection = PopIdleConnection(to, expected);
    return connection ? connection : std::make_shared<ClientConnection>(context);
  }

  /// Keeps a connection for later calls after a call on it has ended.
  void ReturnConnection(const Address& to, const std::shared_ptr<ClientConnection>& used,
                        bool reusable) {
    if (!reusable) {
      // A fault that broke this connection may have broken the idle ones too.
      idle.erase(to);
      return;
    }

    used->idle_since = clock.Now();
    idle[to].push_back(used);
  }

  /// Sends the probe of a call, and the call itself if the expected process has answered.
  void Probe(const std::shared_ptr<ClientConnection>& connection, CheckedCall call) {
    const auto shared = std::make_shared<CheckedCall>(std::move(call));
    const Millis timeout = shared->check.probe_timeout.value_or(shared->timeout);

    connection->Start(
        shared->to, shared->check.make_probe(), timeout, limits.max_body_bytes,
        [weak = weak_from_this(), shared](const std::shared_ptr<ClientConnection>& used,
                                          HttpReply reply, bool reusable) {
          const std::shared_ptr<Impl> impl = weak.lock();
          if (!impl) return;

          const bool answered = reply.outcome == CallOutcome::kAnswered;
          if (answered) used->peer = shared->check.identify(reply.response);
          const bool expected = answered && used->peer == shared->check.expected;

          const Millis left =
              shared->check.probe_timeout ? shared->timeout : shared->deadline - impl->clock.Now();

          if (expected && reusable && left > Millis(0)) {
            impl->Forward(used, std::move(*shared), left);
            return;
          }

          impl->ReturnConnection(shared->to, used, reusable);
          // The call itself was not sent, whatever became of the probe.
          reply.outcome = answered && !expected ? CallOutcome::kOtherPeer : CallOutcome::kNotSent;
          shared->callback(std::move(reply));
        });
  }

  /// Sends a call over a connection to the expected process, or to any if none is expected.
  void Forward(const std::shared_ptr<ClientConnection>& connection, CheckedCall call,
               Millis timeout) {
    connection->Start(
        call.to, call.request, timeout, limits.max_body_bytes,
        [weak = weak_from_this(), to = call.to, identify = std::move(call.check.identify),
         callback = std::move(call.callback)](const std::shared_ptr<ClientConnection>& used,
                                              HttpReply reply, bool reusable) {
          const std::shared_ptr<Impl> impl = weak.lock();
          if (!impl) return;

          if (used->peer == 0 && identify && reply.outcome == CallOutcome::kAnswered) {
            used->peer = identify(reply.response);
          }
          impl->ReturnConnection(to, used, reusable);
          callback(std::move(reply));
        });
  }

  asio::io_context& context;
  const Clock& clock;
  HttpClientLimits limits;
  std::map<Address, std::vector<std::shared_ptr<ClientConnection>>> idle;
};

HttpClient::HttpClient(EventLoop& loop, const Clock& clock, HttpClientLimits limits)
    : impl_(std::make_shared<Impl>(loop, clock, limits)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(const Address& to, const HttpRequest& request, Millis timeout,
                      Callback callback) {
  SendTo(to, PeerCheck{}, request, timeout, std::move(callback));
}

void HttpClient::SendTo(const Address& to, PeerCheck peer, const HttpRequest& request,
                        Millis timeout, Callback callback) {
  const PeerIdentity expected = peer.expected;
  const std::shared_ptr<ClientConnection> connection = impl_->TakeConnection(to, expected);
  CheckedCall call{.to = to,
                   .check = std::move(peer),
                   .request = request,
                   .timeout = timeout,
                   .deadline = impl_->clock.Now() + timeout,
                   .callback = std::move(callback)};

  if (expected == 0 || connection->peer == expected) {
    impl_->Forward(connection, std::move(call), timeout);
  } else {
    impl_->Probe(connection, std::move(call));
  }
}

}  // namespace currantpost
