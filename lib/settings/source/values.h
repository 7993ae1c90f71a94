#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "currantpost/base/error.h"
#include "currantpost/base/time.h"
#include "currantpost/settings/address.h"

/// Values as they stand in a settings file. Each fails with the type of its fault.

namespace currantpost {

/// Reads a whole number without unit.
Result<int64_t> ParseNumber(std::string_view text);

/// Reads a share between 0 and 1.
Result<double> ParseShare(std::string_view text);

/// Reads a span of time with its unit: ms, s or min.
Result<Millis> ParseDuration(std::string_view text);

/// Reads a number of bytes with its unit: B, KiB or MiB.
Result<int64_t> ParseBytes(std::string_view text);

/// Reads a name of letters, digits, '-', '_' and '.'.
Result<std::string> ParseName(std::string_view text);

}  // namespace currantpost
