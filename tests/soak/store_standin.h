#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "currantpost/transport/http_server.h"
#include "job_plan.h"
#include "unanswered.h"

namespace currantpost::soak {

/// How the store treats the calls that reach it.
enum class StoreFault {
  kNone,
  /// Answers 503 and does nothing.
  kRejects,
  /// Does nothing and never answers. Registrations fail as well.
  kDown,
  /// Carries a call out after up to a second and a half.
  kSlow,
  /// Carries some calls out and doesn't answer them.
  kLosesAnswers,
  /// Carries some calls out seconds later, and doesn't answer them.
  kLate,
};

/// The platform's key-value store: revisions, leases, transactions, ranges and watches.
class StoreStandin {
 public:
  StoreStandin(EventLoop& loop, const Clock& clock, uint64_t seed);

  /// Fails if the address cannot be bound.
  Error Listen(const Address& address);

  void SetFault(StoreFault fault);
  /// Chooses whether leases run on while the store is down.
  void SetLeasesPauseWhileDown(bool pause) { leases_pause_ = pause; }
  /// Discards all history, so that waiting and later watches from before end with 410.
  void DropHistory();
  /// Ends one lease at random, with its keys.
  void EndOneLease();

  /// Writes a key of the operators.
  void PutOperatorKey(const std::string& key, const std::string& value);
  /// Takes a worker's report. Returns false if the store can't be reached. The entry is removed
  /// after three heartbeat intervals of silence.
  bool Register(const std::string& worker, const std::string& value);
  void Deregister(const std::string& worker);

  /// Ends leases and watches that are due. To be called every few milliseconds.
  void Tick();

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t create_revision = 0;
    int64_t lease = 0;
  };

  struct Change {
    std::string key;
    int64_t revision = 0;
    bool removed = false;
    Item item;
  };

  struct Lease {
    Millis ttl;
    Millis ends_at;
  };

  struct Watch {
    std::string prefix;
    int64_t after = 0;
    Millis ends_at;
    Respond respond;
  };

  void Handle(const ReceivedRequest& request, Respond respond);
  void CarryOut(const ReceivedRequest& request, const Respond& respond);
  void ReadKey(const std::string& key, const Respond& respond) const;
  void ReadRange(const std::string& prefix, const std::string& after, const Respond& respond) const;
  void Transact(const ReceivedRequest& request, const Respond& respond);
  void Put(const std::string& key, const std::string& value, int64_t lease);
  void Remove(const std::string& key);
  void EndLease(int64_t lease);
  bool AnswerWatch(const Watch& watch) const;
  void WakeWatches();

  EventLoop& loop_;
  const Clock& clock_;
  Random random_;
  HttpServer server_;
  StoreFault fault_ = StoreFault::kNone;
  bool leases_pause_ = true;
  int64_t revision_ = 100;
  int64_t history_from_ = 100;
  int64_t last_lease_ = 0;
  Millis ticked_at_;
  std::map<std::string, Item> items_;
  std::deque<Change> history_;
  std::map<int64_t, Lease> leases_;
  std::map<std::string, Millis> registered_at_;
  std::vector<Watch> watches_;
  Unanswered unanswered_;
};

}  // namespace currantpost::soak
