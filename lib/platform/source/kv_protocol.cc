#include "currantpost/platform/kv_protocol.h"

#include "currantpost/model/json.h"

namespace currantpost::kv_protocol {

using nlohmann::json;

json ReplyJson(const KvReply& reply) {
  json entries = json::array();

  for (const KvEntry& entry : reply.entries) {
    json row = {{"key", entry.key}, {"revision", entry.revision}};
    row["value"] = entry.value ? json(*entry.value) : json(nullptr);
    entries.push_back(std::move(row));
  }

  return json{{"revision", reply.revision}, {"entries", std::move(entries)}};
}

void ReadReply(const json& in, KvReply& reply) {
  Read(in, "revision", reply.revision);

  for (const json& row : in.at("entries")) {
    KvEntry entry;
    Read(row, "key", entry.key);
    Read(row, "revision", entry.revision);

    const json& value = row.at("value");
    if (!value.is_null()) entry.value = value.get<std::string>();

    reply.entries.push_back(std::move(entry));
  }
}

}  // namespace currantpost::kv_protocol
