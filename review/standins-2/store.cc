#include "store.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <cstdlib>
#include <stdexcept>
#include <utility>
#include <vector>

#include "record.h"

namespace review {

using currantpost::HttpResponse;
using currantpost::Millis;
using currantpost::ReceivedRequest;
using currantpost::Respond;
using Json = nlohmann::json;

namespace {

constexpr Millis kAnswerTime = Millis(4);
constexpr Millis kTickInterval = Millis(20);
constexpr size_t kPageItems = 500;
constexpr int64_t kMaxWatchMs = 30'000;
constexpr size_t kMaxHistory = 200'000;

HttpResponse JsonResponse(int status, const Json& body) {
  return HttpResponse{
      .status = status, .fields = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

std::string Unescape(const std::string& text) {
  std::string plain;

  for (size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      plain += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
      at += 2;
    } else {
      plain += text[at];
    }
  }

  return plain;
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  size_t at = target.find('?');

  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string part = target.substr(at + 1, end - at - 1);
    const size_t equals = part.find('=');
    if (equals != std::string::npos) {
      query[part.substr(0, equals)] = Unescape(part.substr(equals + 1));
    }
    at = end;
  }

  return query;
}

int64_t NumberOf(const std::map<std::string, std::string>& query, const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? 0 : std::strtoll(found->second.c_str(), nullptr, 10);
}

std::string TextOf(const std::map<std::string, std::string>& query, const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

currantpost::HttpServerLimits Limits() {
  currantpost::HttpServerLimits limits;
  limits.max_body_bytes = 8U << 20U;
  limits.idle_timeout = Millis(60'000);
  return limits;
}

}  // namespace

Store::Store(currantpost::EventLoop& loop, const currantpost::Clock& clock)
    : loop_(loop),
      server_(loop, clock, Limits(),
              [this](const ReceivedRequest& request, const Respond& respond) {
                Handle(request, respond);
              }) {}

void Store::Listen(const currantpost::Address& address) {
  if (const currantpost::Error error = server_.Listen(address); error.code) {
    throw std::runtime_error("the store cannot listen: " + error.detail);
  }
  Tick();
}

void Store::Reply(const Respond& respond, HttpResponse response) {
  loop_.After(kAnswerTime, [respond, response = std::move(response)] { respond(response); });
}

int64_t Store::Put(const std::string& key, const std::string& value, int64_t lease) {
  ++revision_;
  Set(key, value, lease);
  WakeWatches();
  return revision_;
}

void Store::Remove(const std::string& key) {
  if (!items_.contains(key)) return;

  ++revision_;
  Erase(key);
  WakeWatches();
}

void Store::Set(const std::string& key, const std::string& value, int64_t lease) {
  Item& item = items_[key];
  if (item.create_revision == 0) item.create_revision = revision_;
  item.value = value;
  item.revision = revision_;
  item.lease = lease;
  history_.push_back(Event{key, revision_, item});
  if (history_.size() > kMaxHistory) history_.pop_front();
}

void Store::Erase(const std::string& key) {
  if (items_.erase(key) == 0) return;
  history_.push_back(Event{key, revision_, std::nullopt});
}

Json Store::ItemJson(const std::string& key) const {
  const auto found = items_.find(key);
  if (found == items_.end()) return Json{{"key", key}, {"revision", 0}, {"lease", 0}};

  const Item& item = found->second;
  return Json{{"key", key},
              {"value", absl::Base64Escape(item.value)},
              {"revision", item.revision},
              {"create_revision", item.create_revision},
              {"lease", item.lease}};
}

void Store::Handle(const ReceivedRequest& request, const Respond& respond) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (request.method == "GET") return HandleGet(path, QueryOf(request.target), respond);

  if (request.method == "DELETE" && path.starts_with("/kv-lease-end/")) {
    EndLease(std::strtoll(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10));
    return Reply(respond, JsonResponse(200, Json::object()));
  }

  const Json body = Json::parse(request.body, nullptr, false);
  HandlePost(path, body, respond);
}

void Store::HandleGet(const std::string& path, const std::map<std::string, std::string>& query,
                      const Respond& respond) {
  if (path == "/kv-key") {
    const std::string key = TextOf(query, "key");
    if (!items_.contains(key)) return Reply(respond, JsonResponse(404, Json::object()));

    Json json = ItemJson(key);
    json["store_revision"] = revision_;
    return Reply(respond, JsonResponse(200, json));
  }

  if (path == "/kv-range") {
    const std::string prefix = TextOf(query, "prefix");
    const std::string after = TextOf(query, "after");
    Json items = Json::array();
    bool truncated = false;

    for (auto row = items_.lower_bound(std::max(prefix, after)); row != items_.end(); ++row) {
      if (!row->first.starts_with(prefix)) break;
      if (row->first == after) continue;

      truncated = items.size() >= kPageItems;
      if (truncated) break;
      items.push_back(ItemJson(row->first));
    }

    return Reply(respond, JsonResponse(200, Json{{"items", std::move(items)},
                                                 {"truncated", truncated},
                                                 {"store_revision", revision_}}));
  }

  if (path == "/kv-watch") {
    const int64_t wait = std::min(NumberOf(query, "wait_ms"), kMaxWatchMs);
    Watch watch{TextOf(query, "prefix"), NumberOf(query, "after"), NowMs() + wait, respond};
    if (!AnswerWatch(watch, false)) watches_.push_back(std::move(watch));
    return;
  }

  Reply(respond, JsonResponse(404, Json::object()));
}

void Store::HandlePost(const std::string& path, const Json& body, const Respond& respond) {
  if (path == "/kv-txn") {
    const TxnFault fault = txn_fault ? txn_fault(body) : TxnFault::kNone;

    if (fault == TxnFault::kLate) {
      loop_.After(Millis(late_ms), [this, body] {
        if (Transact(body).status == 200 && on_write) on_write(body, true);
      });
      // The connection stays silent; the client closes it after its time-out.
      loop_.After(Millis(60'000), [respond] {});
      return;
    }

    HttpResponse response = Transact(body);
    if (response.status == 200 && on_write) on_write(body, false);
    return Reply(respond, std::move(response));
  }

  if (path == "/kv-lease") {
    const int64_t ttl = body.at("ttl_ms").get<int64_t>();
    leases_[++last_lease_] = Lease{ttl, NowMs() + ttl};
    return Reply(respond, JsonResponse(200, Json{{"lease", last_lease_}, {"ttl_ms", ttl}}));
  }

  if (path.starts_with("/kv-keep/")) {
    const int64_t id = std::strtoll(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) return Reply(respond, JsonResponse(404, Json::object()));

    lease->second.ends_at = NowMs() + lease->second.ttl_ms;
    return Reply(respond, JsonResponse(200, Json{{"lease", id}, {"ttl_ms", lease->second.ttl_ms}}));
  }

  // Not part of the platform's interface: how the stand-in workers register.
  if (path == "/standin-put") {
    Put(body.at("key").get<std::string>(), body.at("value").get<std::string>(), 0);
    return Reply(respond, JsonResponse(200, Json::object()));
  }

  Reply(respond, JsonResponse(404, Json::object()));
}

HttpResponse Store::Transact(const Json& body) {
  bool holds = true;
  Json current = Json::array();

  for (const Json& row : body.at("expected_rev")) {
    const std::string key = row.at("key").get<std::string>();
    const auto found = items_.find(key);
    const int64_t revision = found == items_.end() ? 0 : found->second.revision;
    holds = holds && revision == row.at("revision").get<int64_t>();
    current.push_back(ItemJson(key));
  }

  if (!holds) return JsonResponse(412, Json{{"items", std::move(current)}});

  for (const Json& row : body.at("puts")) {
    const int64_t lease = row.value("lease", int64_t{0});
    if (lease != 0 && !leases_.contains(lease)) return JsonResponse(404, Json::object());
  }

  ++revision_;

  for (const Json& row : body.at("puts")) {
    std::string value;
    absl::Base64Unescape(row.at("value").get<std::string>(), &value);
    Set(row.at("key").get<std::string>(), value, row.value("lease", int64_t{0}));
  }

  for (const Json& key : body.at("remove")) Erase(key.get<std::string>());

  const int64_t revision = revision_;
  WakeWatches();
  return JsonResponse(200, Json{{"revision", revision}});
}

void Store::EndLease(int64_t lease) {
  if (leases_.erase(lease) == 0) return;

  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) keys.push_back(key);
  }
  if (keys.empty()) return;

  ++revision_;
  for (const std::string& key : keys) Erase(key);
  WakeWatches();
}

bool Store::AnswerWatch(const Watch& watch, bool timed_out) {
  Json events = Json::array();

  const auto newer = std::ranges::upper_bound(history_, watch.after, {}, &Event::revision);

  for (auto row = newer; row != history_.end(); ++row) {
    const Event& event = *row;
    if (!event.key.starts_with(watch.prefix)) continue;

    if (!event.item) {
      events.push_back(Json{{"key", event.key}, {"revision", event.revision}, {"tombstone", true}});
      continue;
    }

    events.push_back(Json{{"key", event.key},
                          {"value", absl::Base64Escape(event.item->value)},
                          {"revision", event.revision},
                          {"create_revision", event.item->create_revision},
                          {"lease", event.item->lease}});
  }

  if (events.empty() && !timed_out) return false;

  Reply(watch.respond,
        JsonResponse(200, Json{{"events", std::move(events)}, {"store_revision", revision_}}));
  return true;
}

void Store::WakeWatches() {
  // In the next turn, so that all changes of one revision are answered together.
  loop_.After(Millis(0), [this] {
    watches_.remove_if([this](const Watch& watch) { return AnswerWatch(watch, false); });
  });
}

void Store::Tick() {
  const int64_t now = NowMs();
  std::vector<int64_t> ended;

  for (const auto& [id, lease] : leases_) {
    if (now >= lease.ends_at) ended.push_back(id);
  }
  for (const int64_t id : ended) EndLease(id);

  watches_.remove_if([&](const Watch& watch) { return AnswerWatch(watch, now >= watch.until); });
  loop_.After(kTickInterval, [this] { Tick(); });
}

}  // namespace review
