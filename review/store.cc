#include "store.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <utility>

namespace currantpost::review {
namespace {

using Json = nlohmann::json;

constexpr Millis kSweepInterval = Millis(20);
/// Three heartbeat intervals of a worker.
constexpr Millis kRegistrationTtl = Millis(4'500);
constexpr Millis kHistory = Millis(20'000);
constexpr size_t kPageItems = 500;
constexpr size_t kPageBytes = 1'000'000;
constexpr size_t kMaxRequestBytes = 16U << 20U;
constexpr size_t kMaxTransactionEntries = 32;

std::string Unescape(const std::string& text) {
  std::string plain;

  for (size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      plain += absl::HexStringToBytes(text.substr(at + 1, 2));
      at += 2;
    } else {
      plain += text[at];
    }
  }

  return plain;
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  size_t at = target.find('?');

  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    const size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      query[Unescape(pair.substr(0, equals))] = Unescape(pair.substr(equals + 1));
    }
    at = end;
  }

  return query;
}

int64_t Number(const std::string& text) {
  int64_t number = 0;
  return absl::SimpleAtoi(text, &number) ? number : 0;
}

void Answer(const Respond& respond, int status, const Json& body) {
  respond(HttpResponse{
      .status = status, .fields = {{"Content-Type", "application/json"}}, .body = body.dump()});
}

HttpServerLimits Limits() {
  HttpServerLimits limits;
  limits.max_body_bytes = kMaxRequestBytes;
  limits.idle_timeout = Millis(60'000);
  return limits;
}

}  // namespace

Store::Store(EventLoop& loop, const Clock& clock, size_t value_bytes)
    : loop_(loop),
      clock_(clock),
      value_bytes_(value_bytes),
      server_(loop, clock, Limits(),
              [this](const ReceivedRequest& request, const Respond& respond) {
                Handle(request, respond);
              }) {}

bool Store::Listen(int port) {
  if (server_.Listen(Address{"127.0.0.1", port}).code) return false;

  Sweep();
  return true;
}

void Store::Handle(const ReceivedRequest& request, const Respond& respond) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  Query query = ParseQuery(request.target);

  if (path == "/kv-key") {
    Json item = ItemJson(query["key"]);
    if (!item.contains("value")) return Answer(respond, 404, {{"store_revision", revision_}});

    item["store_revision"] = revision_;
    return Answer(respond, 200, item);
  }

  if (path == "/kv-range") return HandleRange(std::move(query), respond);
  if (path == "/kv-watch") return HandleWatch(std::move(query), respond);

  if (path == "/put" || path == "/drop") {
    if (path == "/put") {
      Put(query["key"], absl::Base64Escape(request.body), 0);
    } else {
      Remove(query["key"]);
    }
    Answer(respond, 200, {{"revision", revision_}});
    return AnswerWatches();
  }

  const Json body =
      request.body.empty() ? Json::object() : Json::parse(request.body, nullptr, false);
  if (!body.is_object()) return Answer(respond, 400, {{"error", "body"}});
  if (path == "/kv-txn") return HandleTxn(body, respond);

  HandleLease(request, path, respond);
}

void Store::HandleRange(Query query, const Respond& respond) const {
  const std::string prefix = query["prefix"];
  const std::string after = query["after"];
  Json items = Json::array();
  size_t bytes = 0;
  bool truncated = false;

  for (auto row = items_.lower_bound(std::max(prefix, after)); row != items_.end(); ++row) {
    if (!row->first.starts_with(prefix)) break;
    if (!after.empty() && row->first <= after) continue;

    if (items.size() >= kPageItems || bytes >= kPageBytes) {
      truncated = true;
      break;
    }

    items.push_back(ItemJson(row->first));
    bytes += row->second.value.size();
  }

  Answer(respond, 200,
         {{"items", std::move(items)}, {"truncated", truncated}, {"store_revision", revision_}});
}

void Store::HandleWatch(Query query, const Respond& respond) {
  watches_.push_back(Watch{.prefix = query["prefix"],
                           .after = Number(query["after"]),
                           .until = clock_.Now() + Millis(Number(query["wait_ms"])),
                           .respond = respond});
  AnswerWatches();
}

void Store::HandleTxn(const Json& body, const Respond& respond) {
  const Json expected = body.value("expected_rev", Json::array());
  const Json puts = body.value("puts", Json::array());
  const Json removals = body.value("remove", Json::array());

  if (expected.size() + puts.size() + removals.size() > kMaxTransactionEntries) {
    return Answer(respond, 400, {{"error", "entries"}});
  }

  for (const Json& put : puts) {
    std::string value;
    const bool readable = absl::Base64Unescape(put.at("value").get<std::string>(), &value);
    if (!readable || value.size() > value_bytes_) return Answer(respond, 400, {{"error", "value"}});

    const int64_t lease = put.value("lease", int64_t{0});
    if (lease != 0 && !leases_.contains(lease)) return Answer(respond, 404, {{"error", "lease"}});
  }

  bool holds = true;
  Json current = Json::array();

  for (const Json& row : expected) {
    const Json item = ItemJson(row.at("key").get<std::string>());
    holds = holds && item.at("revision") == row.at("revision");
    current.push_back(item);
  }

  if (!holds) {
    return Answer(respond, 412, {{"items", std::move(current)}, {"store_revision", revision_}});
  }

  if (!puts.empty() || !removals.empty()) ++revision_;
  const int64_t revision = revision_;

  for (const Json& put : puts) {
    --revision_;
    Put(put.at("key").get<std::string>(), put.at("value").get<std::string>(),
        put.value("lease", int64_t{0}));
  }

  for (const Json& key : removals) {
    --revision_;
    Remove(key.get<std::string>());
  }

  revision_ = revision;
  Answer(respond, 200, {{"revision", revision_}});
  AnswerWatches();
}

void Store::HandleLease(const ReceivedRequest& request, const std::string& path,
                        const Respond& respond) {
  if (path == "/kv-lease") {
    const Json body = Json::parse(request.body, nullptr, false);
    const Millis ttl(std::max<int64_t>(body.value("ttl_ms", int64_t{1'000}), 1'000));
    leases_[++last_lease_] = Lease{ttl, clock_.Now() + ttl};
    return Answer(respond, 200, {{"lease", last_lease_}, {"ttl_ms", ttl.Count()}});
  }

  const int64_t id = Number(path.substr(path.rfind('/') + 1));
  const auto lease = leases_.find(id);
  if (lease == leases_.end()) return Answer(respond, 404, {{"error", "lease"}});

  if (path.starts_with("/kv-keep/")) {
    lease->second.ends_at = clock_.Now() + lease->second.ttl;
    return Answer(respond, 200, {{"ttl_ms", lease->second.ttl.Count()}});
  }

  EndLease(id);
  Answer(respond, 200, Json::object());
  AnswerWatches();
}

void Store::Put(const std::string& key, const std::string& value, int64_t lease) {
  ++revision_;
  Item& item = items_[key];
  if (item.create_revision == 0) item.create_revision = revision_;
  item.value = value;
  item.revision = revision_;
  item.lease = lease;
  item.written_at = clock_.Now();
  changes_.push_back(Change{revision_, key, ItemJson(key), clock_.Now()});
}

void Store::Remove(const std::string& key) {
  ++revision_;
  if (items_.erase(key) == 0) return;

  const Json event{{"key", key}, {"revision", revision_}, {"tombstone", true}};
  changes_.push_back(Change{revision_, key, event, clock_.Now()});
}

void Store::EndLease(int64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) Remove(key);
}

Store::Json Store::ItemJson(const std::string& key) const {
  const auto item = items_.find(key);
  if (item == items_.end()) return {{"key", key}, {"revision", 0}};

  return {{"key", key},
          {"value", item->second.value},
          {"revision", item->second.revision},
          {"create_revision", item->second.create_revision},
          {"lease", item->second.lease}};
}

Store::Json Store::EventsAfter(const std::string& prefix, int64_t after) const {
  Json events = Json::array();
  auto change = std::ranges::upper_bound(changes_, after, {}, &Change::revision);

  for (; change != changes_.end(); ++change) {
    if (change->key.starts_with(prefix)) events.push_back(change->event);
  }

  return events;
}

void Store::AnswerWatches() {
  std::vector<Watch> waiting = std::exchange(watches_, {});

  for (Watch& watch : waiting) {
    if (watch.after < forgotten_) {
      Answer(watch.respond, 410, {{"error", "history"}});
      continue;
    }

    Json events = EventsAfter(watch.prefix, watch.after);

    if (events.empty() && clock_.Now() < watch.until) {
      watches_.push_back(std::move(watch));
      continue;
    }

    Answer(watch.respond, 200, {{"events", std::move(events)}, {"store_revision", revision_}});
  }
}

void Store::Sweep() {
  const Millis now = clock_.Now();
  std::vector<int64_t> ended;
  std::vector<std::string> silent;

  for (const auto& [id, lease] : leases_) {
    if (lease.ends_at <= now) ended.push_back(id);
  }

  for (const auto& [key, item] : items_) {
    if (key.starts_with("servers/") && now - item.written_at > kRegistrationTtl) {
      silent.push_back(key);
    }
  }

  for (const int64_t id : ended) EndLease(id);
  for (const std::string& key : silent) Remove(key);

  while (!changes_.empty() && now - changes_.front().made_at > kHistory) {
    forgotten_ = changes_.front().revision;
    changes_.pop_front();
  }

  AnswerWatches();
  loop_.After(kSweepInterval, [this] { Sweep(); });
}

}  // namespace currantpost::review
