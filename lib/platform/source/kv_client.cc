#include "currantpost/platform/kv_client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "currantpost/platform/kv_protocol.h"
#include "http_channel.h"

namespace currantpost {
namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;

/// Serializes a body. Returns nothing if a string in it is not valid UTF-8 and cannot be sent.
std::optional<std::string> SerializeBody(const json& body) {
  try {
    return body.dump();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

KvReply ReadBody(KvStatus status, const std::string& body) {
  try {
    KvReply reply{status};
    kv_protocol::ReadReply(json::parse(body), reply);
    return reply;
  } catch (const json::exception&) {
    return KvReply{KvStatus::kMalformed};
  }
}

KvReply ReadExchange(const Exchange& exchange) {
  if (exchange.status == ExchangeStatus::kNotSent) return KvReply{KvStatus::kUnavailable};
  if (exchange.status == ExchangeStatus::kUnknown) return KvReply{KvStatus::kUnknown};
  if (exchange.not_applied) return KvReply{KvStatus::kUnavailable};
  if (exchange.http_status == kHttpOk) return ReadBody(KvStatus::kOk, exchange.body);
  if (exchange.http_status == kHttpConflict) return ReadBody(KvStatus::kConflict, exchange.body);

  return KvReply{KvStatus::kMalformed};
}

KvReply Call(HttpChannel& channel, const char* path, const json& body, Millis timeout) {
  std::optional<std::string> text = SerializeBody(body);
  if (!text) return KvReply{KvStatus::kUnavailable};

  return ReadExchange(channel.Call(HttpCall{"POST", path, *std::move(text), timeout}));
}

/// Returns a malformed reply if the given one has keys that were not requested.
template <typename Matches>
KvReply RejectForeignKeys(KvReply reply, Matches matches) {
  const bool all_match =
      std::ranges::all_of(reply.entries, [&](const KvEntry& entry) { return matches(entry.key); });
  return all_match ? std::move(reply) : KvReply{KvStatus::kMalformed};
}

KvReply RequireKey(KvReply reply, const std::string& key) {
  return RejectForeignKeys(std::move(reply), [&](const std::string& each) { return each == key; });
}

KvReply RequirePrefix(KvReply reply, const std::string& prefix) {
  return RejectForeignKeys(std::move(reply),
                           [&](const std::string& each) { return each.starts_with(prefix); });
}

}  // namespace

HttpKvClient::HttpKvClient(Address address, Millis call_timeout)
    : channel_(std::make_unique<HttpChannel>(std::move(address))), call_timeout_(call_timeout) {}

HttpKvClient::~HttpKvClient() = default;

KvReply HttpKvClient::Get(const std::string& key) {
  return RequireKey(Call(*channel_, kv_protocol::kGetPath, json{{"key", key}}, call_timeout_), key);
}

KvReply HttpKvClient::List(const std::string& prefix) {
  return RequirePrefix(
      Call(*channel_, kv_protocol::kListPath, json{{"prefix", prefix}}, call_timeout_), prefix);
}

KvReply HttpKvClient::Put(const std::string& key, const std::string& value, KvRevision expected) {
  // The limit is part of the protocol, so the service would refuse the value too.
  if (value.size() > kv_protocol::kMaxValueBytes) return KvReply{KvStatus::kUnavailable};

  const json body = {{"key", key}, {"value", value}, {"expected", expected}};
  return RequireKey(Call(*channel_, kv_protocol::kPutPath, body, call_timeout_), key);
}

KvReply HttpKvClient::Delete(const std::string& key, KvRevision expected) {
  const json body = {{"key", key}, {"expected", expected}};
  return RequireKey(Call(*channel_, kv_protocol::kDeletePath, body, call_timeout_), key);
}

KvReply HttpKvClient::Watch(const std::string& prefix, KvRevision after, Millis timeout) {
  const json body = {{"prefix", prefix}, {"after", after}, {"timeout_ms", timeout.Count()}};
  return RequirePrefix(Call(*channel_, kv_protocol::kWatchPath, body, timeout + call_timeout_),
                       prefix);
}

}  // namespace currantpost
