#include "currantpost/peer/peer_client.h"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "currantpost/peer/heartbeat_message.h"
#include "target.h"

namespace currantpost {
namespace {

constexpr size_t kMaxChannels = 256;
constexpr int kInitialBackoffMillis = 100;
constexpr int kMaxBackoffMillis = 1'000;

grpc::ChannelArguments ChannelArguments() {
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(static_cast<int>(kMaxPeerMessageBytes));
  arguments.SetMaxSendMessageSize(static_cast<int>(kMaxPeerMessageBytes));
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  // A new channel must not reuse the connection of a dropped one from the shared subchannel pool.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kInitialBackoffMillis);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxBackoffMillis);

  return arguments;
}

ErrorCode ToErrorCode(const grpc::Status& status) {
  switch (status.error_code()) {
    case grpc::StatusCode::DEADLINE_EXCEEDED:
      return ErrorCode::kTimeout;
    case grpc::StatusCode::INVALID_ARGUMENT:
      return ErrorCode::kInvalidArgument;
    case grpc::StatusCode::RESOURCE_EXHAUSTED:
      return ErrorCode::kTooLarge;
    case grpc::StatusCode::UNAVAILABLE:
      return ErrorCode::kUnavailable;
    default:
      return ErrorCode::kMalformed;
  }
}

}  // namespace

GrpcPeerClient::GrpcPeerClient(Millis deadline) : deadline_(deadline) {}

Result<Heartbeat> GrpcPeerClient::Exchange(const Address& peer, const Heartbeat& heartbeat) {
  const std::shared_ptr<wire::Peer::Stub> stub = GetStub(peer);
  if (stub == nullptr) return Fail(ErrorCode::kInvalidArgument, peer.host);

  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() +
                       std::chrono::milliseconds(deadline_.Count()));

  wire::HeartbeatMessage answer;
  const grpc::Status status = stub->Exchange(&context, ToMessage(heartbeat), &answer);

  if (!status.ok()) {
    DropChannel(peer, stub);
    return Fail(ToErrorCode(status), peer.host + ":" + std::to_string(peer.port));
  }

  return FromMessage(answer);
}

std::shared_ptr<wire::Peer::Stub> GrpcPeerClient::GetStub(const Address& peer) {
  const std::optional<std::string> target = GrpcTarget(peer);
  if (!target) return nullptr;

  absl::MutexLock lock(&mutex_);
  const auto found = channels_.find(peer);

  if (found != channels_.end()) {
    found->second.last_use = ++last_use_;
    return found->second.stub;
  }

  if (channels_.size() >= kMaxChannels) EvictLeastRecentlyUsedChannel();

  const auto channel =
      grpc::CreateCustomChannel(*target, grpc::InsecureChannelCredentials(), ChannelArguments());
  std::shared_ptr<wire::Peer::Stub> stub = wire::Peer::NewStub(channel);
  channels_[peer] = Channel{.stub = stub, .last_use = ++last_use_};

  return stub;
}

void GrpcPeerClient::DropChannel(const Address& peer,
                                 const std::shared_ptr<wire::Peer::Stub>& stub) {
  absl::MutexLock lock(&mutex_);
  const auto found = channels_.find(peer);

  // Another thread may have replaced the channel already.
  if (found == channels_.end() || found->second.stub != stub) return;

  channels_.erase(found);
}

void GrpcPeerClient::EvictLeastRecentlyUsedChannel() {
  const auto least_recently_used =
      std::min_element(channels_.begin(), channels_.end(), [](const auto& left, const auto& right) {
        return left.second.last_use < right.second.last_use;
      });

  channels_.erase(least_recently_used);
}

}  // namespace currantpost
