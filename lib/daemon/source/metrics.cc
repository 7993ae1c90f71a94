#include "currantpost/daemon/metrics.h"

#include <prometheus/text_serializer.h>
#include <unistd.h>

#include <fstream>
#include <utility>

namespace currantpost {
namespace {

constexpr std::array<std::string_view, kEventKinds> kEventKindNames = {
    "tick",      "kv_answered",      "kv_watch_answered", "vm_list_read",       "worker_answered",
    "heartbeat", "traffic_reported", "command_received",  "shutdown_requested",
};

/// One figure of the control state.
struct StateGauge {
  const char* name;
  const char* help;
  double (*read)(const State& state);
};

constexpr StateGauge kStateGauges[] = {
    {"currantpost_configuration_revision", "Revision of the configuration in force here.",
     [](const State& state) { return static_cast<double>(state.configuration.current.revision); }},
    {"currantpost_racks_owned", "Racks that this entry owns.",
     [](const State& state) { return static_cast<double>(state.work.owned.size()); }},
    {"currantpost_peers_known", "Entries heard of, dead ones among them.",
     [](const State& state) { return static_cast<double>(state.membership.peers.size()); }},
    {"currantpost_peers_alive", "Entries taken to be alive, this one not counted.",
     [](const State& state) {
       double alive = 0;
       for (const auto& [entry, peer] : state.membership.peers) alive += peer.alive ? 1 : 0;
       return alive;
     }},
    {"currantpost_upstreams", "Upstreams known.",
     [](const State& state) { return static_cast<double>(state.upstreams.upstreams.size()); }},
    {"currantpost_upstreams_ejected", "Upstreams that get no request because they failed.",
     [](const State& state) {
       double ejected = 0;
       for (const auto& [vm, record] : state.upstreams.upstreams) {
         ejected += record.ejected ? 1 : 0;
       }
       return ejected;
     }},
    {"currantpost_upstreams_leaving", "Lives of upstreams known to be leaving.",
     [](const State& state) { return static_cast<double>(state.upstreams.leaving.size()); }},
    {"currantpost_vm_list_known", "1 once the list of VMs was learned.",
     [](const State& state) { return state.upstreams.list_known ? 1.0 : 0.0; }},
    {"currantpost_configuration_known", "1 once a configuration was learned.",
     [](const State& state) { return state.configuration.known ? 1.0 : 0.0; }},
    {"currantpost_changes_pending", "Operators' changes that wait for the platform.",
     [](const State& state) { return static_cast<double>(state.configuration.pending.size()); }},
    {"currantpost_shutting_down", "1 once the process was told to stop.",
     [](const State& state) { return state.shutdown.requested ? 1.0 : 0.0; }},
};

prometheus::Family<prometheus::Counter>& CounterFamily(prometheus::Registry& registry,
                                                       const char* name, const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Gauge& AddGaugeTo(prometheus::Registry& registry, const std::string& name,
                              const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}  // namespace

Metrics::Metrics()
    : events_(CounterFamily(registry_, "currantpost_events_total",
                            "Events taken up by the control thread, by kind.")),
      kv_calls_(CounterFamily(registry_, "currantpost_kv_calls_total",
                              "Calls to the platform's key-value service, by status.")),
      worker_orders_(CounterFamily(registry_, "currantpost_worker_orders_total",
                                   "Orders to workers, by status.")),
      heartbeats_(CounterFamily(registry_, "currantpost_heartbeats_total",
                                "Heartbeats exchanged with peers, by outcome.")),
      reduce_seconds_(prometheus::BuildHistogram()
                          .Name("currantpost_reduce_seconds")
                          .Help("Time that the control thread takes for one event.")
                          .Register(registry_)
                          .Add({}, prometheus::Histogram::BucketBoundaries{0.00001, 0.0001, 0.001,
                                                                           0.01, 0.1, 1.0})) {
  for (size_t kind = 0; kind < kEventKinds; ++kind) {
    events_by_kind_[kind] = &events_.Add({{"kind", std::string(kEventKindNames[kind])}});
  }

  for (const StateGauge& row : kStateGauges) {
    state_gauges_.push_back(&AddGaugeTo(registry_, row.name, row.help));
  }
}

void Metrics::CountEvent(const EventBody& body, double seconds) {
  events_by_kind_[body.index()]->Increment();
  reduce_seconds_.Observe(seconds);
}

void Metrics::CountKvCall(KvStatus status) {
  kv_calls_.Add({{"status", std::string(kKvStatusNames.Name(status))}}).Increment();
}

void Metrics::CountWorkerOrder(WorkerStatus status) {
  worker_orders_.Add({{"status", std::string(kWorkerStatusNames.Name(status))}}).Increment();
}

void Metrics::CountHeartbeat(HeartbeatOutcome outcome) {
  heartbeats_.Add({{"outcome", std::string(kHeartbeatOutcomeNames.Name(outcome))}}).Increment();
}

void Metrics::Observe(const State& state) {
  size_t row = 0;

  for (prometheus::Gauge* gauge : state_gauges_) gauge->Set(kStateGauges[row++].read(state));
}

void Metrics::AddGauge(const std::string& name, const std::string& help,
                       std::function<double()> read) {
  read_gauges_.push_back(ReadGauge{&AddGaugeTo(registry_, name, help), std::move(read)});
}

void Metrics::AddTraffic(const TrafficPort& traffic) { traffic_ = &traffic; }

std::string Metrics::Text() const {
  for (const ReadGauge& row : read_gauges_) row.gauge->Set(row.read());

  std::vector<prometheus::MetricFamily> families = registry_.Collect();

  if (traffic_ != nullptr) {
    for (prometheus::MetricFamily& family : traffic_->Collect()) {
      families.push_back(std::move(family));
    }
  }

  return prometheus::TextSerializer().Serialize(families);
}

double ResidentBytes() {
  std::ifstream pages("/proc/self/statm");
  double total = 0;
  double resident = 0;
  pages >> total >> resident;

  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

}  // namespace currantpost
