#pragma once

#include <functional>
#include <memory>

#include "currantpost/base/time.h"

namespace currantpost {

/// Waits for sockets, timers and signals on one thread and runs their handlers one after another.
///
/// Handlers of all objects that use a loop are called from within `Run`, so they need no locks.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until `Stop` is called. May be called again after that.
  void Run();

  /// Makes `Run` return after the current handler.
  void Stop();

  /// Calls `action` once after `delay`. A delay of zero calls it in the next iteration of the loop.
  void After(Millis delay, std::function<void()> action);

  /// Calls `action` with the signal number each time one of `signals` arrives.
  void OnSignals(std::initializer_list<int> signals, std::function<void(int)> action);

  /// The Asio objects from which this package creates its sockets.
  struct Impl;
  [[nodiscard]] Impl& impl() { return *impl_; }

 private:
  std::unique_ptr<Impl> impl_;
};

/// A timer that can be set again, which replaces the previous setting.
class Timer {
 public:
  explicit Timer(EventLoop& loop);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Calls `action` once after `delay`, unless the timer is set again or cancelled before.
  void Set(Millis delay, std::function<void()> action);

  /// Cancels the current setting.
  void Cancel();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace currantpost
