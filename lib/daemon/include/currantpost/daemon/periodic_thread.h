#pragma once

#include <absl/synchronization/notification.h>

#include <functional>
#include <thread>

#include "currantpost/base/time.h"

namespace currantpost {

/// Does a job over and over, with a pause of fixed length after each time.
class PeriodicThread {
 public:
  PeriodicThread(Millis pause, std::function<void()> job);
  ~PeriodicThread();

  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

 private:
  void Work();

  const Millis pause_;
  const std::function<void()> job_;
  absl::Notification stopped_;
  std::thread thread_;
};

}  // namespace currantpost
