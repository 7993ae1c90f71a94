#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <list>
#include <memory>
#include <string>
#include <thread>

#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"

namespace currantpost::soak {

/// What happens to the bytes on a path.
enum class PathFault {
  kNone,
  kDelayed,
  /// Present and new connections are reset.
  kReset,
  /// Bytes in this direction are held until the path works again.
  /// @{
  kCutToTarget,
  kCutToClient,
  kCutBoth,
  /// @}
};

/// Passes connections on to an address, with faults. All functions may be called from any thread.
class Proxy {
 public:
  /// Throws `boost::system::system_error` if the address cannot be bound.
  Proxy(boost::asio::io_context& context, const Address& listen, std::string target_host,
        int target_port);
  ~Proxy();

  /// Passes new connections on to another port, and resets the present ones. With port 0 all
  /// connections are reset.
  void SetTargetPort(int port);
  void SetFault(PathFault fault, Millis delay = Millis(0));
  /// Resets all present connections; new ones work.
  void ResetPresent();
  /// Makes all present connections silent for good; new ones work.
  void SilencePresent();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Runs proxies on a thread of its own.
class ProxyThread {
 public:
  ProxyThread();
  ~ProxyThread();
  ProxyThread(const ProxyThread&) = delete;
  ProxyThread& operator=(const ProxyThread&) = delete;

  /// The proxy lives as long as this object.
  Proxy& Add(const Address& listen, const std::string& target_host, int target_port);

 private:
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::list<Proxy> proxies_;
  std::thread thread_;
};

}  // namespace currantpost::soak
