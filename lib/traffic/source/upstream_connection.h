#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "currantpost/base/error.h"
#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"
#include "currantpost/traffic/attempt.h"
#include "currantpost/traffic/message.h"
#include "read_watch.h"

namespace currantpost {

/// Bounds of one exchange.
struct ExchangeLimits {
  Millis deadline;
  /// May be null.
  ReadWatch* watch = nullptr;
  /// Largest answer body in bytes.
  size_t largest_answer = 0;
};

/// One TCP connection to an upstream. It is made once and never made anew, so that no request can
/// be sent twice by itself. Carries one request at a time.
class UpstreamConnection {
 public:
  /// Connects by IP number until the deadline.
  static Result<std::unique_ptr<UpstreamConnection>> Connect(const Address& address,
                                                             const Clock& clock, Millis deadline);

  ~UpstreamConnection();

  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  /// Sends a request once, with `attempt_id` as its request id, and reads its whole answer.
  AttemptResult Exchange(const CallerRequest& request, const std::string& attempt_id,
                         const ExchangeLimits& limits);

  /// Says whether anything came, also an end, while no request was in flight.
  [[nodiscard]] bool IsStale() const;

  /// When the last whole answer came, or the connection was made.
  [[nodiscard]] Millis LastUse() const { return last_use_; }

  /// Returns how many requests it has carried.
  [[nodiscard]] int64_t Exchanges() const { return exchanges_; }

 private:
  class Codec;

  UpstreamConnection(int socket, const Address& address, const Clock& clock);

  int socket_;
  const Clock& clock_;
  Millis last_use_;
  int64_t exchanges_ = 0;
  std::unique_ptr<Codec> codec_;
};

}  // namespace currantpost
