#pragma once

#include "currantpost/base/error.h"

namespace currantpost {

/// Exit codes of the tool.
enum class ExitCode {
  kOk = 0,
  /// The system refused; nothing was changed.
  kRefused = 1,
  /// The command line, a file or a settings file is bad; nothing was sent.
  kBadInput = 2,
  /// The entry or the platform could not be reached; nothing was changed.
  kUnavailable = 3,
  /// The change may or may not have been made; repeating the command is safe.
  kUnknown = 4,
};

/// Returns the exit code for a failure.
ExitCode ExitCodeOf(const Error& error);

/// Returns what an operator can do about a failure, in one sentence.
const char* AdviceFor(const Error& error);

}  // namespace currantpost
