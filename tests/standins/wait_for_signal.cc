#include "wait_for_signal.h"

#include <csignal>

namespace currantpost::standins {
namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int caught = 0;
  sigwait(&signals, &caught);
}

}  // namespace currantpost::standins
