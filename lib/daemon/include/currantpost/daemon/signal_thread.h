#pragma once

#include <atomic>
#include <functional>
#include <thread>

namespace currantpost {

/// What to do on the signals that the daemon listens to.
struct SignalActions {
  /// SIGTERM and SIGINT.
  std::function<void()> shut_down;
  /// SIGUSR1.
  std::function<void()> dump_state;
};

/// Blocks the daemon's signals in the calling thread and all threads that it starts afterwards.
/// Call before any other thread starts.
void BlockSignals();

/// Waits for the daemon's signals.
class SignalThread {
 public:
  explicit SignalThread(SignalActions actions);
  ~SignalThread();

  SignalThread(const SignalThread&) = delete;
  SignalThread& operator=(const SignalThread&) = delete;

 private:
  void Work();

  const SignalActions actions_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace currantpost
