#pragma once

#include <absl/synchronization/notification.h>

#include <atomic>

#include "currantpost/base/time.h"

namespace currantpost {

/// What all threads may know of the process's condition.
class ProcessStatus {
 public:
  explicit ProcessStatus(const Clock& clock) : clock_(clock), last_tick_(clock.Now().Count()) {}

  /// Says whether the balancer may send new requests here.
  [[nodiscard]] bool Ready() const { return ready_.load(); }
  void SetReady(bool ready) { ready_.store(ready); }

  /// Notes that the control thread is at work.
  void Ticked() { last_tick_.store(clock_.Now().Count()); }

  /// Returns how long ago the control thread was last at work.
  [[nodiscard]] Millis SinceTick() const { return clock_.Now() - Millis(last_tick_.load()); }

  /// Asks the process to end. May be called again.
  void RequestExit() {
    if (!exit_requested_.exchange(true)) exit_.Notify();
  }

  /// Waits until the process is to end.
  void AwaitExit() const { exit_.WaitForNotification(); }

 private:
  const Clock& clock_;
  std::atomic<int64_t> last_tick_;
  std::atomic<bool> ready_ = false;
  std::atomic<bool> exit_requested_ = false;
  absl::Notification exit_;
};

}  // namespace currantpost
