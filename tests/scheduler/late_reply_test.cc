#include <gtest/gtest.h>

#include "room_monitor.h"

/// Long-running tasks find capacity in another cell whose owner replies late, or did not reply.

namespace currantpost::scheduler {
namespace {

/// Longest time that a long-running task may wait while another cell has room for it.
constexpr Millis kMaxLongRunningWait = Millis(2'000);
constexpr int64_t kNeed = 1'000;
constexpr int32_t kTasksPerCell = 32;

/// Two cells of four workers with eight cores each in two data centres of two entries. One cell is
/// full of long-running tasks, the other one is empty.
class LateReply : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [](const TaskName&) {
      return RunPlan{.never_ends = true, .need = Resources{.millicores = kNeed, .memory_mib = 100}};
    };
    Run(Millis(4'000));
    lender_ = OwnerOf("dc0/0");
    borrower_ = OwnerOf("dc1/0");
    ASSERT_NE(lender_, borrower_);
    Record(kTasksPerCell);
    Run(Millis(2'000));
    ASSERT_EQ(StartedTasks(), kTasksPerCell);
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  /// Returns the owner of a cell, empty if there is none.
  std::string OwnerOf(const std::string& cell) {
    const auto& cells = world_.state("e0").view.cells;
    const auto found = cells.find(CellId(cell));
    return found == cells.end() ? "" : found->second.record.owner.Text();
  }

  /// Records a long-running job in the full cell.
  void Record(int32_t tasks) {
    const std::string id = "long" + std::to_string(++jobs_);
    JobRecord record{
        .queue = "queue", .service = "service", .max_attempts = 50, .cell = CellId("dc0/0")};
    record.spec = MakeJob(id, tasks, kNeed);
    record.spec.steps[0].is_long_running = true;
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + id, Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
  }

  int32_t StartedTasks() const { return static_cast<int32_t>(world_.starts.size()); }

  /// Lets time pass. Queries keep a busy entry at work.
  void Run(Millis span) {
    for (Millis passed; passed < span; passed = passed + kStep) {
      for (int32_t query = 0; query < kQueries && !busy_.empty(); ++query) {
        world_.RequestStatus(busy_, "unknown");
      }
      monitor_.Run(kStep);
    }
  }

  /// Makes the entry with room reply about 0.4 s late.
  void SlowBorrower() {
    busy_ = borrower_;
    world_.SetMachine(borrower_, Machine{.per_event = Millis(40), .max_wait = Millis(400)});
    Run(Millis(2'000));
  }

  static constexpr Millis kStep = Millis(100);
  static constexpr int32_t kQueries = 8;

  World world_{WorldShape{.entries = 4, .data_centres = 2, .racks = 1, .workers_per_rack = 4}};
  RoomMonitor monitor_{world_};
  std::string lender_;
  std::string borrower_;
  std::string busy_;
  int32_t jobs_ = 0;
};

// Guards against long-running tasks that stayed down for seconds though another cell had room: a
// reply later than 150 ms was dropped, and its cell was not asked for 1 s to 8 s.
TEST_F(LateReply, TasksUseTheRoomOfAnOwnerThatRepliesLate) {
  SlowBorrower();
  constexpr int32_t kJobs = 12;

  for (int32_t job = 0; job < kJobs; ++job) {
    Record(1);
    Run(Millis(700));
  }
  Run(Millis(3'000));

  EXPECT_EQ(StartedTasks(), kTasksPerCell + kJobs);
  EXPECT_LE(monitor_.longest_long_running, kMaxLongRunningWait) << monitor_.text;
}

// Guards against a pause that outlasted its cause: late replies did not end it, and requests that
// were under way together doubled it.
TEST_F(LateReply, ALateReplyEndsThePause) {
  world_.Pause(borrower_);
  for (int32_t job = 0; job < 5; ++job) Record(1);
  world_.Run(Millis(1'600));
  world_.Resume(borrower_);
  world_.Run(Millis(300));

  const int32_t started = StartedTasks();
  RoomMonitor monitor(world_);
  Record(1);
  monitor.Run(Millis(6'000));

  EXPECT_GT(StartedTasks(), started);
  EXPECT_EQ(StartedTasks(), kTasksPerCell + 6);
  EXPECT_LE(monitor.longest_long_running, kMaxLongRunningWait) << monitor.text;
}

// Guards against a pause that the next owner of the cell inherited.
TEST_F(LateReply, ANewOwnerIsAskedAtOnce) {
  world_.KillForGood(borrower_);
  Millis passed;

  const auto is_taken_over = [this] {
    const std::string owner = OwnerOf("dc1/0");
    if (owner.empty() || owner == borrower_) return false;

    const auto& cells = world_.state(owner).cells;
    const auto cell = cells.find(CellId("dc1/0"));
    return cell != cells.end() && cell->second.open;
  };

  for (; passed < Millis(30'000) && !is_taken_over(); passed = passed + kStep) {
    if (passed.Count() % 500 == 0) Record(1);
    world_.Run(kStep);
  }
  ASSERT_TRUE(is_taken_over());

  RoomMonitor monitor(world_);
  Record(1);
  monitor.Run(Millis(8'000));

  EXPECT_EQ(StartedTasks(), kTasksPerCell + jobs_ - 1);
  EXPECT_LE(monitor.longest_long_running, kMaxLongRunningWait) << monitor.text;
}

}  // namespace
}  // namespace currantpost::scheduler
