#include <gtest/gtest.h>

#include <algorithm>

#include "world.h"

/// How the cells without an owner are divided among the entries.

namespace currantpost::scheduler {
namespace {

constexpr size_t kCells = 6;
/// An entry of this size can serve two cells.
constexpr int64_t kMillicores = 100;
constexpr size_t kCellsPerEntry = 2;

/// Three data centres with two cells and two small entries each.
class ClaimsAfterOutage : public testing::Test {
 protected:
  void SetUp() override {
    world_.Run(Millis(8'000));
    ASSERT_EQ(OwnedCells(), kCells);
  }

  [[nodiscard]] size_t OwnedCells() {
    size_t cells = 0;
    for (const std::string& entry : world_.Entries()) cells += world_.state(entry).cells.size();
    return cells;
  }

  [[nodiscard]] size_t MostCellsOfAnEntry() {
    size_t most = 0;
    for (const std::string& entry : world_.Entries()) {
      most = std::max(most, world_.state(entry).cells.size());
    }
    return most;
  }

  World world_{WorldShape{.entries = 6,
                          .data_centres = 3,
                          .racks = 4,
                          .workers_per_rack = 8,
                          .millicores = std::vector<int64_t>(6, kMillicores)}};
};

// Guards against one entry that takes all cells because it is the first to reach the store again.
TEST_F(ClaimsAfterOutage, TheFirstEntryThatReachesTheStoreAgainDoesNotTakeAllCells) {
  const std::vector<std::string> entries = world_.Entries();
  for (const std::string& entry : entries) world_.Cut(entry, "store");
  world_.Run(Millis(12'000));
  size_t most = 0;

  for (const std::string& entry : entries) {
    world_.Reconnect(entry, "store");
    world_.Run(Millis(200));
    most = std::max(most, MostCellsOfAnEntry());
  }

  for (int32_t round = 0; round < 50; ++round) {
    world_.Run(Millis(100));
    most = std::max(most, MostCellsOfAnEntry());
  }

  EXPECT_LE(most, kCellsPerEntry);
  EXPECT_EQ(OwnedCells(), kCells);
}

// Guards against the same where the other entries are back seconds later.
TEST_F(ClaimsAfterOutage, TheFirstEntryDoesNotTakeAllCellsThoughTheOthersAreBackSecondsLater) {
  const std::vector<std::string> entries = world_.Entries();
  for (const std::string& entry : entries) world_.Cut(entry, "store");
  world_.Run(Millis(12'000));
  world_.Reconnect(entries.front(), "store");
  world_.Run(Millis(2'500));
  EXPECT_LE(MostCellsOfAnEntry(), 2 * kCellsPerEntry);

  world_.Reconnect();
  world_.Run(Millis(12'000));
  EXPECT_LE(MostCellsOfAnEntry(), kCellsPerEntry);
  EXPECT_EQ(OwnedCells(), kCells);
}

TEST_F(ClaimsAfterOutage, ALoneEntryTakesAllCellsInTheEnd) {
  const std::vector<std::string> entries = world_.Entries();
  for (size_t number = 1; number < entries.size(); ++number) world_.KillForGood(entries[number]);
  world_.Run(Millis(10'000));

  EXPECT_EQ(OwnedCells(), kCells);
}

}  // namespace
}  // namespace currantpost::scheduler
