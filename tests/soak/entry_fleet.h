#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "checker.h"
#include "entry_process.h"
#include "proxy.h"
#include "store_standin.h"
#include "worker_standin.h"

namespace currantpost::soak {

/// Sizes of a run.
struct FleetSize {
  int entries = 2;
  int workers = 6;
};

/// The entries as processes, the stand-ins, and the proxies between them.
class EntryFleet {
 public:
  /// Throws `std::runtime_error` if an address cannot be bound.
  EntryFleet(EventLoop& loop, const Clock& clock, const JobBook& jobs, Checker& checker,
             FleetSize size, uint64_t seed, const std::string& log_folder);

  /// Starts the process of an entry, unless it runs or the entry is removed.
  void StartEntry(size_t entry);
  /// Ends the entry for good, if enough others stay.
  void RemoveEntry(size_t entry, bool with_notice);
  [[nodiscard]] bool IsRemoved(size_t entry) const { return removed_.contains(entry); }
  /// Begins a life of the worker, if it has none.
  void StartWorker(size_t worker);

  /// Lets the stand-ins do what is due, and notices processes that have ended.
  void Tick();

  StoreStandin& store() { return store_; }
  std::vector<std::unique_ptr<EntryProcess>>& entries() { return entries_; }
  std::vector<std::unique_ptr<WorkerStandin>>& workers() { return workers_; }
  /// The paths from each entry to the store, to each worker, and from callers to each entry.
  /// @{
  std::vector<Proxy*>& store_paths() { return store_paths_; }
  std::vector<Proxy*>& worker_paths() { return worker_paths_; }
  std::vector<Proxy*>& caller_paths() { return caller_paths_; }
  /// @}

  /// Returns where callers reach an entry.
  [[nodiscard]] Address CallerAddress(size_t entry) const;

 private:
  [[nodiscard]] std::string Host(int network, size_t machine) const;

  const Clock& clock_;
  Checker& checker_;
  ProxyThread proxies_;
  StoreStandin store_;
  std::vector<std::unique_ptr<WorkerStandin>> workers_;
  std::vector<std::unique_ptr<EntryProcess>> entries_;
  std::set<size_t> removed_;
  std::vector<Proxy*> store_paths_;
  std::vector<Proxy*> worker_paths_;
  std::vector<Proxy*> caller_paths_;
};

}  // namespace currantpost::soak
