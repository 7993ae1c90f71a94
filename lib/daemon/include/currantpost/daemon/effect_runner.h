#pragma once

#include "currantpost/daemon/command_gateway.h"
#include "currantpost/daemon/control_thread.h"
#include "currantpost/daemon/keyed_pool.h"
#include "currantpost/daemon/own_heartbeat.h"
#include "currantpost/daemon/traffic_port.h"
#include "currantpost/peer/peer_client.h"
#include "currantpost/platform/kv_client.h"
#include "currantpost/platform/vm_list_client.h"
#include "currantpost/platform/worker_client.h"
#include "currantpost/settings/daemon_settings.h"

namespace currantpost {

/// The daemon's ways to the world outside of it.
struct DaemonPorts {
  KvClient& kv;
  VmListClient& vm_list;
  WorkerClient& workers;
  PeerClient& peers;
  TrafficPort& traffic;
};

/// The parts of the daemon that effects act on.
struct DaemonParts {
  EventQueue& events;
  CommandGateway& commands;
  OwnHeartbeat& own_heartbeat;
  Metrics& metrics;
  ProcessStatus& status;
};

/// Carries out the control thread's effects: what may block on threads of its own, whose answers
/// come back as events, and the rest at once.
///
/// An order or call that waits too long for its turn is answered as never sent, so that no stale
/// order reaches a worker.
class EffectRunner final : public EffectSink {
 public:
  EffectRunner(const PlatformSettings& settings, const Clock& clock, DaemonPorts ports,
               DaemonParts parts);

  void Run(Effects effects) override;

  /// Drops what waits and waits for what runs. May be called again.
  void Stop();

  /// Returns the number of calls and orders that wait for a thread.
  [[nodiscard]] size_t Waiting() const;

 private:
  void Carry(KvCall call);
  void Carry(KvWatch watch);
  void Carry(WorkerCall call);
  void Carry(SendHeartbeat send);
  void Carry(PublishRouting publish);
  void Carry(const CommandReply& reply);
  void Carry(const SetReadiness& readiness);
  void Carry(const ExitProcess& exit);
  void Carry(const LogLine& line);

  KvReply CallKv(const KvCall& call);
  PoolVerdict Order(const WorkerCall& call);
  PoolVerdict Exchange(const SendHeartbeat& send);
  void AnswerOrder(const WorkerCall& call, WorkerReply reply);

  const Millis watch_timeout_;
  DaemonPorts ports_;
  DaemonParts parts_;
  KeyedPool kv_pool_;
  KeyedPool watch_pool_;
  KeyedPool worker_pool_;
  KeyedPool heartbeat_pool_;
};

}  // namespace currantpost
