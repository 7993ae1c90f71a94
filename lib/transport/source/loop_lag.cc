#include "currantpost/transport/loop_lag.h"

#include <algorithm>
#include <utility>

#include "loop_impl.h"

namespace currantpost {
namespace {

/// Passes through the queue until everything is handled that had arrived before: the sockets are
/// polled between the first two, what is ready then is read by the third, and a message of two
/// parts by the fourth.
constexpr int kPasses = 4;

}  // namespace

struct LoopLag::Impl : std::enable_shared_from_this<Impl> {
  Impl(boost::asio::io_context& the_context, const Clock& the_clock)
      : context(the_context), clock(the_clock) {}

  void Pass() {
    const Millis now = clock.Now();
    const bool is_idle = now == std::exchange(last_pass, now);

    if (--passes_left == 0) {
      // Once nothing was left to do in the last pass, what arrives is handled at once.
      lateness = is_idle ? Millis(0) : now - *began;
      handled_up_to = std::exchange(began, std::nullopt);
      return;
    }

    boost::asio::post(context, [self = weak_from_this()] {
      if (const auto impl = self.lock()) impl->Pass();
    });
  }

  boost::asio::io_context& context;
  const Clock& clock;
  /// When the measurement under way began.
  std::optional<Millis> began;
  int passes_left = 0;
  Millis last_pass;
  Millis lateness;
  std::optional<Millis> handled_up_to;
};

LoopLag::LoopLag(EventLoop& loop, const Clock& clock)
    : impl_(std::make_shared<Impl>(loop.impl().context, clock)) {}

LoopLag::~LoopLag() = default;

void LoopLag::Measure() {
  if (impl_->began) return;

  impl_->began = impl_->clock.Now();
  impl_->passes_left = kPasses + 1;
  impl_->Pass();
}

Millis LoopLag::Lateness() const {
  const Millis age = impl_->began ? impl_->clock.Now() - *impl_->began : Millis(0);
  return std::max(age, impl_->lateness);
}

std::optional<Millis> LoopLag::HandledUpTo() const { return impl_->handled_up_to; }

}  // namespace currantpost
