#include "currantpost/policy/pace_allotment.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace currantpost {
namespace {

/// Six tasks of two images, each of which would use 0.12 of the worker.
std::vector<BestEffortTask> SixTasks() {
  std::vector<BestEffortTask> tasks;

  for (int number = 0; number < 6; ++number) {
    tasks.push_back({.image = number % 2 == 0 ? "review" : "survey", .share = 0.12, .speed = 100});
  }

  return tasks;
}

double UseOf(const std::vector<BestEffortTask>& tasks) {
  double use = 0.0;
  for (const BestEffortTask& task : tasks) use += task.share * task.speed / 100.0;
  return use;
}

std::vector<int32_t> SpeedsOf(const std::vector<BestEffortTask>& tasks) {
  std::vector<int32_t> speeds;
  for (const BestEffortTask& task : tasks) speeds.push_back(task.speed);
  return speeds;
}

TEST(PaceAllotment, SlowsTheFastestTasksDownToSimilarSpeeds) {
  std::vector<BestEffortTask> tasks = SixTasks();
  tasks[0].speed = 50;

  AssignSpeeds({}, {.max_total = 0.42}, tasks);
  EXPECT_EQ(SpeedsOf(tasks), (std::vector<int32_t>{50, 60, 60, 60, 60, 60}));
}

TEST(PaceAllotment, SpeedsUpTheSlowestTasksWithinTheLimitPerCall) {
  std::vector<BestEffortTask> tasks = SixTasks();
  for (BestEffortTask& task : tasks) task.speed = 0;
  tasks[0].speed = 50;

  AssignSpeeds({}, {.max_total = 1.0}, tasks);
  EXPECT_EQ(SpeedsOf(tasks), (std::vector<int32_t>{50, 80, 40, 40, 40, 40}));

  AssignSpeeds({}, {.max_total = 1.0}, tasks);
  AssignSpeeds({}, {.max_total = 1.0}, tasks);
  EXPECT_EQ(SpeedsOf(tasks), (std::vector<int32_t>(6, 100)));
}

TEST(PaceAllotment, SlowsOnlyTheImageThatExceedsItsLimit) {
  std::vector<BestEffortTask> tasks = SixTasks();

  AssignSpeeds({}, {.max_total = 1.0, .max_by_image = {{"survey", 0.12}}}, tasks);
  EXPECT_EQ(SpeedsOf(tasks), (std::vector<int32_t>{100, 60, 100, 20, 100, 20}));
}

TEST(PaceAllotment, KeepsSpeedsWhenTheLimitChangesByLessThanTheSlack) {
  std::vector<BestEffortTask> tasks = SixTasks();
  AssignSpeeds({}, {.max_total = 0.40}, tasks);
  const std::vector<int32_t> before = SpeedsOf(tasks);

  AssignSpeeds({}, {.max_total = 0.41}, tasks);
  EXPECT_EQ(SpeedsOf(tasks), before);
}

/// Simulates a capacity that fluctuates with a deviation of 0.1 of the worker between polls. Counts
/// the orders, and compares them with one common speed for all tasks.
TEST(PaceAllotment, AChangeOfCapacityTakesOrdersToFewTasks) {
  std::mt19937_64 generator(11);
  std::normal_distribution<double> room(0.45, 0.1);
  std::vector<BestEffortTask> tasks = SixTasks();
  int orders = 0;
  int orders_for_common_speed = 0;
  int32_t common_speed = 100;
  double unused = 0.0;
  constexpr int kPolls = 1'000;

  for (int poll = 0; poll < kPolls; ++poll) {
    const double most = std::clamp(room(generator), 0.0, 0.72);
    const std::vector<int32_t> before = SpeedsOf(tasks);
    AssignSpeeds({}, {.max_total = most}, tasks);
    unused += most - UseOf(tasks);

    for (size_t number = 0; number < tasks.size(); ++number) {
      if (tasks[number].speed != before[number]) ++orders;
    }

    const auto new_common_speed = static_cast<int32_t>(most / 0.72 * 10.0) * 10;
    if (new_common_speed != common_speed) orders_for_common_speed += static_cast<int>(tasks.size());
    common_speed = new_common_speed;
  }

  EXPECT_LT(orders, orders_for_common_speed * 3 / 5);
  EXPECT_LT(unused / kPolls, 0.02);
}

RC_GTEST_PROP(PaceAllotment, StaysWithinTheLimitsAndUsesTheAvailableCapacity, ()) {
  const int count = *rc::gen::inRange(0, 8);
  std::vector<BestEffortTask> tasks;

  for (int number = 0; number < count; ++number) {
    tasks.push_back({.image = *rc::gen::element<std::string>("a", "b", "c"),
                     .share = *rc::gen::inRange(1, 40) / 100.0,
                     .speed = *rc::gen::inRange(0, 11) * 10});
  }

  const BestEffortLimits limits{.max_total = *rc::gen::inRange(0, 100) / 100.0,
                                .max_by_image = {{"a", *rc::gen::inRange(0, 50) / 100.0}}};
  const std::vector<int32_t> first = SpeedsOf(tasks);
  SpeedAssignmentSettings settings;
  settings.max_total_increase = 8.0;
  AssignSpeeds(settings, limits, tasks);

  RC_ASSERT(UseOf(tasks) <= limits.max_total + 1e-9);

  double use_of_a = 0.0;
  for (const BestEffortTask& task : tasks) {
    RC_ASSERT(task.speed >= 0 && task.speed <= 100 && task.speed % settings.speed_step == 0);
    if (task.image == "a") use_of_a += task.share * task.speed / 100.0;
  }
  RC_ASSERT(use_of_a <= limits.max_by_image.at("a") + 1e-9);

  // For a task below full speed, the spare capacity is less than the slack and one step together.
  for (const BestEffortTask& task : tasks) {
    if (task.speed == 100) continue;

    const double step = task.share * settings.speed_step / 100.0;
    const double left = limits.max_total - UseOf(tasks);
    const double left_of_a = limits.max_by_image.at("a") - use_of_a;
    const double room = task.image == "a" ? std::min(left, left_of_a) : left;
    RC_ASSERT(room < settings.slack + step + 1e-9);
  }

  // A second call with the same limits changes nothing.
  const std::vector<int32_t> settled = SpeedsOf(tasks);
  AssignSpeeds(settings, limits, tasks);
  RC_ASSERT(SpeedsOf(tasks) == settled);
}

}  // namespace
}  // namespace currantpost
