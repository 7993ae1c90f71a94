#include <gtest/gtest.h>

#include <map>
#include <string>

#include "busy_fleet.h"

/// Few owners with many cells each, where hundreds of jobs search for scarce capacity and the
/// search takes processor time.

namespace currantpost::scheduler {
namespace {

constexpr Millis kCatchUpTime = Millis(8'000);
constexpr Millis kMeasuredTime = Millis(4'000);
/// How long an owner that asks for capacity waits for the reply before it asks the next one.
constexpr Millis kMaxLateness = Millis(150);
/// A lost long-running task has to run again within 9 s, of which up to 4.8 s pass until its
/// worker's lease has expired.
constexpr Millis kMaxWait = Millis(4'000);

class BusyOwner : public testing::Test {
 protected:
  void SetUp() override {
    fleet_.Load();
    for (const std::string& entry : world_.Entries()) {
      ASSERT_EQ(CellsOf(entry), 10U);
      lease_of_[entry] = world_.state(entry).lease.lease;
    }
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  size_t CellsOf(const std::string& entry) { return world_.state(entry).cells.size(); }

  BusyFleet fleet_{BusyFleetShape{}};
  World& world_ = fleet_.world();
  std::map<std::string, LeaseId> lease_of_;
};

// Guards against a search for capacity that takes the processor which renewals need, so that leases
// lapse and more tasks wait and search.
TEST_F(BusyOwner, RenewalsStayInTimeWhileHundredsOfJobsSearch) {
  fleet_.RunAndMeasure(kCatchUpTime);
  EXPECT_LE(fleet_.RunAndMeasure(kMeasuredTime).Count(), kMaxLateness.Count());

  EXPECT_EQ(fleet_.lapsed(), std::vector<std::string>());
  EXPECT_EQ(fleet_.Restarts(), 0);
  for (const auto& [entry, lease] : lease_of_) {
    EXPECT_EQ(world_.state(entry).lease.lease, lease) << entry;
    EXPECT_EQ(CellsOf(entry), 10U) << entry;
  }
}

// Guards against owners that are so busy that their waiting tasks never find capacity.
TEST_F(BusyOwner, WaitingTasksFindCapacityThatBecomesFreeInAnyCell) {
  world_.Run(kCatchUpTime);
  const int64_t before = fleet_.RunningWaiters();
  world_.Cancel("e1", fleet_.filling().back());
  world_.Run(kMaxWait);

  EXPECT_GE(fleet_.RunningWaiters(), before + BusyFleet::kWorkersPerCell - 1);
}

}  // namespace
}  // namespace currantpost::scheduler
