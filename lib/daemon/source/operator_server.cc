#include "currantpost/daemon/operator_server.h"

#include <httplib.h>

#include <span>
#include <string>
#include <utility>

#include "operator_commands.h"
#include "operator_reply.h"

namespace currantpost {
namespace {

constexpr size_t kThreads = 16;
constexpr size_t kLargestBody = 1'048'576;
constexpr int64_t kReadTimeoutSeconds = 5;
constexpr int64_t kWriteTimeoutSeconds = 5;
constexpr Millis kCommandTimeout(10'000);
/// Silence of the control thread after which the process counts as broken.
constexpr Millis kLongestTickGap(5'000);

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
constexpr const char* kJsonType = "application/json";
constexpr const char* kTextType = "text/plain";
constexpr const char* kMetricsType = "text/plain; version=0.0.4";

void TellError(httplib::Response& response, const Error& error, const std::string& present = {}) {
  response.status = HttpStatusOf(error.code);
  response.set_content(ErrorBody(error, present) + "\n", kJsonType);
}

void TellCondition(httplib::Response& response, bool good, const char* good_text,
                   const char* bad_text) {
  response.status = good ? kStatusOk : kStatusUnavailable;
  response.set_content(std::string(good ? good_text : bad_text) + "\n", kTextType);
}

/// Reads a command, has it carried out and tells the reply.
void Serve(const CommandRoute& route, CommandGateway& commands, const httplib::Request& request,
           httplib::Response& response) {
  Result<Command> command = route.read(request);

  if (!command) {
    TellError(response, command.error());
    return;
  }

  const CommandReply reply = commands.Ask(*std::move(command), kCommandTimeout);

  if (reply.error.code) {
    TellError(response, reply.error, reply.body);
    return;
  }

  response.status = kStatusOk;
  response.set_content(reply.body.empty() ? "{}\n" : reply.body + "\n", kJsonType);
}

void Register(httplib::Server& server, const CommandRoute& route,
              const httplib::Server::Handler& handler) {
  const std::string_view method = route.method;

  if (method == "GET") server.Get(route.pattern, handler);
  if (method == "POST") server.Post(route.pattern, handler);
  if (method == "PUT") server.Put(route.pattern, handler);
}

/// Gives a typed body to what the HTTP library refused by itself.
void TellRefusal(const httplib::Request& /*request*/, httplib::Response& response) {
  if (!response.body.empty()) return;

  const int status = response.status;
  response.set_content(ErrorBody(ErrorOfHttpStatus(status)) + "\n", kJsonType);
}

void SetLimits(httplib::Server& server) {
  server.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  server.set_payload_max_length(kLargestBody);
  server.set_read_timeout(kReadTimeoutSeconds);
  server.set_write_timeout(kWriteTimeoutSeconds);
  server.set_keep_alive_max_count(1);
  server.set_tcp_nodelay(true);
  server.set_error_handler(TellRefusal);
  // The library's default would let two processes share the port of one.
  server.set_socket_options([](int socket) {
    const int yes = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  });
}

}  // namespace

OperatorServer::OperatorServer(Address listen, CommandGateway& commands, const Metrics& metrics,
                               const ProcessStatus& status)
    : listen_(std::move(listen)),
      commands_(commands),
      metrics_(metrics),
      status_(status),
      server_(std::make_unique<httplib::Server>()) {
  SetLimits(*server_);
  AddRoutes();
}

OperatorServer::~OperatorServer() { Stop(); }

Result<int> OperatorServer::Start() {
  int port = listen_.port;

  if (port == 0) {
    port = server_->bind_to_any_port(listen_.host);
  } else if (!server_->bind_to_port(listen_.host, port)) {
    port = -1;
  }

  if (port <= 0) {
    return Fail(ErrorCode::kUnavailable, listen_.host + ":" + std::to_string(listen_.port));
  }

  thread_ = std::thread([this] { server_->listen_after_bind(); });

  // A stop before the library's loop runs would be lost.
  while (!server_->is_running()) std::this_thread::yield();

  return port;
}

void OperatorServer::Stop() {
  if (!thread_.joinable()) return;

  server_->stop();
  thread_.join();
}

void OperatorServer::AddRoutes() {
  server_->Get("/health", [this](const httplib::Request&, httplib::Response& response) {
    TellCondition(response, status_.SinceTick() <= kLongestTickGap, "ok", "control thread stuck");
  });

  server_->Get("/ready", [this](const httplib::Request&, httplib::Response& response) {
    const bool ready = status_.Ready() && status_.SinceTick() <= kLongestTickGap;
    TellCondition(response, ready, "ready", "not ready");
  });

  server_->Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
    response.set_content(metrics_.Text(), kMetricsType);
  });

  for (const CommandRoute& route : std::span(kCommandRoutes, kCommandRouteCount)) {
    Register(*server_, route,
             [this, &route](const httplib::Request& request, httplib::Response& response) {
               Serve(route, commands_, request, response);
             });
  }
}

}  // namespace currantpost
