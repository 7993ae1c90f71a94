#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "currantpost/base/error.h"
#include "currantpost/base/time.h"
#include "currantpost/model/job.h"
#include "currantpost/model/resources.h"

namespace currantpost {

/// Rules for requests under one path prefix.
struct RouteRule {
  std::string prefix;
  Priority priority = Priority::kNormal;
  /// Methods, in upper case, whose requests may be sent to an upstream more than once.
  std::vector<std::string> repeatable_methods = {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
  /// Longest time from the caller's request to its answer.
  Millis timeout = Millis(5'000);

  bool operator==(const RouteRule&) const = default;
};

/// A named set of limits that operators can switch to. Exactly one is in force at a time.
struct Preset {
  std::string name;
  /// Share of each VM that may be allocated to batch tasks, 0 to 1.
  double batch_share = 0.7;
  /// Slowdown of a service above which batch tasks on the same VM are throttled, then evicted.
  double slowdown_limit = 1.25;
  /// Evictions allowed per rack and minute.
  int32_t evictions_per_minute = 4;
  /// Minimum run time of a task before it may be evicted.
  Millis eviction_hysteresis = Millis(30'000);
  /// Retries allowed, as a share of requests, 0 to 1.
  double retry_budget = 0.1;
  /// Hedged requests allowed, as a share of requests, 0 to 1.
  double hedge_budget = 0.05;
  /// Largest share of upstreams that may be ejected at the same time, 0 to 1.
  double ejection_limit = 0.34;
  std::vector<RouteRule> routes = {RouteRule{.prefix = "/"}};

  bool operator==(const Preset&) const = default;
};

/// The operators' configuration, at "config/current". Each accepted change raises the revision by
/// one.
struct Configuration {
  int64_t revision = 0;
  std::string change_id;
  /// Ids of the last accepted changes, oldest first, including this one.
  std::vector<std::string> recent_changes;
  std::string in_force;
  std::map<std::string, Preset> presets;
  /// Limit on the resources of a team's batch tasks within one data centre, by team.
  std::map<std::string, Resources> quotas;

  bool operator==(const Configuration&) const = default;
};

/// Returns the configuration that an entry starts with: revision 0 with one preset, "ordinary".
Configuration BuiltInConfiguration();

/// Returns the preset in force.
const Preset& PresetInForce(const Configuration& configuration);

/// Checks ranges and names. Returns the first fault found, or an error code of kOk.
Error CheckConfiguration(const Configuration& configuration);

}  // namespace currantpost
