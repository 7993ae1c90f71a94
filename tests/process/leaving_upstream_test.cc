#include <gtest/gtest.h>
#include <signal.h>

#include <functional>
#include <string>
#include <vector>

#include "currantpost/model/json.h"
#include "running_fleet.h"

namespace currantpost::testing_support {
namespace {

using nlohmann::json;

constexpr Millis kTarget(5'000);
/// How long a leaving upstream is watched for requests that must not come.
constexpr Millis kWatched(5'000);
constexpr Millis kSteadyTime(1'500);
constexpr size_t kCallersPerEntry = 3;
constexpr size_t kLeaver = 0;

int64_t ExecutedAt(const VmRecord& vm) {
  const json records = Ask(vm.upstream, "GET", "/admin/records");
  return records.is_object() ? records.at("executed").get<int64_t>() : -1;
}

/// Checks that the first upstream gets requests, and none any more after `leave`, also not while
/// `meanwhile` goes on.
void ExpectNoNewWorkAfter(
    RunningFleet& fleet, const std::function<void()>& leave,
    const std::function<void()>& meanwhile = [] {}) {
  const VmRecord& leaver = fleet.Vms()[kLeaver];
  Callers callers(fleet.CallerAddresses(), kCallersPerEntry);
  callers.Start();

  EXPECT_TRUE(WaitUntil([&] { return ExecutedAt(leaver) > 0; }, Millis(10'000)));
  Sleep(kSteadyTime);
  leave();
  Sleep(kTarget);

  const int64_t before = ExecutedAt(leaver);
  const int64_t all_before = ReadUpstreams(fleet.Vms()).executed;
  meanwhile();
  Sleep(kWatched);
  EXPECT_EQ(ExecutedAt(leaver), before);
  EXPECT_GT(ReadUpstreams(fleet.Vms()).executed, all_before) << "no requests at all";

  callers.Stop();
  ExpectCallersWereToldTheTruth(callers.Records(), fleet.Vms());
}

TEST(LeavingUpstream, ListSaysLeaving) {
  RunningFleet fleet;

  ExpectNoNewWorkAfter(fleet, [&] {
    std::vector<VmRecord> vms = fleet.Vms();
    vms[kLeaver].state = VmState::kLeaving;
    EXPECT_FALSE(Ask(fleet.VmList(), "PUT", "/admin/vms", json(vms)).is_null());
  });
}

/// The list goes on calling the VM live.
TEST(LeavingUpstream, OwnWordWhileTheListSaysLive) {
  RunningFleet fleet;

  ExpectNoNewWorkAfter(fleet, [&] {
    EXPECT_FALSE(Ask(fleet.Vms()[kLeaver].upstream, "PUT", "/admin/leaving", json(true)).is_null());
  });
}

/// An entry that starts later learns of it from the others, as the list still says live.
TEST(LeavingUpstream, RestartedEntryDoesNotBringItBack) {
  RunningFleet fleet;
  const VmRecord& leaver = fleet.Vms()[kLeaver];

  ExpectNoNewWorkAfter(
      fleet,
      [&] { EXPECT_FALSE(Ask(leaver.upstream, "PUT", "/admin/leaving", json(true)).is_null()); },
      [&] {
        fleet.Kill(0);
        fleet.Restart(0);
        EXPECT_TRUE(fleet.AwaitServing(0));
      });
}

/// The others answer only after the started entry has read the list.
TEST(LeavingUpstream, RestartedEntryWaitsForOthersThatAnswerLate) {
  constexpr Millis kLate(500);
  const MonotonicClock clock;
  RunningFleet fleet;
  const VmRecord& leaver = fleet.Vms()[kLeaver];
  const auto signal_others = [&](int signal) {
    for (size_t entry = 1; entry < fleet.Entries().size(); ++entry) {
      fleet.Entries()[entry].process->Signal(signal);
    }
  };

  ExpectNoNewWorkAfter(
      fleet,
      [&] { EXPECT_FALSE(Ask(leaver.upstream, "PUT", "/admin/leaving", json(true)).is_null()); },
      [&] {
        fleet.Kill(0);
        signal_others(SIGSTOP);
        fleet.Restart(0);
        // Its former callers have gone to the others, so it gets requests of its own.
        const Millis end = clock.Now() + kLate;
        for (int number = 0; clock.Now() < end; ++number) {
          const std::string name = "early-" + std::to_string(number);
          SendRequest(fleet.Entries()[0].callers, {"GET", name, name, ""});
          Sleep(Millis(10));
        }

        signal_others(SIGCONT);
        EXPECT_TRUE(fleet.AwaitServing(0));
      });
}

}  // namespace
}  // namespace currantpost::testing_support
