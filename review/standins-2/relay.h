#pragma once

#include <memory>

#include "currantpost/model/vm.h"
#include "currantpost/transport/event_loop.h"

namespace review {

/// Passes TCP connections on to another address.
class Relay {
 public:
  Relay(currantpost::EventLoop& loop, const currantpost::Address& listen,
        const currantpost::Address& target);

  /// Makes the present connections carry nothing any more. They stay open at both ends, and later
  /// connections work. Returns the number of connections.
  int SilencePresent();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace review
