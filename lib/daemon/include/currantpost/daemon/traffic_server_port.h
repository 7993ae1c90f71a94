#pragma once

#include "currantpost/daemon/traffic_port.h"
#include "currantpost/traffic/traffic_server.h"

namespace currantpost {

/// The real traffic threads, as the daemon drives them.
class TrafficServerPort final : public TrafficPort {
 public:
  explicit TrafficServerPort(TrafficServer& server) : server_(server) {}

  Result<int> Start() override { return server_.Start(); }
  void Publish(std::shared_ptr<const RoutingSnapshot> snapshot) override;
  TrafficReported TakeReport() override;
  [[nodiscard]] std::vector<prometheus::MetricFamily> Collect() const override;
  void Stop() override { server_.Stop(); }

 private:
  TrafficServer& server_;
};

}  // namespace currantpost
