#include <gtest/gtest.h>

#include <algorithm>

#include "world.h"

/// Long-running tasks whose cell changes owner while copies of the records take seconds.

namespace currantpost::scheduler {
namespace {

using Names = std::vector<std::string>;

/// Half of a worker's lease.
constexpr Millis kMaxOwnerless = Millis(2'400);
constexpr Millis kSampleInterval = Millis(20);
constexpr int32_t kDataCentres = 2;
constexpr int32_t kTasks = 24;
/// How long a copy of the records takes. Longer than a worker's lease.
constexpr Millis kSlowCopy = Millis(8'000);

/// Two data centres with cells and several entries each, and one long-running task on most workers.
class OwnerlessCell : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [](const TaskName&) {
      return RunPlan{.never_ends = true, .need = Resources{.millicores = 2'000, .memory_mib = 100}};
    };
    world_.Run(Millis(8'000));
    JobSpec spec = MakeJob("a", kTasks, 2'000);
    spec.steps[0].is_long_running = true;
    world_.Submit("e0", spec);
    world_.Run(Millis(4'000));
    ASSERT_EQ(world_.WorkersOf("a").size(), static_cast<size_t>(kTasks));
    for (const auto& [entry, value] : world_.DataCentres()) {
      for (const auto& [cell, owned] : world_.state(entry).cells) cells_.insert(cell);
    }
    ASSERT_GE(cells_.size(), static_cast<size_t>(kDataCentres));
  }

  void TearDown() override {
    EXPECT_EQ(world_.violations, Names());
    EXPECT_EQ(Lapsed(), 0) << LogText();
    EXPECT_EQ(world_.WorkersOf("a").size(), static_cast<size_t>(kTasks));
  }

  /// Lets time pass and notes for how long cells have no owner.
  void Run(Millis span) {
    const Millis end = world_.now() + span;

    while (world_.now() < end) {
      world_.Run(kSampleInterval);

      for (const CellId& cell : cells_) {
        const bool owned = world_.store.Value(std::string(kCellPrefix) + cell.Text()).has_value();
        ownerless_[cell] = owned ? Millis(0) : ownerless_[cell] + kSampleInterval;
        longest_ownerless_ = std::max(longest_ownerless_, ownerless_[cell]);
      }
    }
  }

  /// Returns the number of runs that ended because their lease had expired.
  [[nodiscard]] int32_t Lapsed() {
    int32_t lapsed = 0;
    for (auto& [name, ends] : world_.ends) lapsed += ends[RunEnd::kLeaseExpired];
    return lapsed;
  }

  [[nodiscard]] Names EntriesOf(const std::string& data_centre) const {
    Names names;
    for (const auto& [entry, centre] : world_.DataCentres()) {
      if (centre == data_centre) names.push_back(entry);
    }
    return names;
  }

  [[nodiscard]] std::string LogText() const {
    std::string text;
    for (const std::string& line : world_.log) {
      const bool is_relevant = line.find("cell") != std::string::npos ||
                               line.find("caught up") != std::string::npos ||
                               line.find("lease") != std::string::npos;
      if (is_relevant) text += line + "\n";
    }
    return text;
  }

  World world_{
      WorldShape{.entries = 8, .data_centres = kDataCentres, .racks = 4, .workers_per_rack = 4}};
  std::set<CellId> cells_;
  std::map<CellId, Millis> ownerless_;
  Millis longest_ownerless_;
};

// Guards against a planned release to entries that cannot claim: the runs of the cell lapsed.
TEST_F(OwnerlessCell, NoRunLapsesThoughTheEntriesOfADataCentreAreBehindWhenTheyAreBack) {
  const Names home = EntriesOf("dc0");
  for (const std::string& entry : home) world_.Cut(entry, "store");
  Run(Millis(6'000));
  for (const std::string& entry : home) world_.SlowRecords(entry, kSlowCopy);
  world_.Reconnect();
  longest_ownerless_ = Millis(0);
  Run(Millis(30'000));

  EXPECT_LE(longest_ownerless_.Count(), kMaxOwnerless.Count()) << LogText();
}

// Guards against runs that lapse because their owner dies and all other entries are behind.
TEST_F(OwnerlessCell, NoRunLapsesThoughAllOtherEntriesAreBehindWhenAnOwnerIsGoneForGood) {
  const std::string owner = world_.OwnerOf("a");
  for (const std::string& entry : world_.Entries()) {
    if (entry != owner) world_.SlowRecords(entry, kSlowCopy);
  }
  Run(Millis(10'000));
  world_.KillForGood(owner);
  Run(Millis(30'000));
}

// Guards against an entry that reads all records before it keeps any run alive: after the loss of
// all entries every run lapsed.
TEST_F(OwnerlessCell, NoRunLapsesThoughAllEntriesRestartAndTheirCopiesTakeSeconds) {
  const Names entries = world_.Entries();
  for (const std::string& entry : entries) world_.Kill(entry);
  Run(Millis(500));
  for (const std::string& entry : entries) {
    world_.SlowRecords(entry, kSlowCopy);
    world_.Start(entry);
  }
  Run(Millis(30'000));
}

// Guards against a planned stop that leaves cells to entries which cannot claim.
TEST_F(OwnerlessCell, NoRunLapsesThoughAnEntryStopsWhileMostOthersAreBehind) {
  const std::string owner = world_.OwnerOf("a");
  const std::string current = owner == "e7" ? "e6" : "e7";
  for (const std::string& entry : world_.Entries()) {
    if (entry != owner && entry != current) world_.SlowRecords(entry, kSlowCopy);
  }
  Run(Millis(10'000));
  longest_ownerless_ = Millis(0);
  world_.Stop(owner);
  Run(Millis(30'000));

  EXPECT_LE(longest_ownerless_.Count(), kMaxOwnerless.Count()) << LogText();
}

}  // namespace
}  // namespace currantpost::scheduler
