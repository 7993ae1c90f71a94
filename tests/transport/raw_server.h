#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <thread>

namespace currantpost {

/// Accepts one connection and serves its socket in a thread.
class RawServer {
 public:
  explicit RawServer(std::function<void(int)> serve) : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    socklen_t length = sizeof(address);
    EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&address), length), 0);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    listen(listener_, 1);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this, serve = std::move(serve)] {
      const int connection = accept(listener_, nullptr, nullptr);
      serve(connection);
      close(connection);
    });
  }

  ~RawServer() {
    thread_.join();
    close(listener_);
  }

  [[nodiscard]] int32_t port() const { return port_; }

 private:
  int listener_;
  int32_t port_ = 0;
  std::thread thread_;
};

}  // namespace currantpost
