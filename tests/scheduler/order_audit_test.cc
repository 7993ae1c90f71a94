#include "order_audit.h"

#include <gtest/gtest.h>

/// Tests that the audit of orders detects invalid start orders and runs that outlast a cancel.

namespace currantpost::scheduler {
namespace {

class OrderAuditTest : public testing::Test {
 protected:
  void SetUp() override {
    world_.on_answer = [this](const ObservedAnswer& observed) { audit_.RecordAnswer(observed); };
    world_.planner = [](const TaskName&) {
      return RunPlan{
          .never_ends = true, .need = Resources{.millicores = 1'000}, .save_interval = Millis(100)};
    };
    world_.Run(Millis(3'500));
    JobSpec spec = MakeJob("job", 1);
    spec.steps[0].is_long_running = true;
    spec.steps[0].checkpointing = true;
    world_.Submit("e0", spec);
    Run(Millis(6'000));
    ASSERT_EQ(found_, std::vector<std::string>());
    ASSERT_EQ(world_.WorkersOf("job").size(), 1U);
  }

  void Run(Millis span) {
    for (Millis passed; passed < span; passed = passed + Millis(100)) {
      world_.Run(Millis(100));
      audit_.Check();
    }
  }

  /// Records the answer to a caller that the job was cancelled, without cancelling it.
  void ReportCancelled() {
    const AnswerCaller answer{.outcome = CallerOutcome::kCancelled};
    audit_.RecordAnswer(ObservedAnswer{"e0", "job", true, world_.now(), answer});
  }

  [[nodiscard]] ObservedStart MakeStart() const {
    ObservedStart start{.worker = "wr0-0-0", .entry = "e0", .sent_at = world_.now()};
    start.order.task = TaskName{JobId("job")};
    start.order.payload = "payload";
    return start;
  }

  World world_{WorldShape{.entries = 2, .racks = 1, .workers_per_rack = 2}};
  std::vector<std::string> found_;
  OrderAudit audit_{
      world_, [this](const std::string& check, const std::string&) { found_.push_back(check); }};
};

TEST_F(OrderAuditTest, FindsAStartOfAJobThatWasNotSubmitted) {
  ObservedStart start = MakeStart();
  start.order.task.job = JobId("other");
  world_.on_start_order(start);
  EXPECT_EQ(found_, std::vector<std::string>{"start of a job that was not submitted"});
}

TEST_F(OrderAuditTest, FindsAStartWithTheWrongPayload) {
  ObservedStart start = MakeStart();
  start.order.payload = "of another job";
  world_.on_start_order(start);
  EXPECT_EQ(found_, std::vector<std::string>{"start with the wrong payload"});
}

TEST_F(OrderAuditTest, FindsAStartWithACheckpointOfAnotherTask) {
  ObservedStart start = MakeStart();
  start.order.checkpoint = *world_.checkpoints.at(start.order.task).begin();
  world_.on_start_order(start);
  EXPECT_EQ(found_, std::vector<std::string>());

  ++start.order.task.index;
  world_.on_start_order(start);
  EXPECT_EQ(found_, std::vector<std::string>{"start with a checkpoint that the task did not save"});
}

TEST_F(OrderAuditTest, FindsAStartLongAfterTheCancel) {
  ReportCancelled();
  Run(Millis(4'000));
  world_.on_start(MakeStart());
  EXPECT_EQ(found_, std::vector<std::string>());

  Run(Millis(100));
  ObservedStart start = MakeStart();
  start.delayed = true;
  world_.on_start(start);
  EXPECT_EQ(found_, std::vector<std::string>());

  world_.on_start(MakeStart());
  EXPECT_EQ(found_, std::vector<std::string>{"start after a cancel"});
}

TEST_F(OrderAuditTest, IgnoresAStartByADisconnectedEntry) {
  ReportCancelled();
  Run(Millis(4'000));
  world_.Cut("e0", "store");
  Run(Millis(100));
  world_.on_start(MakeStart());
  EXPECT_EQ(found_, std::vector<std::string>());
}

TEST_F(OrderAuditTest, FindsARunLongAfterTheCancel) {
  ReportCancelled();
  Run(Millis(4'800));
  EXPECT_EQ(found_, std::vector<std::string>());

  Run(Millis(1'000));
  EXPECT_EQ(found_, std::vector<std::string>{"runs on after a cancel"});
}

TEST_F(OrderAuditTest, FindsARunAfterACancelThatIsNeverAnswered) {
  world_.cancel_sent_at[JobId("job")] = world_.now();
  Run(Millis(10'700));
  EXPECT_EQ(found_, std::vector<std::string>());

  Run(Millis(1'000));
  EXPECT_EQ(found_, std::vector<std::string>{"runs on after a cancel"});
}

TEST_F(OrderAuditTest, FindsNothingAfterAnObeyedCancel) {
  world_.Cancel("e1", "job");
  Run(Millis(12'000));
  EXPECT_EQ(found_, std::vector<std::string>());
}

TEST(SmallMachine, EventsWaitForTheProcessorInOrder) {
  World world{WorldShape{.entries = 2, .racks = 1, .workers_per_rack = 2}};
  world.Run(Millis(3'500));
  std::vector<std::string> answered;
  world.on_answer = [&](const ObservedAnswer& observed) { answered.push_back(observed.subject); };
  world.SetMachine("e0", Machine{.per_event = Millis(400), .max_wait = Millis(10'000)});
  std::vector<std::string> requested;

  for (int32_t number = 0; number < 20; ++number) {
    requested.push_back("ghost" + std::to_string(number));
    world.RequestStatus("e0", requested.back());
  }

  world.Run(Millis(1'000));
  EXPECT_LT(answered.size(), requested.size());
  world.Run(Millis(60'000));
  EXPECT_EQ(answered, requested);
}

}  // namespace
}  // namespace currantpost::scheduler
