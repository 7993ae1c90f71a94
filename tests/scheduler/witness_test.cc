#include <gtest/gtest.h>

#include "outage_world.h"

/// How long a successor waits for leases if no witness of the former owner is left.

namespace currantpost::scheduler {
namespace {

constexpr int64_t kMaxOffset = 2'000;
constexpr int64_t kOffsetStep = 100;
/// An entry that the store has not answered for 1.4 s misses it. An owner asks by then.
constexpr Millis kUntilAway = Millis(200);
constexpr Millis kAway = Millis(1'600);
constexpr Millis kAnswerTime = Millis(100);

/// Ends all entries of the owner's data centre for good.
void KillDataCentreForGood(OutageWorld& outage) {
  for (const std::string& entry : outage.OtherEntries(true)) outage.world.KillForGood(entry);
  outage.world.KillForGood(outage.owner);
}

// Guards against a wait for leases that nobody renews: all entries of a data centre were gone for
// good together with a worker, so that no witness could deny.
TEST(Witness, TasksReturnInTimeIfAllEntriesOfADataCentreAreGoneForGood) {
  for (const auto& [entries, data_centres] : {std::pair(4, 2), std::pair(6, 3), std::pair(6, 2)}) {
    OutageWorld outage(entries, data_centres);
    KillDataCentreForGood(outage);
    outage.world.Run(Millis(200));
    outage.world.LoseWorker(outage.worker);

    EXPECT_LE(outage.LongestAbsence(Millis(20'000)).Count(), kMaxAbsence.Count())
        << entries << " entries in " << data_centres;
    EXPECT_EQ(outage.world.violations, Names());
  }
}

// Guards against the same if half of the workers are gone too.
TEST(Witness, TasksReturnInTimeIfAllEntriesAndHalfOfTheWorkersAreGoneForGood) {
  OutageWorld outage(6, 3);
  KillDataCentreForGood(outage);
  outage.world.Run(Millis(200));
  outage.world.LoseWorker(outage.worker);
  for (const std::string& id : outage.OtherWorkers(true)) {
    if (id == outage.worker) continue;

    outage.world.LoseWorker(id);
    break;
  }

  EXPECT_LE(outage.LongestAbsence(Millis(20'000)).Count(), kMaxAbsence.Count());
  EXPECT_EQ(outage.world.violations, Names());
}

// Guards against a longer wait for a run that no poll had listed when its owner and its worker were
// gone for good.
TEST(Witness, ATaskWhoseRunNoPollHasListedReturnsInTimeIfAWitnessDenies) {
  OutageWorld outage(4, 2);
  JobSpec spec = MakeJob("b", 1);
  spec.steps[0].is_long_running = true;
  outage.world.Submit("e0", spec);
  for (int32_t step = 0; step < 400 && outage.world.WorkersOf("b").empty(); ++step) {
    outage.world.Run(Millis(1));
  }
  ASSERT_EQ(outage.world.WorkersOf("b").size(), 1U);
  const std::string worker = outage.world.WorkersOf("b").front();
  outage.world.KillForGood(outage.world.OwnerOf("b"));
  outage.world.LoseWorker(worker);
  const Millis lost_at = outage.world.now();

  const auto runs = [&] {
    return std::ranges::any_of(outage.world.WorkersOf("b"),
                               [&](const std::string& id) { return outage.world.worker(id).up; });
  };
  while (!runs() && outage.world.now() - lost_at < Millis(20'000)) outage.world.Run(Millis(20));

  EXPECT_LE((outage.world.now() - lost_at).Count(), kMaxAbsence.Count());
  EXPECT_EQ(outage.world.violations, Names());
}

/// Returns the owner, its witness and some workers of its data centre, the one of the task first.
Names OwnersSide(const OutageWorld& outage, size_t workers) {
  Names group = outage.OtherEntries(true);
  group.push_back(outage.owner);
  group.push_back(outage.worker);

  for (const std::string& id : outage.OtherWorkers(true)) {
    if (group.size() == outage.OtherEntries(true).size() + 1 + workers) break;
    if (id != outage.worker) group.push_back(id);
  }

  return group;
}

/// Lets time pass, reconnects all, and checks that the task never ran twice and runs in the end.
void ExpectOneRun(OutageWorld& outage, const std::string& text) {
  outage.world.Run(Millis(20'000));
  outage.world.Reconnect();
  outage.world.Run(Millis(5'000));

  EXPECT_EQ(outage.world.violations, Names()) << text;
  EXPECT_EQ(outage.world.WorkersOf(kJob).size(), 1U) << text;
}

// Guards against a task that runs twice: an owner renewed for long while its successor had most
// workers and waited a short time.
TEST(Witness, ATaskDoesNotRunTwiceIfItsOwnerKeepsAWitnessAndSomeOfTheWorkers) {
  for (const size_t workers : {1U, 2U, 3U, 4U}) {
    OutageWorld outage(4, 2);
    outage.Isolate(OwnersSide(outage, workers));
    ExpectOneRun(outage, std::to_string(workers) + " workers");
  }
}

// Guards against the same if the owner had all workers first, and its successor gets them later.
TEST(Witness, ATaskDoesNotRunTwiceIfTheSuccessorGetsTheWorkersLater) {
  for (const Millis alone : {Millis(2'500), Millis(4'000), Millis(5'500), Millis(7'000)}) {
    for (const size_t workers : {1U, 2U, 3U}) {
      OutageWorld outage(4, 2);
      outage.IsolateDataCentre();
      outage.world.Run(alone);
      outage.world.Reconnect();
      outage.Isolate(OwnersSide(outage, workers));
      ExpectOneRun(outage, std::to_string(workers) + " workers " + std::to_string(alone.Count()));
    }
  }
}

// Guards against the same if workers restart that the successor had reached, so that they have
// seen no fencing token, and only the former owner reaches them then.
TEST(Witness, ATaskDoesNotRunTwiceIfWorkersOfTheSuccessorRestart) {
  for (const Millis apart : {Millis(3'000), Millis(4'000), Millis(5'000)}) {
    OutageWorld outage(4, 2);
    const Names group = OwnersSide(outage, 1);
    outage.Isolate(group);
    outage.world.Run(apart);

    for (const std::string& id : outage.OtherWorkers(true)) {
      if (id != outage.worker) outage.world.RestartWorker(id);
    }
    outage.world.Reconnect();
    outage.IsolateDataCentre();
    ExpectOneRun(outage, std::to_string(apart.Count()));
  }
}

// Guards against the same if the owner is paused while its successor gets the workers.
TEST(Witness, ATaskDoesNotRunTwiceIfItsOwnerIsPausedWhileTheSuccessorGetsTheWorkers) {
  for (const Millis paused : {Millis(500), Millis(1'000), Millis(3'000), Millis(6'000)}) {
    OutageWorld outage(4, 2);
    outage.IsolateDataCentre();
    outage.world.Run(Millis(2'000));
    outage.world.Pause(outage.owner);
    outage.world.Run(paused);
    outage.world.Reconnect();
    outage.Isolate(OwnersSide(outage, 1));
    outage.world.Resume(outage.owner);
    ExpectOneRun(outage, std::to_string(paused.Count()));
  }
}

// Guards against the same if the successor that had the workers is gone soon.
TEST(Witness, ATaskDoesNotRunTwiceIfSuccessorsFollowEachOther) {
  for (const Millis alone : {Millis(3'000), Millis(3'500), Millis(5'000)}) {
    OutageWorld outage(6, 2);
    outage.Isolate(OwnersSide(outage, 1));
    outage.world.Run(alone);
    const std::string successor = outage.world.OwnerOf(kJob);
    if (successor != outage.owner && !successor.empty()) outage.world.KillForGood(successor);
    ExpectOneRun(outage, std::to_string(alone.Count()));
  }
}

// Guards against tasks that end in an outage because idle workers were not asked, or because some
// are gone.
TEST(Witness, TasksRunOnInADataCentreThatIsCutOffAfterAWorkerWasLost) {
  for (const bool lost_before : {true, false}) {
    OutageWorld outage(6, 2);
    const auto lose_one = [&] {
      for (const std::string& id : outage.OtherWorkers(true)) {
        if (id != outage.worker) return outage.world.LoseWorker(id);
      }
    };
    if (lost_before) {
      lose_one();
      outage.world.Run(Millis(500));
    }
    outage.IsolateDataCentre();
    outage.world.Run(Millis(1'000));
    if (!lost_before) lose_one();
    outage.world.Run(kShortCut - Millis(1'000));
    outage.world.Reconnect();
    outage.world.Run(Millis(15'000));

    EXPECT_EQ(outage.Starts(), 1) << lost_before;
    EXPECT_EQ(outage.world.violations, Names()) << lost_before;
  }
}

// Guards against the same if workers were added or restarted shortly before.
TEST(Witness, TasksRunOnInADataCentreThatIsCutOffAfterWorkersWereAddedOrRestarted) {
  OutageWorld outage(6, 2);
  const int32_t centre = std::stoi(outage.worker.substr(2, 1));
  for (const int32_t number : {10, 11, 12, 13}) outage.world.AddWorkerTo(centre, 0, number);
  for (const std::string& id : outage.OtherWorkers(true)) {
    if (id != outage.worker) outage.world.RestartWorker(id);
  }
  outage.world.Run(Millis(1'500));
  outage.IsolateDataCentre();
  outage.world.Run(kShortCut);
  outage.world.Reconnect();
  outage.world.Run(Millis(15'000));

  EXPECT_EQ(outage.Starts(), 1);
  EXPECT_EQ(outage.world.violations, Names());
}

// Guards against witnesses that confirm an outage because they were away themselves.
TEST(Witness, ConfirmsNoOutageOnItsReturnWhileTheStoreAnswers) {
  for (int64_t offset = 0; offset < kMaxOffset; offset += kOffsetStep) {
    OutageWorld outage(3, 1);
    World& world = outage.world;
    world.Run(Millis(offset));
    world.Cut(outage.owner, "store");
    world.Run(kUntilAway);
    const Names witnesses = outage.OtherEntries(true);
    for (const std::string& entry : witnesses) world.Pause(entry);
    world.Run(kAway);
    for (const std::string& entry : witnesses) world.Resume(entry);
    world.Run(kAnswerTime);

    for (const std::string& entry : witnesses) {
      EXPECT_TRUE(world.state(entry).outage.last_confirmation.empty()) << entry << " " << offset;
    }
  }
}

}  // namespace
}  // namespace currantpost::scheduler
