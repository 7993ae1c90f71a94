#include "currantpost/daemon/daemon.h"

#include <string>
#include <utility>

#include "currantpost/base/logging.h"
#include "currantpost/daemon/periodic_thread.h"
#include "currantpost/daemon/signal_thread.h"

namespace currantpost {
namespace {

constexpr std::string_view kPart = "daemon";
constexpr Millis kTrafficReportInterval(200);
constexpr Millis kDumpTimeout(2'000);

std::string TextOf(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace

Daemon::Daemon(DaemonSettings settings, DaemonPorts ports, const Clock& clock)
    : settings_(std::move(settings)),
      ports_(ports),
      status_(clock),
      own_heartbeat_(settings_.control.identity, clock),
      commands_(settings_.control.identity, events_),
      effects_(settings_.platform, clock, ports_,
               DaemonParts{events_, commands_, own_heartbeat_, metrics_, status_}),
      control_(settings_.control, clock, events_, effects_, metrics_, status_),
      peer_server_(settings_.control.identity.peer_address,
                   [this](const Heartbeat& heartbeat) { return AnswerPeer(heartbeat); }),
      operator_server_(settings_.control.identity.operator_address, commands_, metrics_, status_) {
  AddGauges();
}

Error Daemon::Run() {
  if (Error error = StartServers(); error.code) {
    WriteLog(Severity::kError, kPart, "Could not start.",
             {{"error", ErrorName(error.code)}, {"at", error.detail}});
    StopServers();
    return error;
  }

  control_.Start();

  {
    const PeriodicThread list_reader(settings_.platform.vm_list_interval, [this] { ReadVmList(); });
    const PeriodicThread traffic_reader(kTrafficReportInterval,
                                        [this] { events_.Push(ports_.traffic.TakeReport()); });
    const SignalThread signals(SignalActions{
        .shut_down = [this] { events_.Push(ShutdownRequested{}); },
        .dump_state = [this] { DumpState(); },
    });

    status_.AwaitExit();
  }

  StopServers();
  control_.Stop();
  WriteLog(Severity::kInfo, kPart, "Stopped.");

  return {};
}

Error Daemon::StartServers() {
  const Result<int> traffic_port = ports_.traffic.Start();
  if (!traffic_port) return traffic_port.error();

  const Result<int> peer_port = peer_server_.Start();
  if (!peer_port) return peer_port.error();

  const Result<int> operator_port = operator_server_.Start();
  if (!operator_port) return operator_port.error();

  const EntryIdentity& identity = settings_.control.identity;
  WriteLog(Severity::kInfo, kPart, "Started.",
           {{"entry", identity.entry.Text()},
            {"data_centre", identity.data_centre.Text()},
            {"incarnation", std::to_string(identity.incarnation)},
            {"traffic", TextOf(settings_.traffic.listen)},
            {"peer", TextOf(identity.peer_address)},
            {"operator", TextOf(identity.operator_address)}});

  return {};
}

void Daemon::StopServers() {
  status_.SetReady(false);
  ports_.traffic.Stop();
  peer_server_.Stop();
  operator_server_.Stop();
}

void Daemon::AddGauges() {
  constexpr double kMillisPerSecond = 1'000;

  metrics_.AddTraffic(ports_.traffic);
  metrics_.AddGauge("currantpost_resident_bytes", "Memory that the process holds.", ResidentBytes);
  metrics_.AddGauge("currantpost_events_waiting", "Events that wait for the control thread.",
                    [this] { return static_cast<double>(events_.Size()); });
  metrics_.AddGauge("currantpost_events_dropped", "Events dropped because too many waited.",
                    [this] { return static_cast<double>(events_.Dropped()); });
  metrics_.AddGauge("currantpost_calls_waiting", "Calls and orders that wait for a thread.",
                    [this] { return static_cast<double>(effects_.Waiting()); });
  metrics_.AddGauge("currantpost_ready", "1 while the balancer may send requests here.",
                    [this] { return status_.Ready() ? 1.0 : 0.0; });
  metrics_.AddGauge(
      "currantpost_tick_age_seconds", "Time since the control thread was at work.",
      [this] { return static_cast<double>(status_.SinceTick().Count()) / kMillisPerSecond; });
}

void Daemon::ReadVmList() {
  Result<std::vector<VmRecord>> vms = ports_.vm_list.Read();

  if (vms) {
    if (vm_list_failed_) WriteLog(Severity::kInfo, kPart, "The list of VMs is back.");
    vm_list_failed_ = false;
    events_.Push(VmListRead{.vms = *std::move(vms)});
    return;
  }

  if (!vm_list_failed_) {
    WriteLog(Severity::kWarning, kPart, "The list of VMs cannot be read.",
             {{"error", ErrorName(vms.error().code)}, {"detail", vms.error().detail}});
  }

  vm_list_failed_ = true;
}

void Daemon::DumpState() {
  const CommandReply reply = commands_.Ask(currantpost::DumpState{}, kDumpTimeout);

  if (reply.error.code) {
    WriteLog(Severity::kError, kPart, "No state dump.", {{"error", ErrorName(reply.error.code)}});
    return;
  }

  WriteLog(Severity::kInfo, kPart, "State dump.", {{"state", reply.body}});
}

Result<Heartbeat> Daemon::AnswerPeer(const Heartbeat& heartbeat) {
  metrics_.CountHeartbeat(HeartbeatOutcome::kReceived);

  // A peer that gets no answer takes this entry for dead, as it should while nothing is reduced.
  if (status_.SinceTick() > settings_.control.peer_timeout) {
    return Fail(ErrorCode::kUnavailable, "control thread");
  }

  events_.Push(HeartbeatReceived{.heartbeat = heartbeat});

  return own_heartbeat_.AnswerTo(heartbeat);
}

}  // namespace currantpost
