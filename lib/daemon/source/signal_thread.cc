#include "currantpost/daemon/signal_thread.h"

#include <pthread.h>
#include <signal.h>

#include <utility>

namespace currantpost {
namespace {

sigset_t DaemonSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGUSR1);

  return signals;
}

}  // namespace

void BlockSignals() {
  const sigset_t signals = DaemonSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  // A connection that its other end has closed must not end the process.
  signal(SIGPIPE, SIG_IGN);
}

SignalThread::SignalThread(SignalActions actions)
    : actions_(std::move(actions)), thread_([this] { Work(); }) {}

SignalThread::~SignalThread() {
  stopping_.store(true);
  pthread_kill(thread_.native_handle(), SIGUSR1);
  thread_.join();
}

void SignalThread::Work() {
  const sigset_t signals = DaemonSignals();

  while (true) {
    int number = 0;
    sigwait(&signals, &number);

    if (stopping_.load()) return;

    if (number == SIGUSR1) {
      actions_.dump_state();
    } else {
      actions_.shut_down();
    }
  }
}

}  // namespace currantpost
