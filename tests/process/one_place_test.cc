#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <string>

#include "batch_job.h"

namespace currantpost::testing_support {
namespace {

using nlohmann::json;

/// After others took over, and with that beyond the leases of peers (1.5 s) and tasks (3 s).
constexpr Millis kFreeze(4'000);
constexpr Millis kTakeOverDeadline(20'000);
constexpr const char* kEast = "east";

/// Goes on for longer than each of the failures.
const BatchJob kJob{"pantry-orders", 48, Millis(3'000)};

/// Returns how many racks an entry holds open, by its own word; 0 if it does not answer.
int64_t CountOpenRacks(const Entry& entry) {
  const json state = Ask(entry.operators, "GET", "/v1/state");
  if (!state.is_object()) return 0;

  const json racks = state.value(json::json_pointer("/work/racks"), json::object());
  return std::ranges::count_if(racks, [](const json& rack) { return rack.at("phase") == "open"; });
}

/// Returns the entry of a data centre that holds the most racks.
size_t BusiestEntry(const Fleet& fleet, const std::string& data_centre) {
  size_t busiest = 0;
  int64_t most = -1;

  for (size_t number = 0; number < fleet.Entries().size(); ++number) {
    const Entry& entry = fleet.Entries()[number];
    const int64_t racks = entry.data_centre == data_centre ? CountOpenRacks(entry) : -1;
    if (racks > most) busiest = number;
    most = std::max(most, racks);
  }

  return busiest;
}

TEST(OnePlace, OwnerFrozenBeyondItsLeasesIsReplacedAndFenced) {
  RunningFleet fleet;
  const Entry& submitter = fleet.Entries()[0];
  ASSERT_TRUE(SubmitUntilAccepted(submitter.operators, kJob));
  ASSERT_TRUE(AwaitRunning(fleet, kJob));

  const size_t owner = BusiestEntry(fleet, kEast);
  const Entry& other = fleet.Entries()[1 - owner];
  ASSERT_GT(CountOpenRacks(fleet.Entries()[owner]), 0);
  const int64_t before = CountOpenRacks(other);

  fleet.Entries()[owner].process->Signal(SIGSTOP);
  EXPECT_TRUE(WaitUntil([&] { return CountOpenRacks(other) > before; }, kTakeOverDeadline))
      << "nobody took the racks over";
  Sleep(kFreeze);
  ASSERT_LT(CountFinishedOnce(ReadWorkers(fleet.Vms(), kJob.name)), kJob.tasks);
  fleet.Entries()[owner].process->Signal(SIGCONT);

  ExpectFinishesOnce(fleet, other.operators, kJob);
}

TEST(ResumeOnce, AllEntriesOfADataCentreAreReplacedWhileAJobRuns) {
  RunningFleet fleet;
  ASSERT_TRUE(SubmitUntilAccepted(fleet.Entries()[0].operators, kJob));
  ASSERT_TRUE(AwaitRunning(fleet, kJob));

  // At once, while the tasks' leases last, so that the new processes find tasks that run.
  fleet.Kill(0);
  fleet.Kill(1);
  fleet.Restart(0);
  fleet.Restart(1);
  EXPECT_TRUE(fleet.AwaitReady(0));
  EXPECT_TRUE(fleet.AwaitReady(1));

  ExpectFinishesOnce(fleet, fleet.Entries()[0].operators, kJob);
}

TEST(ResumeOnce, JobGoesOnWhileTheStoreIsDown) {
  RunningFleet fleet;
  ASSERT_TRUE(SubmitUntilAccepted(fleet.Entries()[0].operators, kJob));
  ASSERT_TRUE(AwaitRunning(fleet, kJob));

  EXPECT_FALSE(Ask(fleet.Kv(), "PUT", "/admin/faults", json{{"down", true}}).is_null());
  const int started = static_cast<int>(ReadWorkers(fleet.Vms(), kJob.name).by_task.size());
  Sleep(Millis(15'000));
  const WorkerRuns during = ReadWorkers(fleet.Vms(), kJob.name);
  EXPECT_GT(CountFinishedOnce(during), 0) << "running tasks did not go on";
  EXPECT_GE(static_cast<int>(during.by_task.size()), started);

  EXPECT_FALSE(Ask(fleet.Kv(), "PUT", "/admin/faults", json{{"down", false}}).is_null());
  ExpectFinishesOnce(fleet, fleet.Entries()[0].operators, kJob);
}

TEST(ResumeOnce, LostAnswersOfTheStoreMakeNoSecondJob) {
  RunningFleet fleet;
  const Address& operators = fleet.Entries()[0].operators;
  // The racks have owners once a job can be taken.
  ASSERT_TRUE(SubmitUntilAccepted(operators, BatchJob{"first", 1, Millis(100)}));

  for (int number = 0; number < 4; ++number) {
    const BatchJob job{"lost-" + std::to_string(number), 4, Millis(300)};
    EXPECT_FALSE(
        Ask(fleet.Kv(), "PUT", "/admin/faults", json{{"next", {{"lost", 2 + number}}}}).is_null());

    EXPECT_TRUE(SubmitUntilAccepted(operators, job));
    // Once more, as a caller that never saw the answer would.
    EXPECT_TRUE(SubmitUntilAccepted(fleet.Entries()[1].operators, job));
    ExpectFinishesOnce(fleet, operators, job);
  }
}

}  // namespace
}  // namespace currantpost::testing_support
