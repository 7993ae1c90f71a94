#include "currantpost/base/error.h"

#include <array>
#include <utility>

#include "currantpost/base/enum_names.h"

namespace currantpost {
namespace {

constexpr EnumNames kErrorNames(std::to_array<EnumName<ErrorCode>>({
    {ErrorCode::kOk, "ok"},
    {ErrorCode::kInvalidArgument, "invalid_argument"},
    {ErrorCode::kUnknownKey, "unknown_key"},
    {ErrorCode::kMissingKey, "missing_key"},
    {ErrorCode::kOutOfRange, "out_of_range"},
    {ErrorCode::kWrongUnit, "wrong_unit"},
    {ErrorCode::kUnreadable, "unreadable"},
    {ErrorCode::kMalformed, "malformed"},
    {ErrorCode::kTooLarge, "too_large"},
    {ErrorCode::kNotFound, "not_found"},
    {ErrorCode::kAlreadyExists, "already_exists"},
    {ErrorCode::kConflict, "conflict"},
    {ErrorCode::kUnavailable, "unavailable"},
    {ErrorCode::kOutcomeUnknown, "outcome_unknown"},
    {ErrorCode::kTimeout, "timeout"},
    {ErrorCode::kNoCapacity, "no_capacity"},
    {ErrorCode::kNeverFits, "never_fits"},
    {ErrorCode::kQuotaExceeded, "quota_exceeded"},
    {ErrorCode::kStaleEpoch, "stale_epoch"},
    {ErrorCode::kOverloaded, "overloaded"},
    {ErrorCode::kShuttingDown, "shutting_down"},
    {ErrorCode::kIncompleteAnswer, "incomplete_answer"},
    {ErrorCode::kMismatchedAnswer, "crossed_answer"},
    {ErrorCode::kAlreadyClaimed, "already_claimed"},
    {ErrorCode::kNotOwner, "not_owner"},
    {ErrorCode::kInternal, "internal"},
}));

class Category final : public std::error_category {
 public:
  [[nodiscard]] const char* name() const noexcept override { return "currantpost"; }

  [[nodiscard]] std::string message(int value) const override {
    return std::string(kErrorNames.Name(static_cast<ErrorCode>(value)));
  }
};

}  // namespace

const std::error_category& CurrantpostCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(ErrorCode code) {
  return {static_cast<int>(code), CurrantpostCategory()};
}

Error MakeError(ErrorCode code, std::string detail) {
  return Error{make_error_code(code), std::move(detail)};
}

std::string ErrorName(const std::error_code& code) { return code.message(); }

}  // namespace currantpost
