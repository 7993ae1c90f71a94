#pragma once

#include <map>
#include <string>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/control/events.h"
#include "currantpost/model/configuration.h"

namespace currantpost {

/// A change that an operator asked for and that has no answer yet.
struct PendingChange {
  RequestId command = 0;
  std::string change_id;
  Command body;
  /// Revision that the written configuration has.
  int64_t revision = 0;
  /// The write's answer was lost, and the key is being read back.
  bool reading_back = false;
};

/// The configuration in force here, and the changes under way.
struct ConfigurationState {
  Configuration present = BuiltInConfiguration();
  /// Revision of the key that `present` was read from, if it was read from there.
  KvRevision key_revision = 0;
  /// Whether any configuration was ever seen, from the platform or a peer.
  bool known = false;
  /// Writes and read-backs that wait for the platform's answer.
  std::map<RequestId, PendingChange> pending;
  /// The read under way, 0 if there is none.
  RequestId read_request = 0;
  /// The watch under way, 0 if there is none.
  RequestId watch_request = 0;
  KvRevision watch_after = 0;
  /// When to read again after a failure.
  Millis retry_at;
};

}  // namespace currantpost
