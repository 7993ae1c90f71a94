#pragma once

#include <deque>
#include <utility>

#include "currantpost/transport/http_server.h"
#include "job_plan.h"

namespace currantpost::soak {

/// Requests that get no answer. Some of their connections are closed at once, the others stay open
/// and silent for longer than any caller waits.
class Unanswered {
 public:
  void Add(Respond respond, Millis now, Random& random) {
    if (Draw(random, 0, 2) != 0) silent_.emplace_back(now + kSilence, std::move(respond));
  }

  /// Closes connections that were silent for long.
  void Tick(Millis now) {
    while (!silent_.empty() && now >= silent_.front().first) silent_.pop_front();
  }

 private:
  static constexpr Millis kSilence = Millis(40'000);

  std::deque<std::pair<Millis, Respond>> silent_;
};

/// Limits of a stand-in's server: it never closes an idle connection, and takes any number of them.
inline HttpServerLimits StandinLimits() {
  HttpServerLimits limits;
  limits.max_body_bytes = 8U << 20U;
  limits.idle_timeout = Millis(120'000);
  limits.max_connections = 1'000'000;
  return limits;
}

}  // namespace currantpost::soak
