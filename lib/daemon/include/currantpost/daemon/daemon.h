#pragma once

#include <optional>

#include "currantpost/base/error.h"
#include "currantpost/base/time.h"
#include "currantpost/daemon/command_gateway.h"
#include "currantpost/daemon/control_thread.h"
#include "currantpost/daemon/effect_runner.h"
#include "currantpost/daemon/event_queue.h"
#include "currantpost/daemon/metrics.h"
#include "currantpost/daemon/operator_server.h"
#include "currantpost/daemon/own_heartbeat.h"
#include "currantpost/daemon/process_status.h"
#include "currantpost/peer/peer_server.h"
#include "currantpost/settings/daemon_settings.h"

namespace currantpost {

/// One entry: the control thread, the threads around it and the servers.
class Daemon {
 public:
  Daemon(DaemonSettings settings, DaemonPorts ports, const Clock& clock);

  /// Serves until a planned stop has ended. Returns a failure if a server could not start.
  /// `BlockSignals` must have been called. Calls to the outside may still run then; the destructor
  /// waits for them, up to the longest watch.
  Error Run();

 private:
  Error StartServers();
  void StopServers();
  void AddGauges();
  void ReadVmList();
  void DumpState();
  Result<Heartbeat> AnswerPeer(const Heartbeat& heartbeat);

  const DaemonSettings settings_;
  DaemonPorts ports_;
  EventQueue events_;
  Metrics metrics_;
  ProcessStatus status_;
  OwnHeartbeat own_heartbeat_;
  CommandGateway commands_;
  EffectRunner effects_;
  ControlThread control_;
  PeerServer peer_server_;
  OperatorServer operator_server_;
  /// Whether the last read of the list of VMs failed; only changes are logged.
  bool vm_list_failed_ = false;
};

}  // namespace currantpost
