#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "world.h"

/// How long a worker that is kept for an interrupted long-running task stands unused, while the
/// short tasks there go on.

namespace currantpost::scheduler {
namespace {

constexpr int32_t kWorkers = 9;
constexpr int64_t kWorkerNeed = 8'000;
constexpr int64_t kLargeNeed = 6'000;
constexpr int64_t kHalfNeed = 4'000;
constexpr int64_t kShortNeed = 2'000;
constexpr Millis kSoon = Millis(8'000);
constexpr Millis kLate = Millis(30'000);
/// Parts of these after which the work of a task is no longer little.
constexpr Millis kMostOfSoon = Millis(5'000);
constexpr Millis kMostOfLate = Millis(16'000);
/// Time for which an interrupted task has waited when it is recorded: a worker is kept at once.
constexpr Millis kWaited = Millis(1'000);
/// Time in which a task starts on a worker whose short tasks are stopped.
constexpr Millis kMaxStart = Millis(1'000);
constexpr Millis kStep = Millis(5);
constexpr int32_t kMoreUrgent = -1;

/// Data centres of one entry and one cell each. The short tasks end when their estimates say,
/// unless a test says otherwise.
class KeptCapacity : public testing::Test {
 protected:
  explicit KeptCapacity(int32_t cells = 1)
      : world_(WorldShape{
            .entries = cells, .data_centres = cells, .racks = 1, .workers_per_rack = kWorkers}) {
    world_.planner = [this](const TaskName& name) {
      const StepSpec& step = steps_.at(name.job.Text());
      const auto duration = durations_.find(name.job.Text());
      return RunPlan{.duration = duration == durations_.end() ? step.estimate : duration->second,
                     .never_ends = step.is_long_running,
                     .need = step.need};
    };
    world_.on_run_end = [this](const std::string&, const TaskName& name, RunEnd end) {
      if (end == RunEnd::kStopped) ++stopped_[name.job.Text()];
    };
    world_.Run(Millis(5'000));
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  /// Records a job and waits until its tasks run.
  void Record(const std::string& id, int32_t tasks, int64_t millicores,
              Millis estimate = Millis(500), int32_t centre = 0) {
    Write(MakeRecord(id, tasks, millicores, estimate, centre));
    const auto all = static_cast<size_t>(tasks);
    for (Millis passed; passed < Millis(1'000) && Running(id) != all; passed = passed + kStep) {
      world_.Run(kStep);
    }
    ASSERT_EQ(Running(id), all) << id;
  }

  /// Records a job with one long-running task that has run before.
  void RecordInterrupted(const std::string& id, int64_t millicores, Millis waited = kWaited,
                         int32_t priority = 0) {
    JobRecord record = MakeRecord(id, 1, millicores, Millis(500), 0);
    record.carried_progress.tasks = {TaskProgress{.run = 1, .waited = waited}};
    record.priority = priority;
    Write(record);
  }

  JobRecord MakeRecord(const std::string& id, int32_t tasks, int64_t millicores, Millis estimate,
                       int32_t centre) {
    JobRecord record{.queue = "queue",
                     .service = "service",
                     .max_attempts = 50,
                     .cell = CellId("dc" + std::to_string(centre) + "/0")};
    record.spec = MakeJob(id, tasks, millicores);
    record.spec.steps[0].is_long_running = id.starts_with("long");
    record.spec.steps[0].checkpointing = id.starts_with("short-saves");
    record.spec.steps[0].estimate = estimate;
    steps_[id] = record.spec.steps[0];
    return record;
  }

  void Write(const JobRecord& record) {
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + record.spec.job.Text(),
                                        Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
  }

  size_t Running(const std::string& job) const { return world_.WorkersOf(job).size(); }
  OwnedCell& Cell() { return world_.state("e0").cells.at(CellId("dc0/0")); }

  /// Returns the worker that is kept for a task, empty if there is none.
  std::string KeptWorker() {
    return Cell().holds.empty() ? std::string() : Cell().holds[0].worker.Text();
  }

  World world_;
  std::map<std::string, StepSpec> steps_;
  /// Durations of the tasks of jobs whose estimates are wrong.
  std::map<std::string, Millis> durations_;
  std::map<std::string, int32_t> stopped_;
};

class KeptCapacityInTwoCells : public KeptCapacity {
 protected:
  KeptCapacityInTwoCells() : KeptCapacity(2) {}
};

// Guards against a task that waited for the worker with the most free capacity, although another
// one was free sooner.
TEST_F(KeptCapacity, TheWorkerIsKeptThatIsFreeFirst) {
  Record("long-fills", kWorkers - 2, kWorkerNeed);
  Record("short-late", 1, kHalfNeed, kLate);
  world_.Run(kMostOfLate);
  Record("short-soon", 1, kWorkerNeed, kSoon);
  const std::vector<std::string> soon = world_.WorkersOf("short-soon");
  world_.Run(kMostOfSoon);
  RecordInterrupted("long", kWorkerNeed);
  world_.Run(Millis(500));

  EXPECT_EQ(soon, std::vector<std::string>{KeptWorker()});
}

// Guards against a hold that stayed on its worker although another one was going to be free sooner.
TEST_F(KeptCapacity, AnotherWorkerIsKeptOnceItIsFreeSooner) {
  Record("long-fills", kWorkers - 2, kWorkerNeed);
  Record("short-late", 1, kWorkerNeed, kLate);
  world_.Run(kMostOfLate);
  Record("long-ends", 1, kLargeNeed);
  Record("short-soon", 1, kShortNeed, kSoon);
  const std::vector<std::string> soon = world_.WorkersOf("short-soon");
  world_.Run(kMostOfSoon);
  RecordInterrupted("long", kWorkerNeed);
  world_.Run(Millis(500));
  ASSERT_EQ(world_.WorkersOf("short-late"), std::vector<std::string>{KeptWorker()});
  world_.Cancel("e0", "long-ends");
  world_.Run(Millis(1'000));

  EXPECT_EQ(soon, std::vector<std::string>{KeptWorker()});
}

// Guards against a worker that stood unused for as long as tasks of the same priority went on that
// had only just begun.
TEST_F(KeptCapacity, TasksThatHaveJustBegunAreStopped) {
  Record("long-fills", kWorkers - 1, kWorkerNeed);
  Record("short", 4, kShortNeed, kSoon);
  RecordInterrupted("long", kLargeNeed);
  world_.Run(kMaxStart);

  EXPECT_EQ(Running("long"), 1U);
  EXPECT_EQ(stopped_["short"], 3);
}

// Guards against the same with tasks that go on elsewhere from their checkpoints.
TEST_F(KeptCapacity, TasksThatResumeFromCheckpointsAreStopped) {
  Record("long-fills", kWorkers - 1, kWorkerNeed);
  Record("short-saves", 4, kShortNeed, kSoon);
  world_.Run(Millis(1'000));
  RecordInterrupted("long", kLargeNeed);
  world_.Run(kMaxStart);

  EXPECT_EQ(Running("long"), 1U);
  EXPECT_EQ(stopped_["short-saves"], 3);
}

TEST_F(KeptCapacity, TasksThatEndSoonAreNotStopped) {
  constexpr Millis kVerySoon = Millis(300);
  Record("long-fills", kWorkers - 1, kWorkerNeed);
  Record("short-saves", 4, kShortNeed, kVerySoon);
  RecordInterrupted("long", kLargeNeed);
  world_.Run(kVerySoon + kMaxStart);

  EXPECT_EQ(Running("long"), 1U);
  EXPECT_EQ(stopped_["short-saves"], 0);
}

TEST_F(KeptCapacity, ATaskIsStoppedOnceForTasksOfItsPriority) {
  Record("long-fills", kWorkers - 2, kWorkerNeed);
  Record("short-saves", 1, kWorkerNeed, kLate);
  RecordInterrupted("long-takes-the-free-one", kWorkerNeed);
  world_.Run(kMaxStart);
  ASSERT_EQ(Running("long-takes-the-free-one"), 1U);
  RecordInterrupted("long-first", kWorkerNeed);
  world_.Run(kMaxStart);
  ASSERT_EQ(stopped_["short-saves"], 1);
  world_.Cancel("e0", "long-takes-the-free-one");
  world_.Run(kMaxStart);
  ASSERT_EQ(Running("short-saves"), 1U);
  RecordInterrupted("long-second", kWorkerNeed);
  world_.Run(kSoon);

  EXPECT_EQ(stopped_["short-saves"], 1);
  EXPECT_EQ(Running("long-second"), 0U);
}

// Guards against a task that began anew each time that somebody needed its worker.
TEST_F(KeptCapacity, ATaskOfLowerPriorityIsStoppedAFewTimesOnly) {
  constexpr int32_t kMaxStops = 3;
  Record("long-fills", kWorkers - 1, kWorkerNeed);
  Record("short", 1, kWorkerNeed, kLate);
  for (int32_t number = 0; number < kMaxStops * 2; ++number) {
    const std::string id = "long-" + std::to_string(number);
    RecordInterrupted(id, kWorkerNeed, kWaited, kMoreUrgent);
    world_.Run(kMaxStart * 2);
    world_.Cancel("e0", id);
    world_.Run(kMaxStart);
    ASSERT_EQ(Running("short"), 1U);
  }

  EXPECT_EQ(stopped_["short"], kMaxStops);
}

// Guards against tasks that were taken to end soon for as long as they had just begun.
TEST_F(KeptCapacity, TasksThatHaveOverrunATinyEstimateAreStopped) {
  constexpr Millis kTiny = Millis(100);
  Record("long-fills", kWorkers - 1, kWorkerNeed);
  durations_["short"] = kLate;
  Record("short", 4, kShortNeed, kTiny);
  RecordInterrupted("long", kLargeNeed);
  world_.Run(kMaxStart);

  EXPECT_EQ(Running("long"), 1U);
  EXPECT_EQ(stopped_["short"], 3);
}

// Guards against tasks that waited for room for each other, as the same worker was kept for them.
TEST_F(KeptCapacity, TheFirstOfTwoTasksStartsBeforeThereIsRoomForBoth) {
  Record("long-fills", kWorkers - 1, kWorkerNeed);
  Record("short-late", 1, kHalfNeed, kLate);
  world_.Run(kMostOfLate);
  Record("short-soon", 2, kShortNeed, kSoon);
  world_.Run(kMostOfSoon);
  RecordInterrupted("long-first", kHalfNeed);
  RecordInterrupted("long-second", kHalfNeed);
  world_.Run(kSoon - kMostOfSoon + kMaxStart);

  EXPECT_EQ(Running("long-first") + Running("long-second"), 1U);
}

TEST_F(KeptCapacity, AnOlderTaskTakesTheKeptPlaceAfterAMoreUrgentOneThatFitsNowhere) {
  Record("long-fills", kWorkers - 1, kWorkerNeed);
  Record("long-beside", 1, kShortNeed / 2);
  Record("short-late", 1, kShortNeed, kLate);
  world_.Run(kMostOfLate);
  RecordInterrupted("long-holds", kLargeNeed);
  world_.Run(Millis(500));
  ASSERT_FALSE(KeptWorker().empty());
  RecordInterrupted("long-urgent", kWorkerNeed, kWaited, kMoreUrgent);
  RecordInterrupted("long-old", kHalfNeed, kWaited * 10);
  world_.Run(kMaxStart);

  EXPECT_EQ(Running("long-old"), 1U);
}

// Guards against short tasks that went on until the task had arrived from its own cell.
TEST_F(KeptCapacityInTwoCells, TheWorkerIsClearedWhileTheTaskIsOnItsWay) {
  Record("long-fills-own", kWorkers, kWorkerNeed);
  Record("long-fills-other", kWorkers - 1, kWorkerNeed, Millis(500), 1);
  Record("short-saves", 4, kShortNeed, kLate, 1);
  world_.Run(Millis(1'000));
  RecordInterrupted("long", kLargeNeed);
  const State& other = world_.state("e1");
  for (Millis passed; passed < kMaxStart && other.counts.evictions == 0; passed = passed + kStep) {
    world_.Run(kStep);
  }

  EXPECT_GT(other.counts.evictions, 0U);
  EXPECT_FALSE(other.cells.at(CellId("dc1/0")).jobs.contains(JobId("long")));
  world_.Run(kMaxStart);
  EXPECT_EQ(Running("long"), 1U);
}

}  // namespace
}  // namespace currantpost::scheduler
