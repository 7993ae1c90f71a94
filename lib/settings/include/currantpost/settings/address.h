#pragma once

#include <string_view>

#include "currantpost/base/error.h"
#include "currantpost/model/vm.h"

namespace currantpost {

/// Parses an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080.
/// Fails with `kInvalidArgument` or `kOutOfRange`.
Result<Address> ReadAddress(std::string_view text);

}  // namespace currantpost
