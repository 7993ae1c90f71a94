#pragma once

#include <atomic>
#include <thread>

#include "currantpost/base/time.h"
#include "currantpost/control/effects.h"
#include "currantpost/control/state.h"
#include "currantpost/daemon/event_queue.h"
#include "currantpost/daemon/metrics.h"
#include "currantpost/daemon/process_status.h"

namespace currantpost {

/// Carries out effects. Must not block.
class EffectSink {
 public:
  virtual ~EffectSink() = default;

  virtual void Run(Effects effects) = 0;
};

/// The one thread that owns the control state and runs the reducer.
class ControlThread {
 public:
  ControlThread(ControlSettings settings, const Clock& clock, EventQueue& events,
                EffectSink& effects, Metrics& metrics, ProcessStatus& status);
  ~ControlThread();

  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  /// Starts the thread.
  void Start();

  /// Ends the thread after the event that it is at. May be called again.
  void Stop();

 private:
  void Work();
  void Take(EventBody body);
  void TickIfDue();

  State state_;
  const Clock& clock_;
  EventQueue& events_;
  EffectSink& effects_;
  Metrics& metrics_;
  ProcessStatus& status_;
  Millis next_tick_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace currantpost
