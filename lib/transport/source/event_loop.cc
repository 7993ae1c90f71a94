#include "currantpost/transport/event_loop.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <csignal>

#include "loop_impl.h"

namespace currantpost {
namespace {

/// Milliseconds without an acknowledgement after which a connection is considered dead. Longer than
/// the retransmissions of a lost packet, shorter than the timeouts of most calls.
constexpr int kTcpUserTimeoutMs = 4'000;

void WaitForSignal(boost::asio::signal_set& signals, std::function<void(int)> action) {
  signals.async_wait(
      [&signals, action = std::move(action)](boost::system::error_code error, int number) {
        if (error) return;

        action(number);
        WaitForSignal(signals, action);
      });
}

}  // namespace

void SetConnectionOptions(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs,
             sizeof(kTcpUserTimeoutMs));
}

bool HasUnreadData(boost::asio::ip::tcp::socket& socket) {
  pollfd waiting{.fd = socket.native_handle(), .events = POLLIN, .revents = 0};
  return poll(&waiting, 1, 0) != 0;
}

EventLoop::EventLoop() : impl_(std::make_unique<Impl>()) { std::signal(SIGPIPE, SIG_IGN); }

EventLoop::~EventLoop() = default;

void EventLoop::Run() {
  impl_->context.restart();
  const auto guard = boost::asio::make_work_guard(impl_->context);
  impl_->context.run();
}

void EventLoop::Stop() { impl_->context.stop(); }

void EventLoop::After(Millis delay, std::function<void()> action) {
  if (delay <= Millis(0)) {
    boost::asio::post(impl_->context, std::move(action));
    return;
  }

  auto timer = std::make_shared<boost::asio::steady_timer>(impl_->context);
  timer->expires_after(std::chrono::milliseconds(delay.Count()));
  timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
    if (!error) action();
  });
}

void EventLoop::OnSignals(std::initializer_list<int> signals, std::function<void(int)> action) {
  for (const int number : signals) impl_->signals.add(number);
  WaitForSignal(impl_->signals, std::move(action));
}

struct Timer::Impl {
  explicit Impl(boost::asio::io_context& context) : timer(context) {}

  boost::asio::steady_timer timer;
  uint64_t generation = 0;
};

Timer::Timer(EventLoop& loop) : impl_(std::make_shared<Impl>(loop.impl().context)) {}

Timer::~Timer() { Cancel(); }

void Timer::Set(Millis delay, std::function<void()> action) {
  const uint64_t generation = ++impl_->generation;
  impl_->timer.expires_after(std::chrono::milliseconds(delay.Count()));
  // The handler of an expired wait may already be queued when the timer is set again, so it checks
  // the generation.
  impl_->timer.async_wait(
      [impl = impl_, generation, action = std::move(action)](boost::system::error_code error) {
        if (!error && impl->generation == generation) action();
      });
}

void Timer::Cancel() {
  ++impl_->generation;
  boost::system::error_code ignored;
  impl_->timer.cancel(ignored);
}

}  // namespace currantpost
