#pragma once

#include <string>

#include "currantpost/model/peer.h"

namespace currantpost {

/// Returns a valid known entry with the given name.
inline KnownEntry SampleKnownEntry(const std::string& entry) {
  return KnownEntry{
      .entry = EntryId(entry),
      .incarnation = 5,
      .data_centre = DataCentreId("dc-1"),
      .peer_address = Address{.host = "127.0.0.1", .port = 7'001},
      .operator_address = Address{.host = "::1", .port = 7'002},
      .configuration_revision = 3,
  };
}

/// Returns a valid heartbeat of an entry with the given name, with one element in each list.
inline Heartbeat SampleHeartbeat(const std::string& entry) {
  return Heartbeat{
      .sender = SampleKnownEntry(entry),
      .known = {SampleKnownEntry("entry-9")},
      .racks = {RackClaim{.rack = RackId("rack-1"), .epoch = 4}},
      .leaving_upstreams = {LeavingUpstream{.vm = VmId("vm-1"), .incarnation = 6}},
  };
}

}  // namespace currantpost
