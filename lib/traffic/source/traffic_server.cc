#include "currantpost/traffic/traffic_server.h"

#include <utility>

#include "caller_server.h"
#include "request_handler.h"

namespace currantpost {

class TrafficServer::Parts {
 public:
  Parts(const TrafficSettings& settings, const Clock& clock, ClaimStore& claims, uint64_t seed)
      : handler(settings, clock, claims, seed), server(settings, clock, handler) {}

  RequestHandler handler;
  CallerServer server;
};

TrafficServer::TrafficServer(TrafficSettings settings, const Clock& clock, ClaimStore& claims,
                             uint64_t seed)
    : parts_(std::make_unique<Parts>(settings, clock, claims, seed)) {}

TrafficServer::~TrafficServer() = default;

Result<int> TrafficServer::Start() { return parts_->server.Start(); }

void TrafficServer::Publish(std::shared_ptr<const RoutingSnapshot> snapshot) {
  parts_->handler.Publish(std::move(snapshot));
}

TrafficReport TrafficServer::TakeReport() {
  return {.upstreams = parts_->handler.TakeObservations(),
          .requests_in_flight = parts_->server.RequestsInFlight()};
}

TrafficMetrics TrafficServer::Metrics() const {
  TrafficMetrics metrics = parts_->handler.Metrics();
  metrics.requests_in_flight = parts_->server.RequestsInFlight();
  return metrics;
}

void TrafficServer::Stop() { parts_->server.Stop(); }

}  // namespace currantpost
