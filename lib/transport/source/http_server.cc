#include "currantpost/transport/http_server.h"

#include <boost/intrusive/list.hpp>
#include <optional>

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

/// Interval between checks for connections that have timed out.
constexpr Millis kSweepInterval = Millis(1'000);
/// Maximum number of pending connections that are not accepted yet.
constexpr int kBacklog = 512;

std::string ToString(beast::string_view view) { return {view.data(), view.size()}; }

}  // namespace

std::optional<std::string_view> ReceivedRequest::Field(std::string_view name) const {
  for (const auto& [field, value] : fields) {
    if (beast::iequals(field, beast::string_view(name.data(), name.size()))) return value;
  }

  return std::nullopt;
}

namespace {

using SessionHook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

enum class SessionPhase { kIdle, kReading, kHandling, kWriting };

struct ServerState;

/// One caller's connection.
struct Session : SessionHook, std::enable_shared_from_this<Session> {
  Session(asio::ip::tcp::socket the_socket, std::shared_ptr<ServerState> the_server)
      : socket(std::move(the_socket)), server(std::move(the_server)) {}

  void ReadHeader();
  void ReadBody();
  void DispatchRequest();
  void SendResponse(uint64_t number, const HttpResponse& answer, bool close_after);
  void Reject(int status);
  void Close();

  asio::ip::tcp::socket socket;
  std::shared_ptr<ServerState> server;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  http::response<http::string_body> response;
  SessionPhase phase = SessionPhase::kIdle;
  Millis phase_since;
  /// When the sweep first found part of a header in the buffer.
  std::optional<Millis> partial_since;
  /// Number of the connection's latest request, so that a second response to a request is ignored.
  uint64_t request_sequence = 0;
  bool keep_open = true;
};

using SessionList = boost::intrusive::list<Session, boost::intrusive::constant_time_size<false>>;

/// State shared by the sessions of one server.
struct ServerState {
  ServerState(asio::io_context& context, const Clock& the_clock, HttpServerLimits the_limits,
              HttpServer::Handler the_handler)
      : acceptor(context),
        sweep_timer(context),
        clock(the_clock),
        limits(the_limits),
        handler(std::move(the_handler)) {}

  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer sweep_timer;
  const Clock& clock;
  HttpServerLimits limits;
  HttpServer::Handler handler;
  SessionList sessions;
  size_t session_count = 0;
  size_t open_requests = 0;
  bool draining = false;
};

void Session::ReadHeader() {
  phase = SessionPhase::kIdle;
  phase_since = server->clock.Now();
  partial_since.reset();
  parser.emplace();
  parser->header_limit(static_cast<uint32_t>(server->limits.max_header_bytes));
  parser->body_limit(server->limits.max_body_bytes);

  http::async_read_some(
      socket, buffer, *parser, [self = shared_from_this()](error_code error, size_t) {
        if (error == http::error::header_limit) return self->Reject(431);
        if (error == http::error::body_limit) return self->Reject(413);
        if (error == http::error::end_of_stream) return self->Close();
        if (error &&
            error.category() == http::make_error_code(http::error::bad_method).category()) {
          return self->Reject(400);
        }
        if (error) return self->Close();

        self->phase = SessionPhase::kReading;
        self->phase_since = self->server->clock.Now();
        self->ReadBody();
      });
}

void Session::ReadBody() {
  if (parser->is_done()) return DispatchRequest();

  http::async_read(socket, buffer, *parser, [self = shared_from_this()](error_code error, size_t) {
    if (error == http::error::header_limit) return self->Reject(431);
    if (error == http::error::body_limit) return self->Reject(413);
    if (error == http::error::partial_message || error == asio::error::connection_reset ||
        error == asio::error::operation_aborted) {
      return self->Close();
    }
    if (error) return self->Reject(400);

    self->DispatchRequest();
  });
}

void Session::DispatchRequest() {
  phase = SessionPhase::kHandling;
  ++server->open_requests;
  const uint64_t number = ++request_sequence;
  auto& message = parser->get();
  keep_open = message.keep_alive();

  ReceivedRequest received;
  received.method = ToString(message.method_string());
  received.target = ToString(message.target());
  received.host = ToString(message[http::field::host]);
  received.content_type = ToString(message[http::field::content_type]);
  for (const auto& field : message) {
    received.fields.emplace_back(ToString(field.name_string()), ToString(field.value()));
  }
  received.body = std::move(message.body());

  // The callback holds the only reference to the session until the response is sent.
  server->handler(std::move(received),
                  [self = shared_from_this(), number](const HttpResponse& answer) {
                    self->SendResponse(number, answer, false);
                  });
}

void Session::SendResponse(uint64_t number, const HttpResponse& answer, bool close_after) {
  const bool open = phase == SessionPhase::kHandling && request_sequence == number;
  if (!open && !close_after) return;

  if (phase == SessionPhase::kHandling) --server->open_requests;
  phase = SessionPhase::kWriting;
  phase_since = server->clock.Now();
  keep_open = keep_open && !close_after && !server->draining;

  response = {};
  response.version(11);
  response.result(static_cast<unsigned>(answer.status));
  for (const auto& [name, value] : answer.fields) response.set(name, value);
  response.keep_alive(keep_open);
  response.body() = answer.body;
  response.prepare_payload();

  http::async_write(socket, response, [self = shared_from_this()](error_code error, size_t) {
    if (!error && self->keep_open) return self->ReadHeader();

    error_code ignored;
    self->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    self->Close();
  });
}

void Session::Reject(int status) {
  SendResponse(request_sequence, HttpResponse{.status = status}, true);
}

void Session::Close() {
  if (phase == SessionPhase::kHandling) --server->open_requests;
  phase = SessionPhase::kIdle;
  error_code ignored;
  socket.close(ignored);
  if (!is_linked()) return;

  unlink();
  --server->session_count;
}

void Accept(const std::shared_ptr<ServerState>& server) {
  server->acceptor.async_accept([server](error_code error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;

    if (!error && server->session_count < server->limits.max_connections) {
      SetConnectionOptions(socket);
      const auto session = std::make_shared<Session>(std::move(socket), server);
      server->sessions.push_back(*session);
      ++server->session_count;
      session->ReadHeader();
    }

    Accept(server);
  });
}

/// Returns whether a session has exceeded the timeout of its current phase.
bool HasTimedOut(Session& session, Millis now) {
  const HttpServerLimits& limits = session.server->limits;

  switch (session.phase) {
    case SessionPhase::kHandling:
      return false;
    case SessionPhase::kReading:
      return now - session.phase_since > limits.header_timeout;
    case SessionPhase::kWriting:
      return now - session.phase_since > limits.idle_timeout;
    case SessionPhase::kIdle:
      break;
  }

  // Beast reports a header only once it is complete; the part received so far is in the buffer.
  if (session.buffer.size() == 0) return now - session.phase_since > limits.idle_timeout;
  if (!session.partial_since) session.partial_since = now;

  return now - *session.partial_since > limits.header_timeout;
}

/// Returns whether the session waits for its caller although more of the request has arrived. A
/// process that is short of processor time reads it late.
bool HasUnreadRequest(Session& session) {
  const bool is_reading =
      session.phase == SessionPhase::kReading || session.phase == SessionPhase::kIdle;
  return is_reading && HasUnreadData(session.socket);
}

/// Periodically closes sessions that have timed out: idle connections, slow requests, and responses
/// that the caller does not read.
void Sweep(const std::shared_ptr<ServerState>& server) {
  server->sweep_timer.expires_after(std::chrono::milliseconds(kSweepInterval.Count()));
  server->sweep_timer.async_wait([server](error_code error) {
    if (error) return;

    const Millis now = server->clock.Now();
    std::vector<std::shared_ptr<Session>> timed_out;

    for (Session& session : server->sessions) {
      if (!HasTimedOut(session, now) || HasUnreadRequest(session)) continue;

      timed_out.push_back(session.shared_from_this());
    }

    for (const auto& session : timed_out) {
      if (session->phase == SessionPhase::kReading) {
        session->socket.cancel();
      }
      session->Close();
    }

    Sweep(server);
  });
}

}  // namespace

struct HttpServer::Impl {
  std::shared_ptr<ServerState> state;
};

HttpServer::HttpServer(EventLoop& loop, const Clock& clock, HttpServerLimits limits,
                       Handler handler)
    : impl_(std::make_shared<Impl>()) {
  impl_->state =
      std::make_shared<ServerState>(loop.impl().context, clock, limits, std::move(handler));
}

HttpServer::~HttpServer() {
  error_code ignored;
  impl_->state->acceptor.close(ignored);
  impl_->state->sweep_timer.cancel(ignored);
}

Error HttpServer::Listen(const Address& address) {
  asio::ip::tcp::acceptor& acceptor = impl_->state->acceptor;
  error_code error;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host, error),
                                         static_cast<uint16_t>(address.port));
  if (!error) acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(kBacklog, error);

  if (error) {
    return MakeError(
        ErrorCode::kUnavailable,
        "listen on " + address.host + ":" + std::to_string(address.port) + ": " + error.message());
  }

  Accept(impl_->state);
  Sweep(impl_->state);
  return Error{};
}

int HttpServer::port() const {
  error_code error;
  const auto endpoint = impl_->state->acceptor.local_endpoint(error);
  return error ? 0 : endpoint.port();
}

void HttpServer::SetLimits(const HttpServerLimits& limits) { impl_->state->limits = limits; }

void HttpServer::BeginDrain() { impl_->state->draining = true; }

size_t HttpServer::open_requests() const { return impl_->state->open_requests; }

size_t HttpServer::connections() const { return impl_->state->session_count; }

}  // namespace currantpost
