#include "currantpost/platform/worker_client.h"

#include <gtest/gtest.h>

#include "standin_worker.h"

namespace currantpost {
namespace {

using standins::AnswerFault;
using standins::ServiceFaults;
using standins::StandinWorker;

constexpr Millis kTimeout(300);
const VmId kVm("vm-1");

/// A stand-in worker and its client.
class WorkerClientTest : public testing::Test {
 protected:
  void SetUp() override { Send(RaiseEpoch{}); }

  WorkerReply Send(const WorkerOrder& order, Epoch epoch = 1, Incarnation incarnation = 1) {
    return client_.SendOrder(address_, kVm, incarnation, epoch, order);
  }

  static StartTask Start(int32_t index) {
    return StartTask{.task = {JobId("job"), index},
                     .attempt = 1,
                     .kind = "review",
                     .size = Resources{1'000, 100, 0},
                     .run_time = Millis(60'000),
                     .lease = Millis(60'000)};
  }

  StandinWorker worker_{{kVm, 1, Resources{2'000, 1'000, 0}}};
  Address address_{"127.0.0.1", worker_.Start()};
  HttpWorkerClient client_{kTimeout};
};

TEST_F(WorkerClientTest, SendsEveryKindOfOrder) {
  const StartTask start = Start(3);
  const std::vector<WorkerOrder> orders = {
      RaiseEpoch{},
      start,
      RenewLeases{Millis(60'000)},
      ThrottleTask{start.task, 1, true},
      CheckpointTask{start.task, 1},
      StopTask{start.task, 1},
  };

  WorkerReply reply;

  for (const WorkerOrder& order : orders) {
    reply = Send(order);
    EXPECT_EQ(reply.status, WorkerStatus::kOk) << order.index();
  }

  ASSERT_EQ(reply.table.tasks.size(), 1);
  EXPECT_EQ(reply.table.epoch, 1);
  EXPECT_EQ(reply.table.capacity, (Resources{2'000, 1'000, 0}));
  EXPECT_EQ(reply.table.tasks[0].task, start.task);
  EXPECT_EQ(reply.table.tasks[0].state, WorkerTaskState::kStopped);
  EXPECT_EQ(reply.table.tasks[0].held, start.size);
  EXPECT_TRUE(reply.table.tasks[0].throttled);
  EXPECT_TRUE(reply.table.tasks[0].checkpoint.starts_with("job/3@"));

  EXPECT_TRUE(Send(AcknowledgeTask{start.task, 1}).table.tasks.empty());
}

TEST_F(WorkerClientTest, StaleEpochAndOtherIncarnationAreRefusedWithTheTable) {
  ASSERT_EQ(Send(RaiseEpoch{}, 5).status, WorkerStatus::kOk);

  const WorkerReply stale = Send(Start(1), 4);
  EXPECT_EQ(stale.status, WorkerStatus::kStaleEpoch);
  EXPECT_EQ(stale.table.epoch, 5);

  const WorkerReply other_incarnation = Send(Start(1), 5, 2);
  EXPECT_EQ(other_incarnation.status, WorkerStatus::kRefused);
  EXPECT_EQ(other_incarnation.table.incarnation, 1U);
  EXPECT_TRUE(worker_.Records().runs.empty());
}

TEST_F(WorkerClientTest, LostAnswerIsUnknownAndSentOnce) {
  const std::vector<AnswerFault> faults = {AnswerFault::kLost,       AnswerFault::kResetBefore,
                                           AnswerFault::kResetAfter, AnswerFault::kCutOff,
                                           AnswerFault::kCrossed,    AnswerFault::kMalformed,
                                           AnswerFault::kFailed,     AnswerFault::kSilent};

  for (const AnswerFault fault : faults) {
    const int64_t orders = worker_.Records().orders;
    worker_.Service().FailNext(fault, 1);

    EXPECT_EQ(Send(RenewLeases{}).status, WorkerStatus::kUnknown)
        << standins::kAnswerFaultNames.Name(fault);
    EXPECT_EQ(worker_.Records().orders, orders + 1);
  }
}

TEST_F(WorkerClientTest, StartWithALostAnswerRuns) {
  worker_.Service().FailNext(AnswerFault::kLost, 1);

  EXPECT_EQ(Send(Start(1)).status, WorkerStatus::kUnknown);
  EXPECT_EQ(Send(RenewLeases{Millis(1'000)}).table.tasks.size(), 1);

  EXPECT_EQ(Send(Start(1)).status, WorkerStatus::kOk);
  EXPECT_EQ(worker_.Records().runs.size(), 1);
}

TEST_F(WorkerClientTest, OnlyAnUnsentOrderIsUnreachable) {
  worker_.Service().SetFaults(ServiceFaults{.down = true});
  EXPECT_EQ(Send(Start(1)).status, WorkerStatus::kUnreachable);

  worker_.Service().SetFaults(ServiceFaults{.dead = true});
  EXPECT_EQ(Send(Start(1)).status, WorkerStatus::kUnknown);

  worker_.Service().Stop();
  EXPECT_EQ(Send(Start(1)).status, WorkerStatus::kUnreachable);
  EXPECT_TRUE(worker_.Records().runs.empty());
}

TEST_F(WorkerClientTest, OrderAppliedAfterTheTimeoutIsUnknown) {
  worker_.Service().SetFaults(ServiceFaults{.delay_next = 1, .delay = kTimeout * 2});

  EXPECT_EQ(Send(Start(1)).status, WorkerStatus::kUnknown);
  EXPECT_TRUE(Send(RenewLeases{Millis(1'000)}).table.tasks.empty());
}

}  // namespace
}  // namespace currantpost
