#include "standin_upstream.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "currantpost/model/json.h"
#include "currantpost/platform/headers.h"

namespace currantpost::standins {

using nlohmann::json;

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;
constexpr const char* kNotRunHeader = "X-Not-Run";
constexpr const char* kLeavingHeader = "X-Leaving";
constexpr const char* kKeyHeader = "Idempotency-Key";
constexpr const char* kAnyPath = "/.*";

std::string KeyOf(const httplib::Request& request) {
  return request.has_header(kKeyHeader) ? request.get_header_value(kKeyHeader) : request.body;
}

/// Returns the caller's own name of a request; each attempt adds a point and a name of its own.
std::string RequestIdOf(const httplib::Request& request) {
  const std::string id = request.get_header_value(platform_headers::kRequestId);
  return id.substr(0, id.rfind('.'));
}

}  // namespace

StandinUpstream::StandinUpstream(UpstreamOptions options)
    : options_(std::move(options)),
      service_(ServiceOptions{.not_done_header = kNotRunHeader,
                              .most_connections = options_.connections}) {
  // Comes first, as any path matches below.
  ServeAdmin();

  for (const char* const method : {"GET", "POST", "PUT", "PATCH", "DELETE"}) {
    service_.Serve(method, kAnyPath,
                   [this](const auto& request, auto& response) { Run(request, response); });
  }
}

UpstreamRecords StandinUpstream::Records() const {
  const std::lock_guard lock(mutex_);
  return records_;
}

void StandinUpstream::Run(const httplib::Request& request, httplib::Response& response) {
  if (leaving_) response.set_header(kLeavingHeader, "1");

  if (!TakeSlot(request)) {
    response.set_header(kNotRunHeader, "1");
    AnswerJson(response, kHttpUnavailable, json{{"error", "overloaded"}});
    return;
  }

  service_.Server().Pause(options_.service_time);
  ReleaseSlot();

  AnswerJson(response, kHttpOk,
             json{{"vm", options_.vm},
                  {"method", request.method},
                  {"path", request.target},
                  {"body_bytes", request.body.size()},
                  {"body_hash", std::hash<std::string>()(request.body)},
                  {"request_id", request.get_header_value(platform_headers::kRequestId)}});
}

bool StandinUpstream::TakeSlot(const httplib::Request& request) {
  const std::lock_guard lock(mutex_);

  if (concurrent_ >= options_.slots) {
    ++records_.refused;
    return false;
  }

  ++records_.executed;
  ++records_.by_request_id[RequestIdOf(request)];
  if (request.method != "GET") ++records_.by_key[KeyOf(request)];

  records_.most_concurrent = std::max(records_.most_concurrent, ++concurrent_);
  return true;
}

void StandinUpstream::ReleaseSlot() {
  const std::lock_guard lock(mutex_);
  --concurrent_;
}

void StandinUpstream::ServeAdmin() {
  service_.ServeAdmin("GET", "/admin/records", [this](const auto& /*request*/, auto& response) {
    const UpstreamRecords records = Records();
    AnswerJson(response, kHttpOk,
               json{{"vm", options_.vm},
                    {"by_request_id", records.by_request_id},
                    {"by_key", records.by_key},
                    {"executed", records.executed},
                    {"refused", records.refused},
                    {"most_concurrent", records.most_concurrent}});
  });

  service_.ServeAdmin("PUT", "/admin/leaving", [this](const auto& request, auto& response) {
    SetLeaving(json::parse(request.body).template get<bool>());
    AnswerJson(response, kHttpOk, json::object());
  });
}

}  // namespace currantpost::standins
