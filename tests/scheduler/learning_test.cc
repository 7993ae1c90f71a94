#include <gtest/gtest.h>

#include "world.h"

/// State that entries share: the layout of racks, learned interference, and watched records.

namespace currantpost::scheduler {
namespace {

/// Counts the entries that own a cell.
size_t CountOwners(World& world, int32_t entries) {
  size_t owners = 0;

  for (int32_t number = 0; number < entries; ++number) {
    if (!world.state("e" + std::to_string(number)).cells.empty()) ++owners;
  }

  return owners;
}

// Guards against a layout that is fixed too early: racks were assigned to cells by the workers
// known when the first of them registered. 350 workers were in eight cells, and 29 of 37 entries
// had no work.
TEST(Layout, RacksThatFillSlowlyFormCellsOfTheUsualSize) {
  constexpr int32_t kRacks = 4;
  constexpr int32_t kWorkers = 12;
  World world{WorldShape{.entries = 6, .racks = kRacks, .workers_per_rack = 0}};

  // One worker of each rack registers every 100 ms, at the pace of heartbeats.
  for (int32_t number = 0; number < kWorkers; ++number) {
    for (int32_t rack = 0; rack < kRacks; ++rack) world.AddWorkerTo(0, rack, number);
    world.Run(Millis(100));
  }

  world.Run(Millis(4'000));
  std::set<CellId> cells;
  for (const auto& [rack, cell] : world.state("e0").view.layout.cell_of_rack) cells.insert(cell);
  EXPECT_EQ(cells.size(), static_cast<size_t>(kRacks));
  EXPECT_EQ(CountOwners(world, 6), static_cast<size_t>(kRacks));
}

// Guards against watch overload: every entry received all progress of all jobs, and 37 entries were
// 12 seconds behind.
TEST(Watching, AnEntryIsNotSentTheProgressOfJobsThatOthersRun) {
  World world{WorldShape{.entries = 3}};
  world.Run(Millis(3'500));
  world.Submit("e0", MakeJob("a", 6));
  world.Run(Millis(500));
  const std::string owner = world.OwnerOf("a");
  ASSERT_FALSE(owner.empty());
  EXPECT_NE(world.state(owner).view.jobs.at(JobId("a")).progress_revision, 0);

  for (const std::string entry : {"e0", "e1", "e2"}) {
    if (entry == owner) continue;
    EXPECT_EQ(world.state(entry).view.jobs.at(JobId("a")).progress_revision, 0) << entry;
  }
}

// Guards against lost progress: a new owner reads the progress records of jobs while the job
// records may still be in flight. It discarded the progress when these arrived, treated ended tasks
// as pending and let workers discard their ends.
TEST(Watching, ProgressReadBeforeItsJobIsRetained) {
  World world{WorldShape{.entries = 1, .racks = 1}};
  world.Run(Millis(3'500));
  State& state = world.state("e0");
  ASSERT_EQ(state.cells.size(), 1U);
  const CellId cell = state.cells.begin()->first;
  const KvRevision revision = world.store.revision();

  ProgressRecord progress{.phase = JobPhase::kActive};
  progress.tasks.push_back(TaskProgress{.status = TaskStatus::kDone, .run = 1});
  JobRecord record{.queue = "queue", .service = "service", .cell = cell, .spec = MakeJob("a", 2)};
  RecordsPushed pushed;
  pushed.items.push_back(StoreItem{.key = std::string(kProgressPrefix) + cell.Text() + "/a",
                                   .revision = revision + 2,
                                   .value = Encode(progress)});
  pushed.items.push_back(StoreItem{
      .key = std::string(kJobPrefix) + "a", .revision = revision + 1, .value = Encode(record)});
  Effects effects;
  Reduce(state, Event{world.now(), world.now().Count(), pushed}, effects);

  const JobState& job = state.cells.at(cell).jobs.at(JobId("a"));
  EXPECT_EQ(job.progress_revision, revision + 2);
  EXPECT_EQ(job.occurrences[0].steps[0].tasks[0].phase, TaskPhase::kDone);
}

TEST(Watching, TheStateOfAJobIsReadFromTheStoreIfItsOwnerIsGone) {
  World world{WorldShape{.entries = 3}};
  world.Run(Millis(3'500));
  world.Submit("e0", MakeJob("a", 2));
  world.Run(Millis(2'000));
  const std::string owner = world.OwnerOf("a");
  const std::string other = owner == "e0" ? "e1" : "e0";
  world.Kill(owner);
  world.RequestStatus(other, "a");
  world.Run(Millis(500));

  ASSERT_FALSE(world.answers["a"].empty());
  EXPECT_EQ(world.answers["a"].back().outcome, CallerOutcome::kPhase);
  EXPECT_EQ(world.answers["a"].back().phase, JobPhase::kCompleted);
}

TEST(Learning, MeasurementsOfOneEntryReachAllEntries) {
  World world{WorldShape{.entries = 3}};
  world.Run(Millis(3'500));
  const std::vector<KindLoad> beside = {{.kind = "fills", .load = 0.3}};

  for (int report = 0; report < 40; ++report) {
    world.state("e2").interference.Observe(
        {.service_kind = "serves", .batch = beside, .slowdown = 1.6});
  }

  const double before = world.state("e1").interference.AddedSlowdown("serves", "fills", 1.0);
  world.Run(Millis(8'000));
  const double learned = world.state("e2").interference.AddedSlowdown("serves", "fills", 1.0);
  EXPECT_GT(learned, before * 2);
  EXPECT_NEAR(world.state("e0").interference.AddedSlowdown("serves", "fills", 1.0), learned, 0.3);
  EXPECT_NEAR(world.state("e1").interference.AddedSlowdown("serves", "fills", 1.0), learned, 0.3);

  // A restarted entry reads the learned values too.
  world.Kill("e1");
  world.Start("e1");
  world.Run(Millis(2'000));
  EXPECT_NEAR(world.state("e1").interference.AddedSlowdown("serves", "fills", 1.0), learned, 0.3);
}

}  // namespace
}  // namespace currantpost::scheduler
