#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "currantpost/base/ids.h"
#include "currantpost/model/vm.h"

namespace currantpost {

/// A rack that an entry says it owns.
struct RackClaim {
  RackId rack;
  Epoch epoch = 0;
};

/// One life of an upstream that is known to be leaving.
struct LeavingUpstream {
  VmId vm;
  Incarnation incarnation = 0;

  auto operator<=>(const LeavingUpstream&) const = default;
};

/// What an entry says of another entry that it has heard of.
struct KnownEntry {
  EntryId entry;
  Incarnation incarnation = 0;
  DataCentreId data_centre;
  Address peer_address;
  /// Where operators reach the entry over HTTP.
  Address operator_address;
  int64_t configuration_revision = 0;
  /// How long ago the entry itself was last heard, directly or through others, in milliseconds.
  int64_t age_ms = 0;
  bool leaving = false;
};

/// What entries tell each other, in requests and in answers alike.
struct Heartbeat {
  KnownEntry sender;
  std::vector<KnownEntry> known;
  std::vector<RackClaim> racks;
  std::vector<LeavingUpstream> leaving_upstreams;
  /// The sender's configuration as JSON; empty unless the receiver is known to be behind.
  std::string configuration;
  /// The sender started while the platform could not be reached, and asks for the list of VMs.
  bool wants_vm_list = false;
  /// The sender's data centre's part of the list of VMs as JSON; empty unless it was asked for.
  std::string vm_list;
};

}  // namespace currantpost
