#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "currantpost/base/error.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/configuration.h"
#include "currantpost/model/job.h"
#include "currantpost/model/kv.h"
#include "currantpost/model/peer.h"
#include "currantpost/model/routing.h"
#include "currantpost/model/vm.h"
#include "currantpost/model/worker.h"

/// Events that the control state handles. Any event may be late, duplicated or lost.

namespace currantpost {

/// A periodic timer event, a few times a second.
struct Tick {};

/// The response to one `KvCall`, or its loss.
struct KvAnswered {
  RequestId request = 0;
  KvReply reply;
};

/// The response to one `KvWatch`, or its loss: the keys changed since the watched revision.
struct KvWatchAnswered {
  RequestId request = 0;
  KvReply reply;
};

/// The platform's list of VMs was read.
struct VmListRead {
  std::vector<VmRecord> vms;
};

/// The response to one `WorkerCall`, or its loss.
struct WorkerAnswered {
  RequestId request = 0;
  VmId worker;
  WorkerReply reply;
};

/// A peer sent a heartbeat or answered one of ours.
struct HeartbeatReceived {
  Heartbeat heartbeat;
};

/// Observations of the traffic threads since their last report.
struct TrafficReported {
  std::vector<UpstreamObservation> upstreams;
  /// Callers' requests in flight.
  int64_t requests_in_flight = 0;
};

/// Accepts a job.
struct SubmitJob {
  JobSpec spec;
};

/// Cancels a job; its running tasks are stopped.
struct CancelJob {
  JobId job;
};

/// Requests the progress of a job.
struct ShowJob {
  JobId job;
};

/// Requests the placement status of a task and its reason.
struct ExplainTask {
  TaskKey task;
};

/// Requests all presets and the name of the one in force.
struct ListPresets {};

/// Creates or replaces a preset.
struct SetPreset {
  Preset preset;
  /// Revision that the operator saw; if the current one differs, the command fails with a
  /// conflict. 0 disables the check.
  int64_t expected_revision = 0;
};

/// Puts a preset in force.
struct SwitchPreset {
  std::string name;
  /// Revision that the operator saw; if the current one differs, the command fails with a
  /// conflict. 0 disables the check.
  int64_t expected_revision = 0;
};

/// Sets the quota of a team.
struct SetQuota {
  TeamId team;
  Resources limit;
  /// Revision that the operator saw; if the current one differs, the command fails with a
  /// conflict. 0 disables the check.
  int64_t expected_revision = 0;
};

/// Requests a dump of the whole control state.
struct DumpState {};

/// Any command of an operator or caller to the control thread.
using Command = std::variant<SubmitJob, CancelJob, ShowJob, ExplainTask, ListPresets, SetPreset,
                             SwitchPreset, SetQuota, DumpState>;

/// An operator or caller issued a command.
struct CommandReceived {
  /// Matches the `CommandReply` effect to this command.
  RequestId command = 0;
  /// Unique across all processes and commands; identifies the change that the command makes.
  std::string change_id;
  Command body;
};

/// The process was asked to stop.
struct ShutdownRequested {};

/// One event, with the time at which the process began to handle it.
struct Event {
  Millis now;
  std::variant<Tick, KvAnswered, KvWatchAnswered, VmListRead, WorkerAnswered, HeartbeatReceived,
               TrafficReported, CommandReceived, ShutdownRequested>
      body;
};

}  // namespace currantpost
