#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <optional>
#include <string>

#include "currantpost/base/time.h"
#include "currantpost/control/control_settings.h"
#include "currantpost/control/effects.h"
#include "currantpost/control/events.h"
#include "currantpost/daemon/event_queue.h"

namespace currantpost {

/// Puts commands to the control thread and waits for their replies.
class CommandGateway {
 public:
  CommandGateway(const EntryIdentity& identity, EventQueue& events);

  /// Puts a command and waits for its reply. Replies by itself with `kOverloaded` if the command
  /// was not taken, and with `kOutcomeUnknown` if no reply came in time. Usable from any thread.
  CommandReply Ask(Command command, Millis longest_wait) ABSL_LOCKS_EXCLUDED(mutex_);

  /// Hands a reply to the thread that waits for it, if it still does.
  void Complete(const CommandReply& reply) ABSL_LOCKS_EXCLUDED(mutex_);

 private:
  struct Waiter {
    std::optional<CommandReply> reply;
  };

  /// Returns the command's number, or 0 if too many wait already.
  RequestId Register(Waiter& waiter) ABSL_LOCKS_EXCLUDED(mutex_);

  const std::string change_id_prefix_;
  EventQueue& events_;
  absl::Mutex mutex_;
  /// The waiters live on the stacks of the threads that wait.
  absl::flat_hash_map<RequestId, Waiter*> waiters_ ABSL_GUARDED_BY(mutex_);
  RequestId next_command_ ABSL_GUARDED_BY(mutex_) = 1;
};

}  // namespace currantpost
