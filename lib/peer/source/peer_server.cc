#include "currantpost/peer/peer_server.h"

#include <grpcpp/resource_quota.h>
#include <grpcpp/server_builder.h>

#include <chrono>
#include <utility>

#include "currantpost/base/logging.h"
#include "currantpost/peer/heartbeat_message.h"
#include "target.h"

namespace currantpost {
namespace {

constexpr std::string_view kComponent = "peer";
constexpr int kMaxThreads = 6;
constexpr size_t kMemoryQuotaBytes = 33'554'432;
constexpr std::chrono::milliseconds kShutdownGracePeriod(200);

grpc::Status ToGrpcStatus(const Error& error) {
  const bool is_client_error =
      error.code == ErrorCode::kMalformed || error.code == ErrorCode::kOutOfRange ||
      error.code == ErrorCode::kTooLarge || error.code == ErrorCode::kInvalidArgument;
  const auto code =
      is_client_error ? grpc::StatusCode::INVALID_ARGUMENT : grpc::StatusCode::UNAVAILABLE;

  return {code, ErrorName(error.code) + ": " + error.detail};
}

/// Formats an address as gRPC expects it for a listening port.
std::string FormatListenAddress(const Address& address) {
  const bool is_ipv6 = address.host.find(':') != std::string::npos;
  const std::string host = is_ipv6 ? "[" + address.host + "]" : address.host;

  return host + ":" + std::to_string(address.port);
}

}  // namespace

grpc::Status PeerServer::Service::Exchange(grpc::ServerContext* context,
                                           const wire::HeartbeatMessage* request,
                                           wire::HeartbeatMessage* response) {
  const Result<Heartbeat> heartbeat = FromMessage(*request);

  if (!heartbeat) {
    WriteLog(Severity::kWarning, kComponent, "Refused a malformed heartbeat.",
             {{"from", context->peer()},
              {"error", ErrorName(heartbeat.error().code)},
              {"field", heartbeat.error().detail}});
    return ToGrpcStatus(heartbeat.error());
  }

  const Result<Heartbeat> answer = handler_(*heartbeat);
  if (!answer) return ToGrpcStatus(answer.error());

  *response = ToMessage(*answer);
  return grpc::Status::OK;
}

PeerServer::PeerServer(Address listen, HeartbeatHandler handler)
    : listen_(std::move(listen)), service_(std::move(handler)) {}

PeerServer::~PeerServer() { Stop(); }

Result<int> PeerServer::Start() {
  if (!IsIpAddress(listen_.host)) return Fail(ErrorCode::kInvalidArgument, "peer address");

  grpc::ResourceQuota quota("peer");
  quota.SetMaxThreads(kMaxThreads);
  quota.Resize(kMemoryQuotaBytes);

  int port = 0;
  grpc::ServerBuilder builder;
  builder.SetResourceQuota(quota);
  builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::NUM_CQS, 1);
  builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::MIN_POLLERS, 1);
  builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::MAX_POLLERS, 2);
  builder.SetMaxReceiveMessageSize(static_cast<int>(kMaxPeerMessageBytes));
  builder.SetMaxSendMessageSize(static_cast<int>(kMaxPeerMessageBytes));
  // Two processes must never listen on the same port.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort(FormatListenAddress(listen_), grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(&service_);

  server_ = builder.BuildAndStart();

  if (server_ == nullptr || port == 0) {
    server_.reset();
    return Fail(ErrorCode::kUnavailable, FormatListenAddress(listen_));
  }

  return port;
}

void PeerServer::Stop() {
  if (server_ == nullptr) return;

  server_->Shutdown(std::chrono::system_clock::now() + kShutdownGracePeriod);
  server_->Wait();
  server_.reset();
}

}  // namespace currantpost
