#include "standin_kv.h"

#include <utility>

#include "currantpost/model/json.h"
#include "currantpost/platform/headers.h"
#include "currantpost/platform/kv_protocol.h"

namespace currantpost::standins {

using nlohmann::json;

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;
constexpr int kHttpTooLarge = 413;
/// Longest wait of a watch, whatever it asks for.
constexpr Millis kLongestWatch(60'000);

void Answer(httplib::Response& response, const KvReply& reply) {
  const int status = reply.status == KvStatus::kConflict ? kHttpConflict : kHttpOk;
  AnswerJson(response, status, kv_protocol::ReplyJson(reply));
}

}  // namespace

StandinKv::StandinKv()
    : service_(ServiceOptions{.not_done_header = platform_headers::kNotApplied}) {
  service_.Serve("POST", kv_protocol::kGetPath, [this](const auto& request, auto& response) {
    const json body = json::parse(request.body);
    Answer(response, Get(body.at("key")));
  });

  service_.Serve("POST", kv_protocol::kListPath, [this](const auto& request, auto& response) {
    const json body = json::parse(request.body);
    Answer(response, List(body.at("prefix")));
  });

  service_.Serve("POST", kv_protocol::kPutPath, [this](const auto& request, auto& response) {
    const json body = json::parse(request.body);
    const auto value = body.at("value").template get<std::string>();

    if (value.size() > kv_protocol::kMaxValueBytes) {
      response.set_header(platform_headers::kNotApplied, "1");
      AnswerJson(response, kHttpTooLarge, json{{"error", "too_large"}});
      return;
    }

    Answer(response, Put(body.at("key"), value, body.at("expected")));
  });

  service_.Serve("POST", kv_protocol::kDeletePath, [this](const auto& request, auto& response) {
    const json body = json::parse(request.body);
    Answer(response, Delete(body.at("key"), body.at("expected")));
  });

  service_.Serve("POST", kv_protocol::kWatchPath, [this](const auto& request, auto& response) {
    const json body = json::parse(request.body);
    Answer(response, Watch(body.at("prefix"), body.at("after"), body.at("timeout_ms")));
  });
}

KvReply StandinKv::Get(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  KvReply reply{KvStatus::kOk, {}, revision_};

  const auto found = entries_.find(key);
  if (found != entries_.end() && found->second.value) reply.entries.push_back(found->second);

  return reply;
}

KvReply StandinKv::List(const std::string& prefix) const {
  KvReply reply = Changes(prefix, 0);
  std::erase_if(reply.entries, [](const KvEntry& entry) { return !entry.value; });
  return reply;
}

KvReply StandinKv::Put(const std::string& key, const std::string& value, KvRevision expected) {
  return Write(key, value, expected);
}

KvReply StandinKv::Delete(const std::string& key, KvRevision expected) {
  return Write(key, std::nullopt, expected);
}

KvReply StandinKv::Write(const std::string& key, std::optional<std::string> value,
                         KvRevision expected) {
  KvReply reply{KvStatus::kOk};

  {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(key);
    const bool is_present = found != entries_.end() && found->second.value;

    if ((is_present ? found->second.revision : 0) != expected) {
      reply = KvReply{KvStatus::kConflict, {}, revision_};
      if (is_present) reply.entries.push_back(found->second);
      return reply;
    }

    // Removing what is absent changes nothing.
    if (value || is_present) entries_[key] = KvEntry{key, std::move(value), ++revision_};
    reply.revision = revision_;
  }

  service_.Server().Wake();
  return reply;
}

KvReply StandinKv::Changes(const std::string& prefix, KvRevision after) const {
  const std::lock_guard lock(mutex_);
  KvReply reply{KvStatus::kOk, {}, revision_};

  for (auto entry = entries_.lower_bound(prefix); entry != entries_.end(); ++entry) {
    if (!entry->first.starts_with(prefix)) break;
    if (entry->second.revision > after) reply.entries.push_back(entry->second);
  }

  return reply;
}

KvReply StandinKv::Watch(const std::string& prefix, KvRevision after, Millis timeout) {
  KvReply reply;

  service_.Server().WaitFor(std::min(timeout, kLongestWatch), [&] {
    reply = Changes(prefix, after);
    return !reply.entries.empty();
  });

  return reply;
}

}  // namespace currantpost::standins
