#pragma once

#include <compare>
#include <cstdint>

namespace currantpost {

/// A point in time or a duration, in whole milliseconds.
///
/// The origin of points in time depends on the clock that returned them, so points of different
/// processes must not be compared.
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

  /// Returns the current time.
  [[nodiscard]] virtual Millis Now() const = 0;
};

/// The monotonic clock of the machine. It also advances while the process is paused.
class MonotonicClock final : public Clock {
 public:
  [[nodiscard]] Millis Now() const override;
};

/// A clock for tests that only moves when advanced.
class ManualClock final : public Clock {
 public:
  [[nodiscard]] Millis Now() const override { return now_; }

  /// Moves the clock forward.
  void Advance(Millis span) { now_ = now_ + span; }

 private:
  Millis now_;
};

}  // namespace currantpost
