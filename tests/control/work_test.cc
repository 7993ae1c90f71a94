#include <gtest/gtest.h>

#include "fake_world.h"

namespace currantpost {
namespace {

constexpr Millis kSettleTime = Millis(10'000);
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

size_t CountStarts(FakeWorld& world) {
  size_t starts = 0;
  for (const auto& [id, worker] : world.Workers()) starts += worker.Runs().size();
  return starts;
}

size_t CountRunning(FakeWorld& world) {
  size_t running = 0;

  for (const auto& [id, worker] : world.Workers()) {
    for (const RunRecord& run : worker.Runs()) running += run.ended_at == Millis(0) ? 1 : 0;
  }

  return running;
}

int64_t CountOwners(const FakeWorld& world, const RackId& rack) {
  return std::ranges::count_if(world.Entries(), [&](const EntryId& entry) {
    return world.IsUp(entry) && world.StateOf(entry).work.owned.contains(rack);
  });
}

size_t CountExhausted(FakeWorld& world) {
  size_t exhausted = 0;

  for (const auto& [key, value] : world.Kv().Values("parts/dc0/")) {
    exhausted += DecodePartRecord(value)->failed.size();
  }

  return exhausted;
}

TEST(Work, RunsEachTaskOfAJobOnce) {
  FakeWorld world(1, OneDataCentre(3, 2, 4));
  world.Run(kSettleTime);
  const size_t command = world.Submit(kFirst, SubmitJob{SmallJob(100, Millis(3'000))});

  world.Run(Millis(40'000));

  EXPECT_TRUE(EndedWith(world, command, ErrorCode::kOk));
  EXPECT_EQ(world.CompletedTasks(kDataCentre, kJob).size(), 100U);
  EXPECT_EQ(CountStarts(world), 100U);
  EXPECT_TRUE(world.Violations().empty());
}

TEST(Work, GivesEachRackOneOwner) {
  FakeWorld world(1, OneDataCentre(3, 6, 1));

  world.Run(Millis(30'000));

  for (int rack = 0; rack < 6; ++rack) {
    EXPECT_EQ(CountOwners(world, RackId("rack" + std::to_string(rack))), 1);
  }
}

TEST(Work, RefusesAJobThatFitsNoVm) {
  FakeWorld world(1, OneDataCentre(1, 1, 2));
  world.Run(kSettleTime);
  JobSpec spec = SmallJob(1, Millis(1'000));
  spec.declared.memory_mib = 1'000'000;

  const size_t command = world.Submit(kFirst, SubmitJob{spec});

  EXPECT_TRUE(EndedWith(world, command, ErrorCode::kNeverFits));
  EXPECT_FALSE(world.Kv().Value("dc/dc0/jobs/menu"));
}

TEST(Work, RefusesAJobAboveTheQuotaOfItsTeam) {
  FakeWorld world(1, OneDataCentre(1, 1, 2));
  world.Run(kSettleTime);
  world.Submit(kFirst, SetQuota{.team = TeamId("pantry"), .limit = {.millicores = 500}});
  world.Run(kSettleTime);

  const size_t command = world.Submit(kFirst, SubmitJob{SmallJob(1, Millis(1'000))});

  EXPECT_TRUE(EndedWith(world, command, ErrorCode::kNeverFits));
}

TEST(Work, AcceptsTheSameSubmissionTwice) {
  FakeWorld world(1, OneDataCentre(2, 1, 2));
  world.Run(kSettleTime);
  const size_t first = world.Submit(kFirst, SubmitJob{SmallJob(4, Millis(1'000))});
  const size_t second = world.Submit(kSecond, SubmitJob{SmallJob(4, Millis(1'000))});
  const size_t other = world.Submit(kSecond, SubmitJob{SmallJob(5, Millis(1'000))});

  world.Run(kSettleTime);

  const bool first_wins = EndedWith(world, first, ErrorCode::kOk);
  EXPECT_EQ(first_wins, EndedWith(world, second, ErrorCode::kOk));
  EXPECT_EQ(first_wins, EndedWith(world, other, ErrorCode::kAlreadyExists));
  EXPECT_EQ(CountStarts(world), first_wins ? 4U : 5U);
}

TEST(Work, RefusesASubmissionWhileTheStoreIsDown) {
  FakeWorld world(1, OneDataCentre(1, 1, 2));
  world.Run(kSettleTime);
  world.SetKvDown(true);

  const size_t command = world.Submit(kFirst, SubmitJob{SmallJob(4, Millis(1'000))});
  world.Run(Millis(1'000));

  EXPECT_TRUE(EndedWith(world, command, ErrorCode::kUnavailable));
}

TEST(Work, ResolvesASubmissionWhoseReplyWasLost) {
  FakeWorld world(1, OneDataCentre(1, 1, 2));
  world.Run(kSettleTime);
  world.CutLink("kv", "e00");
  const size_t command = world.Submit(kFirst, SubmitJob{SmallJob(4, Millis(1'000))});
  world.Run(Millis(1'000));
  world.RestoreLinks();

  world.Run(kSettleTime);

  EXPECT_TRUE(EndedWith(world, command, ErrorCode::kOk));
  EXPECT_EQ(world.CompletedTasks(kDataCentre, kJob).size(), 4U);
  EXPECT_EQ(CountStarts(world), 4U);
}

TEST(Work, ReportsAnUnknownOutcome) {
  FakeWorld world(1, OneDataCentre(1, 1, 2));
  world.Run(kSettleTime);
  world.CutLink("kv", "e00");

  const size_t command = world.Submit(kFirst, SubmitJob{SmallJob(4, Millis(1'000))});
  world.Run(Millis(15'000));

  EXPECT_TRUE(EndedWith(world, command, ErrorCode::kOutcomeUnknown));
}

TEST(Work, CancelsTensOfThousandsOfPendingTasks) {
  FakeWorld world(1, OneDataCentre(1, 1, 2));
  world.Run(kSettleTime);
  world.Submit(kFirst, SubmitJob{SmallJob(50'000, Millis(600'000))});
  world.Run(Millis(5'000));
  EXPECT_GT(CountRunning(world), 0U);

  const size_t command = world.Submit(kFirst, CancelJob{kJob});
  world.Run(Millis(10'000));

  EXPECT_TRUE(EndedWith(world, command, ErrorCode::kOk));
  EXPECT_EQ(CountRunning(world), 0U);
  EXPECT_LT(CountStarts(world), 20U);
}

TEST(Work, KeepsBatchWithinTheShareOfThePreset) {
  FakeWorld world(1, OneDataCentre(1, 1, 1));
  world.Run(kSettleTime);

  world.Submit(kFirst, SubmitJob{SmallJob(50, Millis(600'000))});
  world.Run(Millis(10'000));

  // 70% of 8 cores, rounded down to whole cores.
  EXPECT_EQ(CountRunning(world), 5U);
}

TEST(Work, StartsUrgentTasksFirst) {
  FakeWorld world(1, OneDataCentre(1, 1, 1));
  world.Run(kSettleTime);
  world.Submit(kFirst, SubmitJob{SmallJob(50, Millis(2'000))});
  world.Run(Millis(1'000));
  JobSpec urgent = SmallJob(5, Millis(2'000));
  urgent.job = JobId("board");
  urgent.priority = Priority::kUrgent;

  world.Submit(kFirst, SubmitJob{urgent});
  world.Run(Millis(6'000));

  EXPECT_EQ(world.CompletedTasks(kDataCentre, urgent.job).size(), 5U);
}

TEST(Work, ContinuesWhileTheStoreIsDown) {
  FakeWorld world(1, OneDataCentre(2, 1, 4));
  world.Run(kSettleTime);
  world.Submit(kFirst, SubmitJob{SmallJob(60, Millis(5'000))});
  world.Run(Millis(2'000));
  world.SetKvDown(true);

  world.Run(Millis(60'000));
  EXPECT_EQ(CountStarts(world), 60U);

  world.SetKvDown(false);
  world.Run(kSettleTime);
  EXPECT_EQ(world.CompletedTasks(kDataCentre, kJob).size(), 60U);
  EXPECT_EQ(CountStarts(world), 60U);
  EXPECT_TRUE(world.Violations().empty());
}

TEST(Work, HandsRacksOverOnAPlannedShutdown) {
  FakeWorld world(1, OneDataCentre(2, 4, 2));
  world.Run(Millis(30'000));
  ASSERT_FALSE(world.StateOf(kFirst).work.owned.empty());

  world.Shutdown(kFirst);
  world.Run(Millis(5'000));

  EXPECT_TRUE(world.StateOf(kFirst).work.owned.empty());
  for (int rack = 0; rack < 4; ++rack) {
    EXPECT_EQ(CountOwners(world, RackId("rack" + std::to_string(rack))), 1);
  }
}

TEST(Work, TakesOverTheRacksOfADeadEntryWithTheirTasks) {
  FakeWorld world(1, OneDataCentre(2, 4, 2));
  world.Run(Millis(30'000));
  world.Submit(kSecond, SubmitJob{SmallJob(30, Millis(20'000))});
  world.Run(Millis(3'000));
  ASSERT_EQ(CountStarts(world), 30U);

  world.Kill(kFirst);
  world.Run(Millis(60'000));

  for (int rack = 0; rack < 4; ++rack) {
    EXPECT_EQ(CountOwners(world, RackId("rack" + std::to_string(rack))), 1);
  }
  EXPECT_EQ(world.CompletedTasks(kDataCentre, kJob).size(), 30U);
  // No lease expired meanwhile.
  EXPECT_EQ(CountStarts(world), 30U);
  EXPECT_TRUE(world.Violations().empty());
}

TEST(Work, RestartsTheTasksOfAReplacedWorker) {
  FakeWorld world(1, OneDataCentre(1, 1, 3));
  world.Run(kSettleTime);
  world.Submit(kFirst, SubmitJob{SmallJob(30, Millis(5'000))});
  world.Run(Millis(2'000));

  world.ReplaceWorker(kWorker);
  world.Run(Millis(60'000));

  EXPECT_EQ(world.CompletedTasks(kDataCentre, kJob).size(), 30U);
  EXPECT_TRUE(world.Violations().empty());
}

TEST(Work, RestartsTheTasksOfASilentWorkerOnlyAfterTheirLeases) {
  FakeWorld world(1, OneDataCentre(1, 1, 3));
  world.Run(kSettleTime);
  world.Submit(kFirst, SubmitJob{SmallJob(10, Millis(60'000))});
  world.Run(Millis(5'000));
  const size_t started = CountStarts(world);

  world.CutLink("e00", kWorker.Text());
  world.Run(Millis(5'000));
  EXPECT_EQ(CountStarts(world), started);

  world.Run(Millis(180'000));
  EXPECT_EQ(world.CompletedTasks(kDataCentre, kJob).size(), 10U);
  EXPECT_TRUE(world.Violations().empty());
}

TEST(Work, RestartsNothingOfASilentWorkerWhileTheStoreIsDown) {
  FakeWorld world(1, OneDataCentre(1, 1, 3));
  world.Run(kSettleTime);
  world.Submit(kFirst, SubmitJob{SmallJob(10, Millis(60'000))});
  world.Run(Millis(5'000));
  const size_t started = CountStarts(world);

  world.SetKvDown(true);
  world.CutLink("e00", kWorker.Text());
  world.Run(Millis(50'000));

  EXPECT_EQ(CountStarts(world), started);
}

TEST(Work, StopsRetryingATaskThatKeepsFailing) {
  FakeWorld world(1, OneDataCentre(1, 1, 1));
  world.Workers().at(kWorker).SetFailing(true);
  world.Run(kSettleTime);
  world.Submit(kFirst, SubmitJob{SmallJob(2, Millis(1'000))});

  world.Run(Millis(60'000));

  EXPECT_EQ(CountExhausted(world), 2U);
  EXPECT_EQ(CountStarts(world), 10U);
}

TEST(Work, ShowsTheProgressOfAJob) {
  FakeWorld world(1, OneDataCentre(2, 4, 2));
  world.Run(kSettleTime);
  world.Submit(kFirst, SubmitJob{SmallJob(20, Millis(1'000))});
  world.Run(kSettleTime);

  const size_t shown = world.Submit(kSecond, ShowJob{kJob});
  const size_t unknown = world.Submit(kSecond, ShowJob{JobId("none")});
  world.Run(Millis(1'000));

  ASSERT_TRUE(EndedWith(world, shown, ErrorCode::kOk));
  EXPECT_NE(world.Commands()[shown].reply->body.find(R"("completed":20)"), std::string::npos);
  EXPECT_TRUE(EndedWith(world, unknown, ErrorCode::kNotFound));
}

}  // namespace
}  // namespace currantpost
