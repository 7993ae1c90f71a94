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

  for (const auto& [key, cell] : cells_) {
    if (!key.starts_with(prefix) || cell.revision <= after) continue;
    reply.entries.push_back(KvEntry{key, cell.value, cell.revision});
  }

  return reply;
}

std::optional<std::string> FakeKv::Value(const std::string& key) const {
  const auto cell = cells_.find(key);
  return cell == cells_.end() ? std::nullopt : cell->second.value;
}

std::map<std::string, std::string> FakeKv::Values(const std::string& prefix) const {
  std::map<std::string, std::string> values;

  for (const auto& [key, cell] : cells_) {
    if (key.starts_with(prefix) && cell.value) values.emplace(key, *cell.value);
  }

  return values;
}

KvReply FakeKv::Get(const KvGet& get) const {
  KvReply reply{.status = KvStatus::kOk, .revision = revision_};
  const auto cell = cells_.find(get.key);

  if (cell != cells_.end() && cell->second.value) {
    reply.entries.push_back(KvEntry{get.key, cell->second.value, cell->second.revision});
  }

  return reply;
}

KvReply FakeKv::List(const KvList& list) const {
  KvReply reply{.status = KvStatus::kOk, .revision = revision_};

  for (const auto& [key, cell] : cells_) {
    if (!key.starts_with(list.prefix) || !cell.value) continue;
    reply.entries.push_back(KvEntry{key, cell.value, cell.revision});
  }

  return reply;
}

KvReply FakeKv::Change(const std::string& key, std::optional<std::string> value,
                       KvRevision expected) {
  Cell& cell = cells_[key];
  const KvRevision present = cell.value ? cell.revision : 0;

  if (present != expected) {
    KvReply reply{.status = KvStatus::kConflict, .revision = revision_};
    if (cell.value) reply.entries.push_back(KvEntry{key, cell.value, cell.revision});
    return reply;
  }

  cell.value = std::move(value);
  cell.revision = ++revision_;
  return KvReply{.status = KvStatus::kOk, .revision = revision_};
}

}  // namespace currantpost
