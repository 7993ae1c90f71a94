#include "currantpost/daemon/control_thread.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "currantpost/control/reducer.h"

namespace currantpost {
namespace {

constexpr Millis kTickInterval(50);

}  // namespace

ControlThread::ControlThread(ControlSettings settings, const Clock& clock, EventQueue& events,
                             EffectSink& effects, Metrics& metrics, ProcessStatus& status)
    : state_(std::move(settings)),
      clock_(clock),
      events_(events),
      effects_(effects),
      metrics_(metrics),
      status_(status) {}

ControlThread::~ControlThread() { Stop(); }

void ControlThread::Start() {
  next_tick_ = clock_.Now();
  thread_ = std::thread([this] { Work(); });
}

void ControlThread::Stop() {
  stopping_.store(true);
  events_.Close();

  if (thread_.joinable()) thread_.join();
}

void ControlThread::Work() {
  while (!stopping_.load()) {
    TickIfDue();

    const Millis until_tick = std::max(Millis(0), next_tick_ - clock_.Now());
    std::optional<EventBody> body = events_.Pop(until_tick);

    if (body) Take(*std::move(body));
  }
}

void ControlThread::TickIfDue() {
  if (clock_.Now() < next_tick_) return;

  Take(Tick{});
  metrics_.Observe(state_);
  status_.Ticked();
  next_tick_ = clock_.Now() + kTickInterval;
}

void ControlThread::Take(EventBody body) {
  const auto begin = std::chrono::steady_clock::now();
  const Event event{.now = clock_.Now(), .body = std::move(body)};
  Effects effects;

  Reduce(state_, event, effects);

  const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begin;
  metrics_.CountEvent(event.body, taken.count());
  effects_.Run(std::move(effects));
}

}  // namespace currantpost
