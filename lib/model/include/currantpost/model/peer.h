#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "currantpost/base/ids.h"
#include "currantpost/model/vm.h"

namespace currantpost {

/// A rack that an entry claims to own.
struct RackClaim {
  RackId rack;
  Epoch epoch = 0;
};

/// An incarnation of an upstream that is known to be leaving.
struct LeavingUpstream {
  VmId vm;
  Incarnation incarnation = 0;

  auto operator<=>(const LeavingUpstream&) const = default;
};

/// All leaving upstreams that an entry knows of.
struct LeavingReport {
  std::vector<LeavingUpstream> upstreams;
  /// Whether the entry learned from its peers what they knew when it started.
  bool is_whole = false;
};

/// An entry as known to an entry that sends a heartbeat.
struct KnownEntry {
  EntryId entry;
  Incarnation incarnation = 0;
  DataCentreId data_centre;
  Address peer_address;
  /// Address at which operators reach the entry over HTTP.
  Address operator_address;
  int64_t configuration_revision = 0;
  /// Milliseconds since the entry was last heard from, directly or through other entries.
  int64_t age_ms = 0;
  bool leaving = false;
};

/// The message that entries exchange, both as request and as answer.
struct Heartbeat {
  KnownEntry sender;
  std::vector<KnownEntry> known;
  std::vector<RackClaim> racks;
  std::vector<LeavingUpstream> leaving_upstreams;
  /// The sender's configuration as JSON; empty unless the receiver's is known to be older.
  std::string configuration;
  /// The sender started while the platform was unreachable and asks for the list of VMs.
  bool wants_vm_list = false;
  /// The part of the list of VMs for the sender's data centre as JSON; empty unless requested.
  std::string vm_list;
  /// The sender has started and asks for the leaving upstreams.
  bool wants_leaving = false;
  /// Present only in reply to such a question.
  std::optional<LeavingReport> leaving_report;
};

}  // namespace currantpost
