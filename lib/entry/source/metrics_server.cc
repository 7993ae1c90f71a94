#include "metrics_server.h"

#include <utility>

namespace currantpost {
namespace {

constexpr const char* kTextFormat = "text/plain; version=0.0.4; charset=utf-8";

/// Requests have no body and come from few callers.
HttpServerLimits Limits() {
  HttpServerLimits limits;
  limits.max_header_bytes = 4'096;
  limits.max_body_bytes = 1'024;
  limits.max_connections = 8;
  return limits;
}

}  // namespace

MetricsServer::MetricsServer(EventLoop& loop, const Clock& clock, std::string path,
                             std::function<std::string()> text)
    : path_(std::move(path)),
      text_(std::move(text)),
      server_(loop, clock, Limits(),
              [this](const ReceivedRequest& request, const Respond& respond) {
                Handle(request, respond);
              }) {}

void MetricsServer::Handle(const ReceivedRequest& request, const Respond& respond) const {
  if (request.target != path_) return respond(HttpResponse{.status = 404});
  if (request.method != "GET") return respond(HttpResponse{.status = 405});

  respond(HttpResponse{.fields = {{"Content-Type", kTextFormat}}, .body = text_()});
}

}  // namespace currantpost
