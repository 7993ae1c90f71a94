#include "proxy.h"

#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>

namespace currantpost::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kPathPollInterval = std::chrono::milliseconds(20);

/// Closes with a reset.
void Reset(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

/// One direction of a connection.
struct Direction {
  Direction(tcp::socket& the_from, tcp::socket& the_to, bool is_to_target)
      : from(the_from), to(the_to), to_target(is_to_target), timer(the_from.get_executor()) {}

  tcp::socket& from;
  tcp::socket& to;
  const bool to_target;
  asio::steady_timer timer;
  std::array<char, 16'384> buffer{};
  /// What the last read gave.
  error_code error;
  size_t size = 0;
};

/// A client's connection and the one to the target.
struct Connection {
  explicit Connection(tcp::socket the_client)
      : client(std::move(the_client)),
        target(client.get_executor()),
        to_target(client, target, true),
        to_client(target, client, false) {}

  tcp::socket client;
  tcp::socket target;
  Direction to_target;
  Direction to_client;
  bool silent = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

}  // namespace

struct Proxy::Impl {
  Impl(asio::io_context& the_context, const Address& listen, std::string the_target_host,
       int the_target_port)
      : context(the_context),
        acceptor(the_context, tcp::endpoint(asio::ip::make_address(listen.host),
                                            static_cast<uint16_t>(listen.port))),
        target_host(std::move(the_target_host)),
        target_port(the_target_port) {}

  void Accept();
  void Open(tcp::socket client);
  void Read(const ConnectionPtr& connection, Direction& direction);
  void Deliver(const ConnectionPtr& connection, Direction& direction);
  void DeliverAfter(std::chrono::milliseconds span, const ConnectionPtr& connection,
                    Direction& direction);
  void ForEachPresent(const std::function<void(Connection&)>& action);
  [[nodiscard]] bool IsCut(bool to_target) const;

  asio::io_context& context;
  tcp::acceptor acceptor;
  const std::string target_host;
  std::atomic<int> target_port;
  std::atomic<PathFault> fault = PathFault::kNone;
  std::atomic<int64_t> delay_ms = 0;
  /// Used only on the thread of the context.
  std::list<std::weak_ptr<Connection>> connections;
};

Proxy::Proxy(asio::io_context& context, const Address& listen, std::string target_host,
             int target_port)
    : impl_(std::make_unique<Impl>(context, listen, std::move(target_host), target_port)) {
  impl_->Accept();
}

Proxy::~Proxy() = default;

void Proxy::SetTargetPort(int port) {
  if (impl_->target_port.exchange(port) != port) ResetPresent();
}

void Proxy::SetFault(PathFault fault, Millis delay) {
  impl_->delay_ms = delay.Count();
  impl_->fault = fault;
  if (fault == PathFault::kReset) ResetPresent();
}

void Proxy::ResetPresent() {
  impl_->ForEachPresent([](Connection& connection) {
    Reset(connection.client);
    Reset(connection.target);
  });
}

void Proxy::SilencePresent() {
  impl_->ForEachPresent([](Connection& connection) { connection.silent = true; });
}

void Proxy::Impl::ForEachPresent(const std::function<void(Connection&)>& action) {
  asio::post(context, [this, action] {
    std::erase_if(connections, [](const auto& weak) { return weak.expired(); });
    for (const auto& weak : connections) {
      if (const std::shared_ptr<Connection> connection = weak.lock()) action(*connection);
    }
  });
}

void Proxy::Impl::Accept() {
  acceptor.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) Open(std::move(socket));
    Accept();
  });
}

void Proxy::Impl::Open(tcp::socket client) {
  if (fault == PathFault::kReset || target_port == 0) return Reset(client);

  const auto connection = std::make_shared<Connection>(std::move(client));
  std::erase_if(connections, [](const auto& weak) { return weak.expired(); });
  connections.push_back(connection);

  const tcp::endpoint target(asio::ip::make_address(target_host),
                             static_cast<uint16_t>(target_port.load()));
  connection->target.async_connect(target, [this, connection](const error_code& error) {
    if (error || !connection->client.is_open()) return Reset(connection->client);

    error_code ignored;
    connection->client.set_option(tcp::no_delay(true), ignored);
    connection->target.set_option(tcp::no_delay(true), ignored);
    Read(connection, connection->to_target);
    Read(connection, connection->to_client);
  });
}

bool Proxy::Impl::IsCut(bool to_target) const {
  const PathFault present = fault;
  return present == PathFault::kCutBoth ||
         present == (to_target ? PathFault::kCutToTarget : PathFault::kCutToClient);
}

void Proxy::Impl::Read(const ConnectionPtr& connection, Direction& direction) {
  direction.from.async_read_some(
      asio::buffer(direction.buffer),
      [this, connection, &direction](const error_code& error, size_t size) {
        direction.error = error;
        direction.size = size;
        const bool delayed = fault == PathFault::kDelayed;
        const auto delay = std::chrono::milliseconds(delayed ? delay_ms.load() : 0);
        DeliverAfter(delay, connection, direction);
      });
}

void Proxy::Impl::DeliverAfter(std::chrono::milliseconds span, const ConnectionPtr& connection,
                               Direction& direction) {
  if (span.count() == 0) return Deliver(connection, direction);

  direction.timer.expires_after(span);
  direction.timer.async_wait([this, connection, &direction](const error_code& error) {
    if (!error) Deliver(connection, direction);
  });
}

void Proxy::Impl::Deliver(const ConnectionPtr& connection, Direction& direction) {
  // Neither bytes nor the end get through a silent connection.
  if (connection->silent && direction.error) return;
  if (connection->silent) return Read(connection, direction);

  if (IsCut(direction.to_target)) return DeliverAfter(kPathPollInterval, connection, direction);

  // No peer here goes on after it has closed one direction.
  if (direction.error == asio::error::eof) {
    error_code ignored;
    direction.to.close(ignored);
    direction.from.close(ignored);
    return;
  }

  if (direction.error) return Reset(direction.to);

  asio::async_write(direction.to, asio::buffer(direction.buffer, direction.size),
                    [this, connection, &direction](const error_code& error, size_t /*size*/) {
                      if (error) return Reset(direction.from);
                      Read(connection, direction);
                    });
}

ProxyThread::ProxyThread()
    : work_(asio::make_work_guard(context_)), thread_([this] { context_.run(); }) {}

ProxyThread::~ProxyThread() {
  context_.stop();
  thread_.join();
}

Proxy& ProxyThread::Add(const Address& listen, const std::string& target_host, int target_port) {
  return proxies_.emplace_back(context_, listen, target_host, target_port);
}

}  // namespace currantpost::soak
