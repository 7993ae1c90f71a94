#include "relay.h"

#include <array>
#include <list>
#include <utility>
// Asio 1.74 uses std::exchange without including <utility>.
#include <boost/asio.hpp>

#include "../../lib/transport/source/loop_impl.h"

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

tcp::endpoint EndpointOf(const currantpost::Address& address) {
  return {asio::ip::make_address(address.host), static_cast<uint16_t>(address.port)};
}

/// A connection and the one that it is passed on to.
struct Link : std::enable_shared_from_this<Link> {
  explicit Link(asio::io_context& context) : client(context), target(context) {}

  void Pump(tcp::socket& from, tcp::socket& to, std::array<char, 16'384>& buffer) {
    from.async_read_some(asio::buffer(buffer), [this, self = shared_from_this(), &from, &to,
                                                &buffer](error_code error, size_t size) {
      // A silent connection neither passes bytes on nor shows that one end has closed it.
      if (silent) return;
      if (error) return Close();

      asio::async_write(to, asio::buffer(buffer, size),
                        [this, self, &from, &to, &buffer](error_code failure, size_t) {
                          if (silent) return;
                          if (failure) return Close();
                          Pump(from, to, buffer);
                        });
    });
  }

  void Close() {
    error_code ignored;
    client.close(ignored);
    target.close(ignored);
  }

  tcp::socket client;
  tcp::socket target;
  std::array<char, 16'384> up{};
  std::array<char, 16'384> down{};
  bool silent = false;
};

}  // namespace

struct Relay::Impl : std::enable_shared_from_this<Relay::Impl> {
  Impl(asio::io_context& the_context, const currantpost::Address& listen,
       const currantpost::Address& the_target)
      : context(the_context), acceptor(the_context, EndpointOf(listen)), target(the_target) {}

  void Accept() {
    auto link = std::make_shared<Link>(context);
    acceptor.async_accept(link->client, [self = shared_from_this(), link](error_code error) {
      if (error) return;

      self->links.remove_if([](const auto& each) { return !each->client.is_open(); });
      self->links.push_back(link);
      link->target.async_connect(EndpointOf(self->target), [link](error_code failure) {
        if (failure) return link->Close();

        error_code ignored;
        link->client.set_option(tcp::no_delay(true), ignored);
        link->target.set_option(tcp::no_delay(true), ignored);
        link->Pump(link->client, link->target, link->up);
        link->Pump(link->target, link->client, link->down);
      });
      self->Accept();
    });
  }

  asio::io_context& context;
  tcp::acceptor acceptor;
  currantpost::Address target;
  std::list<std::shared_ptr<Link>> links;
};

Relay::Relay(currantpost::EventLoop& loop, const currantpost::Address& listen,
             const currantpost::Address& target)
    : impl_(std::make_shared<Impl>(loop.impl().context, listen, target)) {
  impl_->Accept();
}

int Relay::SilencePresent() {
  int count = 0;

  for (const auto& link : impl_->links) {
    if (!link->client.is_open() || link->silent) continue;
    link->silent = true;
    ++count;
  }

  return count;
}

}  // namespace review
