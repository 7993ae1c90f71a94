#pragma once

#include <compare>
#include <cstdint>

namespace currantpost {

/// A point in time or a span of it, in whole milliseconds.
///
/// Points count from an origin that only the clock that made them knows, so
/// points of two processes must never be compared.
class Millis {
 public:
  constexpr Millis() = default;
  constexpr explicit Millis(int64_t count) : count_(count) {}

  /// Returns the number of milliseconds.
  [[nodiscard]] constexpr int64_t Count() const { return count_; }

  constexpr auto operator<=>(const Millis&) const = default;

  constexpr Millis operator+(Millis other) const { return Millis(count_ + other.count_); }
  constexpr Millis operator-(Millis other) const { return Millis(count_ - other.count_); }
  constexpr Millis operator*(int64_t factor) const { return Millis(count_ * factor); }
  constexpr Millis operator/(int64_t divisor) const { return Millis(count_ / divisor); }

 private:
  int64_t count_ = 0;
};

/// A source of monotonic time.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Returns the present point in time.
  [[nodiscard]] virtual Millis Now() const = 0;
};

/// The monotonic clock of the machine. It goes on while the process is paused.
class MonotonicClock final : public Clock {
 public:
  [[nodiscard]] Millis Now() const override;
};

/// A clock that stands still until it is told to move on.
class ManualClock final : public Clock {
 public:
  [[nodiscard]] Millis Now() const override { return now_; }

  /// Moves the clock forward by a span.
  void Advance(Millis span) { now_ = now_ + span; }

 private:
  Millis now_;
};

}  // namespace currantpost
