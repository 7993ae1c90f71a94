#include <gtest/gtest.h>

#include "outage_world.h"

/// How long an owner without the store renews the leases of its workers, and how long its successor
/// waits for them.

namespace currantpost::scheduler {
namespace {

/// How long after the end of its lease at the store an owner lets the leases of workers run, and
/// how much of that has to be enough for the next owner to take over once both can be reached.
constexpr Millis kOutageRenewals = Millis(8'000);
constexpr Millis kTimeToTakeOver = Millis(1'400);

// Guards against a wait for leases that nobody renews: the only entry of a data centre was gone for
// good together with a worker.
TEST(Outage, TasksReturnInTimeIfTheOnlyOwnerOfADataCentreIsGoneForGood) {
  OutageWorld outage(3, 3);
  outage.world.KillForGood(outage.owner);
  outage.world.LoseWorker(outage.worker);

  EXPECT_LE(outage.LongestAbsence(Millis(20'000)), kMaxAbsence);
  EXPECT_EQ(outage.world.violations, Names());
}

// Guards against the same where other entries of the data centre are gone too.
TEST(Outage, TasksReturnInTimeIfTwoOfThreeEntriesAreGoneForGood) {
  OutageWorld outage(6, 2);
  outage.world.KillForGood(outage.owner);
  outage.world.KillForGood(outage.OtherEntries(true).front());
  outage.world.Run(Millis(200));
  outage.world.LoseWorker(outage.worker);

  EXPECT_LE(outage.LongestAbsence(Millis(20'000)), kMaxAbsence);
  EXPECT_EQ(outage.world.violations, Names());
}

// Guards against a task that runs twice: an owner that is cut off alone with a worker renewed the
// worker's lease longer than its successor waited.
TEST(Outage, ATaskDoesNotRunTwiceIfItsOwnerIsCutOffAloneWithItsWorker) {
  for (const int32_t data_centres : {1, 2, 4}) {
    OutageWorld outage(4, data_centres);
    outage.Isolate({outage.owner, outage.worker});
    EXPECT_LE(outage.LongestAbsence(Millis(20'000)), kMaxAbsence);
    outage.world.Reconnect();
    outage.world.Run(Millis(5'000));

    EXPECT_EQ(outage.world.violations, Names()) << data_centres;
    EXPECT_EQ(outage.world.WorkersOf(kJob).size(), 1U) << data_centres;
  }
}

// Guards against the same if the store removes the owner's keys unseen before.
TEST(Outage, ATaskDoesNotRunTwiceIfTheKeysOfItsOwnerAreRemovedUnseen) {
  OutageWorld outage(4, 2);
  const LeaseId lease = outage.world.store.LeaseOf(std::string(kEntryPrefix) + outage.owner);
  outage.world.DelayWatches(outage.owner, Millis(1'500));
  for (const std::string& entry : outage.world.Entries()) {
    if (entry == outage.owner) continue;

    outage.world.Cut(entry, outage.owner);
    outage.world.Cut(entry, outage.worker);
  }
  outage.world.store.Revoke(lease, true, outage.world.now());
  outage.world.Run(Millis(20'000));
  outage.world.Reconnect();
  outage.world.Run(Millis(5'000));

  EXPECT_EQ(outage.world.violations, Names());
  EXPECT_EQ(outage.world.WorkersOf(kJob).size(), 1U);
}

// Guards against tasks that end in an outage which all entries see.
TEST(Outage, TasksRunOnWhileTheStoreIsAway) {
  for (const int32_t data_centres : {1, 2, 4}) {
    OutageWorld outage(4, data_centres);
    for (const std::string& entry : outage.world.Entries()) outage.world.Cut(entry, "store");
    outage.world.Run(kShortCut);
    outage.world.Reconnect();
    outage.world.Run(Millis(15'000));

    EXPECT_EQ(outage.Starts(), 1) << data_centres;
    EXPECT_EQ(outage.world.WorkersOf(kJob).size(), 1U) << data_centres;
  }
}

// Guards against tasks that end in a data centre that is cut off as a whole.
TEST(Outage, TasksRunOnInADataCentreThatIsCutOff) {
  OutageWorld outage(6, 2);
  outage.IsolateDataCentre();
  outage.world.Run(kShortCut);
  outage.world.Reconnect();
  outage.world.Run(Millis(15'000));

  EXPECT_EQ(outage.Starts(), 1);
  EXPECT_EQ(outage.world.violations, Names());
}

/// Isolates the data centre of the owner just after an outage of the store that emptied the
/// registry. Returns when the leases that the owner may grant meanwhile end.
Millis IsolateAfterOutage(OutageWorld& outage, Millis offset) {
  World& world = outage.world;
  world.Run(offset);
  outage.CutStore();
  world.Run(Millis(2'500));
  const Millis leases_end = world.state(outage.owner).lease.valid_until + kOutageRenewals;
  world.Reconnect();
  outage.EmptyRegistry();
  outage.IsolateDataCentre();
  return leases_end;
}

/// Reconnects all just before `leases_end`, and checks that the task has run on.
void ExpectTaskRunsOn(OutageWorld& outage, Millis leases_end, int64_t offset) {
  World& world = outage.world;
  world.Run(leases_end - kTimeToTakeOver - world.now());
  world.Reconnect();
  world.Run(Millis(20'000));

  EXPECT_EQ(outage.Starts(), 1) << offset;
  EXPECT_EQ(world.violations, Names()) << offset;
  EXPECT_EQ(world.WorkersOf(kJob).size(), 1U) << offset;
}

// Guards against runs that lapse though their workers answer: the registry had dropped the workers
// while the store was away, so the next owner did not know their addresses once the cut had healed.
TEST(Outage, TasksRunOnInADataCentreThatIsCutOffWhileTheRegistryIsEmpty) {
  for (int64_t offset = 0; offset < 1'500; offset += 100) {
    OutageWorld outage(9, 3);
    ExpectTaskRunsOn(outage, IsolateAfterOutage(outage, Millis(offset)), offset);
  }
}

// Guards against the same where the former owner is unknown to the next one, because an owner in
// between has released the cell.
TEST(Outage, TasksRunOnInADataCentreThatIsCutOffThoughItsNextOwnerStops) {
  for (int64_t offset = 0; offset < 1'500; offset += 100) {
    OutageWorld outage(9, 3);
    const Millis leases_end = IsolateAfterOutage(outage, Millis(offset));
    outage.world.Run(Millis(3'500));
    const std::string next = outage.world.OwnerOf(kJob);
    ASSERT_FALSE(next.empty() || next == outage.owner) << offset;
    outage.world.Stop(next);
    ExpectTaskRunsOn(outage, leases_end, offset);
  }
}

// Guards against a task that runs twice: a witness that had confirmed the outage reached the store
// again, and counted as proof that there had been none.
TEST(Outage, ATaskDoesNotRunTwiceIfAWitnessReachesTheStoreAgainFirst) {
  for (const Millis alone : {Millis(2'500), Millis(3'500), Millis(4'500), Millis(6'000)}) {
    OutageWorld outage(4, 2);
    const Names group = outage.IsolateDataCentre();
    outage.world.Run(alone);
    outage.world.Reconnect();
    outage.Isolate({outage.owner, outage.worker});
    outage.world.Run(Millis(20'000));
    outage.world.Reconnect();
    outage.world.Run(Millis(5'000));

    EXPECT_EQ(outage.world.violations, Names()) << alone.Count();
    EXPECT_EQ(outage.world.WorkersOf(kJob).size(), 1U) << alone.Count();
  }
}

// Guards against a process that acts on an old permission: a confirmation that waited while the
// owner was paused.
TEST(Outage, ATaskDoesNotRunTwiceIfItsOwnerWasPausedInTheOutage) {
  for (const Millis paused : {Millis(1'000), Millis(3'000), Millis(6'000)}) {
    OutageWorld outage(4, 2);
    outage.IsolateDataCentre();
    outage.world.Run(Millis(2'000));
    outage.world.Pause(outage.owner);
    outage.world.Run(paused);
    outage.world.Reconnect();
    outage.Isolate({outage.owner, outage.worker});
    outage.world.Resume(outage.owner);
    outage.world.Run(Millis(20'000));
    outage.world.Reconnect();
    outage.world.Run(Millis(5'000));

    EXPECT_EQ(outage.world.violations, Names()) << paused.Count();
    EXPECT_EQ(outage.world.WorkersOf(kJob).size(), 1U) << paused.Count();
  }
}

}  // namespace
}  // namespace currantpost::scheduler
