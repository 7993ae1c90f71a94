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

/// Sets what every connection is made with: no delay of small messages, and an end to connections
/// whose other side no longer acknowledges anything.
void SetConnectionOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace currantpost
