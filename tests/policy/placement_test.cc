#include "currantpost/policy/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

namespace currantpost {
namespace {

PlacementCandidate Worker(int64_t committed_millicores = 0) {
  PlacementCandidate worker;
  worker.capacity = {.millicores = 32'000, .memory_mib = 128'000};
  worker.committed = {.millicores = committed_millicores};
  worker.services = {"board"};
  return worker;
}

PlacementDemand Task(int64_t millicores, std::string_view kind = "menu") {
  return {.kind = kind, .size = {.millicores = millicores, .memory_mib = 100}};
}

PlacementRefusal RefusalBy(PlacementStrategy&& strategy,
                           const std::vector<PlacementCandidate>& workers,
                           const PlacementDemand& task) {
  const PlacementResult result = strategy.Place(workers, task, {});
  EXPECT_FALSE(result);
  return result.error();
}

TEST(Placement, ReturnsTheReasonOfARefusal) {
  PlacementCandidate leaving = Worker();
  leaving.accepts_starts = false;
  PlacementCandidate full_of_batch = Worker(20'000);
  full_of_batch.committed_batch = {.millicores = 20'000};

  EXPECT_EQ(RefusalBy(FirstFitPlacement(), {}, Task(1)), PlacementRefusal::kNoWorker);
  EXPECT_EQ(RefusalBy(FirstFitPlacement(), {leaving}, Task(1)), PlacementRefusal::kNoWorker);
  EXPECT_EQ(RefusalBy(FirstFitPlacement(), {Worker()}, Task(40'000)), PlacementRefusal::kNeverFits);
  EXPECT_EQ(RefusalBy(FirstFitPlacement(), {Worker(31'000)}, Task(2'000)),
            PlacementRefusal::kNoRoom);
  EXPECT_EQ(RefusalBy(FirstFitPlacement(), {full_of_batch}, Task(4'000)),
            PlacementRefusal::kBatchShare);
  EXPECT_EQ(kPlacementRefusalNames.Name(PlacementRefusal::kBatchShare), "batch_share");
}

TEST(Placement, ReturnsTheRefusalNearestToAPlacement) {
  EXPECT_EQ(RefusalBy(LeastLoadedPlacement(), {Worker(32'000), Worker()}, Task(25'000)),
            PlacementRefusal::kBatchShare);
}

TEST(Placement, BaselineStrategiesChooseTheExpectedWorker) {
  const std::vector<PlacementCandidate> workers = {Worker(31'900), Worker(9'000), Worker(3'000)};

  EXPECT_EQ(FirstFitPlacement().Place(workers, Task(1'000), {}).value(), 1U);
  EXPECT_EQ(LeastLoadedPlacement().Place(workers, Task(1'000), {}).value(), 2U);
  EXPECT_GT(RandomPlacement(5).Place(workers, Task(1'000), {}).value(), 0U);
}

TEST(Placement, RandomPlacementIsDeterministicForASeed) {
  const std::vector<PlacementCandidate> workers(50, Worker());
  RandomPlacement first(5);
  RandomPlacement second(5);

  for (int task = 0; task < 20; ++task) {
    EXPECT_EQ(first.Place(workers, Task(1), {}), second.Place(workers, Task(1), {}));
  }
}

/// Returns a model in which review tasks slow the board service down, but not the watch service.
InterferenceModel TwoServices() {
  InterferenceModel model;

  for (int report = 0; report < 200; ++report) {
    const std::vector<KindLoad> batch = {{.kind = "review", .load = 0.1 * (report % 4)}};
    model.Observe({.service_kind = "board", .batch = batch, .slowdown = 1.0 + 2.0 * batch[0].load});
    model.Observe({.service_kind = "watch", .batch = batch, .slowdown = 1.0});
  }

  return model;
}

TEST(InterferenceAware, ChoosesTheWorkerWithTheLeastPredictedSlowdown) {
  const InterferenceModel model = TwoServices();
  std::vector<PlacementCandidate> workers = {Worker(), Worker(6'000)};
  workers[1].services = {"watch"};

  InterferenceAwarePlacement strategy(model);
  EXPECT_EQ(strategy.Place(workers, Task(2'000, "review"), {}).value(), 1U);
}

TEST(InterferenceAware, RefusesATaskThatWouldExceedTheSlowdownLimit) {
  const InterferenceModel model = TwoServices();

  EXPECT_EQ(RefusalBy(InterferenceAwarePlacement(model), {Worker()}, Task(6'000, "review")),
            PlacementRefusal::kInterference);

  PlacementCandidate without_service = Worker();
  without_service.services.clear();
  EXPECT_TRUE(
      InterferenceAwarePlacement(model).Place({&without_service, 1}, Task(6'000, "review"), {}));
}

TEST(InterferenceAware, UrgentTasksMayUseTheWholeHeadroom) {
  const InterferenceModel model = TwoServices();
  const std::vector<PlacementCandidate> workers = {Worker()};
  PlacementDemand task = Task(3'200, "review");

  EXPECT_FALSE(InterferenceAwarePlacement(model).Place(workers, task, {}));
  task.priority = Priority::kUrgent;
  EXPECT_TRUE(InterferenceAwarePlacement(model).Place(workers, task, {}));
}

TEST(InterferenceAware, SpreadsABurstOfStartsAndAvoidsThrottledWorkers) {
  const InterferenceModel model;
  std::vector<PlacementCandidate> workers = {Worker(2'000), Worker(), Worker()};
  workers[1].throttling = true;

  InterferenceAwarePlacement strategy(model);
  EXPECT_EQ(strategy.Place(workers, Task(1'000), {}).value(), 2U);

  workers[2].batch = {{.kind = "menu", .load = 0.2}};
  EXPECT_EQ(strategy.Place(workers, Task(1'000), {}).value(), 0U);
}

TEST(InterferenceAware, PlacesAServiceAwayFromBatchThatSlowsItDown) {
  const InterferenceModel model = TwoServices();
  std::vector<PlacementCandidate> workers = {Worker(), Worker(1'000)};
  workers[0].batch = {{.kind = "review", .load = 0.3}};

  PlacementDemand service = Task(2'000, "board");
  service.task_class = TaskClass::kService;
  EXPECT_EQ(InterferenceAwarePlacement(model).Place(workers, service, {}).value(), 1U);
}

PlacementCandidate AnyWorker() {
  const auto amount = rc::gen::inRange<int64_t>(0, 40'000);
  PlacementCandidate worker;
  worker.accepts_starts = *rc::gen::arbitrary<bool>();
  worker.throttling = *rc::gen::arbitrary<bool>();
  worker.capacity = {.millicores = *amount, .memory_mib = *amount, .accelerators = *amount % 3};
  worker.committed = {.millicores = *amount, .memory_mib = *amount, .accelerators = *amount % 3};
  worker.committed_batch = {.millicores = worker.committed.millicores / 2};
  if (*rc::gen::arbitrary<bool>()) worker.services = {"board"};
  if (*rc::gen::arbitrary<bool>()) worker.batch = {{.kind = "menu", .load = 0.5}};
  return worker;
}

RC_GTEST_PROP(PlacementProperty, NoStrategyCommitsMoreThanTheCapacityOfAVm, ()) {
  const InterferenceModel model = TwoServices();
  std::vector<std::unique_ptr<PlacementStrategy>> strategies;
  strategies.push_back(std::make_unique<FirstFitPlacement>());
  strategies.push_back(std::make_unique<LeastLoadedPlacement>());
  strategies.push_back(std::make_unique<RandomPlacement>(3));
  strategies.push_back(std::make_unique<InterferenceAwarePlacement>(model));

  std::vector<PlacementCandidate> workers(*rc::gen::inRange<size_t>(0, 9));
  for (PlacementCandidate& worker : workers) worker = AnyWorker();

  PlacementDemand task = Task(*rc::gen::inRange<int64_t>(0, 20'000), "review");
  task.size.accelerators = *rc::gen::inRange<int64_t>(0, 3);
  if (*rc::gen::arbitrary<bool>()) task.task_class = TaskClass::kService;

  for (const auto& strategy : strategies) {
    const PlacementResult result = strategy->Place(workers, task, {});
    if (!result) continue;

    const PlacementCandidate& chosen = workers.at(*result);
    RC_ASSERT(chosen.accepts_starts);
    RC_ASSERT(FitsWithin(chosen.committed + task.size, chosen.capacity));
  }
}

}  // namespace
}  // namespace currantpost
