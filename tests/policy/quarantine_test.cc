#include "currantpost/policy/quarantine.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace currantpost {
namespace {

const VmId kWorker("vm-1");

/// Returns a quarantine in which the worker failed tasks of two jobs at time 0.
Quarantine Quarantined() {
  Quarantine quarantine;
  for (int failure = 0; failure < 4; ++failure) {
    quarantine.RecordFailure(Millis(0), kWorker, JobId(failure % 2 == 0 ? "a" : "b"));
  }

  return quarantine;
}

TEST(Quarantine, QuarantinesAWorkerWhereEveryTaskFails) {
  const Quarantine quarantine = Quarantined();

  EXPECT_EQ(quarantine.Health(Millis(9'999), kWorker), WorkerHealth::kQuarantined);
  EXPECT_EQ(quarantine.Health(Millis(0), VmId("other")), WorkerHealth::kHealthy);
}

TEST(Quarantine, OneJobThatCanNeverRunQuarantinesNoWorker) {
  Quarantine quarantine;
  for (int failure = 0; failure < 100; ++failure) {
    quarantine.RecordFailure(Millis(0), kWorker, JobId("broken"));
  }

  EXPECT_EQ(quarantine.Health(Millis(0), kWorker), WorkerHealth::kHealthy);
}

TEST(Quarantine, ASuccessResetsTheFailureCount) {
  Quarantine quarantine;
  for (int round = 0; round < 10; ++round) {
    for (const char* job : {"a", "b", "c"})
      quarantine.RecordFailure(Millis(0), kWorker, JobId(job));
    quarantine.RecordSuccess(kWorker);
  }

  EXPECT_EQ(quarantine.Health(Millis(0), kWorker), WorkerHealth::kHealthy);
}

TEST(Quarantine, ProbesWithOneTaskAtATimeAndIncreasingDelay) {
  Quarantine quarantine = Quarantined();
  EXPECT_EQ(quarantine.Health(Millis(10'000), kWorker), WorkerHealth::kProbing);

  quarantine.RecordStart(Millis(10'000), kWorker);
  EXPECT_EQ(quarantine.Health(Millis(10'001), kWorker), WorkerHealth::kQuarantined);

  quarantine.RecordFailure(Millis(11'000), kWorker, JobId("c"));
  EXPECT_EQ(quarantine.Health(Millis(30'999), kWorker), WorkerHealth::kQuarantined);
  EXPECT_EQ(quarantine.Health(Millis(31'000), kWorker), WorkerHealth::kProbing);

  quarantine.RecordStart(Millis(31'000), kWorker);
  quarantine.RecordSuccess(kWorker);
  EXPECT_EQ(quarantine.Health(Millis(31'001), kWorker), WorkerHealth::kHealthy);
}

TEST(Quarantine, FailuresOfTasksStartedBeforeTheQuarantineDoNotDelayTheProbe) {
  Quarantine quarantine = Quarantined();
  for (int failure = 0; failure < 50; ++failure) {
    quarantine.RecordFailure(Millis(5'000), kWorker, JobId("a"));
  }

  EXPECT_EQ(quarantine.Health(Millis(10'000), kWorker), WorkerHealth::kProbing);
}

TEST(Quarantine, ALostProbeDoesNotBlockTheNextOne) {
  Quarantine quarantine = Quarantined();
  quarantine.RecordStart(Millis(10'000), kWorker);

  EXPECT_EQ(quarantine.Health(Millis(20'000), kWorker), WorkerHealth::kProbing);
}

RC_GTEST_PROP(QuarantineProperty, AProbeIsAllowedAgainWithinTheMaximumDelay, ()) {
  Quarantine quarantine = Quarantined();
  Millis now(0);

  for (const bool failed : *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>())) {
    now = now + Millis(600'000);
    RC_ASSERT(quarantine.Health(now, kWorker) == WorkerHealth::kProbing);
    quarantine.RecordStart(now, kWorker);
    if (failed) quarantine.RecordFailure(now, kWorker, JobId("a"));
  }
}

}  // namespace
}  // namespace currantpost
