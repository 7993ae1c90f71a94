#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>

#include "currantpost/transport/http_client.h"
#include "raw_server.h"

/// Tests how the HTTP client reads long replies.

namespace currantpost {
namespace {

constexpr size_t kBodyBytes = 300'000;
/// Room for the whole reply in the server's socket.
constexpr int kSendBufferBytes = 1'000'000;
/// Most turns of the event loop for the reply: with reads of 64 KB, or of what a small socket
/// buffer holds.
constexpr int32_t kMaxTurns = 60;

/// Sends a long reply once told to.
class LongReplyServer {
 public:
  [[nodiscard]] int32_t port() const { return server_.port(); }

  std::atomic<bool> received = false;
  std::atomic<bool> may_send = false;
  std::atomic<bool> sent = false;

 private:
  void Serve(int connection) {
    setsockopt(connection, SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof(kSendBufferBytes));
    char request[4'096];
    EXPECT_GT(recv(connection, request, sizeof(request), 0), 0);
    received = true;
    while (!may_send) std::this_thread::yield();

    const std::string reply = "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(kBodyBytes) +
                              "\r\n\r\n" + std::string(kBodyBytes, 'x');
    size_t done = 0;
    while (done < reply.size()) {
      const ssize_t count = send(connection, reply.data() + done, reply.size() - done, 0);
      if (count <= 0) break;

      done += static_cast<size_t>(count);
    }
    EXPECT_EQ(done, reply.size());
    sent = true;
    // Ends once the client has closed the connection.
    EXPECT_EQ(recv(connection, request, sizeof(request), 0), 0);
  }

  RawServer server_{[this](int connection) { Serve(connection); }};
};

// Guards against long replies that were never read in time: each turn of the event loop took 512
// bytes of them.
TEST(LongReply, TakesFewTurnsOfTheEventLoop) {
  LongReplyServer server;
  EventLoop loop;
  MonotonicClock clock;
  std::optional<HttpReply> result;
  int32_t turns = 0;

  {
    HttpClient client(loop, clock, HttpClientLimits{});
    client.Send(Address{"127.0.0.1", server.port()}, HttpRequest{}, Millis(5'000),
                [&](HttpReply reply) {
                  result = std::move(reply);
                  loop.Stop();
                });

    std::function<void()> count_turn = [&] {
      ++turns;
      loop.After(Millis(0), count_turn);
    };
    std::function<void()> start = [&] {
      if (!server.received) return loop.After(Millis(1), start);

      // The reply is there before the client reads any of it.
      server.may_send = true;
      while (!server.sent) std::this_thread::yield();
      count_turn();
    };
    start();
    loop.Run();
  }

  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(result->response.body.size(), kBodyBytes);
  EXPECT_LE(turns, kMaxTurns);
}

}  // namespace
}  // namespace currantpost
