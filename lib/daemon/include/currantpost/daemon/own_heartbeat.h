#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <string>

#include "currantpost/base/time.h"
#include "currantpost/control/control_settings.h"
#include "currantpost/model/peer.h"

namespace currantpost {

/// The heartbeat that the control thread sent last, for answers to peers' heartbeats.
class OwnHeartbeat {
 public:
  /// Until the first heartbeat, answers carry no more than the entry's identity.
  OwnHeartbeat(const EntryIdentity& identity, const Clock& clock);

  /// Keeps what the control thread sent.
  void Keep(const Heartbeat& heartbeat) ABSL_LOCKS_EXCLUDED(mutex_);

  /// Returns the answer to a peer. All ages have grown since the heartbeat was sent, so a stuck
  /// control thread does not look alive; the configuration is added for a peer that is behind.
  [[nodiscard]] Heartbeat AnswerTo(const Heartbeat& peer) const ABSL_LOCKS_EXCLUDED(mutex_);

 private:
  const Clock& clock_;
  mutable absl::Mutex mutex_;
  Heartbeat latest_ ABSL_GUARDED_BY(mutex_);
  Millis kept_at_ ABSL_GUARDED_BY(mutex_);
  std::string configuration_ ABSL_GUARDED_BY(mutex_);
  int64_t configuration_revision_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace currantpost
