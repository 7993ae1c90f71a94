#pragma once

#include <cstdint>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"

namespace currantpost {

/// Who this process is.
struct EntryIdentity {
  EntryId entry;
  /// Drawn anew at each start; a later start has a larger number.
  Incarnation incarnation = 0;
  DataCentreId data_centre;
  Address peer_address;
  Address operator_address;
};

/// How a worker is chosen for a task.
enum class PlacementRule {
  /// Where services are predicted to suffer least.
  kInterferenceAware,
  /// The first with room.
  kFirstFit,
  /// The one with the smallest share of processors committed.
  kLeastLoaded,
};

inline constexpr EnumNames kPlacementRuleNames(std::to_array<EnumName<PlacementRule>>({
    {PlacementRule::kInterferenceAware, "interference_aware"},
    {PlacementRule::kFirstFit, "first_fit"},
    {PlacementRule::kLeastLoaded, "least_loaded"},
}));

/// What the control thread learns from the settings file.
struct ControlSettings {
  EntryIdentity identity;
  /// Peers to talk to first.
  std::vector<Address> seeds;

  /// Number of this entry among those of its data centre, from 0.
  int32_t entry_ordinal = 0;
  /// Entries that the data centre may have; an upstream's limits are shared out among so many.
  int32_t entries_per_data_centre = 3;
  /// Connections that one upstream takes in all.
  int32_t upstream_connections = 64;
  /// Requests that one upstream handles at a time.
  int32_t upstream_slots = 8;

  Millis heartbeat_interval = Millis(500);
  /// Silence after which a peer is taken for dead.
  Millis peer_timeout = Millis(2'000);
  /// How long a stopping entry goes on taking requests, so that the balancer can notice.
  Millis shutdown_grace = Millis(2'000);
  /// How long a task goes on without renewal.
  Millis task_lease = Millis(10'000);
  /// Most by which the clocks of worker and entry may drift apart during one lease.
  Millis clock_margin = Millis(1'000);
  Millis worker_poll_interval = Millis(1'000);
  /// How long completions are collected before they are written.
  Millis completion_interval = Millis(500);
  /// Attempts after which a task that keeps failing is given up.
  int32_t max_attempts = 5;
  /// Share of a VM's memory and processors that is never committed, 0 to 1.
  double capacity_reserve = 0.0;
  PlacementRule placement = PlacementRule::kInterferenceAware;
};

}  // namespace currantpost
