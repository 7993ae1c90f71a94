#pragma once

#include <string>
#include <system_error>
#include <tl/expected.hpp>

namespace currantpost {

/// The failures of currantpost's operations.
enum class ErrorCode {
  kOk = 0,
  kInvalidArgument,
  kUnknownKey,
  kMissingKey,
  kOutOfRange,
  kWrongUnit,
  kUnreadable,
  kMalformed,
  kTooLarge,
  kNotFound,
  kAlreadyExists,
  kConflict,
  kUnavailable,
  kOutcomeUnknown,
  kTimeout,
  kNoCapacity,
  kNeverFits,
  kQuotaExceeded,
  kStaleEpoch,
  kOverloaded,
  kShuttingDown,
  kIncompleteAnswer,
  kMismatchedAnswer,
  kAlreadyClaimed,
  kNotOwner,
  kInternal,
};

/// Returns the category of all `ErrorCode` values.
const std::error_category& CurrantpostCategory();

/// Makes an `ErrorCode` usable as `std::error_code`.
std::error_code make_error_code(ErrorCode code);  // NOLINT(readability-identifier-naming)

/// A failure with its type and detail.
struct Error {
  std::error_code code;
  /// Names the key, file, task or peer concerned. For messages only; no code may depend on it.
  std::string detail;

  friend bool operator==(const Error& left, const Error& right) { return left.code == right.code; }
};

/// Returns a failure with its detail.
Error MakeError(ErrorCode code, std::string detail = {});

/// Returns the short name of a failure's type, such as "stale_epoch".
std::string ErrorName(const std::error_code& code);

/// A value, or the failure if there is none.
template <typename Value>
using Result = tl::expected<Value, Error>;

/// Returns a failed `Result`.
inline tl::unexpected<Error> Fail(ErrorCode code, std::string detail = {}) {
  return tl::unexpected<Error>(MakeError(code, std::move(detail)));
}

}  // namespace currantpost

template <>
struct std::is_error_code_enum<currantpost::ErrorCode> : std::true_type {};
