#include "fake_kv.h"

#include <utility>

namespace currantpost {

KvReply FakeKv::Apply(const KvCall& call) {
  if (const auto* get = std::get_if<KvGet>(&call.body)) return Get(*get);
  if (const auto* list = std::get_if<KvList>(&call.body)) return List(*list);
  if (const auto* put = std::get_if<KvPut>(&call.body)) {
    return Change(put->key, put->value, put->expected);
  }

  const auto& removal = std::get<KvDelete>(call.body);
  return Change(removal.key, std::nullopt, removal.expected);
}

KvReply FakeKv::ChangesAfter(const std::string& prefix, KvRevision after) const {
  KvReply reply{.status = KvStatus::kOk, .revision = revision_};

  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || item.revision <= after) continue;
    reply.entries.push_back(KvEntry{key, item.value, item.revision});
  }

  return reply;
}

std::optional<std::string> FakeKv::Value(const std::string& key) const {
  const auto item = items_.find(key);
  return item == items_.end() ? std::nullopt : item->second.value;
}

std::map<std::string, std::string> FakeKv::Values(const std::string& prefix) const {
  std::map<std::string, std::string> values;

  for (const auto& [key, item] : items_) {
    if (key.starts_with(prefix) && item.value) values.emplace(key, *item.value);
  }

  return values;
}

KvReply FakeKv::Get(const KvGet& get) const {
  KvReply reply{.status = KvStatus::kOk, .revision = revision_};
  const auto item = items_.find(get.key);

  if (item != items_.end() && item->second.value) {
    reply.entries.push_back(KvEntry{get.key, item->second.value, item->second.revision});
  }

  return reply;
}

KvReply FakeKv::List(const KvList& list) const {
  KvReply reply{.status = KvStatus::kOk, .revision = revision_};

  for (const auto& [key, item] : items_) {
    if (!key.starts_with(list.prefix) || !item.value) continue;
    reply.entries.push_back(KvEntry{key, item.value, item.revision});
  }

  return reply;
}

KvReply FakeKv::Change(const std::string& key, std::optional<std::string> value,
                       KvRevision expected) {
  Item& item = items_[key];
  const KvRevision present = item.value ? item.revision : 0;

  if (present != expected) {
    KvReply reply{.status = KvStatus::kConflict, .revision = revision_};
    if (item.value) reply.entries.push_back(KvEntry{key, item.value, item.revision});
    return reply;
  }

  item.value = std::move(value);
  item.revision = ++revision_;
  return KvReply{.status = KvStatus::kOk, .revision = revision_};
}

}  // namespace currantpost
