#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <functional>
#include <string>
#include <vector>

#include "currantpost/control/state.h"
#include "currantpost/daemon/event_queue.h"
#include "currantpost/daemon/traffic_port.h"
#include "currantpost/model/kv.h"
#include "currantpost/model/worker.h"

namespace currantpost {

/// How an exchange of heartbeats ended, for the metrics.
enum class HeartbeatOutcome { kAnswered, kFailed, kSkipped, kReceived };

inline constexpr EnumNames kHeartbeatOutcomeNames(std::to_array<EnumName<HeartbeatOutcome>>({
    {HeartbeatOutcome::kAnswered, "answered"},
    {HeartbeatOutcome::kFailed, "failed"},
    {HeartbeatOutcome::kSkipped, "skipped"},
    {HeartbeatOutcome::kReceived, "received"},
}));

/// The figures of the daemon. Usable from any thread.
class Metrics {
 public:
  Metrics();

  /// Counts one event and the time that the reducer took for it.
  void CountEvent(const EventBody& body, double seconds);
  void CountKvCall(KvStatus status);
  void CountWorkerOrder(WorkerStatus status);
  void CountHeartbeat(HeartbeatOutcome outcome);

  /// Takes the figures of the control state. Called by the control thread.
  void Observe(const State& state);

  /// Adds a figure that is read whenever the metrics are.
  void AddGauge(const std::string& name, const std::string& help, std::function<double()> read);

  /// Adds the traffic threads' figures, which are read whenever the metrics are.
  void AddTraffic(const TrafficPort& traffic);

  /// Returns all figures in the Prometheus text format.
  [[nodiscard]] std::string Text() const;

 private:
  struct ReadGauge {
    prometheus::Gauge* gauge;
    std::function<double()> read;
  };

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& events_;
  prometheus::Family<prometheus::Counter>& kv_calls_;
  prometheus::Family<prometheus::Counter>& worker_orders_;
  prometheus::Family<prometheus::Counter>& heartbeats_;
  prometheus::Histogram& reduce_seconds_;
  std::array<prometheus::Counter*, kEventKinds> events_by_kind_;
  std::vector<prometheus::Gauge*> state_gauges_;
  std::vector<ReadGauge> read_gauges_;
  const TrafficPort* traffic_ = nullptr;
};

/// Returns the memory that the process holds, in bytes.
double ResidentBytes();

}  // namespace currantpost
