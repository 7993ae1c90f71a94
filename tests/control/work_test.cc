#include <gtest/gtest.h>

#include "fake_world.h"

namespace currantpost {
namespace {

constexpr Millis kSettle = Millis(10'000);
const EntryId kFirst("e00");
const EntryId kSecond("e01");
const VmId kWorker("vm00");
const DataCentreId kDataCentre("dc0");
const JobId kJob("menu");

WorldShape OneDataCentre(int32_t entries, int32_t racks, int32_t workers) {
  return WorldShape{.data_centres = 1,
                    .entries = entries,
                    .racks = racks,
                    .workers = workers,
                    .capacity = {.millicores = 8'000, .memory_mib = 16'000}};
}

JobSpec SmallJob(int32_t tasks, Millis run_time) {
  return JobSpec{.job = kJob,
                 .team = TeamId("pantry"),
                 .kind = "order",
                 .declared = Resources{.millicores = 1'000, .memory_mib = 1'000},
                 .task_count = tasks,
                 .run_time = run_time};
}

bool EndedWith(const FakeWorld& world, size_t command, ErrorCode code) {
  const auto& reply = world.Commands().at(command).reply;
  if (!reply) return false;

  return code == ErrorCode::kOk ? !reply->error.code : reply->error.code == code;
}

size_t Starts(FakeWorld& world) {
  size_t starts = 0;
  for (const auto& [id, worker] : world.Workers()) starts += worker.Runs().size();
  return starts;
}

size_t Running(FakeWorld& world) {
  size_t running = 0;

  for (const auto& [id, worker] : world.Workers()) {
    for (const RunRecord& run : worker.Runs()) running += run.ended_at == Millis(0) ? 1 : 0;
  }

  return running;
}

int64_t OwnersOf(const FakeWorld& world, const RackId& rack) {
  return std::ranges::count_if(world.Entries(), [&](const EntryId& entry) {
    return world.IsUp(entry) && world.StateOf(entry).work.owned.contains(rack);
  });
}

size_t GivenUp(FakeWorld& world) {
  size_t given_up = 0;

  for (const auto& [key, value] : world.Kv().Values("parts/dc0/")) {
    given_up += DecodePartRecord(value)->failed.size();
  }

  return given_up;
}

TEST(Work, RunsEachTaskOfAJobOnce) {
  FakeWorld world(1, OneDataCentre(3, 2, 4));
  world.Run(kSettle);
  const size_t command = world.Submit(kFirst, SubmitJob{SmallJob(100, Millis(3'000))});

  world.Run(Millis(40'000));

  EXPECT_TRUE(EndedWith(world, command, ErrorCode::kOk));
  EXPECT_EQ(world.CompletedTasks(kDataCentre, kJob).size(), 100U);
  EXPECT_EQ(Starts(world), 100U);
  EXPECT_TRUE(world.Violations().empty());
}

TEST(Work, GivesEachRackOneOwner) {
  FakeWorld world(1, OneDataCentre(3, 6, 1));

  world.Run(Millis(30'000));

  for (int rack = 0; rack < 6; ++rack) {
    EXPECT_EQ(OwnersOf(world, RackId("rack" + std::to_string(rack))), 1);
  }
}

TEST(Work, RefusesAJobThatFitsNoVm) {
  FakeWorld world(1, OneDataCentre(1, 1, 2));
  world.Run(kSettle);
  JobSpec spec = SmallJob(1, Millis(1'000));
  spec.declared.memory_mib = 1'000'000;

  const size_t command = world.Submit(kFirst, SubmitJob{spec});

  EXPECT_TRUE(EndedWith(world, command, ErrorCode::kNeverFits));
  EXPECT_FALSE(world.Kv().Value("dc/dc0/jobs/menu"));
}

TEST(Work, RefusesAJobAboveTheQuotaOfItsTeam) {
  FakeWorld world(1, OneDataCentre(1, 1, 2));
  world.Run(kSettle);
  world.Submit(kFirst, SetQuota{.team = TeamId("pantry"), .limit = {.millicores = 500}});
  world.Run(kSettle);

  const size_t command = world.Submit(kFirst, SubmitJob{SmallJob(1, Millis(1'000))});

  EXPECT_TRUE(EndedWith(world, command, ErrorCode::kNeverFits));
}

TEST(Work, TakesTheSameSubmissionTwice) {
  FakeWorld world(1, OneDataCentre(2, 1, 2));
  world.Run(kSettle);
  const size_t first = world.Submit(kFirst, SubmitJob{SmallJob(4, Millis(1'000))});
  const size_t second = world.Submit(kSecond, SubmitJob{SmallJob(4, Millis(1'000))});
  const size_t other = world.Submit(kSecond, SubmitJob{SmallJob(5, Millis(1'000))});

  world.Run(kSettle);

  const bool first_wins = EndedWith(world, first, ErrorCode::kOk);
  EXPECT_EQ(first_wins, EndedWith(world, second, ErrorCode::kOk));
  EXPECT_EQ(first_wins, EndedWith(world, other, ErrorCode::kAlreadyExists));
  EXPECT_EQ(Starts(world), first_wins ? 4U : 5U);
}

TEST(Work, RefusesASubmissionWhileTheStoreIsDown) {
  FakeWorld world(1, OneDataCentre(1, 1, 2));
  world.Run(kSettle);
  world.SetKvDown(true);

  const size_t command = world.Submit(kFirst, SubmitJob{SmallJob(4, Millis(1'000))});
  world.Run(Millis(1'000));

  EXPECT_TRUE(EndedWith(world, command, ErrorCode::kUnavailable));
}

TEST(Work, SettlesASubmissionWhoseAnswerWasLost) {
  FakeWorld world(1, OneDataCentre(1, 1, 2));
  world.Run(kSettle);
  world.Cut("kv", "e00");
  const size_t command = world.Submit(kFirst, SubmitJob{SmallJob(4, Millis(1'000))});
  world.Run(Millis(1'000));
  world.Mend();

  world.Run(kSettle);

  EXPECT_TRUE(EndedWith(world, command, ErrorCode::kOk));
  EXPECT_EQ(world.CompletedTasks(kDataCentre, kJob).size(), 4U);
  EXPECT_EQ(Starts(world), 4U);
}

TEST(Work, SaysThatAnOutcomeIsUnknown) {
  FakeWorld world(1, OneDataCentre(1, 1, 2));
  world.Run(kSettle);
  world.Cut("kv", "e00");

  const size_t command = world.Submit(kFirst, SubmitJob{SmallJob(4, Millis(1'000))});
  world.Run(Millis(15'000));

  EXPECT_TRUE(EndedWith(world, command, ErrorCode::kOutcomeUnknown));
}

TEST(Work, CancelsTensOfThousandsOfWaitingTasks) {
  FakeWorld world(1, OneDataCentre(1, 1, 2));
  world.Run(kSettle);
  world.Submit(kFirst, SubmitJob{SmallJob(50'000, Millis(600'000))});
  world.Run(Millis(5'000));
  EXPECT_GT(Running(world), 0U);

  const size_t command = world.Submit(kFirst, CancelJob{kJob});
  world.Run(Millis(10'000));

  EXPECT_TRUE(EndedWith(world, command, ErrorCode::kOk));
  EXPECT_EQ(Running(world), 0U);
  EXPECT_LT(Starts(world), 20U);
}

TEST(Work, KeepsBatchWithinTheShareOfThePreset) {
  FakeWorld world(1, OneDataCentre(1, 1, 1));
  world.Run(kSettle);

  world.Submit(kFirst, SubmitJob{SmallJob(50, Millis(600'000))});
  world.Run(Millis(10'000));

  // 70% of 8 cores, by whole cores.
  EXPECT_EQ(Running(world), 5U);
}

TEST(Work, StartsUrgentTasksFirst) {
  FakeWorld world(1, OneDataCentre(1, 1, 1));
  world.Run(kSettle);
  world.Submit(kFirst, SubmitJob{SmallJob(50, Millis(2'000))});
  world.Run(Millis(1'000));
  JobSpec urgent = SmallJob(5, Millis(2'000));
  urgent.job = JobId("board");
  urgent.priority = Priority::kUrgent;

  world.Submit(kFirst, SubmitJob{urgent});
  world.Run(Millis(6'000));

  EXPECT_EQ(world.CompletedTasks(kDataCentre, urgent.job).size(), 5U);
}

TEST(Work, GoesOnWhileTheStoreIsDown) {
  FakeWorld world(1, OneDataCentre(2, 1, 4));
  world.Run(kSettle);
  world.Submit(kFirst, SubmitJob{SmallJob(60, Millis(5'000))});
  world.Run(Millis(2'000));
  world.SetKvDown(true);

  world.Run(Millis(60'000));
  EXPECT_EQ(Starts(world), 60U);

  world.SetKvDown(false);
  world.Run(kSettle);
  EXPECT_EQ(world.CompletedTasks(kDataCentre, kJob).size(), 60U);
  EXPECT_EQ(Starts(world), 60U);
  EXPECT_TRUE(world.Violations().empty());
}

TEST(Work, HandsRacksOverOnAPlannedStop) {
  FakeWorld world(1, OneDataCentre(2, 4, 2));
  world.Run(Millis(30'000));
  ASSERT_FALSE(world.StateOf(kFirst).work.owned.empty());

  world.Shutdown(kFirst);
  world.Run(Millis(5'000));

  EXPECT_TRUE(world.StateOf(kFirst).work.owned.empty());
  for (int rack = 0; rack < 4; ++rack) {
    EXPECT_EQ(OwnersOf(world, RackId("rack" + std::to_string(rack))), 1);
  }
}

TEST(Work, TakesTheRacksOfADeadEntryWithTheirTasks) {
  FakeWorld world(1, OneDataCentre(2, 4, 2));
  world.Run(Millis(30'000));
  world.Submit(kSecond, SubmitJob{SmallJob(30, Millis(20'000))});
  world.Run(Millis(3'000));
  ASSERT_EQ(Starts(world), 30U);

  world.Kill(kFirst);
  world.Run(Millis(60'000));

  for (int rack = 0; rack < 4; ++rack) {
    EXPECT_EQ(OwnersOf(world, RackId("rack" + std::to_string(rack))), 1);
  }
  EXPECT_EQ(world.CompletedTasks(kDataCentre, kJob).size(), 30U);
  // No lease lapsed meanwhile.
  EXPECT_EQ(Starts(world), 30U);
  EXPECT_TRUE(world.Violations().empty());
}

TEST(Work, RestartsTheTasksOfAReplacedWorker) {
  FakeWorld world(1, OneDataCentre(1, 1, 3));
  world.Run(kSettle);
  world.Submit(kFirst, SubmitJob{SmallJob(30, Millis(5'000))});
  world.Run(Millis(2'000));

  world.ReplaceWorker(kWorker);
  world.Run(Millis(60'000));

  EXPECT_EQ(world.CompletedTasks(kDataCentre, kJob).size(), 30U);
  EXPECT_TRUE(world.Violations().empty());
}

TEST(Work, RestartsTheTasksOfASilentWorkerOnlyAfterTheirLeases) {
  FakeWorld world(1, OneDataCentre(1, 1, 3));
  world.Run(kSettle);
  world.Submit(kFirst, SubmitJob{SmallJob(10, Millis(60'000))});
  world.Run(Millis(5'000));
  const size_t started = Starts(world);

  world.Cut("e00", kWorker.Text());
  world.Run(Millis(5'000));
  EXPECT_EQ(Starts(world), started);

  world.Run(Millis(180'000));
  EXPECT_EQ(world.CompletedTasks(kDataCentre, kJob).size(), 10U);
  EXPECT_TRUE(world.Violations().empty());
}

TEST(Work, RestartsNothingOfASilentWorkerWhileTheStoreIsDown) {
  FakeWorld world(1, OneDataCentre(1, 1, 3));
  world.Run(kSettle);
  world.Submit(kFirst, SubmitJob{SmallJob(10, Millis(60'000))});
  world.Run(Millis(5'000));
  const size_t started = Starts(world);

  world.SetKvDown(true);
  world.Cut("e00", kWorker.Text());
  world.Run(Millis(50'000));

  EXPECT_EQ(Starts(world), started);
}

TEST(Work, GivesATaskUpThatKeepsFailing) {
  FakeWorld world(1, OneDataCentre(1, 1, 1));
  world.Workers().at(kWorker).SetFailing(true);
  world.Run(kSettle);
  world.Submit(kFirst, SubmitJob{SmallJob(2, Millis(1'000))});

  world.Run(Millis(60'000));

  EXPECT_EQ(GivenUp(world), 2U);
  EXPECT_EQ(Starts(world), 10U);
}

TEST(Work, ShowsHowFarAJobIs) {
  FakeWorld world(1, OneDataCentre(2, 4, 2));
  world.Run(kSettle);
  world.Submit(kFirst, SubmitJob{SmallJob(20, Millis(1'000))});
  world.Run(kSettle);

  const size_t shown = world.Submit(kSecond, ShowJob{kJob});
  const size_t unknown = world.Submit(kSecond, ShowJob{JobId("none")});
  world.Run(Millis(1'000));

  ASSERT_TRUE(EndedWith(world, shown, ErrorCode::kOk));
  EXPECT_NE(world.Commands()[shown].reply->body.find(R"("completed":20)"), std::string::npos);
  EXPECT_TRUE(EndedWith(world, unknown, ErrorCode::kNotFound));
}

}  // namespace
}  // namespace currantpost
