#include <gtest/gtest.h>

#include "world.h"

/// The order in which jobs are placed when demand exceeds capacity.

namespace currantpost::scheduler {
namespace {

/// One worker of eight cores; each job needs all of them.
class PlacementOrder : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [this](const TaskName& name) {
      started_at_[name.job.Text()] = world_.now();
      return RunPlan{.duration = duration_[name.job.Text()],
                     .need = Resources{.millicores = 8'000, .memory_mib = 100}};
    };
    world_.Run(Millis(3'000));
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  void Submit(const std::string& id, Millis estimate, Millis duration) {
    duration_[id] = duration;
    JobSpec spec = MakeJob(id, 1, 8'000);
    spec.steps[0].estimate = estimate;
    world_.Submit("e0", spec);
    world_.Run(Millis(100));
  }

  World world_{WorldShape{.entries = 1, .racks = 1, .workers_per_rack = 1}};
  std::map<std::string, Millis> duration_;
  std::map<std::string, Millis> started_at_;
};

// Guards against placement in order of arrival, where a short job waited behind long ones that were
// not urgent.
TEST_F(PlacementOrder, JobsDueSoonerStartFirst) {
  Submit("first", Millis(1'000), Millis(1'000));
  Submit("long", Millis(20'000), Millis(1'000));
  Submit("short", Millis(2'000), Millis(1'000));
  world_.Run(Millis(6'000));

  EXPECT_LT(started_at_["short"], started_at_["long"]);
  for (const char* id : {"first", "long", "short"}) {
    EXPECT_EQ(world_.Phase(id), JobPhase::kCompleted) << id;
  }
}

// Guards against an overdue job that delays a job that could still be in time.
TEST_F(PlacementOrder, OverdueJobsStartLastAndStillComplete) {
  Submit("first", Millis(3'000), Millis(3'000));
  Submit("overdue", Millis(200), Millis(1'000));
  world_.Run(Millis(1'500));
  Submit("fresh", Millis(5'000), Millis(1'000));
  world_.Run(Millis(8'000));

  EXPECT_LT(started_at_["fresh"], started_at_["overdue"]);
  EXPECT_EQ(world_.Phase("overdue"), JobPhase::kCompleted);
}

// The estimates of consecutive steps add up, those of parallel steps do not.
TEST_F(PlacementOrder, AnObjectiveIsTheLongestChainOfSteps) {
  JobSpec spec = MakeJob("a", 1, 8'000);
  spec.steps[0].estimate = Millis(300);
  spec.steps.push_back(spec.steps[0]);
  spec.steps[1].estimate = Millis(700);
  spec.steps.push_back(spec.steps[0]);
  spec.steps[2].after = {0, 1};
  world_.Submit("e0", spec);
  world_.Run(Millis(100));

  const auto record = DecodeJob(*world_.store.Value(std::string(kJobPrefix) + "a"));
  ASSERT_TRUE(record);
  EXPECT_EQ(record->objective, Millis(1'000));
}

}  // namespace
}  // namespace currantpost::scheduler
