#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "currantpost/scheduler/reservation.h"
#include "world.h"

/// Which of several waiting tasks gets capacity, and where: the turns of jobs that search, the wait
/// that counts for a task, and the place of tasks that have lost their workers.

namespace currantpost::scheduler {
namespace {

/// Time in which a long-running task runs again after the loss of its worker.
constexpr Millis kMaxAbsence = Millis(9'000);
/// Of that, up to 4.8 s pass until the worker's lease has expired.
constexpr Millis kMaxWait = Millis(4'000);
constexpr Millis kSlowDuration = Millis(20'000);
constexpr int32_t kWorkers = 9;
constexpr int64_t kWorkerNeed = 8'000;
constexpr int64_t kLargeNeed = 6'000;
constexpr int64_t kHalfNeed = 4'000;
constexpr int64_t kSmallNeed = 1'000;

/// Data centres of one entry and one cell each.
class WaitingOrder : public testing::Test {
 protected:
  explicit WaitingOrder(int32_t cells)
      : world_(WorldShape{
            .entries = cells, .data_centres = cells, .racks = 1, .workers_per_rack = kWorkers}) {
    world_.planner = [this](const TaskName& name) {
      const bool is_slow = name.job.Text().starts_with("short-slow");
      return RunPlan{.duration = is_slow ? kSlowDuration
                                         : short_duration_ + Millis(int64_t{name.index} % 8 * 25),
                     .never_ends = name.job.Text().starts_with("long"),
                     .need = Resources{.millicores = kSmallNeed, .memory_mib = 100}};
    };
    world_.on_push = [this](const std::string&, const std::string&, const StoreItem& item) {
      if (!item.key.starts_with(kReservationRequestPrefix)) return;

      const Result<ReservationRequest> request = DecodeReservationRequest(item.value);
      ASSERT_TRUE(request.has_value());
      if (on_request_) on_request_(*request);
    };
    world_.Run(Millis(5'000));
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  static std::string CellOf(int32_t centre) { return "dc" + std::to_string(centre) + "/0"; }

  void Record(const std::string& id, int32_t centre, int32_t tasks, int64_t millicores,
              int32_t max_per_worker = 0) {
    JobRecord record{
        .queue = "queue", .service = "service", .max_attempts = 50, .cell = CellId(CellOf(centre))};
    record.spec = MakeJob(id, tasks, millicores);
    record.spec.steps[0].is_long_running = id.starts_with("long");
    record.spec.steps[0].max_per_worker = max_per_worker;
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + id, Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
  }

  /// Records a job with one long-running task of `kLargeNeed` that has run before, and has waited
  /// since in the cell that passed it on.
  void RecordInterrupted(const std::string& id, int32_t centre, Millis waited) {
    JobRecord record{
        .queue = "queue", .service = "service", .max_attempts = 50, .cell = CellId(CellOf(centre))};
    record.spec = MakeJob(id, 1, kLargeNeed);
    record.spec.steps[0].is_long_running = true;
    record.carried_progress.tasks = {TaskProgress{.run = 1, .waited = waited}};
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + id, Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
  }

  /// Records a borrowed job with all the tasks of a job of another cell.
  void RecordBorrowed(const std::string& parent, int32_t centre, int32_t tasks,
                      int64_t millicores) {
    JobRecord record{
        .queue = "queue", .service = "service", .max_attempts = 50, .cell = CellId(CellOf(centre))};
    const std::string id = parent + "~1";
    record.spec = MakeJob(id, tasks, millicores);
    record.spec.steps[0].is_long_running = true;
    record.parent = JobId(parent);
    for (int32_t index = 0; index < tasks; ++index) {
      record.lent.push_back(TaskProgress{.index = index});
    }
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + id, Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
  }

  /// Fills whole workers of a cell with long-running jobs of one task.
  void Fill(int32_t centre, int32_t workers) {
    for (int32_t number = 0; number < workers; ++number) {
      Record("long-fills" + std::to_string(centre) + "-" + std::to_string(number), centre, 1,
             kWorkerNeed);
    }
    world_.Run(Millis(1'500));
  }

  size_t Running(const std::string& job) const { return world_.WorkersOf(job).size(); }

  Millis short_duration_ = Millis(500);
  std::function<void(const ReservationRequest&)> on_request_;
  World world_;
};

class WaitingOrderInOneCell : public WaitingOrder {
 protected:
  WaitingOrderInOneCell() : WaitingOrder(1) {}
};

class WaitingOrderInTwoCells : public WaitingOrder {
 protected:
  WaitingOrderInTwoCells() : WaitingOrder(2) {}

  /// Keeps the only worker that has no long-running task for an interrupted task of its cell. A
  /// second later, one waits in the other cell that has been away for a time.
  void KeepForFirstWhileSecondAsks(Millis absence) {
    Fill(0, kWorkers);
    Fill(1, kWorkers - 1);
    short_duration_ = Millis(4'000);
    Record("short", 1, 8, kSmallNeed);
    world_.Run(Millis(500));
    RecordInterrupted("long-first", 1, Millis(0));
    world_.Run(Millis(1'000));
    RecordInterrupted("long-second", 0, absence);
    world_.Run(Millis(4'500));
  }
};

class WaitingOrderInThreeCells : public WaitingOrder {
 protected:
  WaitingOrderInThreeCells() : WaitingOrder(3) {}
};

// Guards against jobs that never had a turn to ask cells that report no capacity: it fell between
// two of their searches.
TEST_F(WaitingOrderInThreeCells, EachOfManyWaitingJobsHasItsTurns) {
  constexpr int32_t kJobs = 60;
  // Interval of the turns, and so many rounds of all jobs.
  constexpr Millis kTurn = Millis(100);
  constexpr int32_t kRounds = 3;
  for (int32_t centre = 0; centre < 3; ++centre) Fill(centre, kWorkers);

  std::map<JobId, int32_t> turns;
  on_request_ = [&](const ReservationRequest& request) { ++turns[request.job]; };
  for (int32_t job = 0; job < kJobs; ++job) {
    Record("long" + std::to_string(100 + job), 0, 1, kLargeNeed);
  }
  world_.Run(kTurn * kJobs * kRounds);

  std::string too_few;
  for (int32_t job = 0; job < kJobs; ++job) {
    const int32_t count = turns[JobId("long" + std::to_string(100 + job))];
    if (count < kRounds - 1) too_few += std::to_string(job) + ":" + std::to_string(count) + " ";
  }
  EXPECT_EQ(too_few, "") << "turns by job";
}

// Guards against turns that ended for all jobs of a cell once the last one in their order was a
// borrowed job with a running task, which never asks.
TEST_F(WaitingOrderInThreeCells, ABorrowedJobThatRunsDoesNotEndTheTurnsOfTheOthers) {
  constexpr int32_t kJobs = 5;
  constexpr Millis kTurn = Millis(100);
  constexpr int32_t kRounds = 20;
  Fill(0, kWorkers - 1);
  Fill(1, kWorkers);
  Fill(2, kWorkers);
  RecordBorrowed("longz", 0, 2, kWorkerNeed);
  world_.Run(Millis(1'000));
  ASSERT_EQ(Running("longz"), 1U);

  std::map<JobId, int32_t> turns;
  on_request_ = [&](const ReservationRequest& request) { ++turns[request.job]; };
  for (int32_t job = 0; job < kJobs; ++job) {
    Record("long" + std::to_string(100 + job), 0, 1, kLargeNeed);
  }
  world_.Run(kTurn * kJobs * kRounds);

  std::string too_few;
  for (int32_t job = 0; job < kJobs; ++job) {
    const int32_t count = turns[JobId("long" + std::to_string(100 + job))];
    if (count < kRounds / 2) too_few += std::to_string(job) + ":" + std::to_string(count) + " ";
  }
  EXPECT_EQ(too_few, "") << "turns by job";
}

// Guards against a line that gave the whole time of a job as the wait for its first worker if all
// its tasks ran in other cells.
TEST_F(WaitingOrderInThreeCells, AJobOfWhichAllTasksWereLentNamesNoWaitForItsFirstWorker) {
  Fill(0, kWorkers);
  Fill(1, kWorkers - 1);
  Fill(2, kWorkers - 1);
  Record("short", 0, 16, kSmallNeed);
  world_.Run(Millis(6'000));
  ASSERT_EQ(world_.Phase("short"), JobPhase::kCompleted);

  const auto line = std::ranges::find_if(world_.log, [](const std::string& each) {
    return each.find("job has ended job=short queue") != std::string::npos;
  });
  ASSERT_NE(line, world_.log.end());
  EXPECT_NE(line->find("first_bound_ms= "), std::string::npos) << *line;
}

// Guards against waits that began anew for the tasks of a job when another one of them was lent.
TEST_F(WaitingOrderInThreeCells, TheWaitOfATaskCountsFromItsBeginning) {
  constexpr Millis kMaxDelay = Millis(500);
  constexpr Millis kLongWait = Millis(2'000);
  Fill(0, kWorkers);
  Fill(2, kWorkers);
  Record("short", 1, 2'000, kHalfNeed);
  world_.Run(Millis(1'500));

  const Millis recorded_at = world_.now();
  int32_t late_requests = 0;
  Millis shortest = Millis(60'000);
  on_request_ = [&](const ReservationRequest& request) {
    if (request.job != JobId("long") || world_.now() < recorded_at + kLongWait) return;

    ++late_requests;
    shortest = std::min(shortest, request.waited + kMaxDelay - (world_.now() - recorded_at));
  };
  Record("long", 0, kWorkers, kLargeNeed);
  world_.Run(Millis(6'000));

  EXPECT_GT(Running("long"), 0U);
  EXPECT_GT(late_requests, 0);
  EXPECT_GE(shortest, Millis(0));
}

// Guards against a lent task that lost its worker and stayed in the cell that had borrowed it,
// which had no other one for it.
TEST_F(WaitingOrderInThreeCells, ALentTaskThatLosesItsWorkerFindsAnotherCell) {
  Fill(0, kWorkers);
  Fill(1, kWorkers - 2);
  Record("short", 2, 2'000, kHalfNeed);
  world_.Run(Millis(1'500));
  Record("long", 0, 2, kLargeNeed);
  world_.Run(kMaxAbsence);

  const std::vector<std::string> workers = world_.WorkersOf("long");
  ASSERT_EQ(workers.size(), 2U);
  for (const std::string& worker : workers) ASSERT_TRUE(worker.starts_with("wr1-")) << worker;
  for (const auto& [id, job] : world_.state("e1").cells.at(CellId(CellOf(1))).jobs) {
    EXPECT_LE(job.record.lent.size(), 1U) << id.Text();
  }

  world_.LeaveWorker(workers[0]);
  world_.Run(kMaxAbsence);

  EXPECT_EQ(Running("long"), 2U);
}

// Guards against a new job that took the place of a task that had lost its worker.
TEST_F(WaitingOrderInOneCell, AnInterruptedTaskGoesBeforeThoseOfANewJob) {
  Fill(0, kWorkers - 1);
  Record("long-z", 0, 1, kWorkerNeed);
  world_.Run(Millis(1'000));
  ASSERT_EQ(Running("long-z"), 1U);

  Record("long-a", 0, 3, kWorkerNeed);
  world_.Run(Millis(2'000));
  world_.LeaveWorker(world_.WorkersOf("long-z")[0]);
  world_.Run(Millis(6'000));
  world_.Cancel("e0", "long-fills0-0");
  world_.Run(Millis(2'000));

  EXPECT_EQ(Running("long-z"), 1U);
  EXPECT_EQ(Running("long-a"), 0U);
}

// Guards against the same in another cell that keeps a worker for the new job.
TEST_F(WaitingOrderInTwoCells, AnInterruptedTaskTakesTheWorkerKeptForANewJob) {
  Fill(0, kWorkers - 1);
  Fill(1, kWorkers - 1);
  Record("long-z", 0, 1, kWorkerNeed);
  world_.Run(Millis(1'000));
  ASSERT_EQ(Running("long-z"), 1U);
  short_duration_ = Millis(10'000);
  Record("short", 1, 2, kHalfNeed);
  world_.Run(Millis(1'000));

  world_.LeaveWorker(world_.WorkersOf("long-z")[0]);
  Record("long-a", 1, 3, kWorkerNeed);
  world_.Run(short_duration_ + Millis(1'000));

  EXPECT_EQ(Running("long-z"), 1U);
  EXPECT_EQ(Running("long-a"), 0U);
}

// Guards against a task that waited for short tasks of its cell, which went on for long, while
// another cell could have kept a worker for it that is soon free.
TEST_F(WaitingOrderInTwoCells, ATaskIsNotBoundToACellWhoseShortTasksGoOnForLong) {
  Record("short-slow", 0, kWorkers * 2, kHalfNeed);
  Record("short", 1, 2'000, kSmallNeed);
  world_.Run(Millis(2'000));
  ASSERT_EQ(Running("short-slow"), static_cast<size_t>(kWorkers * 2));

  Record("long", 0, 1, kLargeNeed);
  // New jobs arrive meanwhile.
  constexpr int32_t kArrivals = 20;
  for (int32_t number = 0; number < kArrivals; ++number) {
    Record("short-slow" + std::to_string(number), 0, 1, kSmallNeed);
    world_.Run(kMaxWait / kArrivals);
  }

  EXPECT_EQ(Running("long"), 1U);
}

// Guards against waits that began anew in each cell to which a task was passed on.
TEST_F(WaitingOrderInTwoCells, TheWaitOfATaskThatIsPassedOnGoesOn) {
  constexpr Millis kMaxDelay = Millis(500);
  Fill(0, kWorkers);
  Record("short-slow", 1, kWorkers * 8, kSmallNeed);
  world_.Run(Millis(1'000));

  const Millis recorded_at = world_.now();
  Millis waited;
  Millis expected;
  on_request_ = [&](const ReservationRequest& request) {
    if (request.from != CellId(CellOf(1)) || request.waited == Millis(0)) return;

    waited = request.waited;
    expected = world_.now() - recorded_at;
  };
  Record("long-passed-on", 0, 1, kLargeNeed);
  world_.Run(Millis(6'000));

  EXPECT_GT(waited, Millis(0));
  EXPECT_GE(waited + kMaxDelay, expected);
}

// Guards against a worker that was kept for a task, and given to one that came later.
TEST_F(WaitingOrderInTwoCells, AWorkerStaysKeptForItsTaskWhenOneIsAwayHardlyLonger) {
  KeepForFirstWhileSecondAsks(Millis(1'500));

  EXPECT_EQ(Running("long-first"), 1U);
  EXPECT_EQ(Running("long-second"), 0U);
}

// Guards against a task that waited on while a worker was kept for one that had been away for a
// shorter time.
TEST_F(WaitingOrderInTwoCells, AKeptWorkerGoesToTheTaskThatIsAwayClearlyLonger) {
  KeepForFirstWhileSecondAsks(Millis(8'000));

  EXPECT_EQ(Running("long-first"), 0U);
  EXPECT_EQ(Running("long-second"), 1U);
}

// Guards against short tasks that broke up the largest pieces of capacity while smaller ones had
// room for them.
TEST_F(WaitingOrderInOneCell, ShortTasksLeaveLargePiecesWhileSmallerOnesFit) {
  constexpr int32_t kWithLongRunning = 4;
  constexpr int32_t kShortTasks = kWithLongRunning * (kWorkerNeed - kLargeNeed) / kSmallNeed;
  Record("long-fills", 0, kWithLongRunning, kLargeNeed, 1);
  world_.Run(Millis(1'000));
  short_duration_ = Millis(20'000);
  Record("short", 0, kShortTasks, kSmallNeed);
  world_.Run(Millis(1'000));
  ASSERT_EQ(Running("short"), static_cast<size_t>(kShortTasks));

  Record("long", 0, kWorkers - kWithLongRunning, kWorkerNeed);
  world_.Run(Millis(2'000));

  EXPECT_EQ(Running("long"), static_cast<size_t>(kWorkers - kWithLongRunning));
}

// Guards against a task that goes before others that are away longer: its start was answered, and
// its worker was lost before a poll listed the run.
TEST(BriefRun, AnAbsenceCountsFromARunThatHasBegunAndThatNoPollHasListed) {
  constexpr Millis kRunTime = Millis(300);
  constexpr Millis kStartReplyTime = Millis(50);
  World world(WorldShape{.entries = 1, .racks = 1});
  world.planner = [](const TaskName&) {
    return RunPlan{.never_ends = true, .need = Resources{.millicores = 8'000, .memory_mib = 100}};
  };
  world.Run(Millis(4'000));
  JobSpec spec = MakeJob("a", 1, 8'000);
  spec.steps[0].is_long_running = true;
  world.Submit("e0", spec);
  world.Run(Millis(3'000));
  ASSERT_EQ(world.WorkersOf("a").size(), 1U);
  std::optional<Millis> begun_at;
  std::string worker;
  world.on_start = [&](const ObservedStart& start) {
    begun_at = world.now();
    worker = start.worker;
  };

  world.LoseWorker(world.WorkersOf("a").front());
  for (int32_t round = 0; round < 1'000 && !begun_at; ++round) world.Run(Millis(10));
  ASSERT_TRUE(begun_at);
  world.Run(kRunTime);
  world.LoseWorker(worker);
  world.Run(Millis(8'000));

  const JobState& job = world.state("e0").cells.begin()->second.jobs.at(JobId("a"));
  const TaskState& task = job.occurrences[0].steps[0].tasks[0];
  ASSERT_EQ(task.phase, TaskPhase::kWaiting);
  EXPECT_GE(task.waiting_since.Count(), begun_at->Count());
  EXPECT_LE(task.waiting_since.Count(), (*begun_at + kStartReplyTime).Count());
  EXPECT_EQ(world.violations, std::vector<std::string>());
}

}  // namespace
}  // namespace currantpost::scheduler
