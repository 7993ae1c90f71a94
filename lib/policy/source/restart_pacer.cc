#include "currantpost/policy/restart_pacer.h"

#include <algorithm>

namespace currantpost {
namespace {

constexpr double kMillisPerSecond = 1'000.0;

}  // namespace

bool RestartPacer::TryRestart(Millis now, Priority priority) {
  Refill(now);

  const bool urgent = priority == Priority::kUrgent;
  // Leaves at least one token to other tasks, which would otherwise never restart.
  const double max_reserved = std::max(0.0, settings_.burst - 1.0);
  const double reserved =
      urgent ? 0.0 : std::min(settings_.urgent_share * settings_.burst, max_reserved);
  if (tokens_ - 1.0 < reserved) return false;

  tokens_ -= 1.0;
  return true;
}

void RestartPacer::Refill(Millis now) {
  if (now <= refilled_at_) return;

  const double seconds = static_cast<double>((now - refilled_at_).Count()) / kMillisPerSecond;
  tokens_ = std::min(settings_.burst, tokens_ + seconds * settings_.restarts_per_second);
  refilled_at_ = now;
}

}  // namespace currantpost
