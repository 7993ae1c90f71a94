#include "currantpost/scheduler/room_table.h"

#include <gtest/gtest.h>

#include "currantpost/scheduler/reservation.h"
#include "lone_entry.h"

/// The rows that the choice of cells uses, and the records and messages that change them.

namespace currantpost::scheduler {
namespace {

constexpr char kService[] = "kitchen";
const CellId kCell = CellId("dc0/0");
const CellId kOtherCell = CellId("dc0/1");
const JobId kJob = JobId("job");

ServiceLoad SomeLoad() {
  return ServiceLoad{.capacity = 96'000,
                     .free = 10'000,
                     .largest_free = 4'000,
                     .free_best_effort = 6'000,
                     .waiting = 3'000,
                     .waiting_best_effort = 1'000,
                     .largest_long_running = 8'000,
                     .waiting_interrupted = 2'000};
}

class RoomTableOfEntry : public testing::Test {
 protected:
  void Report(const CellId& cell, const std::string& service, const ServiceLoad& load) {
    entry_.Push(StoreItem{.key = std::string(kLoadPrefix) + cell.Text(),
                          .revision = ++revision_,
                          .value = Encode(LoadRecord{.services = {{service, load}}})});
  }

  void RemoveReport(const CellId& cell) {
    entry_.Push(StoreItem{
        .key = std::string(kLoadPrefix) + cell.Text(), .revision = ++revision_, .removed = true});
  }

  void Reply(const CellId& cell, const ReservationReply& reply) {
    entry_.Push(StoreItem{.key = std::string(kReservationReplyPrefix) + cell.Text(),
                          .value = Encode(reply)});
  }

  [[nodiscard]] RoomTable& Table() { return entry_.state().rooms; }
  [[nodiscard]] Millis Now() { return entry_.state().now; }

  /// Returns the row of a cell, or null.
  [[nodiscard]] const RoomRow* Row(const CellId& cell) {
    const ServiceRooms* rooms = Table().Find(kService);
    if (rooms == nullptr) return nullptr;

    const auto row = std::ranges::find(rooms->Rows(), cell, &RoomRow::cell);
    return row == rooms->Rows().end() ? nullptr : &*row;
  }

  LoneEntry entry_;

 private:
  KvRevision revision_ = 10;
};

TEST_F(RoomTableOfEntry, FollowsReports) {
  EXPECT_EQ(Table().Find(kService), nullptr);

  Report(kOtherCell, kService, SomeLoad());
  Report(kCell, kService, SomeLoad());
  ASSERT_NE(Row(kCell), nullptr);
  EXPECT_EQ(Row(kCell)->capacity, 96'000);
  EXPECT_EQ(Row(kCell)->Free(Now()), 10'000);
  EXPECT_EQ(Row(kCell)->FreeAfterWaiting(Now()), 7'000);
  EXPECT_EQ(Row(kCell)->MaxBestEffort(Now()), 5'000);
  EXPECT_EQ(Row(kCell)->largest_free, 4'000);
  EXPECT_EQ(Row(kCell)->largest_long_running, 8'000);
  EXPECT_EQ(Table().Find(kService)->Rows().front().cell, kCell);

  ServiceLoad fuller = SomeLoad();
  fuller.free = 2'000;
  fuller.largest_free = 500;
  Report(kCell, kService, fuller);
  EXPECT_EQ(Row(kCell)->Free(Now()), 2'000);
  EXPECT_EQ(Row(kCell)->largest_free, 500);
  EXPECT_EQ(Row(kOtherCell)->largest_free, 4'000);

  RemoveReport(kOtherCell);
  EXPECT_EQ(Row(kOtherCell), nullptr);

  // The cell has no workers of the service any more.
  Report(kCell, "other", SomeLoad());
  EXPECT_EQ(Row(kCell), nullptr);
}

TEST_F(RoomTableOfEntry, MaximaFollowReports) {
  ServiceLoad roomy = SomeLoad();
  roomy.free = 50'000;
  roomy.largest_free = 16'000;
  Report(kCell, kService, SomeLoad());
  Report(kOtherCell, kService, roomy);
  const ServiceRooms& rooms = *Table().Find(kService);
  EXPECT_EQ(rooms.Maxima().free, 50'000);
  EXPECT_EQ(rooms.Maxima().largest_free, 16'000);
  EXPECT_EQ(rooms.Maxima().largest_long_running, 8'000);
  EXPECT_EQ(rooms.Maxima().best_effort, 5'000);
  EXPECT_EQ(rooms.Totals().waiting_interrupted, 4'000);

  RemoveReport(kOtherCell);
  EXPECT_EQ(rooms.Maxima().free, 10'000);
  EXPECT_EQ(rooms.Maxima().largest_free, 4'000);
  EXPECT_EQ(rooms.Totals().waiting_interrupted, 2'000);
  RemoveReport(kCell);
  EXPECT_EQ(rooms.Maxima().free, 0);
  EXPECT_EQ(rooms.Totals().waiting_interrupted, 0);
}

TEST_F(RoomTableOfEntry, FollowsReplies) {
  Report(kCell, kService, SomeLoad());
  Table().AddSentDemand(kCell, 4'000, 0, Now());
  Reply(kCell, ReservationReply{.from = kOtherCell,
                                .job = kJob,
                                .service = kService,
                                .free = 1'500,
                                .largest_free = 700,
                                .largest_long_running = 900,
                                .free_best_effort = 2'500});

  ASSERT_NE(Row(kCell), nullptr);
  EXPECT_EQ(Row(kCell)->Free(Now()), 1'500);
  // What waits in the cell is not in the reply, and what was sent there is.
  EXPECT_EQ(Row(kCell)->FreeAfterWaiting(Now()), 1'500);
  EXPECT_EQ(Row(kCell)->largest_free, 700);
  EXPECT_EQ(Row(kCell)->largest_long_running, 900);
  EXPECT_EQ(Row(kCell)->MaxBestEffort(Now()), 1'500);
  EXPECT_EQ(Table().Find(kService)->Maxima().largest_free, 700);
}

TEST_F(RoomTableOfEntry, AReplyOfACellWithoutAReportAddsNoRow) {
  Report(kCell, kService, SomeLoad());
  Reply(kOtherCell,
        ReservationReply{.from = kCell, .job = kJob, .service = kService, .free = 1'500});
  EXPECT_EQ(Row(kOtherCell), nullptr);
  EXPECT_EQ(Row(kCell)->Free(Now()), 10'000);
}

TEST_F(RoomTableOfEntry, ThePauseBetweenOffersBeginsAnewOnceTheTaskHasCome) {
  ServiceLoad load = SomeLoad();
  load.interrupted_waits = {InterruptedWait{.name = StepName{.job = kJob}, .job = kJob}};
  Report(kCell, kService, load);
  const auto pause = [&] {
    return Row(kCell)->interrupted_waits.front().offer_pause.until - Now();
  };
  const auto defer = [&] { Table().DeferOffers(kCell, kJob, Now(), Millis(100), 2); };
  for (const int64_t expected : {100, 200, 400, 400}) {
    defer();
    EXPECT_EQ(pause(), Millis(expected));
    entry_.Wait(Millis(1'000));
  }

  // A report that still names the task doesn't shorten the pause.
  Report(kCell, kService, load);
  defer();
  EXPECT_EQ(pause(), Millis(400));
  // It comes late, during the pause.
  Table().NoteOfferUsed(kCell, kJob, Now(), Now() + Millis(100));
  entry_.Wait(Millis(1'000));
  defer();
  EXPECT_EQ(pause(), Millis(100));
}

TEST_F(RoomTableOfEntry, SentDemandCountsUntilTheNextReport) {
  Report(kCell, kService, SomeLoad());
  Table().AddSentDemand(kCell, 4'000, 2'000, Now());
  Table().AddSentDemand(kCell, 1'000, 1'000, Now());
  EXPECT_EQ(Row(kCell)->Free(Now()), 5'000);
  EXPECT_EQ(Row(kCell)->FreeAfterWaiting(Now()), 2'000);
  EXPECT_EQ(Row(kCell)->MaxBestEffort(Now()), 2'000);

  Report(kCell, kService, SomeLoad());
  EXPECT_EQ(Row(kCell)->Free(Now()), 10'000);
  EXPECT_EQ(Row(kCell)->MaxBestEffort(Now()), 5'000);
}

TEST_F(RoomTableOfEntry, SentDemandCountsForAWhileWithoutAReport) {
  Report(kCell, kService, SomeLoad());
  Table().AddSentDemand(kCell, 4'000, 2'000, Now());
  EXPECT_EQ(Row(kCell)->Free(Now() + Millis(1'499)), 6'000);
  EXPECT_EQ(Row(kCell)->Free(Now() + Millis(1'500)), 10'000);

  // Demand that no longer counts is not added to later demand.
  Table().AddSentDemand(kCell, 1'000, 0, Now() + Millis(1'500));
  EXPECT_EQ(Row(kCell)->Free(Now() + Millis(1'500)), 9'000);
}

TEST_F(RoomTableOfEntry, SharesAreForgottenWithTheReportsThatTheyWereComputedFrom) {
  Report(kCell, kService, SomeLoad());
  Report(kOtherCell, kService, SomeLoad());
  const ServiceRooms& rooms = *Table().Find(kService);
  rooms.ShareOf("image", 0) = 0.25;
  rooms.ShareOf("image", 1) = 0.5;

  // A reply does not tell which long-running tasks a cell has.
  Reply(kCell, ReservationReply{.from = kOtherCell, .job = kJob, .service = kService});
  EXPECT_EQ(rooms.ShareOf("image", 0), 0.25);

  Report(kCell, kService, SomeLoad());
  EXPECT_EQ(rooms.ShareOf("image", 0), std::nullopt);
  EXPECT_EQ(rooms.ShareOf("image", 1), 0.5);

  // The row of the other cell has another number now.
  RemoveReport(kCell);
  EXPECT_EQ(rooms.ShareOf("image", 0), std::nullopt);
}

}  // namespace
}  // namespace currantpost::scheduler
