#include "currantpost/daemon/periodic_thread.h"

#include <absl/time/time.h>

#include <utility>

namespace currantpost {

PeriodicThread::PeriodicThread(Millis pause, std::function<void()> job)
    : pause_(pause), job_(std::move(job)), thread_([this] { Work(); }) {}

PeriodicThread::~PeriodicThread() {
  stopped_.Notify();
  thread_.join();
}

void PeriodicThread::Work() {
  do {
    job_();
  } while (!stopped_.WaitForNotificationWithTimeout(absl::Milliseconds(pause_.Count())));
}

}  // namespace currantpost
