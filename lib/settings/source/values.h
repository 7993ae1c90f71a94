#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "currantpost/base/error.h"
#include "currantpost/base/time.h"
#include "currantpost/settings/address.h"

/// Parsers of the values in a settings file. Each returns an error code that says what is wrong.

namespace currantpost {

/// Parses an integer without a unit.
Result<int64_t> ParseNumber(std::string_view text);

/// Parses a fraction from 0 to 1.
Result<double> ParseShare(std::string_view text);

/// Parses a duration with its unit: ms, s or min.
Result<Millis> ParseDuration(std::string_view text);

/// Parses a size in bytes with its unit: B, KiB or MiB.
Result<int64_t> ParseBytes(std::string_view text);

/// Parses a non-empty name of letters, digits, '-', '_' and '.'.
Result<std::string> ParseName(std::string_view text);

}  // namespace currantpost
