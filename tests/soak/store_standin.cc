#include "store_standin.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "bounds.h"

namespace currantpost::soak {
namespace {

using Json = nlohmann::json;

constexpr size_t kPageItems = 500;
constexpr size_t kPageBytes = 1'000'000;
constexpr size_t kTransactionEntries = 32;
constexpr size_t kKeyBytes = 200;
constexpr Millis kLongestTtl = Millis(600'000);
constexpr Millis kLongestWatch = Millis(30'000);

std::string DecodePercent(const std::string& text) {
  std::string result;

  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result += absl::HexStringToBytes(text.substr(i + 1, 2));
      i += 2;
    } else {
      result += text[i];
    }
  }

  return result;
}

/// Returns the parameters of a request's query.
std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const size_t mark = target.find('?');
  if (mark == std::string::npos) return query;

  const std::vector<std::string> fields = absl::StrSplit(target.substr(mark + 1), '&');
  for (const std::string& field : fields) {
    const size_t equals = field.find('=');
    if (equals != std::string::npos) {
      query[field.substr(0, equals)] = DecodePercent(field.substr(equals + 1));
    }
  }

  return query;
}

HttpResponse JsonResponse(int status, const Json& body) {
  return HttpResponse{
      .status = status, .fields = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

int64_t NumberOf(const std::string& text) {
  int64_t number = 0;
  return absl::SimpleAtoi(text, &number) ? number : 0;
}

/// Returns a report without the part that changes with each one.
std::string WithoutSequence(const std::string& report) {
  Json json = Json::parse(report, nullptr, false);
  if (json.is_object()) json.erase("seq");
  return json.dump();
}

bool IsOperators(const std::string& key) {
  return key.starts_with("op/") || key.starts_with("servers/");
}

}  // namespace

StoreStandin::StoreStandin(EventLoop& loop, const Clock& clock, uint64_t seed)
    : loop_(loop),
      clock_(clock),
      random_(seed),
      server_(loop, clock, StandinLimits(),
              [this](const ReceivedRequest& request, Respond respond) {
                Handle(request, std::move(respond));
              }),
      ticked_at_(clock.Now()) {}

Error StoreStandin::Listen(const Address& address) { return server_.Listen(address); }

void StoreStandin::SetFault(StoreFault fault) { fault_ = fault; }

void StoreStandin::DropHistory() {
  history_.clear();
  history_from_ = revision_;
  WakeWatches();
}

void StoreStandin::EndOneLease() {
  if (leases_.empty()) return;

  const auto lease =
      std::next(leases_.begin(), Draw(random_, 0, static_cast<int64_t>(leases_.size()) - 1));
  EndLease(lease->first);
  WakeWatches();
}

void StoreStandin::PutOperatorKey(const std::string& key, const std::string& value) {
  ++revision_;
  Put(key, absl::Base64Escape(value), 0);
  WakeWatches();
}

bool StoreStandin::Register(const std::string& worker, const std::string& value) {
  if (fault_ == StoreFault::kDown || fault_ == StoreFault::kRejects) return false;

  registered_at_[worker] = clock_.Now();
  const std::string key = "servers/" + worker;
  const auto present = items_.find(key);
  std::string old;
  if (present != items_.end()) absl::Base64Unescape(present->second.value, &old);

  if (WithoutSequence(old) != WithoutSequence(value)) {
    PutOperatorKey(key, value);
  } else {
    present->second.value = absl::Base64Escape(value);
  }

  return true;
}

void StoreStandin::Deregister(const std::string& worker) {
  // A store that is down learns of it by the worker's silence.
  if (fault_ == StoreFault::kDown || registered_at_.erase(worker) == 0) return;
  ++revision_;
  Remove("servers/" + worker);
  WakeWatches();
}

void StoreStandin::Tick() {
  const Millis now = clock_.Now();
  unanswered_.Tick(now);
  const bool down = fault_ == StoreFault::kDown;

  if (down && leases_pause_) {
    for (auto& [id, lease] : leases_) lease.ends_at = lease.ends_at + (now - ticked_at_);
    for (auto& [worker, at] : registered_at_) at = at + (now - ticked_at_);
  }

  ticked_at_ = now;
  std::vector<int64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (now >= lease.ends_at) ended.push_back(id);
  }
  for (const int64_t id : ended) EndLease(id);

  std::vector<std::string> silent;
  for (const auto& [worker, at] : registered_at_) {
    if (now - at >= kBounds.heartbeat * 3) silent.push_back(worker);
  }
  for (const std::string& worker : silent) {
    registered_at_.erase(worker);
    ++revision_;
    Remove("servers/" + worker);
  }

  WakeWatches();
}

void StoreStandin::Handle(const ReceivedRequest& request, Respond respond) {
  const Respond none = [](const HttpResponse&) {};
  const bool affected = Draw(random_, 0, 2) == 0;

  switch (fault_) {
    case StoreFault::kNone:
      return CarryOut(request, respond);
    case StoreFault::kRejects:
      return respond(HttpResponse{.status = 503});
    case StoreFault::kDown:
      return unanswered_.Add(std::move(respond), clock_.Now(), random_);
    case StoreFault::kSlow:
      return loop_.After(Millis(Draw(random_, 100, 1'500)),
                         [this, request, respond] { CarryOut(request, respond); });
    case StoreFault::kLosesAnswers:
      if (affected) unanswered_.Add(respond, clock_.Now(), random_);
      return CarryOut(request, affected ? none : respond);
    case StoreFault::kLate:
      if (!affected) return CarryOut(request, respond);
      unanswered_.Add(std::move(respond), clock_.Now(), random_);
      return loop_.After(Millis(Draw(random_, 500, 4'000)),
                         [this, request, none] { CarryOut(request, none); });
  }
}

void StoreStandin::CarryOut(const ReceivedRequest& request, const Respond& respond) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  const std::string last = path.substr(path.rfind('/') + 1);
  std::map<std::string, std::string> query = QueryOf(request.target);
  const Millis now = clock_.Now();

  if (path == "/kv-key") return ReadKey(query["key"], respond);
  if (path == "/kv-range") return ReadRange(query["prefix"], query["after"], respond);
  if (path == "/kv-txn") return Transact(request, respond);

  if (path == "/kv-watch") {
    const Millis wait = std::min(Millis(NumberOf(query["wait_ms"])), kLongestWatch);
    const Watch watch{query["prefix"], NumberOf(query["after"]), now + wait, respond};
    if (!AnswerWatch(watch)) watches_.push_back(watch);
    return;
  }

  if (path == "/kv-lease") {
    const Json body = Json::parse(request.body, nullptr, false);
    const bool valid = body.is_object() && body.contains("ttl_ms");
    if (!valid) return respond(HttpResponse{.status = 400});

    const Millis ttl =
        std::clamp(Millis(body["ttl_ms"].get<int64_t>()), kBounds.min_store_lease, kLongestTtl);
    leases_[++last_lease_] = Lease{ttl, now + ttl};
    return respond(JsonResponse(200, {{"lease", last_lease_}, {"ttl_ms", ttl.Count()}}));
  }

  const auto lease = leases_.find(NumberOf(last));
  if (lease == leases_.end()) return respond(HttpResponse{.status = 404});

  if (path.starts_with("/kv-keep/")) {
    lease->second.ends_at = now + lease->second.ttl;
    return respond(JsonResponse(200, {{"ttl_ms", lease->second.ttl.Count()}}));
  }

  EndLease(lease->first);
  respond(JsonResponse(200, Json::object()));
  WakeWatches();
}

void StoreStandin::ReadKey(const std::string& key, const Respond& respond) const {
  const auto found = items_.find(key);
  if (found == items_.end()) return respond(HttpResponse{.status = 404});

  const Item& item = found->second;
  respond(JsonResponse(200, {{"key", key},
                             {"value", item.value},
                             {"revision", item.revision},
                             {"create_revision", item.create_revision},
                             {"lease", item.lease},
                             {"store_revision", revision_}}));
}

void StoreStandin::ReadRange(const std::string& prefix, const std::string& after,
                             const Respond& respond) const {
  Json page{{"items", Json::array()}, {"truncated", false}, {"store_revision", revision_}};
  size_t bytes = 0;
  auto item = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);

  for (; item != items_.end() && item->first.starts_with(prefix); ++item) {
    if (page["items"].size() >= kPageItems || bytes > kPageBytes) {
      page["truncated"] = true;
      break;
    }

    bytes += item->second.value.size();
    page["items"].push_back({{"key", item->first},
                             {"value", item->second.value},
                             {"revision", item->second.revision},
                             {"create_revision", item->second.create_revision},
                             {"lease", item->second.lease}});
  }

  respond(JsonResponse(200, page));
}

void StoreStandin::Transact(const ReceivedRequest& request, const Respond& respond) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) return respond(HttpResponse{.status = 400});

  const Json expected = body.value("expected_rev", Json::array());
  const Json puts = body.value("puts", Json::array());
  const Json removals = body.value("remove", Json::array());
  if (expected.size() + puts.size() + removals.size() > kTransactionEntries) {
    return respond(HttpResponse{.status = 400});
  }

  Json current = Json::array();
  bool holds = true;

  for (const Json& row : expected) {
    const std::string key = row.at("key");
    const auto found = items_.find(key);
    const int64_t revision = found == items_.end() ? 0 : found->second.revision;
    holds = holds && revision == row.at("revision").get<int64_t>();
    Json item{{"key", key}, {"revision", revision}};
    if (found != items_.end()) {
      item["value"] = found->second.value;
      item["lease"] = found->second.lease;
      item["create_revision"] = found->second.create_revision;
    }
    current.push_back(std::move(item));
  }

  if (!holds) return respond(JsonResponse(412, {{"items", current}}));

  for (const Json& put : puts) {
    const std::string key = put.at("key");
    if (IsOperators(key) || key.size() > kKeyBytes) return respond(HttpResponse{.status = 403});
    const int64_t lease = put.value("lease", int64_t{0});
    if (lease != 0 && !leases_.contains(lease)) return respond(HttpResponse{.status = 404});
  }

  ++revision_;
  for (const Json& put : puts) {
    Put(put.at("key"), put.at("value"), put.value("lease", int64_t{0}));
  }
  for (const Json& key : removals) Remove(key);

  respond(JsonResponse(200, {{"revision", revision_}}));
  WakeWatches();
}

void StoreStandin::Put(const std::string& key, const std::string& value, int64_t lease) {
  Item& item = items_[key];
  if (item.create_revision == 0) item.create_revision = revision_;
  item.value = value;
  item.revision = revision_;
  item.lease = lease;
  history_.push_back(Change{.key = key, .revision = revision_, .item = item});
}

void StoreStandin::Remove(const std::string& key) {
  if (items_.erase(key) == 0) return;
  history_.push_back(Change{.key = key, .revision = revision_, .removed = true});
}

void StoreStandin::EndLease(int64_t lease) {
  leases_.erase(lease);
  ++revision_;
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) Remove(key);
}

bool StoreStandin::AnswerWatch(const Watch& watch) const {
  if (watch.after < history_from_) {
    watch.respond(HttpResponse{.status = 410});
    return true;
  }

  Json events = Json::array();
  const auto newer = std::ranges::upper_bound(history_, watch.after, {},
                                              [](const Change& c) { return c.revision; });

  for (auto change = newer; change != history_.end(); ++change) {
    if (!change->key.starts_with(watch.prefix)) continue;

    Json event{{"key", change->key}, {"revision", change->revision}};
    if (change->removed) {
      event["tombstone"] = true;
    } else {
      event["value"] = change->item.value;
      event["lease"] = change->item.lease;
      event["create_revision"] = change->item.create_revision;
    }
    events.push_back(std::move(event));
  }

  if (events.empty() && clock_.Now() < watch.ends_at) return false;

  watch.respond(JsonResponse(200, {{"events", events}, {"store_revision", revision_}}));
  return true;
}

void StoreStandin::WakeWatches() {
  if (fault_ == StoreFault::kDown) return;
  // An answer may let the next request of its connection in, which may wait here too.
  const std::vector<Watch> waiting = std::exchange(watches_, {});
  for (const Watch& watch : waiting) {
    if (!AnswerWatch(watch)) watches_.push_back(watch);
  }
}

}  // namespace currantpost::soak
