#include <gtest/gtest.h>

#include "world.h"

/// An owner that handles the store's replies later than tasks may start by them.

namespace currantpost::scheduler {
namespace {

using Names = std::vector<std::string>;

/// A machine that is kept busy by this number of queries per round, and handles each event 1.5 s
/// late then.
constexpr Machine kSmallMachine = {.per_event = Millis(55), .max_wait = Millis(1'500)};
constexpr int32_t kQueries = 6;
constexpr Millis kRound = Millis(100);
/// Time for the cell to get another owner.
constexpr Millis kMaxTransfer = Millis(15'000);
/// Time for short jobs to end there.
constexpr Millis kMaxJobTime = Millis(5'000);
constexpr int32_t kJobs = 10;

/// Two data centres with one entry and one cell each.
class SlowOwner : public testing::Test {
 protected:
  void SetUp() override {
    world_.Run(Millis(8'000));
    ASSERT_TRUE(OwnsHomeCell());
    world_.SetMachine("e0", kSmallMachine);
    Run(kMaxTransfer);
  }

  [[nodiscard]] bool OwnsHomeCell() { return world_.state("e0").cells.contains(CellId("dc0/0")); }

  void Run(Millis span) {
    for (Millis passed; passed < span; passed = passed + kRound) {
      for (int32_t query = 0; query < kQueries; ++query) world_.RequestStatus("e0", "unknown");
      world_.Run(kRound);
    }
  }

  World world_{WorldShape{.entries = 2, .data_centres = 2, .racks = 1, .workers_per_rack = 2}};
};

// Guards against an owner that can start no task, as all that it knows of the workers is too old,
// and keeps its cell though another entry could start them.
TEST_F(SlowOwner, TasksStartThoughTheirOwnerHandlesRepliesTooLateToStartThem) {
  for (int32_t number = 0; number < kJobs; ++number) {
    world_.Submit("e1", MakeJob("job" + std::to_string(number), 1));
  }
  Run(kMaxJobTime);

  for (int32_t number = 0; number < kJobs; ++number) {
    const std::string job = "job" + std::to_string(number);
    EXPECT_EQ(world_.Phase(job), JobPhase::kCompleted) << job << ", owner " << world_.OwnerOf(job);
  }
  EXPECT_EQ(world_.violations, Names());
}

// Guards against a cell that goes back at once to the entry which it makes slow, or never.
TEST_F(SlowOwner, GetsItsCellBackOnceItHasNotBeenSlowForAWhile) {
  EXPECT_FALSE(OwnsHomeCell());
  world_.Run(Millis(15'000));
  EXPECT_FALSE(OwnsHomeCell());
  world_.Run(Millis(45'000));
  EXPECT_TRUE(OwnsHomeCell());
  EXPECT_EQ(world_.violations, Names());
}

}  // namespace
}  // namespace currantpost::scheduler
