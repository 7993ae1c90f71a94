#pragma once

#include <string>
#include <system_error>
#include <tl/expected.hpp>

namespace currantpost {

/// Every way in which an operation of currantpost can fail.
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

/// A failure: its type, and what it was about.
struct Error {
  std::error_code code;
  /// Names the key, file, task or peer concerned; never decides anything.
  std::string detail;

  friend bool operator==(const Error& left, const Error& right) { return left.code == right.code; }
};

/// Makes a failure with its detail.
Error MakeError(ErrorCode code, std::string detail = {});

/// Returns the short name of a failure's type, such as "stale_epoch".
std::string ErrorName(const std::error_code& code);

/// A value, or the failure that stands in its place.
template <typename Value>
using Result = tl::expected<Value, Error>;

/// Makes a failed `Result`.
inline tl::unexpected<Error> Fail(ErrorCode code, std::string detail = {}) {
  return tl::unexpected<Error>(MakeError(code, std::move(detail)));
}

}  // namespace currantpost

template <>
struct std::is_error_code_enum<currantpost::ErrorCode> : std::true_type {};
