#include "tcp_relay.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace currantpost {
namespace {

constexpr int kPollMillis = 10;

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);

  return address;
}

bool IsReadable(int socket, int wait_millis) {
  pollfd entry{.fd = socket, .events = POLLIN, .revents = 0};

  return poll(&entry, 1, wait_millis) > 0;
}

/// Passes on what is readable, or swallows it. Returns false once the sender has ended.
bool PassOnce(int from, int to, bool swallow) {
  if (!IsReadable(from, 0)) return true;

  std::array<char, 16'384> buffer{};
  const ssize_t size = recv(from, buffer.data(), buffer.size(), 0);
  if (size <= 0) return false;
  if (swallow) return true;

  return send(to, buffer.data(), size, MSG_NOSIGNAL) == size;
}

}  // namespace

TcpRelay::TcpRelay(int target_port)
    : target_port_(target_port), listener_(socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  static_cast<void>(bind(listener_, reinterpret_cast<sockaddr*>(&address), size));
  listen(listener_, SOMAXCONN);
  getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);

  thread_ = std::thread([this] { Accept(); });
}

TcpRelay::~TcpRelay() {
  stopping_ = true;
  thread_.join();

  for (Connection& connection : connections_) connection.thread.join();

  close(listener_);
}

void TcpRelay::SilencePresent() {
  silence_requested_ = true;
  while (silence_requested_) std::this_thread::yield();
}

void TcpRelay::SetSilent(bool silent) {
  silent_ = silent;
  if (silent) SilencePresent();
}

void TcpRelay::Accept() {
  while (!stopping_) {
    if (silence_requested_) {
      for (Connection& connection : connections_) connection.silent = true;
      silence_requested_ = false;
    }

    if (!IsReadable(listener_, kPollMillis)) continue;

    Connection& connection = connections_.emplace_back();
    connection.client = accept(listener_, nullptr, nullptr);
    connection.silent = silent_.load();
    connection.target = socket(AF_INET, SOCK_STREAM, 0);

    const sockaddr_in target = Loopback(target_port_);
    static_cast<void>(
        connect(connection.target, reinterpret_cast<const sockaddr*>(&target), sizeof(target)));
    connection.thread = std::thread([this, &connection] { Pass(connection); });
  }
}

void TcpRelay::Pass(Connection& connection) const {
  bool open = true;

  while (open && !stopping_) {
    IsReadable(connection.client, 1);
    const bool silent = connection.silent;
    open = PassOnce(connection.client, connection.target, silent);

    // What the target says, or that it has ended, does not get through a silent connection.
    if (open && !silent) open = PassOnce(connection.target, connection.client, false);
  }

  close(connection.client);
  close(connection.target);
}

}  // namespace currantpost
