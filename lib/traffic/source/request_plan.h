#pragma once

#include <memory>
#include <string>

#include "currantpost/base/time.h"
#include "currantpost/model/routing.h"
#include "currantpost/traffic/message.h"
#include "currantpost/traffic/outcome.h"

namespace currantpost {

/// How one request is to be treated.
struct RequestPlan {
  /// Keeps `rule` alive.
  std::shared_ptr<const RoutingSnapshot> snapshot;
  const RouteRule* rule = nullptr;
  Millis start;
  Millis deadline;
  /// The caller asked for an earlier deadline than the route's; its passing blames no upstream.
  bool is_shortened = false;
  /// May be sent to an upstream more than once.
  bool is_repeatable = false;
  /// Empty if the caller gave none.
  std::string idempotency_key;
};

/// Plans a request, or says why it is refused.
tl::expected<RequestPlan, RequestFailure> PlanRequest(
    const CallerRequest& request, std::shared_ptr<const RoutingSnapshot> snapshot, Millis now);

}  // namespace currantpost
