#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "currantpost/base/time.h"
#include "currantpost/transport/event_loop.h"
#include "currantpost/transport/http_server.h"

namespace currantpost::review {

/// The platform's metadata store in memory. Workers and the operator write with `POST /put?key=KEY`
/// and `POST /drop?key=KEY`, which the pages leave to the platform.
class Store {
 public:
  Store(EventLoop& loop, const Clock& clock, size_t value_bytes);

  /// Returns whether the port could be bound.
  bool Listen(int port);

 private:
  using Json = nlohmann::json;
  using Query = std::map<std::string, std::string>;

  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t create_revision = 0;
    int64_t lease = 0;
    Millis written_at;
  };

  struct Change {
    int64_t revision = 0;
    std::string key;
    Json event;
    Millis made_at;
  };

  struct Lease {
    Millis ttl;
    Millis ends_at;
  };

  struct Watch {
    std::string prefix;
    int64_t after = 0;
    Millis until;
    Respond respond;
  };

  void Handle(const ReceivedRequest& request, const Respond& respond);
  void HandleRange(Query query, const Respond& respond) const;
  void HandleWatch(Query query, const Respond& respond);
  void HandleTxn(const Json& body, const Respond& respond);
  void HandleLease(const ReceivedRequest& request, const std::string& path, const Respond& respond);
  void Put(const std::string& key, const std::string& value, int64_t lease);
  void Remove(const std::string& key);
  void EndLease(int64_t lease);
  [[nodiscard]] Json ItemJson(const std::string& key) const;
  [[nodiscard]] Json EventsAfter(const std::string& prefix, int64_t after) const;
  void AnswerWatches();
  void Sweep();

  EventLoop& loop_;
  const Clock& clock_;
  size_t value_bytes_;
  HttpServer server_;
  int64_t revision_ = 100;
  int64_t last_lease_ = 7'000;
  std::map<std::string, Item> items_;
  std::deque<Change> changes_;
  /// Changes up to this revision are no longer in `changes_`.
  int64_t forgotten_ = 0;
  std::map<int64_t, Lease> leases_;
  std::vector<Watch> watches_;
};

}  // namespace currantpost::review
