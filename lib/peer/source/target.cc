#include "target.h"

#include <arpa/inet.h>

namespace currantpost {
namespace {

bool IsAddressOfFamily(int family, const std::string& host) {
  in6_addr parsed{};

  return inet_pton(family, host.c_str(), &parsed) == 1;
}

}  // namespace

bool IsIpAddress(const std::string& host) {
  return IsAddressOfFamily(AF_INET, host) || IsAddressOfFamily(AF_INET6, host);
}

std::optional<std::string> GrpcTarget(const Address& address) {
  const std::string port = std::to_string(address.port);

  if (IsAddressOfFamily(AF_INET, address.host)) return "ipv4:" + address.host + ":" + port;
  if (IsAddressOfFamily(AF_INET6, address.host)) return "ipv6:[" + address.host + "]:" + port;

  return std::nullopt;
}

}  // namespace currantpost
