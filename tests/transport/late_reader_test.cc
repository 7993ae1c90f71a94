#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "currantpost/transport/http_client.h"
#include "currantpost/transport/http_server.h"
#include "raw_server.h"

/// Tests a process that is short of processor time: its event loop stands still while peers send.

namespace currantpost {
namespace {

constexpr Millis kTimeout = Millis(200);
/// The loop stands still until well after the timeout of a call, and past the next check of the
/// server's connections.
/// @{
constexpr Millis kLateForCall = Millis(300);
constexpr Millis kLateForCheck = Millis(1'300);
/// @}
constexpr Millis kMaxWait = Millis(5'000);
/// Longer than what one read takes, shorter than what the socket holds.
constexpr size_t kLongBodyBytes = 100'000;

/// A server with an event loop of its own, in a thread.
class RemoteServer {
 public:
  explicit RemoteServer(HttpServer::Handler handler)
      : server_(loop_, clock_, HttpServerLimits{}, std::move(handler)) {
    EXPECT_FALSE(server_.Listen(Address{"127.0.0.1", 0}).code);
    thread_ = std::thread([this] { loop_.Run(); });
  }

  ~RemoteServer() {
    loop_.After(Millis(0), [this] { loop_.Stop(); });
    thread_.join();
  }

  [[nodiscard]] Address address() const { return Address{"127.0.0.1", server_.port()}; }

 private:
  EventLoop loop_;
  MonotonicClock clock_;
  HttpServer server_;
  std::thread thread_;
};

/// A blocking connection to a server.
class RawCaller {
 public:
  explicit RawCaller(int port) : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    EXPECT_EQ(connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  }

  ~RawCaller() { close(socket_); }

  void Send(const std::string& bytes) const {
    EXPECT_EQ(send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }

  /// Returns what the server has sent until it closed the connection.
  [[nodiscard]] std::string Receive() const {
    std::string received;
    char buffer[4'096];
    for (ssize_t count = 1; count > 0;) {
      count = recv(socket_, buffer, sizeof(buffer), 0);
      if (count > 0) received.append(buffer, static_cast<size_t>(count));
    }
    return received;
  }

 private:
  int socket_;
};

/// Sends half a reply, and ends once the client has closed the connection.
void SendHalfAReply(int connection) {
  char request[4'096];
  EXPECT_GT(recv(connection, request, sizeof(request), 0), 0);
  const std::string half = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf";
  EXPECT_EQ(send(connection, half.data(), half.size(), 0), static_cast<ssize_t>(half.size()));
  EXPECT_EQ(recv(connection, request, sizeof(request), 0), 0);
}

void StandStill(Millis span) {
  std::this_thread::sleep_for(std::chrono::milliseconds(span.Count()));
}

/// Sends a call, stands still once the server has received it, and returns the result.
HttpReply CallAndStandStill(const HttpServer::Handler& handler) {
  std::atomic<bool> received = false;
  std::atomic<bool> may_reply = false;
  RemoteServer server([&](const ReceivedRequest& request, const Respond& respond) {
    received = true;
    while (!may_reply) std::this_thread::yield();

    handler(request, respond);
  });
  EventLoop loop;
  MonotonicClock clock;
  HttpClient client(loop, clock, HttpClientLimits{});
  std::optional<HttpReply> result;
  client.Send(server.address(), HttpRequest{}, kTimeout, [&](HttpReply reply) {
    result = std::move(reply);
    loop.Stop();
  });

  std::function<void()> stand_still = [&] {
    if (!received) return loop.After(Millis(1), stand_still);

    may_reply = true;
    StandStill(kLateForCall);
  };
  stand_still();
  loop.After(kMaxWait, [&] { loop.Stop(); });
  loop.Run();
  return result.value_or(HttpReply{});
}

// Guards against ends of runs that were never handled: replies that had arrived were dropped by
// the timeout of their call.
TEST(LateReader, ReceivesAReplyThatArrivedInTime) {
  const HttpReply reply = CallAndStandStill([](const ReceivedRequest&, const Respond& respond) {
    respond(HttpResponse{.body = std::string(2'000, 'x')});
  });

  EXPECT_EQ(reply.outcome, CallOutcome::kAnswered);
  EXPECT_EQ(reply.response.body.size(), 2'000U);
}

TEST(LateReader, GivesUpACallWithoutAReply) {
  const HttpReply reply = CallAndStandStill([](const ReceivedRequest&, const Respond&) {});

  EXPECT_EQ(reply.outcome, CallOutcome::kUnknown);
}

// Guards against a call that stays open for as long as its reply is unfinished.
TEST(LateReader, GivesUpAReplyThatStopsHalfway) {
  RawServer server(SendHalfAReply);
  EventLoop loop;
  MonotonicClock clock;
  HttpClient client(loop, clock, HttpClientLimits{});
  std::optional<HttpReply> result;
  client.Send(Address{"127.0.0.1", server.port()}, HttpRequest{}, kTimeout, [&](HttpReply reply) {
    result = std::move(reply);
    loop.Stop();
  });
  loop.After(kMaxWait, [&] { loop.Stop(); });
  loop.Run();

  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(result->outcome, CallOutcome::kUnknown);
}

// Guards against requests that were cut off without an answer although they had arrived in time.
TEST(LateReader, AnswersARequestThatArrivedInTime) {
  EventLoop loop;
  MonotonicClock clock;
  const HttpServerLimits limits{.max_body_bytes = 1'000'000, .header_timeout = kTimeout};
  HttpServer server(loop, clock, limits,
                    [](const ReceivedRequest& request, const Respond& respond) {
                      respond(HttpResponse{.body = std::to_string(request.body.size())});
                    });
  ASSERT_FALSE(server.Listen(Address{"127.0.0.1", 0}).code);

  // The first part of the request has been read when the loop stands still.
  const std::string body(kLongBodyBytes, 'x');
  RawCaller caller(server.port());
  caller.Send("POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n");
  bool has_stood_still = false;
  std::function<void()> stand_still = [&] {
    if (server.connections() == 0 && !has_stood_still) return loop.After(Millis(1), stand_still);

    if (std::exchange(has_stood_still, true)) {
      if (server.connections() == 0) return loop.Stop();
    } else {
      caller.Send(body);
      StandStill(kLateForCheck);
    }
    loop.After(Millis(20), stand_still);
  };
  loop.After(Millis(20), stand_still);
  loop.After(kMaxWait, [&] { loop.Stop(); });
  loop.Run();

  EXPECT_NE(caller.Receive().find("\r\n\r\n" + std::to_string(body.size())), std::string::npos);
}

}  // namespace
}  // namespace currantpost
