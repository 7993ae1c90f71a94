#pragma once

#include <functional>
#include <memory>

#include "currantpost/base/time.h"

namespace currantpost {

/// One thread that waits for sockets, timers and signals, and runs what they bring in turn.
///
/// Everything built on a loop is called from within `Run` and needs no locks.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until `Stop` is called. May be called again after that.
  void Run();

  /// Makes `Run` return after the present handler.
  void Stop();

  /// Calls `action` once after a span. A span of zero calls it in the next round of the loop.
  void After(Millis delay, std::function<void()> action);

  /// Calls `action` with the number of each of the signals that arrives.
  void OnSignals(std::initializer_list<int> signals, std::function<void(int)> action);

  /// What the sockets of this package are made with.
  struct Impl;
  [[nodiscard]] Impl& impl() { return *impl_; }

 private:
  std::unique_ptr<Impl> impl_;
};

/// A timer that can be set anew; only the latest setting counts.
class Timer {
 public:
  explicit Timer(EventLoop& loop);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Calls `action` once after a span, unless the timer is set anew before.
  void Set(Millis delay, std::function<void()> action);

  /// Forgets the present setting.
  void Cancel();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace currantpost
