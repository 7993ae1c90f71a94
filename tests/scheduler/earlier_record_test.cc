#include <gtest/gtest.h>

#include "currantpost/scheduler/records.h"

/// Records that an earlier build wrote, with members that are no longer in use.

namespace currantpost::scheduler {
namespace {

TEST(EarlierRecords, AHandOverRecordWithABoundForListedRunsKeepsTheLongerOne) {
  const Result<HandOverRecord> read =
      DecodeHandOver(R"({"grant":7,"leases":{"w1":9000},"listed":{"w1":4000}})");

  ASSERT_TRUE(read);
  EXPECT_EQ(read->leases, (std::map<VmId, Millis>{{VmId("w1"), Millis(9'000)}}));
}

TEST(EarlierRecords, ATaskThatAPollHasListedKeepsItsWorkerAndTheOneToAvoid) {
  const Result<ProgressRecord> read = DecodeProgress(
      "active\n"
      R"([[0,1,2,1,3,4,"w1",5,"checkpoint","w2",1],[0,1,3,1,3,4,"w1",5,"","",1]])");

  ASSERT_TRUE(read);
  ASSERT_EQ(read->tasks.size(), 2U);
  EXPECT_EQ(read->tasks[0].worker, VmId("w1"));
  EXPECT_EQ(read->tasks[0].worker_incarnation, 5);
  EXPECT_EQ(read->tasks[0].checkpoint, "checkpoint");
  EXPECT_EQ(read->tasks[0].avoided_worker, VmId("w2"));
  EXPECT_EQ(read->tasks[1].avoided_worker, VmId());
}

}  // namespace
}  // namespace currantpost::scheduler
