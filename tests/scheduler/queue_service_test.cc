#include <gtest/gtest.h>

#include <algorithm>

#include "world.h"

/// Jobs of a queue that the configuration sends to another service.

namespace currantpost::scheduler {
namespace {

constexpr const char* kOldService = "service";
constexpr const char* kNewService = "other";

/// Three cells of sixteen cores each. The workers of the second one belong to another service.
class QueueService : public testing::Test {
 protected:
  void SetUp() override {
    for (const char* worker : {"wr1-0-0", "wr1-0-1"}) {
      world_.worker(worker).info().service = kNewService;
    }
    world_.planner = [this](const TaskName&) {
      return RunPlan{.duration = run_time_,
                     .never_ends = never_ends_,
                     .need = Resources{.millicores = 1'000, .memory_mib = 100}};
    };
    world_.on_start = [this](const ObservedStart& start) {
      const bool is_old = world_.worker(start.worker).info().service == kOldService;
      if (is_old) last_old_start_ = world_.now();
      ++starts_[is_old ? kOldService : kNewService];
    };
    Configure({kOldService});
    world_.Run(Millis(5'000));
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  /// Sends the queue to a service, or drops it.
  void Configure(const std::optional<std::string>& service) {
    Routing routing;
    routing.version = ++version_;
    if (service) {
      routing.queues.push_back(Queue{.name = "queue",
                                     .host = "host",
                                     .path_prefix = "/q/",
                                     .service = *service,
                                     .max_attempts = 3});
    }
    for (const char* name : {kOldService, kNewService}) {
      routing.services[name] = Service{.name = name};
    }
    world_.store.Configure(routing, world_.now());
    configured_at_ = world_.now();
  }

  /// Submits a job of two steps.
  void SubmitTwoSteps(const std::string& id, int32_t tasks) {
    JobSpec spec = MakeJob(id, tasks);
    spec.steps.push_back(spec.steps.front());
    spec.steps[1].after = {0};
    world_.Submit("e0", spec);
  }

  World world_{WorldShape{.entries = 3, .data_centres = 3, .racks = 1}};
  Millis run_time_ = Millis(1'500);
  bool never_ends_ = false;
  int64_t version_ = 1;
  Millis configured_at_;
  Millis last_old_start_;
  std::map<std::string, int32_t> starts_;
};

// Guards against jobs that never complete: other cells were searched for workers of the service
// recorded at acceptance, which no longer runs the queue.
TEST_F(QueueService, StepsThatStartAfterTheQueueMovedRunAtTheNewService) {
  for (int number = 0; number < 4; ++number) SubmitTwoSteps("j" + std::to_string(number), 2);
  world_.Run(Millis(1'000));
  ASSERT_EQ(starts_[kOldService], 8);

  Configure(kNewService);
  world_.Run(Millis(10'000));

  for (int number = 0; number < 4; ++number) {
    EXPECT_EQ(world_.Phase("j" + std::to_string(number)), JobPhase::kCompleted) << number;
  }
  EXPECT_EQ(starts_[kNewService], 8);
  EXPECT_EQ(starts_[kOldService], 8);
}

// Guards against the same for tasks that the load reports alone pass on.
TEST_F(QueueService, BestEffortStepsThatStartAfterTheQueueMovedRunAtTheNewService) {
  JobSpec spec = MakeJob("j", 2);
  spec.steps.push_back(spec.steps.front());
  spec.steps[1].after = {0};
  spec.steps[1].best_effort = true;
  world_.Submit("e0", spec);
  world_.Run(Millis(1'000));
  Configure(kNewService);
  world_.Run(Millis(15'000));

  EXPECT_EQ(world_.Phase("j"), JobPhase::kCompleted);
  EXPECT_EQ(starts_[kNewService], 2);
}

// Guards against the same for a long-running task that has to start again.
TEST_F(QueueService, LongRunningTasksRestartAtTheNewServiceOnceTheirWorkerLeaves) {
  never_ends_ = true;
  JobSpec spec = MakeJob("j", 2);
  spec.steps[0].is_long_running = true;
  world_.Submit("e0", spec);
  world_.Run(Millis(1'000));
  ASSERT_EQ(world_.WorkersOf("j").size(), 2U);

  Configure(kNewService);
  world_.Run(Millis(3'000));
  EXPECT_EQ(starts_[kNewService], 0);
  for (const char* worker : {"wr0-0-0", "wr0-0-1", "wr2-0-0", "wr2-0-1"}) {
    world_.DrainWorker(worker);
  }
  world_.Run(Millis(8'000));

  EXPECT_EQ(starts_[kNewService], 2);
  EXPECT_EQ(world_.WorkersOf("j").size(), 2U);
}

// Guards against the same for tasks that were lent before the queue moved.
TEST_F(QueueService, LentTasksThatWaitAfterTheQueueMovedRunAtTheNewService) {
  SubmitTwoSteps("j", 30);
  world_.Run(Millis(1'000));
  Configure(kNewService);
  world_.Run(Millis(25'000));

  EXPECT_EQ(world_.Phase("j"), JobPhase::kCompleted);
}

// Guards against a start at the old service later than a configuration has to be in force: a task
// was bound to a worker there before the change, and its start waited.
TEST_F(QueueService, ABoundTaskDoesNotStartAtTheOldServiceLongAfterTheQueueMoved) {
  SubmitTwoSteps("j", 2);
  world_.Run(Millis(1'000));
  const std::string owner = world_.OwnerOf("j");
  // The step becomes ready and is bound, but no start can leave.
  for (const char* worker : {"wr0-0-0", "wr0-0-1", "wr2-0-0", "wr2-0-1"}) {
    world_.Cut(owner, worker);
  }
  world_.SlowWatches(owner, Millis(2'500));
  SubmitTwoSteps("k", 2);
  world_.Run(Millis(400));
  Configure(kNewService);
  world_.Run(Millis(4'000));
  world_.Reconnect();
  world_.SlowWatches(owner, Millis(0));
  world_.Run(Millis(25'000));

  EXPECT_EQ(world_.Phase("j"), JobPhase::kCompleted);
  EXPECT_LT(last_old_start_ - configured_at_, Millis(3'000));
}

// Guards against a return to the old service: jobs of a dropped queue ran where the queue had been
// sent at their acceptance.
TEST_F(QueueService, JobsOfADroppedQueueStayWithItsLastService) {
  SubmitTwoSteps("j", 2);
  world_.Run(Millis(500));
  Configure(kNewService);
  world_.Run(Millis(500));
  Configure(std::nullopt);
  world_.Run(Millis(10'000));

  EXPECT_EQ(world_.Phase("j"), JobPhase::kCompleted);
  EXPECT_EQ(starts_[kNewService], 2);
  EXPECT_LT(last_old_start_ - configured_at_, Millis(0));
}

}  // namespace
}  // namespace currantpost::scheduler
