#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "currantpost/scheduler/store.h"

namespace currantpost::scheduler {

/// A store in memory, with revisions, leases and watches, in simulated time.
class SimStore {
 public:
  using Reply = std::function<void(StoreReply)>;

  /// Carries out a call. The reply to a watch may be sent later, by `Advance`.
  void Handle(const StoreBody& body, Millis now, const Reply& reply);

  /// Expires leases and replies to watches that are due.
  void Advance(Millis now);

  /// Writes data that is not written by the scheduler.
  /// @{
  void Announce(const WorkerAnnouncement& worker, Millis now);
  void Withdraw(const VmId& worker, Millis now);
  void Configure(const Routing& routing, Millis now);
  /// @}

  /// Removes the keys of a lease, and the lease itself. With `keep_renewable`, the lease stays, so
  /// that renewals still succeed and its owner does not notice.
  void Revoke(LeaseId lease, bool keep_renewable, Millis now);

  /// Drops the history of changes, so that watches from earlier revisions have to list again.
  void CompactHistory();

  /// Returns a record's value, or nothing.
  [[nodiscard]] std::optional<std::string> Value(const std::string& key) const;
  /// Returns whether the registry lists a worker.
  [[nodiscard]] bool HasWorker(const VmId& worker) const;
  /// Returns the lease that a record is bound to, 0 if there is none.
  [[nodiscard]] LeaseId LeaseOf(const std::string& key) const;
  [[nodiscard]] KvRevision revision() const { return revision_; }
  [[nodiscard]] int64_t writes() const { return writes_; }

  /// Maximum number of items on a page of a list.
  size_t page_size = 10'000;
  /// Maximum number of changes in a reply to a watch; changes of one revision are not split.
  size_t changes_in_answer = 10'000;

 private:
  struct Lease {
    Millis ttl;
    Millis ends_at;
  };

  struct PendingWatch {
    WatchFeed watch;
    Millis until;
    Reply reply;
  };

  void AddToPage(StoreReply& page, const StoreItem& item) const;
  void PutItem(Feed feed, StoreItem item, Millis now);
  void RemoveItem(Feed feed, const std::string& key, Millis now);
  void Write(const WriteRecords& write, Millis now, const Reply& reply);
  bool AnswerWatch(const PendingWatch& waiting, bool timed_out) const;
  void WakeWatches();
  [[nodiscard]] StoreItem CurrentItem(const std::string& key) const;
  [[nodiscard]] StoreItem CurrentConfiguration() const;

  std::map<Feed, std::map<std::string, StoreItem>> items_;
  std::vector<std::pair<Feed, StoreItem>> history_;
  std::map<LeaseId, Lease> leases_;
  std::vector<PendingWatch> pending_watches_;
  KvRevision revision_ = 1;
  KvRevision compacted_revision_ = 0;
  LeaseId last_lease_ = 100;
  int64_t writes_ = 0;
};

}  // namespace currantpost::scheduler
