#include <gtest/gtest.h>

#include "world.h"

/// An entry that needs a minute to read the progress records of a cell.

namespace currantpost::scheduler {
namespace {

using Names = std::vector<std::string>;

/// Number of jobs, each with one task that fits beside the others.
constexpr int32_t kJobs = 100;
/// Records on a page of a list, and the time that each page takes. All pages of the cell take
/// longer than workers' leases.
constexpr size_t kPageSize = 2;
constexpr Millis kPageTime = Millis(1'200);
/// Time within which a cell must be open again: that in which an owner detects that it can't open
/// it, and those of the offer and the opening at the next owner.
constexpr Millis kMaxClosed = Millis(10'000);

/// Two data centres with one cell each, and tasks without an end in both.
class SlowReader : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [](const TaskName&) {
      return RunPlan{.never_ends = true, .need = Resources{.millicores = 500, .memory_mib = 100}};
    };
  }

  void SubmitJobs(const std::string& entry) {
    for (int32_t number = 0; number < kJobs; ++number) {
      world_.Submit(entry, MakeJob(JobName(number), 1, 500));
    }
  }

  static std::string JobName(int32_t number) { return "a" + std::to_string(number); }

  void SlowDown(const std::string& entry) {
    world_.store.page_size = kPageSize;
    world_.SlowLists(entry, kPageTime);
  }

  /// Lets time pass and notes for how long the cell is not open at any entry.
  void Run(Millis span) {
    const Millis end = world_.now() + span;

    while (world_.now() < end) {
      world_.Run(Millis(100));
      closed_ = IsOpen() ? Millis(0) : closed_ + Millis(100);
      longest_closed_ = std::max(longest_closed_, closed_);
    }
  }

  [[nodiscard]] bool IsOpen() {
    const Names entries = world_.Entries();
    return std::ranges::any_of(entries, [&](const std::string& entry) {
      const auto& cells = world_.state(entry).cells;
      const auto cell = cells.find(CellId("dc0/0"));
      return cell != cells.end() && cell->second.open;
    });
  }

  [[nodiscard]] int32_t RunningJobs() const {
    int32_t running = 0;
    for (int32_t number = 0; number < kJobs; ++number) {
      if (!world_.WorkersOf(JobName(number)).empty()) ++running;
    }
    return running;
  }

  [[nodiscard]] int32_t Lapsed() {
    int32_t lapsed = 0;
    for (auto& [name, ends] : world_.ends) lapsed += ends[RunEnd::kLeaseExpired];
    return lapsed;
  }

  [[nodiscard]] std::string LogText() const {
    std::string text;
    for (const std::string& line : world_.log) {
      if (line.find("cell") != std::string::npos) text += line + "\n";
    }
    return text;
  }

  World world_{WorldShape{.entries = 4, .data_centres = 2, .racks = 1, .workers_per_rack = 4}};
  Millis closed_;
  Millis longest_closed_;
};

// Guards against an entry that accepts a cell although it needs a minute to read what it needs to
// open it: the runs lapsed, and nothing started in the cell meanwhile.
TEST_F(SlowReader, DoesNotAcceptACellThatItCannotOpenSoon) {
  world_.Run(Millis(8'000));
  world_.KillForGood("e0");
  world_.KillForGood("e2");
  world_.Run(Millis(10'000));
  SubmitJobs("e1");
  world_.Run(Millis(5'000));
  ASSERT_EQ(RunningJobs(), kJobs);
  ASSERT_TRUE(IsOpen());

  world_.Start("e0");
  world_.Run(Millis(1'500));
  SlowDown("e0");
  Run(Millis(40'000));

  EXPECT_LE(longest_closed_.Count(), kMaxClosed.Count()) << LogText();
  EXPECT_EQ(Lapsed(), 0) << LogText();
  EXPECT_EQ(world_.violations, Names());
}

// Guards against an owner that keeps a cell which it has claimed and can't open, though another
// entry can.
TEST_F(SlowReader, PassesACellOnThatItCannotOpenSoon) {
  world_.Run(Millis(8'000));
  SubmitJobs("e1");
  world_.Run(Millis(5'000));
  ASSERT_EQ(RunningJobs(), kJobs);
  const bool owned_by_e0 = world_.state("e0").cells.contains(CellId("dc0/0"));
  const std::string owner = owned_by_e0 ? "e0" : "e2";
  ASSERT_TRUE(world_.state(owner).cells.contains(CellId("dc0/0")));

  SlowDown(owned_by_e0 ? "e2" : "e0");
  world_.KillForGood(owner);
  Run(Millis(60'000));

  EXPECT_LE(longest_closed_.Count(), (kMaxClosed + Millis(5'000)).Count()) << LogText();
  EXPECT_EQ(world_.violations, Names());
}

}  // namespace
}  // namespace currantpost::scheduler
