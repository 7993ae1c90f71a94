#pragma once

#include <optional>
#include <string>

#include "currantpost/model/vm.h"

namespace currantpost {

/// Says whether a text is an IP number.
bool IsIpAddress(const std::string& host);

/// Returns the gRPC name of an address, or nothing if its host is no IP number. No name is ever
/// resolved.
std::optional<std::string> GrpcTarget(const Address& address);

}  // namespace currantpost
