#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "currantpost/transport/event_loop.h"
#include "currantpost/transport/http_server.h"

/// A stand-in for the platform's key-value store: linearizable, with revisions, leases, watches and
/// transactions.

namespace review {

/// What the store does with a transaction instead of carrying it out and answering.
enum class TxnFault {
  kNone,
  /// Carried out some seconds later if its condition still holds, and not answered.
  kLate,
};

class Store {
 public:
  Store(currantpost::EventLoop& loop, const currantpost::Clock& clock);

  void Listen(const currantpost::Address& address);

  /// Writes a key for the operator or for a worker. `lease` may be 0.
  int64_t Put(const std::string& key, const std::string& value, int64_t lease);
  void Remove(const std::string& key);

  /// Decides on the fault of each transaction. Called with its body.
  std::function<TxnFault(const nlohmann::json&)> txn_fault;
  /// Delay of a late transaction.
  int64_t late_ms = 5'000;
  /// Called with the body of each transaction that is carried out, and whether it was late.
  std::function<void(const nlohmann::json&, bool)> on_write;

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t create_revision = 0;
    int64_t lease = 0;
  };
  struct Event {
    std::string key;
    int64_t revision = 0;
    std::optional<Item> item;
  };
  struct Lease {
    int64_t ttl_ms = 0;
    int64_t ends_at = 0;
  };
  struct Watch {
    std::string prefix;
    int64_t after = 0;
    int64_t until = 0;
    currantpost::Respond respond;
  };

  void Handle(const currantpost::ReceivedRequest& request, const currantpost::Respond& respond);
  void HandleGet(const std::string& path, const std::map<std::string, std::string>& query,
                 const currantpost::Respond& respond);
  void HandlePost(const std::string& path, const nlohmann::json& body,
                  const currantpost::Respond& respond);
  currantpost::HttpResponse Transact(const nlohmann::json& body);
  void Set(const std::string& key, const std::string& value, int64_t lease);
  void Erase(const std::string& key);
  void EndLease(int64_t lease);
  bool AnswerWatch(const Watch& watch, bool timed_out);
  void WakeWatches();
  void Tick();
  [[nodiscard]] nlohmann::json ItemJson(const std::string& key) const;
  void Reply(const currantpost::Respond& respond, currantpost::HttpResponse response);

  currantpost::EventLoop& loop_;
  currantpost::HttpServer server_;
  int64_t revision_ = 100;
  int64_t last_lease_ = 0;
  std::map<std::string, Item> items_;
  std::map<int64_t, Lease> leases_;
  std::deque<Event> history_;
  std::list<Watch> watches_;
};

}  // namespace review
