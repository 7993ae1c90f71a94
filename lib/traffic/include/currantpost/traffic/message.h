#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace currantpost {

/// One header line. Names compare without regard to case.
struct Header {
  std::string name;
  std::string value;
};

using HeaderList = std::vector<Header>;

inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";
inline constexpr std::string_view kDeadlineHeader = "X-Deadline-Ms";
inline constexpr std::string_view kOutcomeHeader = "X-Currantpost-Outcome";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
/// Set to "1" on a 503 by an upstream that did not run the request.
inline constexpr std::string_view kNotRunHeader = "X-Not-Run";
/// Set to "1" on any answer by an upstream that is leaving.
inline constexpr std::string_view kLeavingHeader = "X-Leaving";

/// A caller's request, read whole.
struct CallerRequest {
  std::string method;
  /// Path and query, as the caller encoded them.
  std::string target;
  /// Decoded path, for routing only.
  std::string path;
  HeaderList headers;
  std::string body;
};

/// A whole answer.
struct Answer {
  int status = 0;
  HeaderList headers;
  std::string body;
};

/// Says whether two header names are the same.
bool SameHeaderName(std::string_view left, std::string_view right);

/// Returns how many lines carry a name.
int CountHeaders(const HeaderList& headers, std::string_view name);

/// Returns the first value of a name, or an empty text.
std::string HeaderValue(const HeaderList& headers, std::string_view name);

/// Removes all lines of a name.
void RemoveHeader(HeaderList& headers, std::string_view name);

/// Puts one line in place of all lines of a name.
void SetHeader(HeaderList& headers, std::string_view name, std::string value);

/// Returns the headers without those that concern one connection only, also those that the
/// Connection header names.
HeaderList EndToEndHeaders(const HeaderList& headers);

/// Says whether some name has characters that no header name has, such as a space before the colon.
bool HasMalformedName(const HeaderList& headers);

/// How the length of a body is given by its head.
enum class Framing {
  /// Neither a length nor chunks.
  kNone,
  kLength,
  kChunked,
  /// Contradictory or not understood.
  kBad,
};

/// Reads the framing of a body.
Framing BodyFraming(const HeaderList& headers);

/// Says whether the Connection header asks to close the connection.
bool AsksToClose(const HeaderList& headers);

}  // namespace currantpost
