#include "worker_model.h"

#include <gtest/gtest.h>

namespace currantpost::standins {
namespace {

const VmId kVm("vm-1");
const TaskKey kTask{JobId("job"), 3};

StartTask MakeStart(int32_t attempt) {
  return StartTask{.task = kTask,
                   .attempt = attempt,
                   .kind = "review",
                   .size = Resources{1'000, 100, 0},
                   .run_time = Millis(1'000),
                   .lease = Millis(500)};
}

/// A worker model whose clock the test advances.
class WorkerModelTest : public testing::Test {
 protected:
  WorkerReply Send(const WorkerOrder& order, Epoch epoch = 1) {
    return model_.Order(now_, {kVm, incarnation_, epoch, order});
  }

  void SetUp() override { Send(RaiseEpoch{}); }

  void AdvanceClock(int64_t span) { now_ = now_ + Millis(span); }

  Millis now_ = Millis(10'000);
  Incarnation incarnation_ = 1;
  WorkerModel model_{WorkerOptions{kVm, 1, Resources{1'500, 1'000, 0}, Millis(200)}};
};

TEST_F(WorkerModelTest, StartIsIdempotentForOneAttempt) {
  EXPECT_EQ(Send(MakeStart(1)).status, WorkerStatus::kOk);
  EXPECT_EQ(Send(MakeStart(1)).status, WorkerStatus::kOk);

  EXPECT_EQ(model_.Records(now_).runs.size(), 1);
}

TEST_F(WorkerModelTest, RefusesAnAttemptThatHasEnded) {
  Send(MakeStart(2));
  Send(StopTask{kTask, 2});
  Send(AcknowledgeTask{kTask, 2});

  EXPECT_EQ(Send(MakeStart(1)).status, WorkerStatus::kRefused);
  EXPECT_EQ(Send(MakeStart(2)).status, WorkerStatus::kRefused);
  EXPECT_EQ(Send(MakeStart(3)).status, WorkerStatus::kOk);
  EXPECT_EQ(model_.Records(now_).repeated_starts, 2);
}

TEST_F(WorkerModelTest, ExpiredLeaseStopsATaskPermanently) {
  Send(MakeStart(1));
  AdvanceClock(400);
  Send(CheckpointTask{kTask, 1});
  AdvanceClock(99);
  EXPECT_EQ(Send(RaiseEpoch{}).table.tasks.at(0).state, WorkerTaskState::kRunning);

  AdvanceClock(1);
  const WorkerTask task = Send(RenewLeases{Millis(500)}).table.tasks.at(0);
  EXPECT_EQ(task.state, WorkerTaskState::kStopped);
  EXPECT_EQ(task.checkpoint, "job/3@400");
  EXPECT_EQ(task.progress, Millis(400));
  EXPECT_EQ(model_.Records(now_).runs.at(0).how, RunEnd::kLapsed);
  EXPECT_EQ(model_.Records(now_).runs.at(0).end, now_);
}

TEST_F(WorkerModelTest, RenewedTaskFinishesAndStaysUntilAcknowledged) {
  Send(MakeStart(1));
  AdvanceClock(499);
  Send(RenewLeases{Millis(1'000)});
  AdvanceClock(500);
  EXPECT_EQ(Send(RaiseEpoch{}).table.tasks.at(0).state, WorkerTaskState::kRunning);

  AdvanceClock(1);
  EXPECT_EQ(Send(RaiseEpoch{}).table.tasks.at(0).state, WorkerTaskState::kFinished);
  EXPECT_EQ(Send(AcknowledgeTask{kTask, 2}).status, WorkerStatus::kRefused);
  EXPECT_TRUE(Send(AcknowledgeTask{kTask, 1}).table.tasks.empty());
}

TEST_F(WorkerModelTest, ResumesFromACheckpoint) {
  StartTask start = MakeStart(2);
  start.checkpoint = CheckpointName(kTask, Millis(900));
  Send(start);
  AdvanceClock(100);

  EXPECT_EQ(Send(RaiseEpoch{}).table.tasks.at(0).state, WorkerTaskState::kFinished);
}

TEST_F(WorkerModelTest, RefusesACheckpointOfAnotherTask) {
  StartTask start = MakeStart(1);
  start.checkpoint = "other/3@900";

  EXPECT_EQ(Send(start).status, WorkerStatus::kRefused);
}

TEST_F(WorkerModelTest, RefusesMoreThanItHolds) {
  Send(MakeStart(1));
  StartTask second = MakeStart(1);
  second.task.index = 4;

  EXPECT_EQ(Send(second).status, WorkerStatus::kRefused);
  EXPECT_EQ(model_.Records(now_).over_capacity, 1);
  EXPECT_EQ(model_.Records(now_).most_committed, (Resources{1'000, 100, 0}));

  Send(StopTask{kTask, 1});
  EXPECT_EQ(Send(second).status, WorkerStatus::kOk);
}

TEST_F(WorkerModelTest, RefusesOlderEpochs) {
  Send(RaiseEpoch{}, 7);

  EXPECT_EQ(Send(MakeStart(1), 6).status, WorkerStatus::kStaleEpoch);
  EXPECT_EQ(Send(RaiseEpoch{}, 6).status, WorkerStatus::kStaleEpoch);
  EXPECT_EQ(model_.Records(now_).stale_orders, 2);
}

TEST_F(WorkerModelTest, RefusesOrdersOfAnEpochThatWasNotRaised) {
  EXPECT_EQ(Send(MakeStart(1), 2).status, WorkerStatus::kRefused);
  EXPECT_EQ(Send(RaiseEpoch{}).table.epoch, 1);

  Send(RaiseEpoch{}, 2);
  EXPECT_EQ(Send(MakeStart(1), 2).status, WorkerStatus::kOk);
}

TEST_F(WorkerModelTest, ThrottledTaskRunsAtHalfSpeedRegardlessOfPolling) {
  StartTask start = MakeStart(1);
  start.lease = Millis(10'000);
  Send(start);
  Send(ThrottleTask{kTask, 1, true});

  for (int step = 0; step < 1'999; ++step) {
    AdvanceClock(1);
    ASSERT_EQ(Send(RaiseEpoch{}).table.tasks.at(0).state, WorkerTaskState::kRunning);
  }

  AdvanceClock(1);
  EXPECT_EQ(Send(RaiseEpoch{}).table.tasks.at(0).state, WorkerTaskState::kFinished);
}

TEST_F(WorkerModelTest, FailsEveryTaskWhenConfigured) {
  model_.FailEveryTask(true);
  Send(MakeStart(1));
  AdvanceClock(50);

  EXPECT_EQ(Send(RaiseEpoch{}).table.tasks.at(0).state, WorkerTaskState::kFailed);
}

TEST_F(WorkerModelTest, NewIncarnationHasNoTasksAndRefusesOrdersToTheFormerOne) {
  Send(MakeStart(1));
  model_.Restart(now_);

  const WorkerReply reply = Send(MakeStart(1));
  EXPECT_EQ(reply.status, WorkerStatus::kRefused);
  EXPECT_EQ(reply.table.incarnation, 2U);
  EXPECT_TRUE(reply.table.tasks.empty());
  EXPECT_EQ(model_.Records(now_).runs.at(0).how, RunEnd::kRestarted);
}

TEST_F(WorkerModelTest, ReportsActualUsageWithALag) {
  model_.SetBehaviour("review", KindBehaviour{1.0, 1.5, 1.25});
  Send(MakeStart(1));
  EXPECT_TRUE(Send(RaiseEpoch{}).table.usage.empty());

  AdvanceClock(100);
  Send(RaiseEpoch{});
  AdvanceClock(200);

  const WorkerTable table = Send(RaiseEpoch{}).table;
  ASSERT_EQ(table.usage.size(), 1);
  EXPECT_EQ(table.usage_age, Millis(200));
  EXPECT_EQ(table.usage[0].used, (Resources{1'500, 150, 0}));
  EXPECT_EQ(table.usage[0].slowdown, 1.25);
}

}  // namespace
}  // namespace currantpost::standins
