#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
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

  /// Frees a worker, and makes the other owner handle what arrives from the first offer on late.
  void ReplyLate(Millis late) {
    bool is_offered = false;
    world_.on_push = [&](const std::string&, const std::string& to, const StoreItem& item) {
      if (to != "e0" || !item.key.starts_with(kCapacityOfferPrefix)) return;
      is_offered = true;
      world_.Pause("e0");
    };
    world_.Cancel("e1", "dc1-00");
    for (Millis passed; !is_offered && passed < Millis(1'000); passed = passed + Millis(5)) {
      world_.Run(Millis(5));
    }
    ASSERT_TRUE(is_offered);
    world_.on_push = nullptr;
    world_.Run(late);
    world_.Resume("e0");
  }

  /// Lets an entry handle a message that has waited for half a second.
  Effects HandleLate(const std::string& entry, const StoreItem& item) {
    Effects effects;
    const Millis now = world_.now();
    Reduce(world_.state(entry),
           Event{now, now.Count(), RecordsPushed{{item}}, Backlog{.lateness = Millis(500)}},
           effects);
    return effects;
  }

  static int64_t Pushes(const Effects& effects, std::string_view prefix) {
    return std::ranges::count_if(effects, [&](const Effect& effect) {
      const auto* push = std::get_if<PushRecords>(&effect);
      return push != nullptr && push->items.front().key.starts_with(prefix);
    });
  }

  /// Keeps an entry busy with queries.
  void Query(const std::string& entry, Millis span) {
    constexpr Millis kRound = Millis(100);
    for (Millis passed; passed < span; passed = passed + kRound) {
      for (int32_t query = 0; query < 6; ++query) world_.RequestStatus(entry, "unknown");
      world_.Run(kRound);
    }
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

// Guards against an offer that ends before an owner which replies late can have asked for it.
TEST_F(CapacityOffers, AnOfferLastsAsLongAsTheRepliesOfItsOwnerTake) {
  Record("old", kFull, Millis(8'000));
  Record("young", kOther, Millis(3'000));
  world_.Run(Millis(1'500));
  world_.state("e1").owner_contacts[CellId(kFull)] =
      OwnerContact{.owner = EntryId("e0"), .reply_time = Millis(450)};
  ReplyLate(Millis(500));
  world_.Run(kMaxStart);

  EXPECT_TRUE(Runs("old"));
  EXPECT_FALSE(Runs("young"));
}

// Guards against an owner that is taken for silent although it has replied to an offer.
TEST_F(CapacityOffers, TheReplyToAnOfferThatHasEndedSaysHowLongRepliesTake) {
  Record("old", kFull, Millis(8'000));
  world_.Run(Millis(1'500));
  ReplyLate(Millis(500));
  world_.Run(Millis(300));

  const OwnerContact& contact = world_.state("e1").owner_contacts.at(CellId(kFull));
  EXPECT_FALSE(contact.unanswered_since);
  EXPECT_GE(contact.reply_time, Millis(500));
  EXPECT_LE(contact.reply_time, Millis(700));
}

// Guards against offers that are refused though they last for longer than the receiver is behind.
TEST_F(CapacityOffers, AnOfferIsUsableForTheTimeThatItNames) {
  Record("old", kFull, Millis(8'000));
  world_.Run(Millis(1'500));
  for (const auto& [usable, is_accepted] :
       {std::pair<std::string, bool>{"", false}, {R"(,"usable":950)", true}}) {
    const std::string offer =
        R"({"from":"dc1/0","waiting":"old","offered":1,"peer":["e1",1])" + usable + "}";
    const Effects effects = HandleLate(
        "e0", StoreItem{.key = std::string(kCapacityOfferPrefix) + kFull, .value = offer});
    EXPECT_EQ(Pushes(effects, kOfferRefusalPrefix), is_accepted ? 0 : 1) << usable;
    EXPECT_EQ(Pushes(effects, kReservationRequestPrefix), is_accepted ? 1 : 0) << usable;
  }
}

TEST(CapacityOfferMessage, AnUnusableTimeIsMalformedAndAMissingOneIsTheShortest) {
  const auto decode = [](const std::string& members) {
    return DecodeCapacityOffer(R"({"from":"a","waiting":"b","peer":["e1",1])" + members + "}");
  };
  EXPECT_EQ(decode("")->usable_time, kMinOfferUsableTime);
  EXPECT_EQ(decode(R"(,"usable":600)")->usable_time, Millis(600));
  EXPECT_EQ(decode(R"(,"usable":0)")->usable_time, kMinOfferUsableTime);
  EXPECT_EQ(decode(R"(,"usable":999999)")->usable_time, kMaxOfferUsableTime);
  for (const std::string value : {"-1", "1e300", "\"600\"", "null", "[]"}) {
    EXPECT_FALSE(decode(R"(,"usable":)" + value)) << value;
    EXPECT_FALSE(decode(R"(,"offered":)" + value)) << value;
  }
}

// Guards against workers that an owner which is behind keeps for tasks of other cells, whose
// requests it would handle too late.
TEST_F(CapacityOffers, AnOwnerThatIsBehindKeepsWorkersForItsOwnTasksOnly) {
  Record("old", kFull, Millis(8'000));
  Record("young", kOther, Millis(3'000));
  world_.Run(Millis(1'500));
  world_.SetMachine("e1", Machine{.per_event = Millis(40), .max_wait = Millis(350)});
  Query("e1", Millis(1'000));
  const uint64_t offered = world_.state("e1").counts.holds.Get(HoldEvent::kOffered);
  world_.Cancel("e1", "dc1-00");
  Query("e1", kMaxStart);

  EXPECT_GE(world_.last_wait.at("e1"), Millis(200));
  EXPECT_EQ(world_.state("e1").counts.holds.Get(HoldEvent::kOffered), offered);
  EXPECT_TRUE(Runs("young"));
}

// Guards against an offer that ends while the request for the worker waits to be handled.
TEST_F(CapacityOffers, ARequestThatHasArrivedInTimeFindsTheOfferedWorker) {
  Record("old", kFull, Millis(8'000));
  Record("young", kOther, Millis(3'000));
  world_.Run(Millis(1'500));
  bool is_offered = false;
  world_.on_push = [&](const std::string& from, const std::string&, const StoreItem& item) {
    if (from != "e1" || !item.key.starts_with(kCapacityOfferPrefix)) return;
    is_offered = true;
  };
  world_.Cancel("e1", "dc1-00");
  for (Millis passed; !is_offered && passed < Millis(1'000); passed = passed + Millis(1)) {
    world_.Run(Millis(1));
  }
  ASSERT_TRUE(is_offered);
  world_.SetMachine("e1", Machine{.per_event = Millis(40), .max_wait = Millis(600)});
  for (int32_t query = 0; query < 40; ++query) world_.RequestStatus("e1", "unknown");
  world_.Run(Millis(700));
  EXPECT_GE(world_.max_wait, Millis(400));
  world_.SetMachine("e1", Machine());
  world_.Run(kMaxStart);

  EXPECT_TRUE(Runs("old"));
  EXPECT_FALSE(Runs("young"));
}

// Guards against a worker that is kept over and over for a task that never comes.
TEST_F(CapacityOffers, ATaskThatHasTwiceNotComeIsNotOfferedAWorkerAgainAtOnce) {
  LoadRecord report;
  report.services["service"].interrupted_waits = {
      InterruptedWait{.name = StepName{.job = JobId("gone")},
                      .job = JobId("gone"),
                      .need = Resources{.millicores = kWorkerNeed, .memory_mib = 100},
                      .absent = Millis(8'000)}};
  world_.Push("e1", StoreItem{.key = std::string(kLoadPrefix) + kFull,
                              .revision = 1'000'000,
                              .value = Encode(report)});
  std::vector<Millis> offers;
  world_.on_push = [&](const std::string&, const std::string&, const StoreItem& item) {
    if (item.key.starts_with(kCapacityOfferPrefix)) offers.push_back(world_.now());
  };
  world_.Cancel("e1", "dc1-00");
  for (Millis passed; passed < Millis(12'000); passed = passed + Millis(100)) {
    // A round each 0.1 s, as where short tasks begin and end.
    world_.state("e1").cells.at(CellId(kOther)).placement_due = true;
    world_.Run(Millis(100));
  }

  ASSERT_GE(offers.size(), 5U);
  for (size_t offer = 3; offer < offers.size(); ++offer) {
    EXPECT_GE(offers[offer] - offers[offer - 1], Millis(2'000)) << offer;
  }
}

// Guards against rounds that take the time of all tasks that wait anywhere times all workers.
TEST(CapacityOfferRounds, DoNotLookAtEachWorkerForEachTaskThatFitsNowhere) {
  constexpr int32_t kCells = 5;
  constexpr int32_t kWaiting = 24;
  World world{WorldShape{
      .entries = kCells, .data_centres = kCells, .racks = 1, .workers_per_rack = kWorkers}};
  world.planner = [](const TaskName&) {
    return RunPlan{.never_ends = true, .need = Resources{.millicores = 100, .memory_mib = 100}};
  };
  world.Run(Millis(6'000));
  const auto record = [&](const std::string& id, const std::string& cell, int64_t need,
                          Millis absent) {
    JobRecord job{.queue = "queue", .service = "service", .max_attempts = 50, .cell = CellId(cell)};
    job.spec = MakeJob(id, 1, need);
    job.spec.steps[0].is_long_running = true;
    if (absent > Millis(0)) job.carried_progress.tasks = {TaskProgress{.run = 1, .waited = absent}};
    world.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + id, Encode(job), 0}}},
        world.now(), [](const StoreReply&) {});
  };
  const auto cell_of = [](int32_t number) { return "dc" + std::to_string(number) + "/0"; };
  for (int32_t cell = 0; cell < kCells; ++cell) {
    for (int32_t worker = 0; worker < kWorkers; ++worker) {
      record("full" + std::to_string(cell) + std::to_string(worker), cell_of(cell), kWorkerNeed,
             Millis(0));
    }
  }
  world.Run(Millis(2'000));
  for (int32_t cell = 1; cell < kCells; ++cell) {
    for (int32_t task = 0; task < kWaiting; ++task) {
      record("wait" + std::to_string(cell) + "-" + std::to_string(task), cell_of(cell),
             kWorkerNeed - task, Millis(8'000));
    }
  }
  world.Run(Millis(1'500));
  size_t reported = 0;
  const ServiceRooms* rooms = world.state("e0").rooms.Find("service");
  for (const RoomRow& row : rooms->Rows()) reported += row.interrupted_waits.size();
  ASSERT_GE(reported, size_t{kWaiting} * (kCells - 1) / 2);

  for (int32_t cell = 1; cell < kCells; ++cell) world.Cut("e0", "e" + std::to_string(cell));
  const uint64_t before = world.state("e0").counts.search.Get(SearchVisit::kWorker);
  world.Cancel("e0", "full00");
  world.Run(Millis(600));
  const uint64_t visits = world.state("e0").counts.search.Get(SearchVisit::kWorker) - before;

  EXPECT_GT(world.state("e0").counts.holds.Get(HoldEvent::kOffered), 0U);
  // A round each 30 ms may look at all workers ten times.
  EXPECT_LE(visits, uint64_t{600 / 30} * 10 * kWorkers);
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
