#pragma once

#include <string>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/error.h"

namespace currantpost {

/// What is known of a caller's request once it ended.
enum class Outcome {
  /// Surely not run: no byte left for an upstream, or the upstream itself said so.
  kNotRun,
  /// The whole answer came.
  kCompleted,
  /// It may have run, may run still, or may never run.
  kUnknown,
};

inline constexpr EnumNames kOutcomeNames(std::to_array<EnumName<Outcome>>({
    {Outcome::kNotRun, "not_run"},
    {Outcome::kCompleted, "completed"},
    {Outcome::kUnknown, "unknown"},
}));

/// A request that has no answer from an upstream to pass on.
struct RequestFailure {
  Outcome outcome = Outcome::kNotRun;
  Error error;
  /// Status of the answer to the caller.
  int status = 503;
};

/// Makes a failure of a request that was surely not run.
RequestFailure NotRun(ErrorCode code, int status, std::string detail);

}  // namespace currantpost
