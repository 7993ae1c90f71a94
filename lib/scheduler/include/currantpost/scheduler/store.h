#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/scheduler/routing.h"
#include "currantpost/scheduler/worker.h"

namespace currantpost::scheduler {

/// Identifies a lease. The store removes the keys attached to a lease when it ends. 0 means none.
using LeaseId = int64_t;

/// Parts of the store that entries list and watch, by writer.
enum class Feed {
  /// The entries, the cells' owners and the layout: all that decides who owns a cell. Small, so an
  /// entry that has just returned reads it at once.
  kMembers,
  /// The other scheduler records shared by all entries: jobs, cancellations and load reports.
  kRecords,
  /// The registry that workers register in.
  kWorkers,
  /// The operators' configuration.
  kConfiguration,
};

inline constexpr EnumNames kFeedNames(std::to_array<EnumName<Feed>>({
    {Feed::kMembers, "members"},
    {Feed::kRecords, "records"},
    {Feed::kWorkers, "workers"},
    {Feed::kConfiguration, "configuration"},
}));

/// The current state of a key, or its removal.
struct StoreItem {
  std::string key;
  KvRevision revision = 0;
  LeaseId lease = 0;
  bool removed = false;
  /// Set for `Feed::kMembers` and `Feed::kRecords` only.
  std::string value;
  /// Set for `Feed::kWorkers` only; empty if the announcement could not be decoded.
  std::optional<WorkerAnnouncement> worker;
  /// Set for `Feed::kConfiguration` only; null if it could not be decoded.
  std::shared_ptr<const Routing> routing;
};

/// Reads one record.
struct ReadRecord {
  std::string key;
};

/// Reads one worker's entry in the registry.
struct ReadWorker {
  VmId worker;
};

/// Reads a page of the records under a key prefix.
struct ListRecords {
  std::string prefix;
  /// Last key of the page before, empty for the first page.
  std::string after_key;
};

/// Reads a page of a feed.
struct ListFeed {
  Feed feed = Feed::kRecords;
  /// Last key of the page before, empty for the first page.
  std::string after_key;
};

/// Waits for changes of a feed.
struct WatchFeed {
  Feed feed = Feed::kRecords;
  KvRevision after = 0;
  Millis wait;
};

/// Precondition of a write: the revision of a record; 0 requires that the record is absent.
struct ExpectedRecord {
  std::string key;
  KvRevision revision = 0;
};

/// A record to write.
struct RecordPut {
  std::string key;
  std::string value;
  LeaseId lease = 0;
};

/// Writes and removes records in one transaction if all preconditions hold (compare-and-swap).
struct WriteRecords {
  std::vector<ExpectedRecord> expected;
  /// Expected revision of the operators' configuration, if the write depends on it. On a conflict
  /// the reply contains the current configuration.
  std::optional<KvRevision> expected_configuration;
  std::vector<RecordPut> puts;
  std::vector<std::string> removals;
};

struct GrantLease {
  Millis ttl;
};

struct RenewLease {
  LeaseId lease = 0;
};

struct RevokeLease {
  LeaseId lease = 0;
};

using StoreBody = std::variant<ReadRecord, ReadWorker, ListRecords, ListFeed, WatchFeed,
                               WriteRecords, GrantLease, RenewLease, RevokeLease>;

/// Outcome of a call to the store.
enum class StoreStatus {
  kOk,
  /// A precondition did not hold; nothing was written.
  kConflict,
  /// The record or lease does not exist.
  kNotFound,
  /// The store no longer has the history after the requested revision; the feed must be listed
  /// again.
  kHistoryGone,
  /// Not executed: the store was unreachable, refused the call or was overloaded.
  kUnavailable,
  /// No answer: the call may have been executed, or may be executed later.
  kUnknown,
};

inline constexpr EnumNames kStoreStatusNames(std::to_array<EnumName<StoreStatus>>({
    {StoreStatus::kOk, "ok"},
    {StoreStatus::kConflict, "conflict"},
    {StoreStatus::kNotFound, "not_found"},
    {StoreStatus::kHistoryGone, "history_gone"},
    {StoreStatus::kUnavailable, "unavailable"},
    {StoreStatus::kUnknown, "unknown"},
}));

/// Reply of the store.
struct StoreReply {
  StoreStatus status = StoreStatus::kUnknown;
  /// Revision of the write, or of the store at the time of the reply.
  KvRevision revision = 0;
  /// Items read or changed; on a conflict, the current state of the expected records.
  std::vector<StoreItem> items;
  /// Another page follows the last item.
  bool truncated = false;
  LeaseId lease = 0;
  /// Time to live granted by the store.
  Millis ttl;
};

}  // namespace currantpost::scheduler
