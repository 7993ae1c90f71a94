#include "operator_reply.h"

#include <nlohmann/json.hpp>

namespace currantpost {
namespace {

constexpr int kInternalError = 500;

struct StatusRow {
  ErrorCode code;
  int status;
};

constexpr StatusRow kStatusRows[] = {
    {ErrorCode::kOk, 200},
    {ErrorCode::kInvalidArgument, 400},
    {ErrorCode::kUnknownKey, 400},
    {ErrorCode::kMissingKey, 400},
    {ErrorCode::kOutOfRange, 400},
    {ErrorCode::kWrongUnit, 400},
    {ErrorCode::kMalformed, 400},
    {ErrorCode::kNotFound, 404},
    {ErrorCode::kAlreadyExists, 409},
    {ErrorCode::kConflict, 409},
    {ErrorCode::kStaleEpoch, 409},
    {ErrorCode::kAlreadyClaimed, 409},
    {ErrorCode::kTooLarge, 413},
    {ErrorCode::kNeverFits, 422},
    {ErrorCode::kQuotaExceeded, 429},
    {ErrorCode::kOverloaded, 429},
    {ErrorCode::kUnavailable, 503},
    {ErrorCode::kNoCapacity, 503},
    {ErrorCode::kNotOwner, 503},
    {ErrorCode::kShuttingDown, 503},
    {ErrorCode::kOutcomeUnknown, 504},
    {ErrorCode::kTimeout, 504},
};

}  // namespace

int HttpStatusOf(const std::error_code& code) {
  if (!code) return kStatusRows[0].status;

  for (const StatusRow& row : kStatusRows) {
    if (code == row.code) return row.status;
  }

  return kInternalError;
}

std::string ErrorBody(const Error& error, const std::string& present) {
  nlohmann::json body = {{"error", ErrorName(error.code)}, {"detail", error.detail}};

  if (!present.empty()) {
    auto json = nlohmann::json::parse(present, nullptr, false);
    body["present"] = json.is_discarded() ? nlohmann::json(present) : std::move(json);
  }

  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Error ErrorOfHttpStatus(int status) {
  constexpr int kNotFound = 404;
  constexpr int kPayloadTooLarge = 413;
  constexpr int kUriTooLong = 414;

  switch (status) {
    case kNotFound:
      return MakeError(ErrorCode::kNotFound, "no such path and method");
    case kPayloadTooLarge:
      return MakeError(ErrorCode::kTooLarge, "request body");
    case kUriTooLong:
      return MakeError(ErrorCode::kTooLarge, "request path");
    default:
      return MakeError(status < kInternalError ? ErrorCode::kMalformed : ErrorCode::kInternal,
                       "HTTP request");
  }
}

}  // namespace currantpost
