#include <gtest/gtest.h>

#include "lone_entry.h"

/// How an entry reads a backlog of changes.

namespace currantpost::scheduler {
namespace {

constexpr size_t kLongReply = 300;
/// An entry that answers at once may send the next request this soon after a long reply.
constexpr Millis kShortPause = Millis(30);

bool IsRecordsWatch(const WatchFeed& watch) { return watch.feed == Feed::kRecords; }

// Guards against entries that own no cell and stay seconds behind the store: they paused after each
// page of a backlog as if they were up to date.
TEST(Backlog, AnEntryWithoutCellsReadsABacklogWithoutLongPauses) {
  LoneEntry entry;
  const RequestId list =
      entry.LatestCall<ListFeed>([](const ListFeed& call) { return call.feed == Feed::kRecords; });
  ASSERT_NE(list, 0U);
  entry.Answer(list, StoreReply{.status = StoreStatus::kOk, .revision = 1});
  entry.Wait(Millis(0));
  const RequestId watch = entry.LatestCall<WatchFeed>(IsRecordsWatch);
  ASSERT_NE(watch, 0U);

  StoreReply reply{.status = StoreStatus::kOk, .revision = 1 + kLongReply};
  for (size_t number = 0; number < kLongReply; ++number) {
    reply.items.push_back(StoreItem{.key = "shared/jobs/j" + std::to_string(number),
                                    .revision = static_cast<KvRevision>(2 + number),
                                    .removed = true});
  }
  entry.Answer(watch, reply);
  entry.Wait(kShortPause);

  EXPECT_NE(entry.LatestCall<WatchFeed>(IsRecordsWatch), watch);
}

}  // namespace
}  // namespace currantpost::scheduler
