#pragma once

#include <prometheus/metric_family.h>

#include <memory>
#include <vector>

#include "currantpost/base/error.h"
#include "currantpost/control/events.h"
#include "currantpost/model/routing.h"

namespace currantpost {

/// The traffic threads, as the rest of the daemon drives them.
class TrafficPort {
 public:
  virtual ~TrafficPort() = default;

  /// Starts to serve callers. Returns the port.
  virtual Result<int> Start() = 0;

  /// Puts a routing snapshot in force.
  virtual void Publish(std::shared_ptr<const RoutingSnapshot> snapshot) = 0;

  /// Returns what was seen since the last call.
  virtual TrafficReported TakeReport() = 0;

  /// Returns the figures so far, for the metrics.
  [[nodiscard]] virtual std::vector<prometheus::MetricFamily> Collect() const = 0;

  /// Stops serving callers.
  virtual void Stop() = 0;
};

}  // namespace currantpost
