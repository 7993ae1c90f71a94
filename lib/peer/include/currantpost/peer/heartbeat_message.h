#pragma once

#include <cstddef>

#include "currantpost/base/error.h"
#include "currantpost/model/peer.h"
#include "peer.pb.h"

namespace currantpost {

/// Largest message that entries send to or take from each other, in bytes.
inline constexpr size_t kMaxPeerMessageBytes = 4'194'304;

/// Writes a heartbeat as the message that goes over the wire.
wire::HeartbeatMessage ToMessage(const Heartbeat& heartbeat);

/// Reads a heartbeat out of a message. Fails with `kMalformed`, `kOutOfRange` or `kTooLarge` and
/// the field at fault; a heartbeat that was read has valid names, addresses and ranges.
Result<Heartbeat> FromMessage(const wire::HeartbeatMessage& message);

}  // namespace currantpost
