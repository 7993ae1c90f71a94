#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "currantpost/base/error.h"
#include "currantpost/control/events.h"
#include "currantpost/model/routing.h"

namespace currantpost {

/// Whether a figure only rises or may fall too.
enum class FigureKind { kCounter, kGauge };

/// One figure of the traffic threads, for the metrics.
struct TrafficFigure {
  std::string_view name;
  std::string_view help;
  FigureKind kind = FigureKind::kCounter;
  double value = 0;
};

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

  /// Returns the figures so far.
  [[nodiscard]] virtual std::vector<TrafficFigure> Figures() const = 0;

  /// Stops serving callers.
  virtual void Stop() = 0;
};

}  // namespace currantpost
