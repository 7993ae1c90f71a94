#pragma once

#include "currantpost/base/enum_names.h"
#include "currantpost/base/error.h"
#include "currantpost/traffic/message.h"

namespace currantpost {

/// What is known of one attempt at one upstream.
enum class AttemptOutcome {
  /// No byte left for the upstream.
  kNotSent,
  /// The upstream said that it did not run the request.
  kNotRun,
  /// The whole answer to this attempt came.
  kAnswered,
  /// At least one byte left and no whole answer came.
  kUnknown,
};

inline constexpr EnumNames kAttemptOutcomeNames(std::to_array<EnumName<AttemptOutcome>>({
    {AttemptOutcome::kNotSent, "not_sent"},
    {AttemptOutcome::kNotRun, "not_run"},
    {AttemptOutcome::kAnswered, "answered"},
    {AttemptOutcome::kUnknown, "unknown"},
}));

/// The result of one attempt on one connection.
struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kNotSent;
  /// Set unless the attempt was answered.
  Error error;
  /// Valid if the attempt was answered.
  Answer answer;
  /// The connection is in a known state and may carry another request.
  bool reusable = false;
  /// No byte came back until the deadline.
  bool silent = false;
  /// The connection broke before a byte came back.
  bool broken = false;
  /// Given up because another attempt was answered first.
  bool abandoned = false;
  /// The upstream said that it is leaving.
  bool said_leaving = false;
};

}  // namespace currantpost
