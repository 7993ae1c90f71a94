#include "target.h"

#include <arpa/inet.h>

namespace currantpost {
namespace {

bool IsFamily(int family, const std::string& host) {
  in6_addr number{};

  return inet_pton(family, host.c_str(), &number) == 1;
}

}  // namespace

bool IsIpNumber(const std::string& host) {
  return IsFamily(AF_INET, host) || IsFamily(AF_INET6, host);
}

std::optional<std::string> TargetOf(const Address& address) {
  const std::string port = std::to_string(address.port);

  if (IsFamily(AF_INET, address.host)) return "ipv4:" + address.host + ":" + port;
  if (IsFamily(AF_INET6, address.host)) return "ipv6:[" + address.host + "]:" + port;

  return std::nullopt;
}

}  // namespace currantpost
