#pragma once

#include <cstdint>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"

namespace currantpost {

/// Identity of this process.
struct EntryIdentity {
  EntryId entry;
  /// Chosen at each start; a later start has a larger number.
  Incarnation incarnation = 0;
  DataCentreId data_centre;
  Address peer_address;
  Address operator_address;
};

/// How a worker is chosen for a task.
enum class PlacementRule {
  /// Picks the worker with the least predicted slowdown of services.
  kInterferenceAware,
  /// Picks the first worker with enough free capacity.
  kFirstFit,
  /// Picks the worker with the smallest share of its processors committed.
  kLeastLoaded,
};

inline constexpr EnumNames kPlacementRuleNames(std::to_array<EnumName<PlacementRule>>({
    {PlacementRule::kInterferenceAware, "interference_aware"},
    {PlacementRule::kFirstFit, "first_fit"},
    {PlacementRule::kLeastLoaded, "least_loaded"},
}));

/// Settings of the control thread, read from the settings file.
struct ControlSettings {
  EntryIdentity identity;
  /// Peers to contact first.
  std::vector<Address> seeds;

  /// Index of this entry among those of its data centre, from 0.
  int32_t entry_ordinal = 0;
  /// Maximum number of entries in the data centre; an upstream's limits are divided among them.
  int32_t entries_per_data_centre = 3;
  /// Connections that one upstream accepts from all entries together.
  int32_t upstream_connections = 64;
  /// Requests that one upstream handles concurrently, from all entries together.
  int32_t upstream_slots = 8;

  Millis heartbeat_interval = Millis(500);
  /// Time without a heartbeat after which a peer is considered dead.
  Millis peer_timeout = Millis(2'000);
  /// How long a stopping entry still accepts requests, so that the balancer can notice.
  Millis shutdown_grace = Millis(2'000);
  /// How long a task keeps running without a lease renewal.
  Millis task_lease = Millis(10'000);
  /// Maximum clock drift between worker and entry during one lease.
  Millis clock_margin = Millis(1'000);
  Millis worker_poll_interval = Millis(1'000);
  /// How long completions are batched before they are written.
  Millis completion_interval = Millis(500);
  /// Attempts after which a task that keeps failing is recorded as failed.
  int32_t max_attempts = 5;
  /// Share of a VM's memory and processors that is never committed, 0 to 1.
  double capacity_reserve = 0.0;
  PlacementRule placement = PlacementRule::kInterferenceAware;
};

}  // namespace currantpost
