#include "faulty_service.h"

#include <array>
#include <string_view>
#include <utility>

#include "currantpost/model/json.h"
#include "currantpost/platform/headers.h"

namespace currantpost::standins {

using nlohmann::json;

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpInternal = 500;
constexpr int kHttpUnavailable = 503;

using AddHandler = httplib::Server& (httplib::Server::*)(const std::string& path,
                                                         httplib::Server::Handler handler);

/// One HTTP method, and how the library is told to serve it.
struct MethodRow {
  std::string_view name;
  AddHandler add;
};

constexpr std::array kMethods = {
    MethodRow{"GET", &httplib::Server::Get},       MethodRow{"POST", &httplib::Server::Post},
    MethodRow{"PUT", &httplib::Server::Put},       MethodRow{"PATCH", &httplib::Server::Patch},
    MethodRow{"DELETE", &httplib::Server::Delete},
};

}  // namespace

void AnswerJson(httplib::Response& response, int status, const json& body) {
  response.status = status;
  response.set_content(body.dump(), "application/json");
}

void ReadFaults(const json& in, ServiceFaults& faults) {
  ReadOptional(in, "down", faults.down);
  ReadOptional(in, "dead", faults.dead);
  ReadOptional(in, "silent", faults.silent);
  ReadOptional(in, "slow_ms", faults.slow);
  ReadOptional(in, "delay_next", faults.delay_next);
  ReadOptional(in, "delay_ms", faults.delay);

  const json next = in.value("next", json::object());

  for (const auto& [name, count] : next.items()) {
    if (const auto fault = kAnswerFaultNames.Find(name)) faults.next[*fault] = count.get<int32_t>();
  }
}

FaultyService::FaultyService(ServiceOptions options)
    : options_(std::move(options)), server_(options_.most_connections) {
  ServeFaultsAdmin();
}

void FaultyService::Register(const std::string& method, const std::string& path,
                             const Handler& handler) {
  for (const MethodRow& row : kMethods) {
    if (row.name == method) (server_.*row.add)(path, handler);
  }
}

void FaultyService::Serve(const std::string& method, const std::string& path, Handler handler) {
  Register(method, path,
           [this, handler = std::move(handler)](const httplib::Request& request,
                                                httplib::Response& response) {
             Handle(request, response, handler);
           });
}

void FaultyService::ServeAdmin(const std::string& method, const std::string& path,
                               Handler handler) {
  Register(
      method, path,
      [handler = std::move(handler)](const httplib::Request& request, httplib::Response& response) {
        try {
          handler(request, response);
        } catch (const json::exception& exception) {
          AnswerJson(response, kHttpBadRequest, json{{"error", exception.what()}});
        }
      });
}

void FaultyService::SetFaults(const ServiceFaults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

void FaultyService::FailNext(AnswerFault fault, int32_t count) {
  const std::lock_guard lock(mutex_);
  faults_.next[fault] = count;
}

std::map<std::string, int64_t> FaultyService::Counts() const {
  const std::lock_guard lock(mutex_);
  return counts_;
}

void FaultyService::Handle(const httplib::Request& request, httplib::Response& response,
                           const Handler& handler) {
  {
    const std::lock_guard lock(mutex_);
    ++counts_[request.path];
  }

  if (request.has_header(platform_headers::kRequestId)) {
    response.set_header(platform_headers::kRequestId,
                        request.get_header_value(platform_headers::kRequestId));
  }

  if (RefuseOrWait(response)) return;

  try {
    handler(request, response);
  } catch (const json::exception& exception) {
    response.set_header(options_.not_done_header, "1");
    AnswerJson(response, kHttpBadRequest, json{{"error", exception.what()}});
  }

  SpoilAnswer(response);
}

/// Returns true if the call must not take effect.
bool FaultyService::RefuseOrWait(httplib::Response& response) {
  Millis wait;

  {
    const std::lock_guard lock(mutex_);

    if (faults_.dead || faults_.silent) {
      FaultServer::SetAnswerFault(faults_.dead ? AnswerFault::kLost : AnswerFault::kSilent);
      return true;
    }

    if (faults_.down) {
      response.set_header(options_.not_done_header, "1");
      AnswerJson(response, kHttpUnavailable, json{{"error", "down"}});
      return true;
    }

    wait = faults_.slow;
    if (faults_.delay_next > 0) {
      --faults_.delay_next;
      wait = wait + faults_.delay;
    }
  }

  if (wait > Millis(0)) server_.Pause(wait);
  return false;
}

AnswerFault FaultyService::NextFault() {
  const std::lock_guard lock(mutex_);

  for (auto& [fault, count] : faults_.next) {
    if (count == 0) continue;
    --count;
    return fault;
  }

  return AnswerFault::kNone;
}

void FaultyService::SpoilAnswer(httplib::Response& response) {
  const AnswerFault fault = NextFault();
  FaultServer::SetAnswerFault(fault);

  if (fault == AnswerFault::kCrossed) {
    response.headers.erase(platform_headers::kRequestId);
    response.set_header(platform_headers::kRequestId, "another-request");
  }

  if (fault == AnswerFault::kFailed) AnswerJson(response, kHttpInternal, json{{"error", "failed"}});
  if (fault == AnswerFault::kMalformed) response.set_content("{\"entries\":", "application/json");
}

void FaultyService::ServeFaultsAdmin() {
  ServeAdmin("PUT", "/admin/faults", [this](const auto& request, auto& response) {
    const json body = json::parse(request.body);
    const std::lock_guard lock(mutex_);
    ReadFaults(body, faults_);
    AnswerJson(response, kHttpOk, json::object());
  });

  ServeAdmin("POST", "/admin/silence", [this](const auto& /*request*/, auto& response) {
    server_.SilenceOpenConnections();
    AnswerJson(response, kHttpOk, json::object());
  });

  ServeAdmin("GET", "/admin/counts", [this](const auto& /*request*/, auto& response) {
    const ConnectionCounts connections = server_.Counts();
    AnswerJson(response, kHttpOk,
               json{{"calls", Counts()},
                    {"connections",
                     {{"accepted", connections.accepted},
                      {"refused", connections.refused},
                      {"open", connections.open},
                      {"most_open", connections.most_open}}}});
  });
}

}  // namespace currantpost::standins
