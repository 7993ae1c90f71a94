#pragma once

#include <string>
#include <utility>
#include <vector>

namespace currantpost {

/// Header fields in the order in which they are sent.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

/// A request that is sent.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpFields fields;
  std::string body;
};

/// A response that is sent, or that came whole.
struct HttpResponse {
  int status = 200;
  HttpFields fields;
  std::string body;
};

/// How far a call came.
enum class CallOutcome {
  /// A whole response came.
  kAnswered,
  /// No connection could be made: the other side has seen nothing of it.
  kNotSent,
  /// Sent at least in part, and no whole response came: it may have been carried out, or still be.
  kUnknown,
};

/// What became of a call.
struct HttpReply {
  CallOutcome outcome = CallOutcome::kUnknown;
  HttpResponse response;
};

}  // namespace currantpost
