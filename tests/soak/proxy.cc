#include "proxy.h"

#include <array>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <functional>

namespace currantpost::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Millis kPathPollInterval = Millis(20);

asio::awaitable<void> Sleep(Millis span) {
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           std::chrono::milliseconds(span.Count()));
  co_await timer.async_wait(asio::use_awaitable);
}

auto WithError(boost::system::error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

/// Closes with a reset.
void Reset(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

/// A client's connection and the one to the target.
struct Connection {
  explicit Connection(tcp::socket the_client)
      : client(std::move(the_client)), target(client.get_executor()) {}

  tcp::socket client;
  tcp::socket target;
  bool silent = false;
};

}  // namespace

struct Proxy::Impl {
  Impl(asio::io_context& the_context, const Address& listen, std::string the_target_host,
       int the_target_port)
      : context(the_context),
        acceptor(the_context, tcp::endpoint(asio::ip::make_address(listen.host),
                                            static_cast<uint16_t>(listen.port))),
        target_host(std::move(the_target_host)),
        target_port(the_target_port) {}

  asio::awaitable<void> Accept();
  asio::awaitable<void> Open(std::shared_ptr<Connection> connection);
  asio::awaitable<void> Pass(std::shared_ptr<Connection> connection, bool to_target);
  asio::awaitable<void> WaitForPath(const Connection& connection, bool to_target) const;
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
  asio::co_spawn(context, impl_->Accept(), asio::detached);
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

asio::awaitable<void> Proxy::Impl::Accept() {
  while (acceptor.is_open()) {
    boost::system::error_code error;
    tcp::socket socket = co_await acceptor.async_accept(WithError(error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) continue;

    if (fault == PathFault::kReset || target_port == 0) {
      Reset(socket);
      continue;
    }

    auto connection = std::make_shared<Connection>(std::move(socket));
    std::erase_if(connections, [](const auto& weak) { return weak.expired(); });
    connections.push_back(connection);
    asio::co_spawn(context, Open(connection), asio::detached);
  }
}

asio::awaitable<void> Proxy::Impl::Open(std::shared_ptr<Connection> connection) {
  const tcp::endpoint target(asio::ip::make_address(target_host),
                             static_cast<uint16_t>(target_port.load()));
  boost::system::error_code error;
  co_await connection->target.async_connect(target, WithError(error));

  if (error || !connection->client.is_open()) {
    Reset(connection->client);
    co_return;
  }

  boost::system::error_code ignored;
  connection->client.set_option(tcp::no_delay(true), ignored);
  connection->target.set_option(tcp::no_delay(true), ignored);
  asio::co_spawn(context, Pass(connection, true), asio::detached);
  asio::co_spawn(context, Pass(connection, false), asio::detached);
}

bool Proxy::Impl::IsCut(bool to_target) const {
  const PathFault present = fault;
  return present == PathFault::kCutBoth ||
         present == (to_target ? PathFault::kCutToTarget : PathFault::kCutToClient);
}

asio::awaitable<void> Proxy::Impl::WaitForPath(const Connection& connection, bool to_target) const {
  if (fault == PathFault::kDelayed) co_await Sleep(Millis(delay_ms));
  while (IsCut(to_target) && !connection.silent) co_await Sleep(kPathPollInterval);
}

asio::awaitable<void> Proxy::Impl::Pass(std::shared_ptr<Connection> connection, bool to_target) {
  tcp::socket& from = to_target ? connection->client : connection->target;
  tcp::socket& to = to_target ? connection->target : connection->client;
  std::array<char, 16'384> buffer{};

  while (true) {
    boost::system::error_code error;
    const size_t size = co_await from.async_read_some(asio::buffer(buffer), WithError(error));
    co_await WaitForPath(*connection, to_target);

    // Neither bytes nor the end get through a silent connection.
    if (connection->silent && error) co_return;
    if (connection->silent) continue;

    if (error == asio::error::eof) {
      boost::system::error_code ignored;
      to.shutdown(tcp::socket::shutdown_send, ignored);
      co_return;
    }

    if (error) {
      Reset(to);
      co_return;
    }

    co_await asio::async_write(to, asio::buffer(buffer, size), WithError(error));
    if (!error) continue;

    Reset(from);
    co_return;
  }
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
