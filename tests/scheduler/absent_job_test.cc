#include <gtest/gtest.h>

#include "currantpost/scheduler/records.h"
#include "lone_entry.h"
#include "world.h"

/// Requests for the state of a job that the store does not have yet.

namespace currantpost::scheduler {
namespace {

// Guards against "there is no such job" for a job that was accepted while the store was asked.
TEST(AbsentJob, IsNotReportedIfTheJobWasAcceptedDuringTheRead) {
  LoneEntry entry;
  entry.Handle(CallerRequested{1, Millis(3'000), JobStatusRequested{JobId("a")}});
  const RequestId read = entry.LatestCall<ReadRecord>([](const ReadRecord&) { return true; });
  const JobRecord record{.cell = CellId("dc0/0"), .spec = MakeJob("a", 1)};
  entry.Push(
      StoreItem{.key = std::string(kJobPrefix) + "a", .revision = 5, .value = Encode(record)});
  entry.Answer(read, {.status = StoreStatus::kNotFound});

  for (const AnswerCaller& answer : entry.Answers()) {
    EXPECT_NE(answer.outcome, CallerOutcome::kNoSuchJob);
  }
}

// Guards against the same while the entry that is asked still writes the job.
TEST(AbsentJob, IsNotReportedWhileTheJobIsBeingWritten) {
  World world(WorldShape{.entries = 3});
  world.Run(Millis(5'000));
  world.DelayWrites("e0", std::string(kJobPrefix) + "a", Millis(6'000));
  world.Submit("e0", MakeJob("a", 1));
  world.Run(Millis(100));
  world.RequestStatus("e0", "a");
  world.Run(Millis(100));

  ASSERT_EQ(world.answers["a"].size(), 1U);
  EXPECT_EQ(world.answers["a"].front().outcome, CallerOutcome::kUnavailable);
}

TEST(AbsentJob, IsReportedOtherwise) {
  World world(WorldShape{.entries = 3});
  world.Run(Millis(5'000));
  world.RequestStatus("e0", "a");
  world.Run(Millis(100));

  ASSERT_EQ(world.answers["a"].size(), 1U);
  EXPECT_EQ(world.answers["a"].front().outcome, CallerOutcome::kNoSuchJob);
}

}  // namespace
}  // namespace currantpost::scheduler
