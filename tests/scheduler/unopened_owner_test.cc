#include <gtest/gtest.h>

#include "world.h"

/// An owner that gives its cell up before it has opened it.

namespace currantpost::scheduler {
namespace {

using Names = std::vector<std::string>;

class UnopenedOwner : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [](const TaskName&) {
      return RunPlan{.never_ends = true, .need = Resources{.millicores = 1'000, .memory_mib = 100}};
    };
    world_.Run(Millis(8'000));
    JobSpec spec = MakeJob("a", 1);
    spec.steps[0].is_long_running = true;
    world_.Submit("e0", spec);
    world_.Run(Millis(4'000));
    ASSERT_EQ(world_.WorkersOf("a").size(), 1U);
    worker_ = world_.WorkersOf("a").front();
    former_ = world_.OwnerOf("a");
    behind_ = former_ == "e0" ? "e1" : "e0";
    next_ = former_ == "e2" ? "e1" : "e2";
  }

  [[nodiscard]] std::string LogText() const {
    std::string text;
    for (const std::string& line : world_.log) {
      if (line.find("counted") == std::string::npos) text += line + "\n";
    }
    return text;
  }

  [[nodiscard]] bool IsHandOverRecordOf(const std::string& entry) const {
    const auto value = world_.store.Value(std::string(kHandOverPrefix) + "dc0/0");
    return value && DecodeHandOver(*value)->owner.Text() == entry;
  }

  World world_{WorldShape{.entries = 3, .racks = 1, .workers_per_rack = 2}};
  std::string worker_;
  std::string former_;
  std::string behind_;
  std::string next_;
};

// Guards against an owner that reports no leases because it does not know that its record is
// stored.
TEST_F(UnopenedOwner, ReportsLeasesThoughTheReplyToItsRecordWasLost) {
  world_.SlowRecords(behind_, Millis(8'000));
  world_.Run(Millis(12'000));
  world_.Cut(next_, "store");
  world_.Cut(next_, worker_);
  const LeaseId lease = world_.store.LeaseOf(std::string(kCellPrefix) + "dc0/0");
  world_.KillForGood(former_);
  world_.store.Handle(RevokeLease{lease}, world_.now(), [](const StoreReply&) {});
  for (int32_t step = 0; step < 400 && !IsHandOverRecordOf(behind_); ++step) world_.Run(Millis(5));
  ASSERT_TRUE(IsHandOverRecordOf(behind_)) << LogText();

  world_.Cut(behind_, "store");
  world_.Run(Millis(10));
  world_.Reconnect(behind_, "store");
  world_.Stop(behind_);
  world_.Run(Millis(400));
  world_.Reconnect(next_, "store");
  world_.Run(Millis(20'000));
  EXPECT_EQ(world_.violations, Names()) << LogText();
}

}  // namespace
}  // namespace currantpost::scheduler
