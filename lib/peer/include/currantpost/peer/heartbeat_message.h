#pragma once

#include <cstddef>

#include "currantpost/base/error.h"
#include "currantpost/model/peer.h"
#include "peer.pb.h"

namespace currantpost {

/// Maximum size of a message between entries, sent or received.
inline constexpr size_t kMaxPeerMessageBytes = 4'194'304;

/// Encodes a heartbeat as a wire message.
wire::HeartbeatMessage ToMessage(const Heartbeat& heartbeat);

/// Decodes and validates a wire message. Fails with `kMalformed`, `kOutOfRange` or `kTooLarge` and
/// the name of the invalid field. The names, addresses and ranges of the result are valid.
Result<Heartbeat> FromMessage(const wire::HeartbeatMessage& message);

}  // namespace currantpost
