#include <gtest/gtest.h>

#include <algorithm>

#include "world.h"

/// Recovery from failures of workers, entries and the store.

namespace currantpost::scheduler {
namespace {

class FailureRecovery : public testing::Test {
 protected:
  void SetUp() override { world_.Run(Millis(3'500)); }
  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  /// Starts a job of long-running tasks and waits until they run.
  void StartLongRunning(const std::string& id, int32_t tasks) {
    world_.planner = [](const TaskName&) { return RunPlan{.never_ends = true}; };
    JobSpec spec = MakeJob(id, tasks);
    spec.steps[0].is_long_running = true;
    world_.Submit("e0", spec);
    world_.Run(Millis(1'000));
    ASSERT_EQ(world_.WorkersOf(id).size(), static_cast<size_t>(tasks));
  }

  World world_{WorldShape{}};
};

// Guards against leases of a lost worker that never expire: every unanswered poll carried a
// renewal, so the leases never counted as expired and the tasks were never started elsewhere.
TEST_F(FailureRecovery, TasksOfAPermanentlyLostWorkerStartElsewhere) {
  StartLongRunning("a", 2);
  const std::string lost = world_.WorkersOf("a").front();
  world_.CrashWorker(lost);
  world_.Run(Millis(8'000));

  EXPECT_EQ(world_.WorkersOf("a").size(), 2U);
}

// Guards against starts that wait forever for a lost worker because they were not yet sent when it
// was lost.
TEST_F(FailureRecovery, UnsentStartsForALostWorkerGoElsewhere) {
  world_.DropUnresponsiveWorkers();
  world_.Submit("e0", MakeJob("a", 24));
  while (world_.starts.empty()) world_.Run(Millis(5));
  world_.CrashWorker("wr0-0-0");
  world_.Run(Millis(40'000));

  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
}

TEST_F(FailureRecovery, TasksOfARestartedWorkerStartAtOnce) {
  StartLongRunning("a", 2);
  const std::string lost = world_.WorkersOf("a").front();
  world_.CrashWorker(lost);
  world_.Run(Millis(300));
  world_.RestartWorker(lost);
  world_.Run(Millis(1'500));

  EXPECT_EQ(world_.WorkersOf("a").size(), 2U);
}

/// Two workers whose new incarnations the entries detect from the workers' replies, seconds before
/// the registry reports them.
class NewIncarnations : public testing::Test {
 protected:
  void SetUp() override {
    world_.Run(Millis(3'500));
    for (const char* entry : {"e0", "e1", "e2"}) world_.SlowWatches(entry, Millis(2'000));
    world_.Run(Millis(3'000));
  }
  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  void RestartWorkers() {
    for (const std::string& worker : world_.Workers()) world_.RestartWorker(worker);
  }

  World world_{WorldShape{.racks = 1}};
};

// Guards against duplicate runs of tasks whose starts meet a new incarnation of their worker.
TEST_F(NewIncarnations, AStartThatMeetsANewIncarnationRunsOnce) {
  RestartWorkers();
  world_.Submit("e0", MakeJob("a", 4));
  world_.Run(Millis(4'000));

  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
  for (const auto& [name, count] : world_.starts) EXPECT_EQ(count, 1) << name.index;
}

// Guards against lost ends: the poll that detected the new incarnation acknowledged ends up to the
// number of the former incarnation, so the worker discarded ends that the store did not have.
TEST_F(NewIncarnations, EndsAreRetainedUntilTheStoreHasThem) {
  world_.Submit("e0", MakeJob("a", 12));
  world_.Run(Millis(4'000));
  ASSERT_EQ(world_.Phase("a"), JobPhase::kCompleted);
  RestartWorkers();
  // Makes the entries detect the new incarnations.
  world_.Submit("e0", MakeJob("b", 4));
  world_.Run(Millis(5'000));

  world_.Submit("e0", MakeJob("c", 4));
  world_.Run(Millis(200));
  const std::string owner = world_.OwnerOf("c");
  // The next owner sees the loss of this one in time to renew the workers' leases.
  for (const char* entry : {"e0", "e1", "e2"}) world_.SlowWatches(entry, Millis(0));
  world_.Cut(owner, "store");
  world_.Run(Millis(1'500));
  EXPECT_EQ((world_.ends[TaskName{JobId("c"), 0, 0, 3}][RunEnd::kDone]), 1);
  world_.Run(Millis(8'000));

  EXPECT_EQ(world_.Phase("c"), JobPhase::kCompleted);
  for (int32_t index = 0; index < 4; ++index) {
    EXPECT_EQ((world_.starts[TaskName{JobId("c"), 0, 0, index}]), 1) << index;
  }
}

TEST_F(FailureRecovery, TasksOfACutOffWorkerNeverRunTwice) {
  StartLongRunning("a", 2);
  const std::string lost = world_.WorkersOf("a").front();
  for (const char* entry : {"e0", "e1", "e2"}) world_.Cut(entry, lost);
  world_.Run(Millis(8'000));
  EXPECT_EQ(world_.WorkersOf("a").size(), 2U);

  world_.Reconnect();
  world_.Run(Millis(3'000));
  EXPECT_EQ(world_.WorkersOf("a").size(), 2U);
}

TEST_F(FailureRecovery, AnotherEntryTakesOverFromOneThatIsKilled) {
  StartLongRunning("a", 2);
  const int32_t before = world_.starts[TaskName{JobId("a"), 0, 0, 0}];
  world_.Kill(world_.OwnerOf("a"));
  world_.Run(Millis(6'000));

  EXPECT_EQ(world_.WorkersOf("a").size(), 2U);
  EXPECT_EQ((world_.starts[TaskName{JobId("a"), 0, 0, 0}]), before) << "the run must continue";
  EXPECT_FALSE(world_.OwnerOf("a").empty());
}

TEST_F(FailureRecovery, APausedOwnerChangesNothingWhenItResumes) {
  StartLongRunning("a", 3);
  const std::string owner = world_.OwnerOf("a");
  world_.Pause(owner);
  world_.Run(Millis(6'000));
  EXPECT_NE(world_.OwnerOf("a"), owner);

  world_.Resume(owner);
  world_.Run(Millis(5'000));
  EXPECT_EQ(world_.WorkersOf("a").size(), 3U);
}

TEST_F(FailureRecovery, APlannedStopHandsTheCellOverAtOnce) {
  StartLongRunning("a", 2);
  const std::string owner = world_.OwnerOf("a");
  world_.Stop(owner);
  world_.Run(Millis(600));

  EXPECT_FALSE(world_.OwnerOf("a").empty());
  EXPECT_NE(world_.OwnerOf("a"), owner);
  EXPECT_EQ(world_.WorkersOf("a").size(), 2U);
}

// A cell must return to an owner in its own data centre: an owner in another one loses all of the
// cell's tasks when the data centres are disconnected.
TEST(HomeDataCentre, ACellReturnsToItsDataCentre) {
  World world{WorldShape{.entries = 4, .data_centres = 2, .racks = 1}};
  world.Run(Millis(2'500));
  world.planner = [](const TaskName&) { return RunPlan{.never_ends = true}; };
  JobSpec spec = MakeJob("a", 4);
  spec.steps[0].is_long_running = true;
  world.Submit("e0", spec);
  world.Run(Millis(1'000));
  const std::string first = world.OwnerOf("a");
  ASSERT_FALSE(first.empty());
  // Entries with even numbers are in one data centre, the others in the other.
  const bool even = first == "e0" || first == "e2";
  const std::vector<std::string> home =
      even ? std::vector<std::string>{"e0", "e2"} : std::vector<std::string>{"e1", "e3"};

  for (const std::string& entry : home) world.Kill(entry);
  world.Run(Millis(4'000));
  EXPECT_EQ(std::ranges::find(home, world.OwnerOf("a")), home.end());
  EXPECT_EQ(world.WorkersOf("a").size(), 4U);

  for (const std::string& entry : home) world.Start(entry);
  world.Run(Millis(8'000));
  EXPECT_NE(std::ranges::find(home, world.OwnerOf("a")), home.end());
  EXPECT_EQ(world.WorkersOf("a").size(), 4U);
  for (const auto& [name, count] : world.starts) EXPECT_EQ(count, 1) << name.index;
  EXPECT_EQ(world.violations, std::vector<std::string>());
}

/// Returns how many cells each entry owns according to the observer's records.
std::map<std::string, int32_t> CountCellsByOwner(World& world, const std::string& observer) {
  std::map<std::string, int32_t> cells;
  for (const auto& [id, cell] : world.state(observer).view.cells) {
    ++cells[cell.record.owner.Text()];
  }

  return cells;
}

// Guards against a stale orphan time: an entry kept the time at which a cell first had no owner, so
// the second time all entries claimed it at once. The first entry to see it got the cell, from any
// data centre, up to seven at a time.
TEST(Claims, ACellWhoseOwnerDiesStaysInItsDataCentre) {
  World world{WorldShape{.entries = 6, .data_centres = 2, .racks = 1}};
  world.Run(Millis(6'000));
  const CellId cell("dc1/0");
  const std::string key = std::string(kCellPrefix) + cell.Text();
  const std::string owner = world.state("e0").view.cells.at(cell).record.owner.Text();
  world.Kill(owner);
  while (world.store.Value(key)) world.Run(Millis(5));

  // The entries of the cell's data centre, those with odd numbers, learn of it 400 ms later.
  std::vector<std::string> home = {"e1", "e3", "e5"};
  std::erase(home, owner);
  for (const std::string& entry : home) world.Pause(entry);
  world.Run(Millis(400));
  EXPECT_FALSE(world.store.Value(key));
  for (const std::string& entry : home) world.Resume(entry);
  world.Run(Millis(1'000));

  ASSERT_TRUE(world.store.Value(key));
  const std::string successor = DecodeCell(*world.store.Value(key))->owner.Text();
  EXPECT_NE(std::ranges::find(home, successor), home.end()) << successor;
}

TEST(Claims, AnEntryWithManyCellsReleasesSomeToItsPeers) {
  World world{WorldShape{.entries = 3, .racks = 3, .workers_per_rack = 12}};
  world.Run(Millis(5'000));
  ASSERT_EQ(CountCellsByOwner(world, "e0").size(), 3U);

  for (const char* entry : {"e1", "e2"}) world.Kill(entry);
  world.Run(Millis(5'000));
  EXPECT_EQ(CountCellsByOwner(world, "e0")["e0"], 3);

  for (const char* entry : {"e1", "e2"}) world.Start(entry);
  world.Run(Millis(15'000));
  for (const auto& [entry, cells] : CountCellsByOwner(world, "e0")) EXPECT_EQ(cells, 1) << entry;
  EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Guards against a distribution that ignores processors: all entries got equal shares of the cells,
// and entries with a seventh of the processors of others fell seconds behind.
TEST(Claims, EntriesWithMoreProcessorsOwnMoreCells) {
  World world{WorldShape{
      .entries = 4, .racks = 6, .workers_per_rack = 12, .millicores = {500, 500, 69, 69}}};
  world.Run(Millis(8'000));

  EXPECT_EQ(CountCellsByOwner(world, "e0"), (std::map<std::string, int32_t>{{"e0", 3}, {"e1", 3}}));
}

TEST(Claims, CellsGoToAnEntryWithMoreProcessorsOnceItIsUp) {
  World world{
      WorldShape{.entries = 3, .racks = 3, .workers_per_rack = 12, .millicores = {500, 69, 69}}};
  world.Kill("e0");
  world.Run(Millis(6'000));
  EXPECT_FALSE(CountCellsByOwner(world, "e1").contains("e0"));

  world.Start("e0");
  world.Run(Millis(20'000));
  EXPECT_EQ(CountCellsByOwner(world, "e1"), (std::map<std::string, int32_t>{{"e0", 3}}));
  EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Guards against overload: the last entry of a data centre claimed all its cells with processors
// for only one, and fell too far behind to see that other entries had returned.
TEST(Claims, AnEntryClaimsNoMoreCellsThanItsProcessorsSupport) {
  World world{WorldShape{.entries = 4,
                         .data_centres = 2,
                         .racks = 3,
                         .workers_per_rack = 12,
                         .millicores = {500, 500, 69, 500}}};
  world.Kill("e0");
  world.Run(Millis(8'000));
  std::map<std::string, int32_t> cells = CountCellsByOwner(world, "e1");
  EXPECT_EQ(cells["e2"], 1);
  EXPECT_EQ(cells["e1"] + cells["e3"], 5);

  world.Start("e0");
  world.Run(Millis(20'000));
  EXPECT_EQ(CountCellsByOwner(world, "e1")["e0"], 3);
  EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST(Claims, TheLastEntryClaimsAllCells) {
  World world{
      WorldShape{.entries = 2, .racks = 3, .workers_per_rack = 12, .millicores = {500, 69}}};
  world.Run(Millis(4'000));
  world.Kill("e0");
  world.Run(Millis(8'000));

  EXPECT_EQ(CountCellsByOwner(world, "e1")["e1"], 3);
}

TEST_F(FailureRecovery, SilentlyRevokedKeysEndOwnership) {
  StartLongRunning("a", 2);
  const std::string owner = world_.OwnerOf("a");
  const LeaseId lease = world_.store.LeaseOf(std::string(kEntryPrefix) + owner);
  world_.store.Revoke(lease, true, world_.now());
  world_.Run(Millis(4'000));

  EXPECT_FALSE(world_.OwnerOf("a").empty());
  EXPECT_EQ(world_.WorkersOf("a").size(), 2U);
}

TEST_F(FailureRecovery, AcceptedJobsSurviveTheLossOfAllEntries) {
  world_.planner = [](const TaskName&) { return RunPlan{.duration = Millis(2'000)}; };
  for (int job = 0; job < 4; ++job) world_.Submit("e0", MakeJob("j" + std::to_string(job), 3));
  world_.Run(Millis(100));
  for (const char* entry : {"e0", "e1", "e2"}) world_.Kill(entry);
  world_.Run(Millis(1'000));
  for (const char* entry : {"e0", "e1", "e2"}) world_.Start(entry);
  world_.Run(Millis(15'000));

  for (int job = 0; job < 4; ++job) {
    EXPECT_EQ(world_.Phase("j" + std::to_string(job)), JobPhase::kCompleted) << job;
  }
}

TEST_F(FailureRecovery, DelayedStartsHaveNoEffect) {
  for (int rack = 0; rack < 2; ++rack) {
    for (int number = 0; number < 2; ++number) {
      world_.DelayStarts("wr0-" + std::to_string(rack) + "-" + std::to_string(number),
                         Millis(3'000));
    }
  }
  world_.Submit("e0", MakeJob("a", 4));
  world_.Run(Millis(1'500));
  for (int rack = 0; rack < 2; ++rack) {
    for (int number = 0; number < 2; ++number) {
      world_.DelayStarts("wr0-" + std::to_string(rack) + "-" + std::to_string(number), Millis(0));
    }
  }
  world_.Run(Millis(12'000));

  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
}

TEST_F(FailureRecovery, TasksKeepRunningDuringAStoreOutage) {
  StartLongRunning("a", 3);
  for (const char* entry : {"e0", "e1", "e2"}) world_.Cut(entry, "store");
  world_.Run(Millis(5'000));
  EXPECT_EQ(world_.WorkersOf("a").size(), 3U);

  world_.Reconnect();
  world_.Run(Millis(6'000));
  EXPECT_EQ(world_.WorkersOf("a").size(), 3U);
  EXPECT_EQ(world_.starts.size(), 3U);
  for (const auto& [name, count] : world_.starts) EXPECT_EQ(count, 1);
}

// Guards against a stalled watch: when the store became unresponsive, entries waited until the
// watch in flight timed out, and used an old configuration for seconds after the outage.
TEST_F(FailureRecovery, ChangesArriveAtOnceAfterAStoreOutage) {
  for (const char* entry : {"e0", "e1", "e2"}) world_.Cut(entry, "store");
  world_.Run(Millis(4'000));
  world_.Reconnect();
  Routing routing = *world_.state("e0").routing;
  routing.version = 7;
  world_.store.Configure(routing, world_.now());
  // The next renewal shows that the store is back.
  world_.Run(Millis(900));

  for (const char* entry : {"e0", "e1", "e2"}) {
    EXPECT_EQ(world_.state(entry).routing->version, 7) << entry;
  }
}

TEST_F(FailureRecovery, ADrainingWorkerGetsNoNewTasks) {
  const std::string leaving = "wr0-0-0";
  world_.DrainWorker(leaving);
  world_.Run(Millis(1'500));
  const int32_t before = world_.worker(leaving).starts;
  world_.Submit("e0", MakeJob("a", 10));
  world_.Run(Millis(4'000));

  EXPECT_EQ(world_.worker(leaving).starts, before);
  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
}

TEST_F(FailureRecovery, TheStoreMayDropItsHistoryAtAnyTime) {
  for (int round = 0; round < 10; ++round) {
    world_.Submit("e" + std::to_string(round % 3), MakeJob("j" + std::to_string(round), 2));
    world_.store.CompactHistory();
    world_.Run(Millis(300));
  }
  world_.Run(Millis(5'000));

  for (int round = 0; round < 10; ++round) {
    EXPECT_EQ(world_.Phase("j" + std::to_string(round)), JobPhase::kCompleted) << round;
  }
}

TEST_F(FailureRecovery, LostAnswersLoseNoJobs) {
  world_.loss = 0.1;
  for (int round = 0; round < 12; ++round) {
    world_.Submit("e" + std::to_string(round % 3), MakeJob("j" + std::to_string(round), 3));
    world_.Run(Millis(400));
  }
  world_.Run(Millis(20'000));
  world_.loss = 0.0;
  world_.Run(Millis(15'000));

  for (int round = 0; round < 12; ++round) {
    const std::string id = "j" + std::to_string(round);
    if (!world_.store.Value(std::string(kJobPrefix) + id)) continue;
    EXPECT_EQ(world_.Phase(id), JobPhase::kCompleted) << round;
  }
}

}  // namespace
}  // namespace currantpost::scheduler
