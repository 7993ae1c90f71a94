#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "currantpost/transport/event_loop.h"
#include "currantpost/transport/http_client.h"
#include "processes.h"
#include "record.h"
#include "relay.h"
#include "store.h"
#include "worker.h"

/// A small deployment on loopback addresses: the platform's store in this process, entries and
/// workers as processes, and calls of clients and of the operator.

namespace review {

/// A queue as the operator configures it.
struct Route {
  std::string name;
  std::string prefix;
  std::string service = "grinders";
  int priority = 0;
  int timeout_ms = 3'000;
};

/// A step of a job, as a client describes it.
struct Step {
  int count = 1;
  int64_t cpu = 1'000;
  int64_t mem_mb = 100;
  int64_t duration_ms = 500;
  std::string label;
  bool is_long_running = false;
};

class Fleet {
 public:
  using Answer = std::function<void(int status, const std::string& body)>;

  explicit Fleet(Record record);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts an entry. With `relayed`, its connections to the store pass through a relay of its own.
  void AddEntry(const std::string& name, const std::string& zone, bool relayed);

  /// Prepares a worker without starting it.
  void AddWorker(const std::string& id, const std::string& zone, const std::string& rack,
                 const std::string& kind, int64_t cpu, const std::string& service = "grinders");
  void StartWorker(const std::string& id);
  void KillWorker(const std::string& id);

  /// Writes a configuration as the operator.
  void Configure(int64_t version, const std::vector<Route>& routes);

  /// Sends a client's request to an entry, and records it and its answer. The status is 0 if there
  /// was no answer within the client's time-out.
  void Request(const std::string& entry, const std::string& method, const std::string& path,
               const std::string& body, Answer answer);

  /// Hands a job in, and again with the same id as long as there is no definite answer. `done` gets
  /// the last status.
  void Submit(const std::string& entry, const std::string& path, const std::vector<Step>& steps,
              int retries, std::function<void(int)> done);

  /// Runs until `Stop` is called.
  void Run();
  void Stop();
  void After(int64_t ms, std::function<void()> action);

  /// Returns whether all entries that were started still run.
  bool EntriesRun();

  Store& store() { return *store_; }
  Relay& relay(const std::string& entry) { return *relays_.at(entry); }
  WorkerOptions& worker(const std::string& id) { return workers_.at(id); }
  [[nodiscard]] const Record& record() const { return record_; }

 private:
  [[nodiscard]] std::string SettingsOf(const std::string& name, const std::string& zone,
                                       const std::string& ip,
                                       const currantpost::Address& store) const;

  Record record_;
  std::string folder_;
  currantpost::EventLoop loop_;
  currantpost::MonotonicClock clock_;
  currantpost::HttpClient http_;
  currantpost::Address store_address_;
  std::unique_ptr<Store> store_;
  std::vector<int> ports_;
  std::map<std::string, std::unique_ptr<Relay>> relays_;
  std::map<std::string, std::string> entry_hosts_;
  std::map<std::string, std::unique_ptr<Child>> entries_;
  std::map<std::string, WorkerOptions> workers_;
  std::map<std::string, std::unique_ptr<Child>> worker_processes_;
};

/// Returns a job id from a number.
std::string JobIdOf(int64_t number);

/// Returns whether the disruption of the case is to be played: unless TROUBLE is 0.
bool WithTrouble();

/// Runs a case and returns its exit code. `play` returns 1 if the rule was broken and 0 if it held.
/// Any exception means that the case could not run.
int RunCase(int argc, char** argv, const std::function<int(Fleet&)>& play);

}  // namespace review
