#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "currantpost/scheduler/reservation.h"
#include "world.h"

/// Workers that are offered to interrupted tasks of other cells.

namespace currantpost::scheduler {
namespace {

constexpr int32_t kWorkers = 9;
constexpr int64_t kWorkerNeed = 8'000;
constexpr char kFull[] = "dc0/0";
constexpr char kOther[] = "dc1/0";
/// Time until the other owner knows of a task that waits, and until the task runs there.
constexpr Millis kMaxStart = Millis(2'000);

/// Two data centres of one entry and one cell each, which are full of long-running tasks that take
/// a worker each.
class CapacityOffers : public testing::Test {
 protected:
  void SetUp() override {
    world_.planner = [](const TaskName&) {
      return RunPlan{.never_ends = true, .need = Resources{.millicores = 100, .memory_mib = 100}};
    };
    world_.Run(Millis(6'000));
    for (int32_t worker = 0; worker < kWorkers; ++worker) {
      Record(kFull + std::to_string(worker), kFull);
      Record(kOther + std::to_string(worker), kOther);
    }
    world_.Run(Millis(2'000));
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  /// Records a job of one long-running task that was lost some time ago, 0 if it has never run.
  void Record(const std::string& id, const std::string& cell, Millis absent = Millis(0)) {
    JobRecord record{
        .queue = "queue", .service = "service", .max_attempts = 50, .cell = CellId(cell)};
    record.spec = MakeJob(JobOf(id), 1, kWorkerNeed);
    record.spec.steps[0].is_long_running = true;
    if (absent > Millis(0)) {
      record.carried_progress.tasks = {TaskProgress{.run = 1, .waited = absent}};
    }
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + JobOf(id), Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
  }

  void Cancel(const std::string& id) { world_.Cancel("e0", JobOf(id)); }
  bool Runs(const std::string& id) const { return !world_.WorkersOf(JobOf(id)).empty(); }

  World world_{
      WorldShape{.entries = 2, .data_centres = 2, .racks = 1, .workers_per_rack = kWorkers}};

 private:
  static std::string JobOf(std::string id) {
    for (char& letter : id) {
      if (letter == '/') letter = '-';
    }
    return id;
  }
};

// Guards against tasks that got a worker of their own cell before one of another cell that had been
// away for longer.
TEST_F(CapacityOffers, TheTaskThatIsAwayLongestGetsAWorkerOfAnyCell) {
  Record("old", kFull, Millis(8'000));
  Record("young", kOther, Millis(3'000));
  world_.Run(Millis(1'500));
  Cancel(std::string(kOther) + "0");
  world_.Run(kMaxStart);

  EXPECT_TRUE(Runs("old"));
  EXPECT_FALSE(Runs("young"));
}

// Guards against a worker that stays unused because the owner of the task doesn't reply.
TEST_F(CapacityOffers, AnOfferWithoutAReplyKeepsAWorkerForAShortTimeOnly) {
  Record("old", kFull, Millis(8'000));
  Record("young", kOther, Millis(3'000));
  world_.Run(Millis(1'500));
  world_.Cut("e0", "e1");
  world_.Cancel("e1", "dc1-00");
  world_.Run(Millis(1'000));

  EXPECT_TRUE(Runs("young"));
}

// Guards against an owner that keeps offering workers to a task that has found one elsewhere.
TEST_F(CapacityOffers, ARefusedWorkerGoesToTheNextTaskAtOnce) {
  Record("old", kFull, Millis(8'000));
  Record("young", kOther, Millis(3'000));
  world_.Run(Millis(1'500));
  Cancel(std::string(kFull) + "0");
  Cancel(std::string(kOther) + "0");
  world_.Run(kMaxStart);

  EXPECT_TRUE(Runs("old"));
  EXPECT_TRUE(Runs("young"));
}

TEST_F(CapacityOffers, MalformedMessagesChangeNothing) {
  const std::string huge(R"({"from":")" + std::string(10'000, 'x') +
                         R"(","waiting":"y","peer":7})");
  for (const std::string& text :
       {std::string(), std::string("[]"), std::string("null"), std::string(R"({"from":7})"),
        std::string(R"({"from":"dc0/0","waiting":"a","peer":["h",70000]})"), huge}) {
    for (const std::string_view prefix : {kCapacityOfferPrefix, kOfferRefusalPrefix}) {
      world_.Push("e0", StoreItem{.key = std::string(prefix) + kFull, .value = text});
    }
  }
  world_.Run(Millis(100));

  EXPECT_TRUE(world_.state("e0").cells.at(CellId(kFull)).holds.empty());
  EXPECT_TRUE(Runs(std::string(kFull) + "0"));
}

TEST(InterruptedWaits, ALoadReportNamesThem) {
  LoadRecord record;
  record.services["service"].interrupted_waits = {
      InterruptedWait{.name = StepName{.job = JobId("a"), .occurrence = 1, .step = 2},
                      .job = JobId("a~3"),
                      .need = Resources{.millicores = 4, .memory_mib = 5, .accelerators = 6},
                      .worker_label = "label",
                      .max_per_worker = 7,
                      .priority = -1,
                      .absent = Millis(8)}};
  const std::string text = Encode(record);
  const Result<LoadRecord> decoded = DecodeLoad(text);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, record);

  for (const std::string number : {"-8", "1e300", "\"8\"", "null"}) {
    std::string changed = text;
    changed.replace(changed.find(",8]"), 2, "," + number);
    EXPECT_FALSE(DecodeLoad(changed)) << number;
  }
}

TEST(InterruptedWaits, AReportWithTooManyIsRead) {
  LoadRecord record;
  record.services["service"].interrupted_waits.resize(kMaxReportedWaits + 1);
  const Result<LoadRecord> decoded = DecodeLoad(Encode(record));

  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->services.at("service").interrupted_waits.size(), kMaxReportedWaits);
}

}  // namespace
}  // namespace currantpost::scheduler
