#include <gtest/gtest.h>

#include "work_world.h"

namespace currantpost {
namespace {

constexpr Millis kSettle = Millis(20'000);

bool Ended(const WorkWorld& world, RequestId command, ErrorCode code) {
  const CommandReply* answer = world.Answer(command);
  if (answer == nullptr) return false;

  return code == ErrorCode::kOk ? !answer->error.code : answer->error.code == code;
}

TEST(Work, RunsAJobToItsEnd) {
  WorkWorld world(3, 2, 4, 1);
  world.Run(kSettle);
  const RequestId command = world.Send(0, SubmitJob{WorkJob("menu", 100, Millis(3'000))});

  world.Run(Millis(60'000));

  EXPECT_TRUE(Ended(world, command, ErrorCode::kOk));
  EXPECT_EQ(world.Completed(JobId("menu")).size(), 100U);
  EXPECT_EQ(world.starts, 100);
  EXPECT_TRUE(world.violations.empty());
}

TEST(Work, GivesEachRackOneOwner) {
  WorkWorld world(3, 6, 1, 1);

  world.Run(kSettle);

  for (int rack = 0; rack < 6; ++rack) {
    EXPECT_EQ(world.Owners(RackId("rack-" + std::to_string(rack))), 1);
  }
}

TEST(Work, RefusesAJobThatFitsNoVm) {
  WorkWorld world(1, 1, 2, 1);
  world.Run(kSettle);
  JobSpec spec = WorkJob("huge", 1, Millis(1'000));
  spec.declared.memory_mib = 1'000'000;

  const RequestId command = world.Send(0, SubmitJob{spec});

  EXPECT_TRUE(Ended(world, command, ErrorCode::kNeverFits));
  EXPECT_FALSE(world.store.Entries().contains("dc/kumamoto/jobs/huge"));
}

TEST(Work, TakesTheSameSubmissionTwice) {
  WorkWorld world(2, 1, 2, 1);
  world.Run(kSettle);
  const RequestId first = world.Send(0, SubmitJob{WorkJob("menu", 4, Millis(1'000))});
  const RequestId second = world.Send(1, SubmitJob{WorkJob("menu", 4, Millis(1'000))});
  const RequestId other = world.Send(1, SubmitJob{WorkJob("menu", 5, Millis(1'000))});

  world.Run(kSettle);

  EXPECT_TRUE(Ended(world, first, ErrorCode::kOk));
  EXPECT_TRUE(Ended(world, second, ErrorCode::kOk));
  EXPECT_TRUE(Ended(world, other, ErrorCode::kAlreadyExists));
  EXPECT_EQ(world.starts, 4);
}

TEST(Work, RefusesASubmissionWhileTheStoreIsDown) {
  WorkWorld world(1, 1, 2, 1);
  world.Run(kSettle);
  world.store_up = false;

  const RequestId command = world.Send(0, SubmitJob{WorkJob("menu", 4, Millis(1'000))});
  world.Run(Millis(1'000));

  EXPECT_TRUE(Ended(world, command, ErrorCode::kUnavailable));
}

TEST(Work, SettlesASubmissionWhoseAnswerWasLost) {
  WorkWorld world(1, 1, 2, 1);
  world.Run(kSettle);
  world.faults.lost_answers = 1.0;
  const RequestId command = world.Send(0, SubmitJob{WorkJob("menu", 4, Millis(1'000))});
  world.faults.lost_answers = 0.0;

  world.Run(kSettle);

  EXPECT_TRUE(Ended(world, command, ErrorCode::kOk));
  EXPECT_EQ(world.Completed(JobId("menu")).size(), 4U);
  EXPECT_EQ(world.starts, 4);
}

TEST(Work, SaysThatAnOutcomeIsUnknown) {
  WorkWorld world(1, 1, 2, 1);
  world.Run(kSettle);
  world.faults.lost_answers = 1.0;

  const RequestId command = world.Send(0, SubmitJob{WorkJob("menu", 4, Millis(1'000))});
  world.Run(kSettle);

  EXPECT_TRUE(Ended(world, command, ErrorCode::kOutcomeUnknown));
}

TEST(Work, CancelsTensOfThousandsOfWaitingTasks) {
  WorkWorld world(1, 1, 2, 1);
  world.Run(kSettle);
  world.Send(0, SubmitJob{WorkJob("review", 50'000, Millis(600'000))});
  world.Run(Millis(5'000));
  EXPECT_GT(world.Running(), 0U);

  const RequestId command = world.Send(0, CancelJob{JobId("review")});
  world.Run(Millis(10'000));

  EXPECT_TRUE(Ended(world, command, ErrorCode::kOk));
  EXPECT_EQ(world.Running(), 0U);
  EXPECT_LT(world.starts, 20);
}

TEST(Work, KeepsBatchWithinTheShareOfThePreset) {
  WorkWorld world(1, 1, 1, 1);
  world.Run(kSettle);

  world.Send(0, SubmitJob{WorkJob("review", 50, Millis(600'000))});
  world.Run(Millis(10'000));

  // 70% of 8 cores, by whole cores.
  EXPECT_EQ(world.Running(), 5U);
}

TEST(Work, GoesOnWhileTheStoreIsDown) {
  WorkWorld world(2, 1, 4, 1);
  world.Run(kSettle);
  world.Send(0, SubmitJob{WorkJob("menu", 60, Millis(5'000))});
  world.Run(Millis(2'000));
  world.store_up = false;

  world.Run(Millis(120'000));
  EXPECT_EQ(world.starts, 60);

  world.store_up = true;
  world.Run(kSettle);
  EXPECT_EQ(world.Completed(JobId("menu")).size(), 60U);
  EXPECT_EQ(world.starts, 60);
  EXPECT_TRUE(world.violations.empty());
}

TEST(Work, HandsRacksOverOnAPlannedStop) {
  WorkWorld world(2, 4, 2, 1);
  world.Run(kSettle);
  State& leaving = *world.entries.at(EntryId("entry-0")).state;
  EXPECT_FALSE(leaving.work.owned.empty());

  leaving.shutdown.requested = true;
  world.Run(Millis(3'000));

  EXPECT_TRUE(leaving.work.owned.empty());
  for (int rack = 0; rack < 4; ++rack) {
    EXPECT_EQ(world.Owners(RackId("rack-" + std::to_string(rack))), 1);
  }
}

TEST(Work, RestartsTheTasksOfAReplacedWorker) {
  WorkWorld world(1, 1, 3, 1);
  world.Run(kSettle);
  world.Send(0, SubmitJob{WorkJob("menu", 30, Millis(5'000))});
  world.Run(Millis(2'000));

  world.workers.at(VmId("vm-1")).Restart();
  world.Run(Millis(60'000));

  EXPECT_EQ(world.Completed(JobId("menu")).size(), 30U);
  EXPECT_TRUE(world.violations.empty());
}

TEST(Work, RestartsTheTasksOfASilentWorkerOnlyAfterTheirLeases) {
  WorkWorld world(1, 1, 3, 1);
  world.Run(kSettle);
  world.Send(0, SubmitJob{WorkJob("menu", 15, Millis(60'000))});
  world.Run(Millis(5'000));
  const int64_t started = world.starts;

  world.workers.at(VmId("vm-1")).cut_off_from.insert(EntryId("entry-0"));
  world.Run(Millis(9'000));
  EXPECT_EQ(world.starts, started);

  world.Run(Millis(180'000));
  EXPECT_EQ(world.Completed(JobId("menu")).size(), 15U);
  EXPECT_TRUE(world.violations.empty());
}

TEST(Work, GivesATaskUpThatKeepsFailing) {
  WorkWorld world(1, 1, 1, 1);
  world.workers.at(VmId("vm-1")).fails_everything = true;
  world.Run(kSettle);
  world.Send(0, SubmitJob{WorkJob("menu", 2, Millis(1'000))});

  world.Run(Millis(120'000));

  EXPECT_EQ(world.GivenUp(JobId("menu")).size(), 2U);
  EXPECT_EQ(world.starts, 10);
}

}  // namespace
}  // namespace currantpost
