#include "values.h"

#include <absl/strings/numbers.h>
#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <limits>
#include <span>

namespace currantpost {
namespace {

constexpr int64_t kMaxPort = 65'535;

/// A unit and its size in base units (milliseconds or bytes).
struct Unit {
  std::string_view name;
  int64_t factor;
};

constexpr auto kTimeUnits = std::to_array<Unit>({{"ms", 1}, {"s", 1'000}, {"min", 60'000}});
constexpr auto kByteUnits = std::to_array<Unit>({{"B", 1}, {"KiB", 1'024}, {"MiB", 1'048'576}});

Result<int64_t> ParseWithUnit(std::string_view text, std::span<const Unit> units) {
  const size_t end = std::min(text.find_first_not_of("0123456789"), text.size());
  const Result<int64_t> number = ParseNumber(text.substr(0, end));
  if (!number) return number;

  std::string_view name = text.substr(end);
  while (!name.empty() && name.front() == ' ') name.remove_prefix(1);

  for (const Unit& unit : units) {
    if (unit.name != name) continue;
    if (*number > std::numeric_limits<int64_t>::max() / unit.factor) {
      return Fail(ErrorCode::kOutOfRange);
    }

    return *number * unit.factor;
  }

  return Fail(ErrorCode::kWrongUnit);
}

bool IsIpAddress(const std::string& host) {
  std::array<unsigned char, sizeof(in6_addr)> address{};

  return inet_pton(AF_INET, host.c_str(), address.data()) == 1 ||
         inet_pton(AF_INET6, host.c_str(), address.data()) == 1;
}

}  // namespace

Result<int64_t> ParseNumber(std::string_view text) {
  int64_t number = 0;

  // `absl::string_view` may be a different type than `std::string_view`.
  if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &number)) {
    return Fail(ErrorCode::kInvalidArgument);
  }

  return number;
}

Result<double> ParseShare(std::string_view text) {
  double share = 0.0;

  if (!absl::SimpleAtod(absl::string_view(text.data(), text.size()), &share)) {
    return Fail(ErrorCode::kInvalidArgument);
  }

  if (!(share >= 0.0 && share <= 1.0)) return Fail(ErrorCode::kOutOfRange);

  return share;
}

Result<Millis> ParseDuration(std::string_view text) {
  const Result<int64_t> millis = ParseWithUnit(text, kTimeUnits);
  if (!millis) return tl::unexpected<Error>(millis.error());

  return Millis(*millis);
}

Result<int64_t> ParseBytes(std::string_view text) { return ParseWithUnit(text, kByteUnits); }

Result<Address> ReadAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return Fail(ErrorCode::kInvalidArgument);

  const Result<int64_t> port = ParseNumber(text.substr(colon + 1));
  if (!port) return tl::unexpected<Error>(port.error());
  if (*port < 0 || *port > kMaxPort) return Fail(ErrorCode::kOutOfRange);

  std::string_view host = text.substr(0, colon);
  const bool has_brackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (has_brackets) host = host.substr(1, host.size() - 2);

  Address address{std::string(host), static_cast<int>(*port)};
  if (!IsIpAddress(address.host)) return Fail(ErrorCode::kInvalidArgument);

  return address;
}

Result<std::string> ParseName(std::string_view text) {
  const auto is_allowed = [](unsigned char character) {
    return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.';
  };

  if (text.empty() || !std::ranges::all_of(text, is_allowed)) {
    return Fail(ErrorCode::kInvalidArgument);
  }

  return std::string(text);
}

}  // namespace currantpost
