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

/// All that can happen to the control state. Every event may come late, twice or never.

namespace currantpost {

/// Time has passed. Comes a few times a second.
struct Tick {};

/// The answer to, or the loss of, one `KvCall`.
struct KvAnswered {
  RequestId request = 0;
  KvReply reply;
};

/// The answer to, or the loss of, one `KvWatch`: the keys changed since the watched revision.
struct KvWatchAnswered {
  RequestId request = 0;
  KvReply reply;
};

/// The platform's list of VMs was read.
struct VmListRead {
  std::vector<VmRecord> vms;
};

/// The answer to, or the loss of, one `WorkerCall`.
struct WorkerAnswered {
  RequestId request = 0;
  VmId worker;
  WorkerReply reply;
};

/// A peer sent a heartbeat, or answered ours.
struct HeartbeatReceived {
  Heartbeat heartbeat;
};

/// What the traffic threads saw since their last report.
struct TrafficReported {
  std::vector<UpstreamObservation> upstreams;
  /// Callers' requests that have no answer yet.
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

/// Asks how far a job is.
struct ShowJob {
  JobId job;
};

/// Asks why a task is, or is not, where it is.
struct ExplainTask {
  TaskKey task;
};

/// Asks for all presets and the one in force.
struct ListPresets {};

/// Creates or replaces a preset.
struct SetPreset {
  Preset preset;
  /// Revision that the operator saw; a different present one is a conflict. 0 asks for no check.
  int64_t expected_revision = 0;
};

/// Puts a preset in force.
struct SwitchPreset {
  std::string name;
  /// Revision that the operator saw; a different present one is a conflict. 0 asks for no check.
  int64_t expected_revision = 0;
};

/// Sets the quota of a team.
struct SetQuota {
  TeamId team;
  Resources limit;
  /// Revision that the operator saw; a different present one is a conflict. 0 asks for no check.
  int64_t expected_revision = 0;
};

/// Asks for the whole state of the process.
struct DumpState {};

/// Anything that an operator or caller can ask of the control thread.
using Command = std::variant<SubmitJob, CancelJob, ShowJob, ExplainTask, ListPresets, SetPreset,
                             SwitchPreset, SetQuota, DumpState>;

/// An operator or caller asked for something.
struct CommandReceived {
  /// Ties the `CommandReply` effect to this command.
  RequestId command = 0;
  /// Unique over all processes and commands; names the change that the command makes.
  std::string change_id;
  Command body;
};

/// The process was told to stop.
struct ShutdownRequested {};

/// One event, with the time at which the process took it up.
struct Event {
  Millis now;
  std::variant<Tick, KvAnswered, KvWatchAnswered, VmListRead, WorkerAnswered, HeartbeatReceived,
               TrafficReported, CommandReceived, ShutdownRequested>
      body;
};

}  // namespace currantpost
