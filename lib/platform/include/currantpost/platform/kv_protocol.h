#pragma once

#include <nlohmann/json.hpp>

#include "currantpost/model/kv.h"

/// JSON encoding and paths of the key-value service's calls. See docs/design/platform-protocol.md.

namespace currantpost::kv_protocol {

inline constexpr const char* kGetPath = "/kv/get";
inline constexpr const char* kListPath = "/kv/list";
inline constexpr const char* kPutPath = "/kv/put";
inline constexpr const char* kDeletePath = "/kv/delete";
inline constexpr const char* kWatchPath = "/kv/watch";

/// Maximum size of a value in bytes.
inline constexpr size_t kMaxValueBytes = 1'048'576;

/// Encodes the body of a reply.
nlohmann::json ReplyJson(const KvReply& reply);

/// Decodes the body of a reply; leaves its status unchanged. Throws `nlohmann::json::exception`.
void ReadReply(const nlohmann::json& json, KvReply& reply);

}  // namespace currantpost::kv_protocol
