#include <gtest/gtest.h>

#include "lone_entry.h"

/// Records that were removed, or that are older than the known revision.

namespace currantpost::scheduler {
namespace {

std::string LoadKeyOf(const std::string& cell) { return std::string(kLoadPrefix) + cell; }

class StaleRecords : public testing::Test {
 protected:
  static StoreItem Load(const std::string& cell, KvRevision revision, int64_t pending) {
    LoadRecord record;
    record.waiting.by_queue["queue"] = pending;
    return StoreItem{.key = LoadKeyOf(cell), .revision = revision, .value = Encode(record)};
  }

  /// Answers the list or watch of the records that is in flight.
  void AnswerRecords(StoreReply reply) {
    entry_.Wait(Millis(1'000));
    const RequestId request = entry_.state().feeds[Feed::kRecords].request;
    ASSERT_NE(request, 0U);
    entry_.Answer(request, std::move(reply));
  }

  /// Returns the timeout of the latest watch of the records.
  [[nodiscard]] Millis WatchTimeout() const {
    Millis timeout;

    for (const Effect& effect : entry_.effects) {
      const auto* call = std::get_if<StoreCall>(&effect);
      const auto* watch = call == nullptr ? nullptr : std::get_if<WatchFeed>(&call->body);
      if (watch != nullptr && watch->feed == Feed::kRecords) timeout = call->timeout;
    }

    return timeout;
  }

  LoneEntry entry_;
};

TEST_F(StaleRecords, AReportMissingFromANewListIsRemoved) {
  AnswerRecords({.status = StoreStatus::kOk, .revision = 5, .items = {Load("dc0/0", 4, 3)}});
  ASSERT_TRUE(entry_.state().view.loads.contains(CellId("dc0/0")));
  AnswerRecords({.status = StoreStatus::kHistoryGone});
  AnswerRecords({.status = StoreStatus::kOk, .revision = 9});

  EXPECT_FALSE(entry_.state().view.loads.contains(CellId("dc0/0")));
}

// Guards against a watch that never succeeds: each reply was discarded when it timed out half read,
// and the next reply was longer.
TEST_F(StaleRecords, AWatchThatTimedOutGetsALongerTimeout) {
  AnswerRecords({.status = StoreStatus::kOk, .revision = 5});
  AnswerRecords({.status = StoreStatus::kUnknown});
  entry_.Wait(Millis(1'000));
  const Millis first = WatchTimeout();
  AnswerRecords({.status = StoreStatus::kUnknown});
  entry_.Wait(Millis(1'000));
  EXPECT_GE(WatchTimeout(), first * 2);

  AnswerRecords({.status = StoreStatus::kOk, .revision = 6});
  entry_.Wait(Millis(1'000));
  EXPECT_LT(WatchTimeout(), first);
}

TEST_F(StaleRecords, AnOlderReportIsIgnored) {
  entry_.Push(Load("dc0/0", 8, 3));
  entry_.Push(Load("dc0/0", 6, 0));
  EXPECT_EQ(entry_.state().view.waiting.at(CellId("dc0/0")).by_queue.at("queue"), 3);

  StoreItem removal{.key = LoadKeyOf("dc0/0"), .revision = 7, .removed = true};
  entry_.Push(removal);
  EXPECT_TRUE(entry_.state().view.loads.contains(CellId("dc0/0")));
}

TEST_F(StaleRecords, AReportOlderThanItsRemovalIsIgnored) {
  entry_.Push(Load("dc0/0", 6, 3));
  entry_.Push(StoreItem{.key = LoadKeyOf("dc0/0"), .revision = 8, .removed = true});
  entry_.Push(Load("dc0/0", 7, 3));

  EXPECT_FALSE(entry_.state().view.loads.contains(CellId("dc0/0")));
}

}  // namespace
}  // namespace currantpost::scheduler
