#include <gtest/gtest.h>

#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "busy_fleet.h"
#include "hand_over_scenario.h"
#include "random_source.h"

/// Random scenarios in which few entries are left with many cells and scarce capacity. They check
/// that every measure of trouble falls to nothing after the last disruption.
///
/// CURRANTPOST_AUDIT_SEEDS works as in answers_audit_test.cc.

namespace currantpost::scheduler {
namespace {

const std::vector<uint64_t> kSeeds = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10};

/// Time for the cells to get another owner and for what was lost to run again, if there is room.
constexpr Millis kRecoveryTime = Millis(18'000);
constexpr Millis kMeasuredTime = Millis(4'000);
/// How long an owner that asks for capacity waits for the reply before it asks the next one.
constexpr Millis kMaxLateness = Millis(150);
/// A lost long-running task has to run again within this time.
constexpr Millis kMaxAbsence = Millis(9'000);
constexpr Millis kInterval = Millis(500);

/// Load and disruptions of one scenario.
struct TroubleShape {
  explicit TroubleShape(uint64_t seed) : random(seed) {
    fleet.seed = seed;
    fleet.entries = static_cast<int32_t>(2 + seed % 2);
    fleet.cells_per_entry = random.Chance(50) ? 4 : 6;
    fleet.waiting_jobs = random.Chance(50) ? 100 : 250;
    fleet.machine.cell_us = random.Chance(50) ? 30 : 60;
    loses_entry = random.Chance(50);
    lost_workers = random.Chance(50) ? 1 : 4;
  }

  [[nodiscard]] std::string Text() const {
    std::ostringstream text;
    text << fleet.entries << " entries with " << fleet.cells_per_entry << " cells each, "
         << fleet.waiting_jobs << " waiting jobs, " << fleet.machine.cell_us << " us a cell, "
         << (loses_entry ? "one entry and " : "") << lost_workers << " workers lost";
    return text.str();
  }

  RandomSource random;
  BusyFleetShape fleet;
  bool loses_entry = false;
  int32_t lost_workers = 1;
};

class TroubleFallsAudit : public testing::TestWithParam<uint64_t> {
 protected:
  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  void Disrupt() {
    if (shape_.loses_entry) world_.KillForGood("e0");
    for (int32_t number = 0; number < shape_.lost_workers; ++number) {
      world_.LoseWorker(shape_.random.PickOne(world_.Workers()));
    }
  }

  /// Returns the long-running tasks that have run before and do not run now.
  std::set<TaskName> InterruptedTasks() {
    const std::set<TaskName> running = fleet_.RunningTasks();
    std::set<TaskName> interrupted;
    for (const auto& [name, starts] : world_.starts) {
      if (name.job.Text().starts_with("long") && !running.contains(name)) interrupted.insert(name);
    }
    return interrupted;
  }

  /// Returns whether a worker has room for any long-running task: none runs or is bound there.
  bool HasRoom() {
    for (const std::string& entry : world_.Entries()) {
      for (const auto& [id, cell] : world_.state(entry).cells) {
        for (const auto& [worker_id, worker] : cell.workers) {
          const bool is_usable = world_.worker(worker_id.Text()).up && !worker.info.draining;
          if (is_usable && worker.long_running_millicores == 0) return true;
        }
      }
    }
    return false;
  }

  /// Returns the longest time that an interrupted task waited while there was room all the time.
  Millis LongestWaitWithRoom(Millis span) {
    std::map<TaskName, Millis> waited;
    Millis longest;

    for (Millis passed; passed < span; passed = passed + kInterval) {
      lateness_ = std::max(lateness_, fleet_.RunAndMeasure(kInterval));
      const bool has_room = HasRoom();
      const std::set<TaskName> interrupted = InterruptedTasks();
      std::erase_if(waited, [&](const auto& row) { return !interrupted.contains(row.first); });
      for (const TaskName& task : interrupted) {
        Millis& wait = waited[task];
        wait = has_room ? wait + kInterval : Millis(0);
        longest = std::max(longest, wait);
      }
    }

    return longest;
  }

  TroubleShape shape_{GetParam()};
  BusyFleet fleet_{shape_.fleet};
  World& world_ = fleet_.world();
  Millis lateness_;
};

TEST_P(TroubleFallsAudit, NothingIsLateOrLostOnceDisruptionsAreOver) {
  fleet_.Load();
  fleet_.RunAndMeasure(Millis(2'000));
  Disrupt();
  const Millis wait = LongestWaitWithRoom(kRecoveryTime);

  const size_t lapsed = fleet_.lapsed().size();
  const std::set<TaskName> interrupted = InterruptedTasks();
  const int64_t restarts = fleet_.Restarts();
  lateness_ = Millis(0);
  LongestWaitWithRoom(kMeasuredTime);

  EXPECT_LE(wait.Count(), kMaxAbsence.Count()) << shape_.Text();
  EXPECT_LE(lateness_.Count(), kMaxLateness.Count()) << shape_.Text();
  EXPECT_EQ(fleet_.lapsed().size(), lapsed) << shape_.Text();
  EXPECT_LE(fleet_.Restarts(), restarts + static_cast<int64_t>(interrupted.size()))
      << shape_.Text();
  EXPECT_LE(InterruptedTasks().size(), interrupted.size()) << shape_.Text();
}

INSTANTIATE_TEST_SUITE_P(Seeds, TroubleFallsAudit, testing::ValuesIn(SelectAuditSeeds(kSeeds)));

}  // namespace
}  // namespace currantpost::scheduler
