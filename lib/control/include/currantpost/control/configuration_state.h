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

/// What an operator's change waits for.
enum class ChangeStep {
  /// The configuration is being read, to build the new one on it.
  kReading,
  /// The new configuration is being written.
  kWriting,
  /// The write's answer was lost, and the configuration is being read back.
  kReadingBack,
};

inline constexpr EnumNames kChangeStepNames(std::to_array<EnumName<ChangeStep>>({
    {ChangeStep::kReading, "reading"},
    {ChangeStep::kWriting, "writing"},
    {ChangeStep::kReadingBack, "reading_back"},
}));

/// A change that an operator asked for and that has no answer yet.
struct PendingChange {
  RequestId command = 0;
  std::string change_id;
  Command body;
  ChangeStep step = ChangeStep::kReading;
  /// The configuration that is being written.
  Configuration new_configuration;
  /// Revision of the key that the write expects.
  KvRevision expected = 0;
  /// A write may have taken effect, so the change can no longer be called not applied.
  bool maybe_applied = false;
  Millis received_at;
  /// When to go on with the step after a failure.
  Millis retry_at;
  /// The call under way, 0 if there is none.
  RequestId request = 0;
  Millis request_sent_at;
};

/// The configuration in force here, and the changes under way.
struct ConfigurationState {
  Configuration current = BuiltInConfiguration();
  /// Whether any configuration was ever learned, from the platform or a peer.
  bool known = false;
  /// Changes that wait for the platform, by command.
  std::map<RequestId, PendingChange> pending;

  /// The read or watch under way, 0 if there is none.
  RequestId request = 0;
  bool watching = false;
  Millis request_sent_at;
  /// When to read again after a failure.
  Millis retry_at;
};

}  // namespace currantpost
