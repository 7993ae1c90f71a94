#include <gtest/gtest.h>

#include "lone_entry.h"
#include "world.h"

/// Cancellation of jobs that were removed from the store.

namespace currantpost::scheduler {
namespace {

std::string JobKeyOf(const std::string& job) { return std::string(kJobPrefix) + job; }

class StaleCancels : public testing::Test {
 protected:
  static StoreItem Job(const std::string& id, KvRevision revision) {
    JobRecord record{.queue = "queue", .service = "service", .cell = CellId("dc0/0")};
    record.spec = MakeJob(id, 1);
    return StoreItem{.key = JobKeyOf(id), .revision = revision, .value = Encode(record)};
  }

  void Cancel() {
    entry_.Handle(CallerRequested{1, Millis(3'000), JobCancelled{JobId("a")}});
    request_ = LatestCancel();
    ASSERT_NE(request_, 0U);
  }

  [[nodiscard]] RequestId LatestCancel() const {
    return entry_.LatestCall<WriteRecords>([](const WriteRecords& write) {
      return !write.puts.empty() && write.puts.front().key == std::string(kCancelPrefix) + "a";
    });
  }

  LoneEntry entry_;
  RequestId request_ = 0;
};

TEST_F(StaleCancels, AJobMayBeRemovedBeforeItsCancelIsAnswered) {
  entry_.Push(Job("a", 5));
  Cancel();
  entry_.Push(StoreItem{.key = JobKeyOf("a"), .revision = 7, .removed = true});
  EXPECT_NO_THROW(entry_.Answer(request_, {.status = StoreStatus::kOk, .revision = 6}));

  ASSERT_EQ(entry_.Answers().size(), 1U);
  EXPECT_EQ(entry_.Answers()[0].outcome, CallerOutcome::kCancelled);
}

TEST_F(StaleCancels, ACancelOlderThanItsRemovalIsIgnored) {
  const std::string key = std::string(kCancelPrefix) + "a";
  entry_.Push(StoreItem{.key = JobKeyOf("a"), .revision = 8, .removed = true});
  entry_.Push(StoreItem{.key = key, .revision = 8, .removed = true});
  entry_.Push(StoreItem{.key = key, .revision = 6, .value = "{}"});
  entry_.Push(Job("a", 9));

  EXPECT_FALSE(entry_.state().view.jobs.at(JobId("a")).cancelled);
}

TEST_F(StaleCancels, CancellingAJobThatWasRemovedIsAnsweredAtOnce) {
  entry_.Push(Job("a", 5));
  Cancel();
  const StoreItem gone{.key = JobKeyOf("a"), .removed = true};
  entry_.Answer(request_, {.status = StoreStatus::kConflict, .items = {gone}});

  EXPECT_EQ(LatestCancel(), request_) << "it was sent again";
  ASSERT_EQ(entry_.Answers().size(), 1U);
  EXPECT_EQ(entry_.Answers()[0].outcome, CallerOutcome::kNoSuchJob);
}

}  // namespace
}  // namespace currantpost::scheduler
