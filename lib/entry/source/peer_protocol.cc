#include "peer_protocol.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "currantpost/model/json_integer.h"

namespace currantpost {
namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxTimeoutMs = 86'400'000;

}  // namespace

std::string EncodeItems(const std::vector<scheduler::StoreItem>& items) {
  Json json = Json::array();

  for (const scheduler::StoreItem& item : items) {
    json.push_back(Json::array({item.key, item.revision, item.lease, item.removed, item.value}));
  }

  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<std::vector<scheduler::StoreItem>> DecodeItems(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_array()) return Fail(ErrorCode::kMalformed, "peer records are not a JSON array");

  std::vector<scheduler::StoreItem> items;

  try {
    for (const Json& row : json) {
      items.push_back(scheduler::StoreItem{.key = row.at(0).get<std::string>(),
                                           .revision = ReadInteger<KvRevision>(row.at(1), 0),
                                           .lease = ReadInteger<scheduler::LeaseId>(row.at(2)),
                                           .removed = row.at(3).get<bool>(),
                                           .value = row.at(4).get<std::string>()});
    }
  } catch (const Json::exception& exception) {
    return Fail(ErrorCode::kMalformed, exception.what());
  }

  return items;
}

Millis DecodeTimeout(std::optional<std::string_view> text) {
  if (!text) return Millis(0);

  int64_t timeout = 0;
  const char* end = text->data() + text->size();
  const auto [last, error] = std::from_chars(text->data(), end, timeout);
  const bool is_valid =
      error == std::errc() && last == end && timeout > 0 && timeout <= kMaxTimeoutMs;
  return is_valid ? Millis(timeout) : Millis(0);
}

std::string EncodePhase(const std::optional<scheduler::JobPhase>& phase) {
  return phase ? std::string(scheduler::kJobPhaseNames.Name(*phase)) : std::string();
}

std::optional<scheduler::JobPhase> DecodePeerPhase(std::string_view text) {
  return scheduler::kJobPhaseNames.Find(text);
}

}  // namespace currantpost
