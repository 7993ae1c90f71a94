#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

#include "hand_over_scenario.h"
#include "world.h"

/// Owners that handle replies late: what workers list waits for their processors.

namespace currantpost::scheduler {
namespace {

/// An end counts as known this long after a worker has listed it, if nothing was disturbed.
constexpr Millis kKnownAfter = Millis(100);
/// The HTTP client reads a reply that has begun to arrive for this many times its timeout.
constexpr int64_t kReplyTimeouts = 10;

/// Owners that drop replies at their timeouts, or at twice that, start tasks again on some of
/// these.
const std::vector<uint64_t> kSeeds = {7, 11, 12, 19, 22, 35, 52, 58, 64, 551};

constexpr Millis kStartTime = Millis(8'000);
constexpr Millis kRound = Millis(100);
constexpr int32_t kRounds = 400;
/// The entries are busy for this number of rounds, then idle for as many.
constexpr int32_t kBusyRounds = 60;
constexpr int32_t kQueriesPerRound = 6;
constexpr int32_t kRoundsPerJob = 3;
constexpr int32_t kTasksPerJob = 3;

class LateOwner : public testing::TestWithParam<uint64_t> {
 protected:
  void SetUp() override {
    world_.on_end_listed = [this](const std::string&, const EndedTask& end) {
      if (end.end == RunEnd::kDone) listed_at_.try_emplace(end.task, world_.now());
    };
    world_.on_start = [this](const ObservedStart& start) { CheckStart(start.order.task); };
    world_.planner = [this](const TaskName&) {
      return RunPlan{.duration = Draw(200, 4'000),
                     .need = Resources{.millicores = 1'000, .memory_mib = 100}};
    };
  }

  Millis Draw(int64_t low, int64_t high) {
    return Millis(std::uniform_int_distribution<int64_t>(low, high)(random_));
  }

  void CheckStart(const TaskName& task) {
    const auto listed = listed_at_.find(task);
    if (listed == listed_at_.end() || world_.now() <= listed->second + kKnownAfter) return;

    started_again_.push_back(task.job.Text() + " at " + std::to_string(world_.now().Count()) +
                             " ms, listed at " + std::to_string(listed->second.Count()) + " ms");
  }

  /// Limits the processors of all entries: events wait for up to 0.8 s to 4 s.
  void SetMachines() {
    const Millis max_wait = Draw(800, 4'000);
    for (const std::string& entry : world_.Entries()) {
      world_.SetMachine(entry, Machine{.per_event = Draw(20, 60),
                                       .max_wait = max_wait,
                                       .reply_timeouts = kReplyTimeouts});
    }
  }

  void KeepBusy() {
    for (const std::string& entry : world_.Entries()) {
      for (int32_t query = 0; query < kQueriesPerRound; ++query) {
        world_.RequestStatus(entry, "unknown");
      }
    }
  }

  std::mt19937 random_{static_cast<uint32_t>(GetParam())};
  std::map<TaskName, Millis> listed_at_;
  std::vector<std::string> started_again_;
  World world_{WorldShape{.entries = 2, .racks = 1, .workers_per_rack = 4, .seed = GetParam()}};
};

// Guards against a second run of a task whose end was listed: replies that had arrived were dropped
// once their calls timed out, until the lease of the worker had expired.
TEST_P(LateOwner, StartsNoTaskAgainWhoseEndWasListed) {
  world_.Run(kStartTime);
  SetMachines();

  for (int32_t round = 0; round < kRounds; ++round) {
    if (round / kBusyRounds % 2 == 0) KeepBusy();

    if (round % kRoundsPerJob == 0) {
      const std::string entry = round % 2 == 0 ? "e0" : "e1";
      world_.Submit(entry, MakeJob("job" + std::to_string(round), kTasksPerJob));
    }

    world_.Run(kRound);
  }

  EXPECT_EQ(started_again_, std::vector<std::string>());
  EXPECT_EQ(world_.violations, std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(Seeds, LateOwner, testing::ValuesIn(SelectAuditSeeds(kSeeds)));

}  // namespace
}  // namespace currantpost::scheduler
