#include "currantpost/policy/eviction_planner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace currantpost {
namespace {

constexpr PressureLimits kLimits;

BatchResident Resident(const char* job, Millis unsaved_progress, double added_slowdown,
                       bool throttled) {
  BatchResident resident;
  resident.task = {.job = JobId(job)};
  resident.committed = {.millicores = 4'000, .memory_mib = 8'000};
  resident.age = Millis(100'000);
  resident.unsaved_progress = unsaved_progress;
  resident.added_slowdown = added_slowdown;
  resident.throttled = throttled;
  return resident;
}

VmPressure Vm(double slowdown, Millis measured_at, std::vector<BatchResident> batch) {
  VmPressure pressure;
  pressure.vm = VmId("vm-1");
  pressure.rack = RackId("rack-1");
  pressure.capacity = {.millicores = 32'000, .memory_mib = 128'000};
  pressure.slowdown = slowdown;
  pressure.measured_at = measured_at;
  pressure.batch = std::move(batch);
  return pressure;
}

/// Returns the action and the job of each decision.
std::vector<std::string> Summarize(const std::vector<PressureDecision>& decisions) {
  std::vector<std::string> summaries;

  for (const PressureDecision& decision : decisions) {
    summaries.push_back(std::string(kPressureActionNames.Name(decision.action)) + " " +
                        decision.task.job.Text());
  }

  return summaries;
}

using Actions = std::vector<std::string>;

TEST(EvictionPlanner, ThrottlesInOrderOfAddedSlowdownAndOnlyAsManyAsNeeded) {
  EvictionPlanner planner;
  const auto pressure =
      Vm(1.40, Millis(900),
         {Resident("mild", Millis(1), 0.05, false), Resident("harmful", Millis(9), 0.20, false)});

  EXPECT_EQ(Summarize(planner.Plan(Millis(1'000), pressure, kLimits)), Actions{"throttle harmful"});
}

TEST(EvictionPlanner, DoesNothingAtOrBelowTheLimit) {
  EvictionPlanner planner;
  const auto pressure = Vm(1.25, Millis(900), {Resident("a", Millis(1), 0.2, false)});

  EXPECT_TRUE(planner.Plan(Millis(1'000), pressure, kLimits).empty());
}

TEST(EvictionPlanner, WaitsForAReportMeasuredAfterItsLastAction) {
  EvictionPlanner planner;
  const std::vector<BatchResident> batch = {Resident("a", Millis(1), 0.9, false),
                                            Resident("b", Millis(1), 0.8, false)};

  EXPECT_EQ(planner.Plan(Millis(1'000), Vm(1.9, Millis(500), batch), kLimits).size(), 1U);
  EXPECT_TRUE(planner.Plan(Millis(2'000), Vm(1.9, Millis(900), batch), kLimits).empty());
  EXPECT_FALSE(planner.Plan(Millis(3'000), Vm(1.9, Millis(1'900), batch), kLimits).empty());
}

TEST(EvictionPlanner, EvictsTheTaskWithLeastLostProgressWhenThrottlingDoesNotHelp) {
  EvictionPlanner planner;
  const std::vector<BatchResident> batch = {Resident("long", Millis(50'000), 0.2, true),
                                            Resident("short", Millis(2'000), 0.2, true)};

  EXPECT_TRUE(planner.Plan(Millis(1'000), Vm(1.5, Millis(900), batch), kLimits).empty());
  EXPECT_TRUE(planner.Plan(Millis(9'000), Vm(1.5, Millis(8'900), batch), kLimits).empty());
  EXPECT_EQ(Summarize(planner.Plan(Millis(16'000), Vm(1.5, Millis(15'900), batch), kLimits)),
            Actions{"evict short"});
}

TEST(EvictionPlanner, RestartsTheEvictionDelayAfterASlowdownWithinTheLimit) {
  EvictionPlanner planner;
  const std::vector<BatchResident> batch = {Resident("a", Millis(1), 0.2, true)};

  EXPECT_TRUE(planner.Plan(Millis(1'000), Vm(1.5, Millis(900), batch), kLimits).empty());
  EXPECT_TRUE(planner.Plan(Millis(9'000), Vm(1.22, Millis(8'900), batch), kLimits).empty());
  EXPECT_TRUE(planner.Plan(Millis(17'000), Vm(1.5, Millis(16'900), batch), kLimits).empty());
}

TEST(EvictionPlanner, DoesNotEvictTasksThatStartedRecently) {
  EvictionPlanner planner;
  BatchResident young = Resident("young", Millis(1), 0.2, true);
  young.age = Millis(29'999);

  EXPECT_TRUE(planner.Plan(Millis(1'000), Vm(1.5, Millis(900), {young}), kLimits).empty());
  EXPECT_TRUE(planner.Plan(Millis(20'000), Vm(1.5, Millis(19'900), {young}), kLimits).empty());
}

TEST(EvictionPlanner, UnthrottlesTheTaskWithLeastAddedSlowdownAfterRecovery) {
  EvictionPlanner planner;
  const std::vector<BatchResident> batch = {Resident("harmful", Millis(1), 0.3, true),
                                            Resident("mild", Millis(1), 0.1, true)};

  EXPECT_TRUE(planner.Plan(Millis(1'000), Vm(1.05, Millis(900), batch), kLimits).empty());
  EXPECT_EQ(Summarize(planner.Plan(Millis(11'000), Vm(1.05, Millis(10'900), batch), kLimits)),
            Actions{"unthrottle mild"});
}

TEST(EvictionPlanner, UnthrottlesTogetherTheTasksPredictedToStayBelowTheLimit) {
  EvictionPlanner planner;
  const std::vector<BatchResident> batch = {
      Resident("a", Millis(1), 0.010, true), Resident("b", Millis(1), 0.015, true),
      Resident("c", Millis(1), 0.040, true), Resident("d", Millis(1), 0.050, true)};

  EXPECT_TRUE(planner.Plan(Millis(1'000), Vm(1.05, Millis(900), batch), kLimits).empty());
  EXPECT_EQ(Summarize(planner.Plan(Millis(11'000), Vm(1.05, Millis(10'900), batch), kLimits)),
            (Actions{"unthrottle a", "unthrottle b"}));
}

TEST(EvictionPlanner, EvictsAtOnceWhenMemoryIsOverCommitted) {
  EvictionPlanner planner;
  BatchResident young = Resident("young", Millis(10), 0.0, false);
  young.age = Millis(0);
  VmPressure pressure = Vm(1.0, Millis(900), {Resident("old", Millis(20), 0.0, false), young});
  pressure.committed = {.millicores = 10'000, .memory_mib = 130'000};

  const auto decisions = planner.Plan(Millis(1'000), pressure, kLimits);
  EXPECT_EQ(Summarize(decisions), Actions{"evict young"});
  EXPECT_EQ(decisions[0].reason, PressureReason::kOverCommitted);
}

TEST(EvictionPlanner, ThrottlesWithoutEvictionWhenProcessorsAreOverCommitted) {
  EvictionPlanner planner;
  BatchResident large = Resident("large", Millis(1), 0.0, false);
  large.committed.millicores = 9'000;
  VmPressure pressure = Vm(1.0, Millis(900), {Resident("small", Millis(1), 0.0, false), large});
  pressure.committed = {.millicores = 36'000};
  pressure.used = {.millicores = 36'000};

  const auto decisions = planner.Plan(Millis(1'000), pressure, kLimits);
  ASSERT_EQ(Summarize(decisions), Actions{"throttle large"});
  EXPECT_EQ(decisions[0].reason, PressureReason::kOverCommitted);
}

TEST(EvictionPlanner, EvictsLowPriorityBeforeUrgent) {
  EvictionPlanner planner;
  BatchResident urgent = Resident("urgent", Millis(0), 0.0, false);
  urgent.priority = Priority::kUrgent;
  VmPressure pressure = Vm(1.0, Millis(900), {urgent, Resident("normal", Millis(99), 0.0, false)});
  pressure.committed = {.memory_mib = 130'000};

  EXPECT_EQ(Summarize(planner.Plan(Millis(1'000), pressure, kLimits)), Actions{"evict normal"});
}

RC_GTEST_PROP(EvictionPlannerProperty, NeverExceedsTheBudgetOfARackInAnyMinute, ()) {
  EvictionPlanner planner({.eviction_delay = Millis(0)});
  const int budget = *rc::gen::inRange(0, 5);
  const PressureLimits limits{.evictions_per_minute = budget, .eviction_hysteresis = Millis(0)};
  std::vector<Millis> evictions;
  Millis now(1'000);

  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    now = now + Millis(*rc::gen::inRange(1, 20'000));
    const double slowdown = *rc::gen::element(1.0, 1.2, 1.3, 2.0);

    VmPressure pressure = Vm(slowdown, now - Millis(1), {});
    pressure.vm = VmId(std::to_string(*rc::gen::inRange(0, 4)));
    if (*rc::gen::arbitrary<bool>()) pressure.committed = {.memory_mib = 150'000};

    std::set<TaskKey> throttled;
    for (const char* job : {"a", "b", "c"}) {
      pressure.batch.push_back(
          Resident(job, Millis(*rc::gen::inRange(0, 99)), 0.1, *rc::gen::arbitrary<bool>()));
      if (pressure.batch.back().throttled) throttled.insert(pressure.batch.back().task);
    }

    for (const PressureDecision& decision : planner.Plan(now, pressure, limits)) {
      if (decision.action == PressureAction::kEvict) evictions.push_back(now);

      // No task is evicted for a slowdown while another task can still be throttled.
      if (decision.action == PressureAction::kEvict &&
          decision.reason == PressureReason::kSlowdown) {
        RC_ASSERT(throttled.size() == pressure.batch.size());
      }
    }
  }

  for (size_t first = 0; first < evictions.size(); ++first) {
    int within = 0;
    for (size_t other = first; other < evictions.size(); ++other) {
      if (evictions[other] - evictions[first] < Millis(60'000)) ++within;
    }
    RC_ASSERT(within <= budget);
  }
}

}  // namespace
}  // namespace currantpost
