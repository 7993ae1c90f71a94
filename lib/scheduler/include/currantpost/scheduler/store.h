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

/// Names a lease; keys attached to it go when it ends. 0 is none.
using LeaseId = int64_t;

/// What the store holds, by who writes it.
enum class Feed {
  /// The scheduler's records that all entries share.
  kRecords,
  /// The registry in which workers announce themselves.
  kWorkers,
  /// The operators' configuration.
  kConfiguration,
};

inline constexpr EnumNames kFeedNames(std::to_array<EnumName<Feed>>({
    {Feed::kRecords, "records"},
    {Feed::kWorkers, "workers"},
    {Feed::kConfiguration, "configuration"},
}));

/// A key as it is, or as it was when it was removed.
struct StoreItem {
  std::string key;
  KvRevision revision = 0;
  LeaseId lease = 0;
  bool removed = false;
  /// Of records only.
  std::string value;
  /// Of the registry only; nothing if the entry could not be read.
  std::optional<WorkerAnnouncement> worker;
  /// Of the configuration only; null if it could not be read.
  std::shared_ptr<const Routing> routing;
};

/// Reads one record.
struct ReadRecord {
  std::string key;
};

/// Reads a page of the records whose keys begin alike.
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

/// A record's revision that a write depends on; 0 asks that the record be absent.
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

/// Writes and removes records, all or none, if all expectations hold.
struct WriteRecords {
  std::vector<ExpectedRecord> expected;
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

using StoreBody = std::variant<ReadRecord, ListRecords, ListFeed, WatchFeed, WriteRecords,
                               GrantLease, RenewLease, RevokeLease>;

/// How a call to the store ended.
enum class StoreStatus {
  kOk,
  /// An expectation did not hold; nothing changed.
  kConflict,
  /// There is no such record or lease.
  kNotFound,
  /// The history after the asked revision is gone; the feed is to be listed anew.
  kHistoryGone,
  /// Nothing was done: not reached, refused, or overloaded.
  kUnavailable,
  /// No answer: it may have been carried out, or may be later.
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

/// The store's answer.
struct StoreReply {
  StoreStatus status = StoreStatus::kUnknown;
  /// Of the write that was made, or of the store when it answered.
  KvRevision revision = 0;
  /// Items read or changed; on a conflict the expected records as they are.
  std::vector<StoreItem> items;
  /// A page follows the last item.
  bool truncated = false;
  LeaseId lease = 0;
  /// Time to live that the store granted.
  Millis ttl;
};

}  // namespace currantpost::scheduler
