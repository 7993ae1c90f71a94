#include "caller_server.h"

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <utility>

namespace currantpost {
namespace {

/// Connections that the kernel holds until they are accepted.
constexpr int kBacklog = 1'024;
/// How long a caller's connection may be idle.
constexpr Millis kIdleLimit(30'000);
/// How long it may be idle while other connections wait for a thread.
constexpr Millis kIdleLimitWhenBusy(100);
/// How often an idle connection is looked at.
constexpr Millis kIdleStep(50);
/// Longest time for a caller to send a request, and to take its answer.
constexpr Millis kReadLimit(10'000);
constexpr Millis kWriteLimit(10'000);
/// How long a stop goes on answering on connections that are open.
constexpr Millis kDrainLinger(1'000);
/// A stop turns new connections away once none came for this long, or after the longest wait.
constexpr Millis kQuietBeforeStop(200);
constexpr Millis kLongestQuietWait(1'000);
/// How long connections that are half made are given to be made.
constexpr Millis kHandshakeTime(100);
/// How long a closed connection is read on, so that a reset does not overtake the last answer.
constexpr Millis kCloseLinger(500);
/// Bytes that the head of a request may take.
constexpr size_t kLargestHead = 65'536;

/// Headers that the library adds for its own use.
constexpr std::array<std::string_view, 4> kLibraryHeaders = {"REMOTE_ADDR", "REMOTE_PORT",
                                                             "LOCAL_ADDR", "LOCAL_PORT"};
/// Headers that the library would act on. They are for the upstream.
constexpr std::array<const char*, 5> kUpstreamHeaders = {"Content-Type", "Content-Encoding",
                                                         "Accept-Encoding", "Range", "Expect"};
constexpr std::array<std::string_view, 6> kMethods = {"GET", "HEAD",   "POST",
                                                      "PUT", "DELETE", "PATCH"};

bool TakesBody(const std::string& method) {
  return method == "POST" || method == "PUT" || method == "PATCH" || method == "DELETE";
}

bool IsKnown(const std::string& method) {
  return method == "OPTIONS" || std::ranges::find(kMethods, method) != kMethods.end();
}

void Prepare(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) | O_NONBLOCK);
}

/// Drops the first packet of each new connection to a listening socket. Those that are half made
/// can still be made. Whoever is dropped tries again, and is refused once the socket is closed.
void TurnAwayNewConnections(int listener) {
  constexpr uint32_t kFlagsOffset = 13;
  constexpr uint32_t kSynAndAck = 0x12;
  constexpr uint32_t kSyn = 0x02;
  constexpr uint32_t kWholePacket = 0xffff'ffff;
  std::array<sock_filter, 5> code = {
      sock_filter BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      sock_filter BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSynAndAck),
      sock_filter BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSyn, 0, 1),
      sock_filter BPF_STMT(BPF_RET | BPF_K, 0),
      sock_filter BPF_STMT(BPF_RET | BPF_K, kWholePacket),
  };
  const sock_fprog program = {.len = code.size(), .filter = code.data()};
  setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

void Sleep(Millis span) { std::this_thread::sleep_for(std::chrono::milliseconds(span.Count())); }

/// Ends the sending side first and reads on, for a reset would destroy an answer on its way.
void CloseGracefully(int socket, SocketStream& stream, const Clock& clock) {
  std::array<char, 4'096> discarded;
  shutdown(socket, SHUT_WR);
  stream.ResetCounts();
  stream.SetDeadline(clock.Now() + kCloseLinger);

  while (stream.read(discarded.data(), discarded.size()) > 0) continue;

  close(socket);
}

}  // namespace

/// What is known of the request that a thread is at.
struct CallerServer::Exchange {
  SocketStream* stream = nullptr;
  /// As the caller sent them.
  HeaderList headers;
  /// Decoded path; the library sees "/" instead, as the pattern of its handlers.
  std::string path;
  /// Set if the request is refused before its body is read.
  std::optional<RequestFailure> refusal;
  bool has_reply = false;
  bool closes = false;
  /// Length told by the answer to a HEAD request.
  std::string head_length;
  std::string content_type;
};

/// Serves each connection on a thread of its own, and tells how many wait for one.
class CallerServer::Threads final : public httplib::TaskQueue {
 public:
  explicit Threads(CallerServer& server)
      : server_(server), pool_(static_cast<size_t>(std::max(server.settings_.threads, 1))) {}

  void enqueue(std::function<void()> serve) override {
    server_.last_accept_ = server_.clock_.Now().Count();
    ++server_.waiting_connections_;

    pool_.enqueue([this, serve = std::move(serve)] {
      --server_.waiting_connections_;
      serve();
    });
  }

  void shutdown() override { pool_.shutdown(); }

 private:
  CallerServer& server_;
  httplib::ThreadPool pool_;
};

thread_local CallerServer::Exchange* CallerServer::exchange_ = nullptr;

CallerServer::CallerServer(const TrafficSettings& settings, const Clock& clock,
                           RequestHandler& handler)
    : settings_(settings), clock_(clock), handler_(handler) {
  new_task_queue = [this] { return new Threads(*this); };
  SetUpHandlers();
}

CallerServer::~CallerServer() { Stop(); }

Result<int> CallerServer::Start() {
  const Address& listen = settings_.listen;
  int port = listen.port;

  if (port == 0) {
    port = bind_to_any_port(listen.host);
  } else if (!bind_to_port(listen.host, port)) {
    port = -1;
  }

  if (port <= 0) {
    return Fail(ErrorCode::kUnavailable,
                absl::StrCat("cannot listen on ", listen.host, ":", listen.port));
  }

  // The library's own backlog of 5 turns a burst of callers away.
  ::listen(svr_sock_, kBacklog);
  listener_ = std::thread([this] { listen_after_bind(); });

  while (!is_running()) Sleep(Millis(1));

  return port;
}

void CallerServer::Stop() {
  if (!listener_.joinable()) return;

  const Millis start = clock_.Now();
  drain_start_ = start.Count();
  is_draining_ = true;
  handler_.Drain();

  while (true) {
    const Millis now = clock_.Now();
    const Millis last = std::max(start, Millis(last_accept_));
    if (now - last >= kQuietBeforeStop || now - start >= kLongestQuietWait) break;
    Sleep(kIdleStep);
  }

  // Closing the listening socket resets connections that were not yet accepted.
  TurnAwayNewConnections(svr_sock_);
  Sleep(kHandshakeTime);
  stop();
  listener_.join();
}

bool CallerServer::process_and_close_socket(socket_t sock) {
  Prepare(sock);
  SocketStream stream(sock, clock_);

  while (AwaitRequest(stream) && ServeOne(stream)) continue;

  CloseGracefully(sock, stream, clock_);
  return true;
}

bool CallerServer::AwaitRequest(SocketStream& stream) {
  const Millis start = clock_.Now();

  while (true) {
    stream.ResetCounts();
    stream.SetDeadline(clock_.Now() + kIdleStep);
    if (stream.WaitReadable()) return true;

    const Millis now = clock_.Now();
    const Millis limit = waiting_connections_ > 0 ? kIdleLimitWhenBusy : kIdleLimit;
    const bool is_drained = is_draining_ && now - Millis(drain_start_) >= kDrainLinger;
    if (is_drained || now - start >= limit) return false;
  }
}

bool CallerServer::ServeOne(SocketStream& stream) {
  Exchange exchange;
  exchange.stream = &stream;
  stream.ResetCounts();
  stream.SetReadLimit(2 * settings_.largest_request + kLargestHead);
  stream.SetDeadline(clock_.Now() + kReadLimit);

  ++requests_in_flight_;
  exchange_ = &exchange;
  bool is_closed = false;
  const bool is_served = process_request(
      stream, false, is_closed, [&](httplib::Request& request) { ReadHead(request, exchange); });
  exchange_ = nullptr;
  --requests_in_flight_;

  return is_served && !is_closed && !exchange.closes;
}

void CallerServer::SetUpHandlers() {
  const auto serve = [this](const httplib::Request& request, httplib::Response& response) {
    Exchange& exchange = *exchange_;

    if (request.body.size() > settings_.largest_request) {
      Refuse(exchange, NotRun(ErrorCode::kTooLarge, 413, "request body is too large"), response);
      return;
    }

    Reply(exchange,
          handler_.Handle({.method = request.method,
                           .target = request.target,
                           .path = exchange.path,
                           .headers = EndToEndHeaders(exchange.headers),
                           .body = request.body}),
          response);
  };

  Get("/", serve);
  Post("/", serve);
  Put("/", serve);
  Patch("/", serve);
  Delete("/", serve);
  Options("/", serve);

  set_pre_routing_handler([this](const httplib::Request&, httplib::Response& response) {
    Exchange& exchange = *exchange_;
    if (!exchange.refusal) return HandlerResponse::Unhandled;

    Refuse(exchange, *exchange.refusal, response);
    return HandlerResponse::Handled;
  });

  set_error_handler([this](const httplib::Request&, httplib::Response& response) {
    Exchange& exchange = *exchange_;
    if (exchange.has_reply) return;

    Refuse(exchange, ReadFailure(exchange, response.status), response);
  });

  set_post_routing_handler([this](const httplib::Request&, httplib::Response& response) {
    FinishHead(*exchange_, response);
  });
}

void CallerServer::ReadHead(httplib::Request& request, Exchange& exchange) const {
  for (const auto& [name, value] : request.headers) {
    const auto is_same = [&name = name](std::string_view other) {
      return SameHeaderName(name, other);
    };
    if (std::ranges::any_of(kLibraryHeaders, is_same)) continue;
    exchange.headers.push_back({name, value});
  }

  exchange.closes = request.version != "HTTP/1.1" || AsksToClose(exchange.headers);

  const auto refuse = [&exchange](ErrorCode code, int status, std::string detail) {
    exchange.refusal = NotRun(code, status, std::move(detail));
  };

  const Framing framing = BodyFraming(exchange.headers);
  const bool has_body =
      framing == Framing::kChunked ||
      (framing == Framing::kLength && HeaderValue(exchange.headers, "Content-Length") != "0");

  if (exchange.stream->SawBareLineFeed() || HasMalformedName(exchange.headers)) {
    refuse(ErrorCode::kMalformed, 400, "malformed header line");
  } else if (framing == Framing::kBad) {
    refuse(ErrorCode::kMalformed, 400, "contradictory or malformed body length");
  } else if (!IsKnown(request.method)) {
    refuse(ErrorCode::kInvalidArgument, 400, "method is not served");
  } else if (!request.target.starts_with('/')) {
    refuse(ErrorCode::kInvalidArgument, 400, "target is not a path");
  } else if (has_body && !TakesBody(request.method)) {
    refuse(ErrorCode::kInvalidArgument, 400, "method takes no body");
  } else if (framing == Framing::kLength &&
             std::stoull(HeaderValue(exchange.headers, "Content-Length")) >
                 settings_.largest_request) {
    refuse(ErrorCode::kTooLarge, 413, "request body is too large");
  }

  const bool expects_continue = request.has_header("Expect") && !exchange.refusal;
  const std::string expected = request.get_header_value("Expect");

  // The library shall neither decode, convert, cut nor compress a body.
  for (const char* name : kUpstreamHeaders) request.headers.erase(name);
  request.ranges.clear();
  exchange.path = std::exchange(request.path, std::string(1, '/'));

  if (expects_continue) request.headers.emplace("Expect", expected);

  // Without a length the library would read on until the connection ends.
  if (framing == Framing::kNone) request.headers.emplace("Content-Length", "0");
}

void CallerServer::Reply(Exchange& exchange, const Answer& answer,
                         httplib::Response& response) const {
  exchange.has_reply = true;
  exchange.stream->SetDeadline(clock_.Now() + kWriteLimit);
  response.status = answer.status;
  response.headers.clear();
  response.body = answer.body;

  for (const Header& header : answer.headers) {
    if (SameHeaderName(header.name, "Content-Length")) {
      exchange.head_length = header.value;
      continue;
    }

    if (SameHeaderName(header.name, "Content-Type")) exchange.content_type = header.value;
    response.headers.emplace(header.name, header.value);
  }
}

void CallerServer::Refuse(Exchange& exchange, const RequestFailure& failure,
                          httplib::Response& response) const {
  // What follows on this connection may be the rest of the body.
  exchange.closes = true;
  Reply(exchange, handler_.Refuse(exchange.headers, failure), response);
}

void CallerServer::FinishHead(Exchange& exchange, httplib::Response& response) const {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;

  // Takes back what the library added.
  response.headers.erase("Keep-Alive");
  response.headers.erase("Connection");
  response.headers.erase("Accept-Ranges");
  if (exchange.content_type.empty()) response.headers.erase("Content-Type");

  if (response.body.empty() && !exchange.head_length.empty()) {
    response.headers.erase("Content-Length");
    response.headers.emplace("Content-Length", exchange.head_length);
  }

  if (response.status == kNoContent) response.headers.erase("Content-Length");
  if (response.status == kNotModified && exchange.head_length.empty()) {
    response.headers.erase("Content-Length");
  }

  exchange.closes = exchange.closes || handler_.IsDraining();
  if (exchange.closes) response.headers.emplace("Connection", "close");
}

RequestFailure CallerServer::ReadFailure(const Exchange& exchange, int status) const {
  constexpr int kRequestTimeout = 408;
  constexpr int kBadRequest = 400;

  switch (exchange.stream->LastFault()) {
    case SocketStream::Fault::kTooLarge:
      return NotRun(ErrorCode::kTooLarge, 413, "request is too large");
    case SocketStream::Fault::kTimeout:
      return NotRun(ErrorCode::kTimeout, kRequestTimeout, "request did not come in time");
    default:
      break;
  }

  const int shown = status >= kBadRequest ? status : kBadRequest;
  return NotRun(ErrorCode::kMalformed, shown, "request cannot be read");
}

}  // namespace currantpost
