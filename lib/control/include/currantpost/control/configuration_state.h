#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/control/events.h"
#include "currantpost/model/configuration.h"

namespace currantpost {

/// The step that an operator's change is at.
enum class ChangeStep {
  /// Reading the configuration that the new one is based on.
  kReading,
  /// Writing the new configuration.
  kWriting,
  /// Reading the configuration back, because the response to the write was lost.
  kReadingBack,
};

inline constexpr EnumNames kChangeStepNames(std::to_array<EnumName<ChangeStep>>({
    {ChangeStep::kReading, "reading"},
    {ChangeStep::kWriting, "writing"},
    {ChangeStep::kReadingBack, "reading_back"},
}));

/// An operator's change request that has not been answered yet.
struct PendingChange {
  RequestId command = 0;
  std::string change_id;
  Command body;
  ChangeStep step = ChangeStep::kReading;
  Configuration new_configuration;
  /// Revision of the key that the compare-and-swap expects.
  KvRevision expected = 0;
  /// A write may have taken effect, so the change must not be reported as not applied.
  bool maybe_applied = false;
  Millis received_at;
  /// When to retry the step after a failure.
  Millis retry_at;
  /// The call in flight, or 0.
  RequestId request = 0;
  Millis request_sent_at;
};

/// The configuration in force here, and the pending changes.
struct ConfigurationState {
  Configuration current = BuiltInConfiguration();
  /// Whether a configuration was ever received, from the platform or a peer.
  bool known = false;
  /// Changes that wait for the platform, by command id.
  std::map<RequestId, PendingChange> pending;

  /// The read or watch in flight, or 0.
  RequestId request = 0;
  bool watching = false;
  Millis request_sent_at;
  /// When to read again after a failure.
  Millis retry_at;
};

}  // namespace currantpost
