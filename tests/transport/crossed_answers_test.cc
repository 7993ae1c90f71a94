#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "currantpost/transport/http_client.h"

/// A call must never receive the response to another call.

namespace currantpost {
namespace {

std::string Response(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class MismatchedResponses : public testing::Test {
 protected:
  void RunUntil(const std::function<bool()>& condition, Millis max_wait = Millis(5'000)) {
    if (condition()) return;

    const Millis deadline = clock_.Now() + max_wait;
    loop_.After(Millis(1), [this, condition, deadline] { Poll(condition, deadline); });
    loop_.Run();
  }

  /// Listens on a plain socket, so that the test controls every byte of a response.
  void Listen() {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    ASSERT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    ASSERT_EQ(listen(listener_, 8), 0);
    socklen_t size = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    address_ = Address{"127.0.0.1", ntohs(address.sin_port)};
  }

  /// Waits for a request on any connection and returns that connection.
  int ReceiveRequest(std::string& request) {
    request.clear();
    int from = -1;
    RunUntil([&] {
      const int accepted = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
      if (accepted >= 0) connections_.push_back(accepted);

      for (const int connection : connections_) {
        char buffer[4'096];
        const ssize_t count = recv(connection, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (count <= 0) continue;
        request.append(buffer, static_cast<size_t>(count));
        from = connection;
      }

      return request.find("\r\n\r\n") != std::string::npos;
    });
    return from;
  }

  void Send(const std::string& target, std::optional<HttpReply>& reply, Millis timeout) {
    client_.Send(address_, HttpRequest{.target = target}, timeout,
                 [&reply](HttpReply result) { reply = std::move(result); });
  }

  static void Write(int connection, const std::string& bytes) {
    ASSERT_EQ(send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }

  void TearDown() override {
    for (const int connection : connections_) close(connection);
    if (listener_ >= 0) close(listener_);
  }

  EventLoop loop_;
  MonotonicClock clock_;
  HttpClient client_{loop_, clock_, HttpClientLimits{}};
  Address address_;

 private:
  void Poll(const std::function<bool()>& condition, Millis deadline) {
    if (condition() || clock_.Now() >= deadline) {
      loop_.Stop();
      return;
    }

    loop_.After(Millis(1), [this, condition, deadline] { Poll(condition, deadline); });
  }

  int listener_ = -1;
  std::vector<int> connections_;
};

// Guards against mismatched responses: bytes received after a response were read as the response to
// the next call on that connection.
TEST_F(MismatchedResponses, BytesAfterAResponseAreNotReadAsTheNextResponse) {
  Listen();
  std::optional<HttpReply> first;
  std::optional<HttpReply> second;
  std::string request;
  Send("/first", first, Millis(2'000));
  Write(ReceiveRequest(request), Response("first") + Response("stray"));
  RunUntil([&] { return first.has_value(); });
  ASSERT_EQ(first->response.body, "first");

  Send("/second", second, Millis(2'000));
  const int connection = ReceiveRequest(request);
  if (!second) Write(connection, Response("second"));
  RunUntil([&] { return second.has_value(); });

  EXPECT_EQ(second->response.body, "second");
}

}  // namespace
}  // namespace currantpost
