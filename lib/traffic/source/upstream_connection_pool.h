#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "upstream_connection.h"

namespace currantpost {

/// Idle connections by upstream incarnation. Not usable from several threads. What it gives up is
/// closed at once, so that the count of open connections is exact.
class UpstreamConnectionPool {
 public:
  using Connection = std::unique_ptr<UpstreamConnection>;

  /// Takes the connection last used, if that was at or after `oldest_use`. Closes
  /// those of another incarnation.
  Connection Take(const VmId& vm, Incarnation incarnation, Millis oldest_use);

  /// Keeps a connection for later.
  void Put(const VmId& vm, Incarnation incarnation, Connection connection);

  /// Returns the idle connections of an upstream.
  [[nodiscard]] int32_t Count(const VmId& vm) const;

  /// Closes the connections least recently used until at most `most` are left.
  void Trim(const VmId& vm, int32_t most);

  /// Closes the connections of an upstream last used at a point in time or before.
  void DropUnused(const VmId& vm, Millis since);

  /// Returns the upstreams that have idle connections.
  [[nodiscard]] std::vector<VmId> Vms() const;

 private:
  struct Idle {
    Incarnation incarnation = 0;
    /// In the order of use, the last used at the back.
    std::deque<Connection> connections;
  };

  std::map<VmId, Idle> idle_;
};

}  // namespace currantpost
