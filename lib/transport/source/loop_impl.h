#pragma once

#include <utility>
// The include above must come first: Asio 1.74 uses std::exchange without including it.
#include <boost/asio.hpp>

#include "currantpost/transport/event_loop.h"

namespace currantpost {

struct EventLoop::Impl {
  Impl() : context(1) {}

  boost::asio::io_context context;
  boost::asio::signal_set signals{context};
};

/// Sets the options of every connection: no delay of small messages (TCP_NODELAY), and a limit on
/// the time that sent data may stay unacknowledged (TCP_USER_TIMEOUT).
void SetConnectionOptions(boost::asio::ip::tcp::socket& socket);

/// Returns whether a socket has data to read, was closed by the other side or has failed.
bool HasUnreadData(boost::asio::ip::tcp::socket& socket);

}  // namespace currantpost
