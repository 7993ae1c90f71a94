#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "currantpost/base/error.h"
#include "currantpost/model/vm.h"
#include "currantpost/scheduler/job_spec.h"

/// JSON of the types that both records and messages between peers contain.

namespace currantpost::scheduler {

using Json = nlohmann::json;

std::string Dump(const Json& json);

/// Parses a text. Fails with `kMalformed`; `what` names the text in the error.
Result<Json> Parse(std::string_view text, std::string_view what);

/// Parses the text and calls `read`, which throws if a member is missing, has another type or is
/// out of range.
template <typename Value, typename Read>
Result<Value> Decode(std::string_view text, std::string_view what, Read read) {
  const Result<Json> json = Parse(text, what);
  if (!json) return tl::unexpected<Error>(json.error());

  try {
    return read(*json);
  } catch (const Json::exception& exception) {
    return Fail(ErrorCode::kMalformed, std::string(what) + ": " + exception.what());
  }
}

/// Reads a duration in milliseconds. Throws if it is out of range.
/// @{
Millis ReadDuration(const Json& json);
Millis ReadDurationOr(const Json& json, const char* key, Millis missing);
/// @}

Json StepJson(const StepSpec& step);
StepSpec StepOf(const Json& json);

Json AddressJson(const Address& address);
Address AddressOf(const Json& json);

}  // namespace currantpost::scheduler
