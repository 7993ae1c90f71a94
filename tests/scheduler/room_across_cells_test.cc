#include <gtest/gtest.h>

#include <random>

#include "room_monitor.h"

/// Tests that tasks find capacity in other cells when their own cell is full.

namespace currantpost::scheduler {
namespace {

/// Longest time that tasks may wait while some worker has had room for them all that time.
constexpr Millis kMaxWait = Millis(500);
constexpr Millis kMaxLongRunningWait = Millis(2'000);
constexpr int64_t kSmall = 1'000;
constexpr int64_t kLarge = 2'000;
constexpr int32_t kCells = 20;
constexpr Millis kRound = Millis(500);

/// Twenty cells of nine workers in four data centres. Long-running tasks take about 60 % of the
/// capacity, short jobs the rest up to about 85 % on average. Jobs are recorded in random cells, as
/// if they had been accepted on outdated load reports, and one run in twenty fails.
class RoomAcrossCells : public testing::TestWithParam<uint64_t> {
 protected:
  void SetUp() override {
    world_.planner = [this](const TaskName& name) {
      const bool is_long_running = name.job.Text().starts_with("long");
      const bool is_large = name.job.Text().starts_with("wide");
      RunPlan plan{.duration = Millis(Between(300, 1'200)),
                   .end = Between(1, 20) == 1 ? RunEnd::kFailed : RunEnd::kDone,
                   .never_ends = is_long_running,
                   .need = Resources{.millicores = is_large ? kLarge : kSmall, .memory_mib = 100}};
      if (is_long_running && Between(1, 40) == 1) {
        plan.never_ends = false;
        plan.duration = Millis(Between(3'000, 12'000));
        plan.end = RunEnd::kFailed;
      }
      return plan;
    };
    world_.Run(Millis(6'000));
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  int64_t Between(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }

  void Record(const std::string& kind, int32_t cell, int32_t tasks, int64_t millicores) {
    const std::string id = kind + std::to_string(++jobs_);
    JobRecord record{
        .queue = "queue",
        .service = "service",
        .max_attempts = 50,
        .cell = CellId("dc" + std::to_string(cell % 4) + "/" + std::to_string(cell / 4)),
        .accepted_unix_ms = world_.now().Count(),
        .objective = Millis(2'000)};
    record.spec = MakeJob(id, tasks, millicores);
    record.spec.steps[0].is_long_running = kind == "long";
    if (kind == "long") record.objective = Millis(0);
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + id, Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
  }

  /// Fills 60 % of the capacity with long-running tasks, by cells unevenly.
  void RecordLongRunningJobs() {
    for (int32_t cell = 0; cell < kCells; ++cell) {
      const int32_t tasks = cell % 2 == 0 ? 60 : 26;
      for (int32_t job = 0; job < tasks / 2; ++job) Record("long", cell, 2, kSmall);
    }
  }

  /// Records short jobs of one round: about 25 % of the capacity in random cells, and sometimes a
  /// burst in one cell.
  void RecordShortJobs() {
    for (int32_t job = 0; job < 20; ++job) {
      Record("job", static_cast<int32_t>(Between(0, kCells - 1)),
             static_cast<int32_t>(Between(2, 10)), kSmall);
    }
    for (int32_t job = 0; job < 4; ++job) {
      Record("wide", static_cast<int32_t>(Between(0, kCells - 1)),
             static_cast<int32_t>(Between(4, 12)), kLarge);
    }
    if (Between(1, 6) == 1)
      Record("burst", static_cast<int32_t>(Between(0, kCells - 1)), 60, kSmall);
  }

  /// Lets time pass with short jobs arriving.
  void RunWithShortJobs(Millis span) {
    const Millis end = world_.now() + span;

    while (world_.now() < end) {
      RecordShortJobs();
      monitor_.Run(kRound);
    }
  }

  std::string WaitsText() const {
    std::string text;
    for (const auto& [length, count] : monitor_.waits) {
      text += std::to_string(length * 100) + " ms: " + std::to_string(count) + "\n";
    }
    return text;
  }

  World world_{WorldShape{
      .entries = 12, .data_centres = 4, .racks = 5, .workers_per_rack = 9, .seed = GetParam()}};
  RoomMonitor monitor_{world_};
  std::mt19937_64 random_{GetParam()};
  int32_t jobs_ = 0;
};

// Guards against tasks that waited for seconds in a full cell while others had room: they were lent
// by load reports that were half a second old, and not at all while cells reported more demand than
// they had free.
TEST_P(RoomAcrossCells, NoTaskWaitsForSecondsWhileAnotherCellHasRoom) {
  RecordLongRunningJobs();
  world_.Run(Millis(5'000));
  RunWithShortJobs(Millis(12'000));

  EXPECT_LE(monitor_.longest_other, kMaxWait) << monitor_.text << WaitsText();
  EXPECT_LE(monitor_.longest_long_running, kMaxLongRunningWait) << monitor_.text;
}

INSTANTIATE_TEST_SUITE_P(Seeds, RoomAcrossCells, testing::Range<uint64_t>(1, 4));

}  // namespace
}  // namespace currantpost::scheduler
