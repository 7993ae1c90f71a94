#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <map>
#include <memory>

#include "currantpost/base/error.h"
#include "currantpost/base/time.h"
#include "currantpost/model/peer.h"
#include "currantpost/model/vm.h"
#include "peer.grpc.pb.h"

namespace currantpost {

/// Exchanges heartbeats with peers.
class PeerClient {
 public:
  virtual ~PeerClient() = default;

  /// Sends a heartbeat and returns the peer's heartbeat. Thread-safe.
  virtual Result<Heartbeat> Exchange(const Address& peer, const Heartbeat& heartbeat) = 0;
};

/// Exchanges heartbeats over gRPC with one channel per address.
///
/// A channel is dropped after a failed exchange, so that a connection that stopped responding is
/// never reused: the next exchange creates a new channel.
class GrpcPeerClient final : public PeerClient {
 public:
  /// `deadline` is the timeout of one exchange.
  explicit GrpcPeerClient(Millis deadline);

  Result<Heartbeat> Exchange(const Address& peer, const Heartbeat& heartbeat) override;

 private:
  struct Channel {
    std::shared_ptr<wire::Peer::Stub> stub;
    /// Sequence number of the latest use; the smallest one marks the least recently used channel.
    uint64_t last_use = 0;
  };

  std::shared_ptr<wire::Peer::Stub> GetStub(const Address& peer) ABSL_LOCKS_EXCLUDED(mutex_);
  void DropChannel(const Address& peer, const std::shared_ptr<wire::Peer::Stub>& stub)
      ABSL_LOCKS_EXCLUDED(mutex_);
  void EvictLeastRecentlyUsedChannel() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const Millis deadline_;
  absl::Mutex mutex_;
  std::map<Address, Channel> channels_ ABSL_GUARDED_BY(mutex_);
  uint64_t last_use_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace currantpost
