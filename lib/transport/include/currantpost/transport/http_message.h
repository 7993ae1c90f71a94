#pragma once

#include <string>
#include <utility>
#include <vector>

namespace currantpost {

/// Header fields in the order in which they are sent.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

/// An outgoing request.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpFields fields;
  std::string body;
};

/// An outgoing response, or a completely received one.
struct HttpResponse {
  int status = 200;
  HttpFields fields;
  std::string body;
};

/// The outcome of a call.
enum class CallOutcome {
  /// A complete response was received.
  kAnswered,
  /// The connection could not be established, so the server has received no part of the request.
  kNotSent,
  /// The request may have been sent at least in part, and no complete response was received. The
  /// server may have executed the request, or may still do so.
  kUnknown,
  /// Another process than the expected one answered the probe of a new connection, or one that does
  /// not say which it is. The request was not sent.
  kOtherPeer,
};

/// The result of a call. `response` is valid only for `kAnswered`, and for `kOtherPeer`, where it
/// answers the probe.
struct HttpReply {
  CallOutcome outcome = CallOutcome::kUnknown;
  HttpResponse response;
};

}  // namespace currantpost
