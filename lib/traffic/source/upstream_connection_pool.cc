#include "upstream_connection_pool.h"

#include <utility>

namespace currantpost {

UpstreamConnectionPool::Connection UpstreamConnectionPool::Take(const VmId& vm,
                                                                Incarnation incarnation,
                                                                Millis oldest_use) {
  const auto found = idle_.find(vm);
  if (found == idle_.end()) return nullptr;

  if (found->second.incarnation != incarnation) {
    Trim(vm, 0);
    return nullptr;
  }

  std::deque<Connection>& connections = found->second.connections;
  if (connections.empty() || connections.back()->LastUse() < oldest_use) return nullptr;

  Connection taken = std::move(connections.back());
  connections.pop_back();
  if (connections.empty()) idle_.erase(found);

  return taken;
}

void UpstreamConnectionPool::Put(const VmId& vm, Incarnation incarnation, Connection connection) {
  Idle& idle = idle_[vm];
  if (idle.incarnation != incarnation) idle.connections.clear();

  idle.incarnation = incarnation;
  idle.connections.push_back(std::move(connection));
}

int32_t UpstreamConnectionPool::Count(const VmId& vm) const {
  const auto found = idle_.find(vm);
  return found == idle_.end() ? 0 : static_cast<int32_t>(found->second.connections.size());
}

void UpstreamConnectionPool::Trim(const VmId& vm, int32_t most) {
  const auto found = idle_.find(vm);
  if (found == idle_.end()) return;

  std::deque<Connection>& connections = found->second.connections;

  while (static_cast<int32_t>(connections.size()) > most) {
    connections.pop_front();
  }

  if (connections.empty()) idle_.erase(found);
}

void UpstreamConnectionPool::DropUnused(const VmId& vm, Millis since) {
  const auto found = idle_.find(vm);
  if (found == idle_.end()) return;

  std::deque<Connection>& connections = found->second.connections;

  while (!connections.empty() && connections.front()->LastUse() <= since) {
    connections.pop_front();
  }

  if (connections.empty()) idle_.erase(found);
}

std::vector<VmId> UpstreamConnectionPool::Vms() const {
  std::vector<VmId> vms;
  for (const auto& [vm, idle] : idle_) vms.push_back(vm);

  return vms;
}

}  // namespace currantpost
