#include "currantpost/traffic/message.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <utility>

namespace currantpost {
namespace {

/// Most digits of a length; the largest such number still fits into 64 bits.
constexpr size_t kLargestLengthDigits = 18;

constexpr std::array<std::string_view, 10> kHopByHop = {"Connection",
                                                        "Keep-Alive",
                                                        "Proxy-Authenticate",
                                                        "Proxy-Authorization",
                                                        "Proxy-Connection",
                                                        "TE",
                                                        "Trailer",
                                                        "Transfer-Encoding",
                                                        "Upgrade",
                                                        "Expect"};

absl::string_view View(std::string_view text) { return {text.data(), text.size()}; }

std::vector<std::string> ConnectionTokens(const HeaderList& headers) {
  std::vector<std::string> tokens;

  for (const Header& header : headers) {
    if (!SameHeaderName(header.name, "Connection")) continue;

    for (const absl::string_view token : absl::StrSplit(header.value, ',')) {
      tokens.emplace_back(absl::StripAsciiWhitespace(token));
    }
  }

  return tokens;
}

bool IsLength(const std::string& value) {
  return !value.empty() && value.size() <= kLargestLengthDigits &&
         std::ranges::all_of(value, absl::ascii_isdigit);
}

}  // namespace

bool SameHeaderName(std::string_view left, std::string_view right) {
  return absl::EqualsIgnoreCase(View(left), View(right));
}

int CountHeaders(const HeaderList& headers, std::string_view name) {
  return static_cast<int>(std::ranges::count_if(
      headers, [name](const Header& header) { return SameHeaderName(header.name, name); }));
}

std::string HeaderValue(const HeaderList& headers, std::string_view name) {
  for (const Header& header : headers) {
    if (SameHeaderName(header.name, name)) return header.value;
  }

  return {};
}

void RemoveHeader(HeaderList& headers, std::string_view name) {
  std::erase_if(headers,
                [name](const Header& header) { return SameHeaderName(header.name, name); });
}

void SetHeader(HeaderList& headers, std::string_view name, std::string value) {
  RemoveHeader(headers, name);
  headers.push_back({std::string(name), std::move(value)});
}

HeaderList EndToEndHeaders(const HeaderList& headers) {
  const std::vector<std::string> named = ConnectionTokens(headers);
  HeaderList kept;

  for (const Header& header : headers) {
    const auto is_same = [&header](std::string_view name) {
      return SameHeaderName(header.name, name);
    };

    if (std::ranges::any_of(kHopByHop, is_same)) continue;
    if (std::ranges::any_of(named, is_same)) continue;
    kept.push_back(header);
  }

  return kept;
}

bool HasMalformedName(const HeaderList& headers) {
  static constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";

  const auto is_allowed = [](char character) {
    return absl::ascii_isalnum(character) || kPunctuation.find(character) != std::string_view::npos;
  };

  return std::ranges::any_of(headers, [&is_allowed](const Header& header) {
    return header.name.empty() || !std::ranges::all_of(header.name, is_allowed);
  });
}

Framing BodyFraming(const HeaderList& headers) {
  const int lengths = CountHeaders(headers, "Content-Length");
  const int encodings = CountHeaders(headers, "Transfer-Encoding");

  if (lengths + encodings == 0) return Framing::kNone;
  if (lengths + encodings > 1) return Framing::kBad;

  if (lengths == 1) {
    return IsLength(HeaderValue(headers, "Content-Length")) ? Framing::kLength : Framing::kBad;
  }

  const std::string encoding = HeaderValue(headers, "Transfer-Encoding");
  return absl::EqualsIgnoreCase(encoding, "chunked") ? Framing::kChunked : Framing::kBad;
}

bool AsksToClose(const HeaderList& headers) {
  return std::ranges::any_of(ConnectionTokens(headers), [](const std::string& token) {
    return SameHeaderName(token, "close");
  });
}

}  // namespace currantpost
