#include "upstream_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "socket_stream.h"

namespace currantpost {
namespace {

/// Bytes that the head of an answer may take besides its body.
constexpr size_t kLargestHead = 65'536;

bool MakeAddress(const Address& address, sockaddr_storage& storage, socklen_t& size) {
  auto* v4 = reinterpret_cast<sockaddr_in*>(&storage);   // NOLINT
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&storage);  // NOLINT

  if (inet_pton(AF_INET, address.host.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(static_cast<uint16_t>(address.port));
    size = sizeof(sockaddr_in);
    return true;
  }

  if (inet_pton(AF_INET6, address.host.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(static_cast<uint16_t>(address.port));
    size = sizeof(sockaddr_in6);
    return true;
  }

  return false;
}

bool AwaitConnected(int socket, const Clock& clock, Millis deadline) {
  const Millis left = std::max(deadline - clock.Now(), Millis(0));
  pollfd waiting{.fd = socket, .events = POLLOUT, .revents = 0};

  if (poll(&waiting, 1, static_cast<int>(left.Count())) <= 0) return false;

  int fault = 0;
  socklen_t size = sizeof(fault);
  return getsockopt(socket, SOL_SOCKET, SO_ERROR, &fault, &size) == 0 && fault == 0;
}

/// Bounds the time that sent bytes may stay unacknowledged.
void SetUserTimeout(int socket, Millis span) {
  const auto millis = static_cast<unsigned>(std::max<int64_t>(span.Count(), 1));
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof(millis));
}

HeaderList FromLibrary(const httplib::Headers& headers) {
  HeaderList list;
  for (const auto& [name, value] : headers) list.push_back({name, value});

  return list;
}

bool HasNoBody(const CallerRequest& request, int status) {
  return request.method == "HEAD" || status == 204 || status == 304;
}

AttemptResult Unknown(ErrorCode code, std::string detail) {
  return {.outcome = AttemptOutcome::kUnknown, .error = MakeError(code, std::move(detail))};
}

AttemptResult FromFault(const SocketStream& stream) {
  const SocketStream::Fault fault = stream.LastFault();

  if (!stream.HasSent()) {
    return {
        .outcome = AttemptOutcome::kNotSent,
        .error = MakeError(ErrorCode::kUnavailable, "connection was gone before the first byte"),
        .abandoned = fault == SocketStream::Fault::kAbandoned};
  }

  switch (fault) {
    case SocketStream::Fault::kTimeout: {
      AttemptResult result = Unknown(ErrorCode::kTimeout, "no whole answer until the deadline");
      result.silent = !stream.HasReceived();
      return result;
    }
    case SocketStream::Fault::kClosed:
    case SocketStream::Fault::kReset: {
      AttemptResult result =
          Unknown(ErrorCode::kIncompleteAnswer, "connection ended before the answer was whole");
      result.broken = !stream.HasReceived();
      return result;
    }
    case SocketStream::Fault::kAbandoned: {
      AttemptResult result = Unknown(ErrorCode::kOutcomeUnknown, "no longer wanted");
      result.abandoned = true;
      return result;
    }
    case SocketStream::Fault::kTooLarge:
      return Unknown(ErrorCode::kTooLarge, "answer is too large");
    case SocketStream::Fault::kNone:
      return Unknown(ErrorCode::kIncompleteAnswer, "answer is malformed");
  }

  return Unknown(ErrorCode::kInternal, "fault without a name");
}

}  // namespace

/// Uses the library for writing a request and reading an answer only. `process_request` neither
/// connects nor sends again nor follows redirects, unlike the library's own `send`.
class UpstreamConnection::Codec : public httplib::ClientImpl {
 public:
  Codec(const Address& address, int socket, const Clock& clock)
      : ClientImpl(address.host, address.port), stream_(socket, clock) {
    set_url_encode(false);
    set_decompress(false);
    set_follow_location(false);
    set_keep_alive(true);
  }

  SocketStream& Wire() { return stream_; }

  bool Run(httplib::Request& request, httplib::Response& response) {
    httplib::Error error = httplib::Error::Success;
    return process_request(stream_, request, response, false, error);
  }

 private:
  SocketStream stream_;
};

Result<std::unique_ptr<UpstreamConnection>> UpstreamConnection::Connect(const Address& address,
                                                                        const Clock& clock,
                                                                        Millis deadline) {
  sockaddr_storage storage{};
  socklen_t size = 0;

  if (!MakeAddress(address, storage, size)) {
    return Fail(ErrorCode::kInvalidArgument, "not an IP number: " + address.host);
  }

  const int socket = ::socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0) return Fail(ErrorCode::kUnavailable, "no socket");

  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));

  const auto* generic = reinterpret_cast<const sockaddr*>(&storage);  // NOLINT
  const bool connected = connect(socket, generic, size) == 0 ||
                         (errno == EINPROGRESS && AwaitConnected(socket, clock, deadline));

  if (!connected) {
    close(socket);
    return Fail(ErrorCode::kUnavailable, "cannot connect to " + address.host);
  }

  return std::unique_ptr<UpstreamConnection>(new UpstreamConnection(socket, address, clock));
}

UpstreamConnection::UpstreamConnection(int socket, const Address& address, const Clock& clock)
    : socket_(socket),
      clock_(clock),
      last_use_(clock.Now()),
      codec_(std::make_unique<Codec>(address, socket, clock)) {}

UpstreamConnection::~UpstreamConnection() { close(socket_); }

bool UpstreamConnection::IsStale() const { return codec_->Wire().HasUnread(); }

AttemptResult UpstreamConnection::Exchange(const CallerRequest& request,
                                           const std::string& attempt_id,
                                           const ExchangeLimits& limits) {
  if (clock_.Now() >= limits.deadline) {
    return {.outcome = AttemptOutcome::kNotSent,
            .error = MakeError(ErrorCode::kTimeout, "deadline passed before the first byte")};
  }

  SocketStream& wire = codec_->Wire();
  wire.ResetCounts();
  wire.SetDeadline(limits.deadline);
  wire.SetReadLimit(2 * limits.largest_answer + kLargestHead);
  wire.SetWatch(limits.watch);
  SetUserTimeout(socket_, limits.deadline - clock_.Now());

  httplib::Request outgoing;
  outgoing.method = request.method;
  outgoing.path = request.target;

  for (const Header& header : EndToEndHeaders(request.headers)) {
    if (SameHeaderName(header.name, "Content-Length")) continue;
    if (SameHeaderName(header.name, kRequestIdHeader)) continue;
    outgoing.headers.emplace(header.name, header.value);
  }

  outgoing.headers.emplace(kRequestIdHeader, attempt_id);

  if (!request.body.empty()) {
    // A provider keeps the library from inventing a Content-Type.
    outgoing.content_length_ = request.body.size();
    outgoing.content_provider_ = [&request](size_t offset, size_t length, httplib::DataSink& sink) {
      return sink.write(request.body.data() + offset, length);
    };
  }

  Answer answer;
  ErrorCode refusal = ErrorCode::kOk;
  bool is_bodiless_head = false;

  outgoing.response_handler = [&](const httplib::Response& response) {
    answer.headers = FromLibrary(response.headers);
    answer.status = response.status;

    if (HasNoBody(request, response.status)) {
      is_bodiless_head = true;
      return false;
    }

    const Framing framing = BodyFraming(answer.headers);
    if (framing == Framing::kNone || framing == Framing::kBad) {
      refusal = ErrorCode::kIncompleteAnswer;
      return false;
    }

    return true;
  };

  outgoing.content_receiver = [&](const char* data, size_t size, uint64_t, uint64_t) {
    if (answer.body.size() + size > limits.largest_answer) {
      refusal = ErrorCode::kTooLarge;
      return false;
    }

    answer.body.append(data, size);
    return true;
  };

  ++exchanges_;
  httplib::Response response;
  const bool is_whole = codec_->Run(outgoing, response) || is_bodiless_head;

  if (refusal != ErrorCode::kOk) return Unknown(refusal, "answer cannot be passed on whole");
  if (!is_whole) return FromFault(wire);

  answer.status = response.status;
  answer.headers = FromLibrary(response.headers);

  if (answer.status < 200) return Unknown(ErrorCode::kIncompleteAnswer, "interim answer");

  const std::string echoed = HeaderValue(answer.headers, kRequestIdHeader);

  if (!echoed.empty() && echoed != attempt_id) {
    return Unknown(ErrorCode::kMismatchedAnswer, "answer belongs to another request");
  }

  last_use_ = clock_.Now();

  AttemptResult result;
  result.outcome = AttemptOutcome::kAnswered;
  result.reusable =
      response.version == "HTTP/1.1" && !AsksToClose(answer.headers) && !wire.HasUnread();
  result.said_leaving = HeaderValue(answer.headers, kLeavingHeader) == "1";

  if (answer.status == 503 && HeaderValue(answer.headers, kNotRunHeader) == "1") {
    result.outcome = AttemptOutcome::kNotRun;
    result.error = MakeError(ErrorCode::kUnavailable, "upstream did not run the request");
    return result;
  }

  result.answer = std::move(answer);
  return result;
}

}  // namespace currantpost
