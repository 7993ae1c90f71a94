#include "currantpost/scheduler/reservation.h"

#include <gtest/gtest.h>

#include "world.h"

/// Tests the capacity that an owner reserves for tasks of another cell.

namespace currantpost::scheduler {
namespace {

/// Longest time for which capacity may be held for tasks that do not arrive.
constexpr Millis kMaxReservationTime = Millis(1'000);

/// One cell of two workers with eight cores each, and an entry outside it that asks for capacity.
class Reservations : public testing::Test {
 protected:
  void SetUp() override { world_.Run(Millis(3'500)); }
  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  void Request(int32_t tasks, int64_t millicores = 1'000, const std::string& asker = "a") {
    ReservationRequest request{.name = StepName{.job = JobId("a")},
                               .service = "service",
                               .from = CellId("elsewhere/0"),
                               .job = JobId(asker),
                               .reply_to = Address{"nowhere", 1}};
    request.step.task_count = tasks;
    request.step.need = Resources{.millicores = millicores, .memory_mib = 100};
    Push(kReservationRequestPrefix, Encode(request));
  }

  void Push(std::string_view prefix, const std::string& value) {
    world_.Push("e0", StoreItem{.key = std::string(prefix) + "dc0/0", .value = value});
    world_.Run(Millis(20));
  }

  OwnedCell& cell() { return world_.state("e0").cells.at(CellId("dc0/0")); }

  int64_t ReservedMillicores() {
    int64_t reserved = 0;
    for (const auto& [id, worker] : cell().workers) reserved += worker.reserved.millicores;
    return reserved;
  }

  World world_{WorldShape{.entries = 1, .racks = 1}};
};

TEST_F(Reservations, HoldsCapacityForAsManyTasksAsFit) {
  Request(20);

  EXPECT_EQ(ReservedMillicores(), 16'000);
}

TEST_F(Reservations, ReleasesTheCapacityIfTheTasksDoNotArrive) {
  Request(8);
  world_.Run(kMaxReservationTime);

  EXPECT_EQ(ReservedMillicores(), 0);
  EXPECT_TRUE(cell().reservations.empty());
}

TEST_F(Reservations, ASecondRequestForTheSameStepReplacesTheFirst) {
  Request(8);
  Request(3);

  EXPECT_EQ(ReservedMillicores(), 3'000);
}

// Guards against tasks that found their capacity taken: borrowed jobs of one step replaced each
// other's reservation.
TEST_F(Reservations, BorrowedJobsOfOneStepReserveSeparately) {
  Request(8, 1'000, "a~1");
  Request(3, 1'000, "a~2");

  EXPECT_EQ(ReservedMillicores(), 11'000);
}

TEST_F(Reservations, TasksThatArriveTakeTheWorkersReservedForThem) {
  Request(16);
  world_.Submit("e0", MakeJob("other", 4));
  world_.Run(Millis(100));
  EXPECT_TRUE(world_.WorkersOf("other").empty());

  JobRecord record{.queue = "queue", .service = "service", .cell = CellId("dc0/0")};
  record.spec = MakeJob("a", 16);
  world_.store.Handle(
      WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + "a", Encode(record), 0}}},
      world_.now(), [](const StoreReply&) {});
  world_.Run(Millis(500));
  EXPECT_EQ(world_.WorkersOf("a").size(), 16U);
}

TEST_F(Reservations, IgnoresMalformedMessages) {
  for (const char* text :
       {"", "[]", "{}", "null", R"({"job":7})", R"({"spec":{"n":-1}})", R"({"from":"dc0/0"})",
        R"({"from":"dc0/0","waiting":"a","service":"s","tasks":"many","free":0,"largest":0})"}) {
    Push(kReservationRequestPrefix, text);
    Push(kReservationReplyPrefix, text);
  }

  EXPECT_EQ(ReservedMillicores(), 0);
  world_.Submit("e0", MakeJob("a", 2));
  world_.Run(Millis(1'500));
  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
}

TEST_F(Reservations, RejectsRequestsOutOfRange) {
  for (const int32_t tasks : {0, -1, 1'000'000}) Request(tasks);
  Request(1, -1);

  EXPECT_EQ(ReservedMillicores(), 0);
}

/// A request that its receiver handles late, as other events came first.
class LateRequests : public Reservations {
 protected:
  void Handle(Millis reply_timeout, Millis lateness) {
    ReservationRequest request{.name = StepName{.job = JobId("a")},
                               .service = "service",
                               .from = CellId("elsewhere/0"),
                               .job = JobId("a"),
                               .reply_timeout = reply_timeout,
                               .reply_to = Address{"nowhere", 1}};
    request.step.need = Resources{.millicores = 1'000, .memory_mib = 100};
    request.step.task_count = 8;
    const StoreItem item{.key = std::string(kReservationRequestPrefix) + "dc0/0",
                         .value = Encode(request)};
    const Millis now = world_.now();
    Effects effects;
    Reduce(world_.state("e0"),
           Event{now, now.Count(), RecordsPushed{{item}}, Backlog{.lateness = lateness}}, effects);
  }

  /// Returns the answer to a query for the phase of job "b".
  std::optional<JobPhase> AnswerTo(Millis timeout, Millis lateness) {
    const Millis now = world_.now();
    Effects effects;
    Reduce(
        world_.state("e0"),
        Event{now, now.Count(), PeerQueried{1, JobId("b"), timeout}, Backlog{.lateness = lateness}},
        effects);

    for (const Effect& effect : effects) {
      if (const auto* answer = std::get_if<AnswerPeer>(&effect)) return answer->phase;
    }
    ADD_FAILURE() << "no answer";
    return std::nullopt;
  }
};

// Guards against capacity held for an owner that no longer waits for the reply.
TEST_F(LateRequests, AnOverdueRequestHoldsNoCapacity) {
  Handle(Millis(800), Millis(800));

  EXPECT_EQ(ReservedMillicores(), 0);
  EXPECT_EQ(world_.state("e0").counts.overdue_requests, 1U);
}

TEST_F(LateRequests, ALateRequestWhoseReplyStillCountsHoldsCapacity) {
  Handle(Millis(800), Millis(799));

  EXPECT_EQ(ReservedMillicores(), 8'000);
  EXPECT_EQ(world_.state("e0").counts.overdue_requests, 0U);
}

// Guards against work for a peer that no longer waits for the answer.
TEST_F(LateRequests, AnOverdueQueryIsAnsweredWithoutALook) {
  world_.Submit("e0", MakeJob("b", 1));
  world_.Run(Millis(1'500));

  EXPECT_EQ(AnswerTo(Millis(250), Millis(249)), JobPhase::kCompleted);
  EXPECT_EQ(AnswerTo(Millis(0), Millis(5'000)), JobPhase::kCompleted);
  EXPECT_EQ(world_.state("e0").counts.overdue_requests, 0U);

  EXPECT_EQ(AnswerTo(Millis(250), Millis(250)), std::nullopt);
  EXPECT_EQ(world_.state("e0").counts.overdue_requests, 1U);
}

TEST_F(LateRequests, ARequestOfAnEarlierVersionIsAnsweredHoweverLate) {
  Handle(Millis(0), Millis(5'000));

  EXPECT_EQ(ReservedMillicores(), 8'000);
}

}  // namespace
}  // namespace currantpost::scheduler
