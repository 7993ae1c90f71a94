#pragma once

#include <optional>
#include <string>

#include "currantpost/model/vm.h"

namespace currantpost {

/// Returns whether `host` is an IPv4 or IPv6 address.
bool IsIpAddress(const std::string& host);

/// Returns the gRPC target of an address, or nullopt if its host is not an IP address. Host names
/// are never resolved.
std::optional<std::string> GrpcTarget(const Address& address);

}  // namespace currantpost
