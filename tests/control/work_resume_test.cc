#include <gtest/gtest.h>

#include "fake_world.h"

/// A stopped task resumes once, from its checkpoint, also if another entry has taken over its rack.

namespace currantpost {
namespace {

const EntryId kFirst("e00");
const EntryId kSecond("e01");
const JobId kJob("review");
const RackId kRack("rack0");

WorldShape Shape(int32_t workers) {
  return WorldShape{.data_centres = 1,
                    .entries = 2,
                    .racks = 1,
                    .workers = workers,
                    .capacity = {.millicores = 8'000, .memory_mib = 16'000}};
}

JobSpec Review() {
  return JobSpec{.job = kJob,
                 .team = TeamId("permits"),
                 .kind = "sediment",
                 .declared = Resources{.millicores = 1'000, .memory_mib = 1'000},
                 .task_count = 1,
                 .run_time = Millis(60'000)};
}

EntryId OwnerOf(const FakeWorld& world) {
  for (const EntryId& entry : world.Entries()) {
    if (world.IsUp(entry) && world.StateOf(entry).work.owned.contains(kRack)) return entry;
  }

  return EntryId();
}

std::vector<RunRecord> RunsOf(FakeWorld& world) {
  std::vector<RunRecord> runs;

  for (const auto& [id, worker] : world.Workers()) {
    runs.insert(runs.end(), worker.Runs().begin(), worker.Runs().end());
  }

  std::ranges::sort(runs, {}, &RunRecord::started_at);
  return runs;
}

/// Makes a worker execute an order under its current epoch. The first call, under epoch 0, has
/// no effect: its reply contains the current epoch.
void ExecuteOrder(FakeWorld& world, FakeWorker& worker, const WorkerOrder& order) {
  WorkerCall call{.incarnation = worker.Vm().incarnation, .epoch = 0, .order = order};
  call.epoch = worker.ExecuteOrder(call, world.Now()).table.epoch;
  worker.ExecuteOrder(call, world.Now());
}

/// Starts the only task, then checkpoints and stops it by orders that its owner did not send.
void StopAfterCheckpoint(FakeWorld& world) {
  world.Run(Millis(10'000));
  world.Submit(kFirst, SubmitJob{Review()});
  world.Run(Millis(5'000));

  const RunRecord run = RunsOf(world).at(0);
  FakeWorker& worker = world.Workers().at(run.worker);
  ExecuteOrder(world, worker, CheckpointTask{run.task, run.attempt});
  ExecuteOrder(world, worker, StopTask{run.task, run.attempt});
}

class ResumeOnce : public testing::TestWithParam<int> {};

TEST_P(ResumeOnce, WhenTheOwnerDiesAfterTheStop) {
  FakeWorld world(1, Shape(2));
  StopAfterCheckpoint(world);
  world.Run(Millis(GetParam()));

  world.Kill(OwnerOf(world));
  world.Run(Millis(90'000));

  const std::vector<RunRecord> runs = RunsOf(world);
  ASSERT_EQ(runs.size(), 2U);
  EXPECT_EQ(runs[1].attempt, 2);
  EXPECT_GT(runs[1].resumed_from, Millis(3'000));
  EXPECT_EQ(world.CompletedTasks(DataCentreId("dc0"), kJob).size(), 1U);
  EXPECT_TRUE(world.Violations().empty());
}

INSTANTIATE_TEST_SUITE_P(KilledAfterMillis, ResumeOnce,
                         testing::Values(100, 600, 1'100, 1'400, 1'700, 2'000, 2'300, 3'000));

TEST(ResumeOnceAlone, OnTheOnlyWorker) {
  FakeWorld world(1, Shape(1));
  StopAfterCheckpoint(world);

  world.Run(Millis(90'000));

  const std::vector<RunRecord> runs = RunsOf(world);
  ASSERT_EQ(runs.size(), 2U);
  EXPECT_EQ(runs[1].attempt, 2);
  EXPECT_GT(runs[1].resumed_from, Millis(3'000));
}

TEST(ResumeOnceAlone, RemovesTheRowOfTheStoppedAttemptOnceTheNextRuns) {
  FakeWorld world(1, Shape(2));
  StopAfterCheckpoint(world);

  world.Run(Millis(5'000));

  size_t rows = 0;
  for (const auto& [id, worker] : world.Workers()) rows += worker.Rows().size();
  EXPECT_EQ(RunsOf(world).size(), 2U);
  EXPECT_EQ(rows, 1U);
}

}  // namespace
}  // namespace currantpost
