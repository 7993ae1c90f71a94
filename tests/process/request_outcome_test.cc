#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "running_fleet.h"

namespace currantpost::testing_support {
namespace {

using nlohmann::json;

/// Long enough that every entry has requests in flight at any time.
constexpr Millis kServiceTime(100);
constexpr Millis kSteadyTime(1'500);
constexpr size_t kCallersPerEntry = 4;
constexpr size_t kVictim = 1;
/// Beyond the leases of peers (1.5 s) and tasks (3 s).
constexpr Millis kFreeze(5'000);

int64_t CountAt(const std::vector<CallRecord>& records, size_t entry, CallerOutcome outcome) {
  return std::ranges::count_if(records, [&](const CallRecord& record) {
    return record.entry == entry && record.outcome == outcome;
  });
}

void TellUpstreams(const Fleet& fleet, const std::string& method, const std::string& path,
                   const json& body) {
  for (const VmRecord& vm : fleet.Vms()) {
    EXPECT_FALSE(Ask(vm.upstream, method, path, body).is_null());
  }
}

TEST(WholeAnswer, KilledEntryLeavesNoWrongOrDoubledOutcome) {
  RunningFleet fleet({.service_time = kServiceTime});
  Callers callers(fleet.CallerAddresses(), kCallersPerEntry);
  callers.Start();
  Sleep(kSteadyTime);

  fleet.Kill(kVictim);
  Sleep(kSteadyTime);
  fleet.Restart(kVictim);
  EXPECT_TRUE(fleet.AwaitReady(kVictim));
  Sleep(kSteadyTime);
  callers.Stop();

  // The kill met requests in flight.
  EXPECT_GT(CountAt(callers.Records(), kVictim, CallerOutcome::kNoAnswer), 0);
  ExpectCallersWereToldTheTruth(callers.Records(), fleet.Vms());
}

TEST(AtMostOnce, OrderOfAKilledEntryRunsOnceThroughAnother) {
  RunningFleet fleet({.service_time = Millis(1'000)});
  const std::vector<Address> entries = fleet.CallerAddresses();
  std::vector<std::thread> threads;
  std::vector<CallerOutcome> outcomes(8);

  for (size_t order = 0; order < outcomes.size(); ++order) {
    threads.emplace_back([&, order] {
      const std::string key = "order-" + std::to_string(order);
      outcomes[order] = SendRequest(entries[kVictim], {"POST", key, key + "-first", key});
    });
  }

  const auto executed = [&] { return ReadUpstreams(fleet.Vms()).executed; };
  EXPECT_TRUE(WaitUntil([&] { return executed() > 0; }, Millis(10'000)));
  fleet.Kill(kVictim);
  for (std::thread& thread : threads) thread.join();

  std::vector<CallRecord> retries;
  for (size_t order = 0; order < outcomes.size(); ++order) {
    EXPECT_EQ(outcomes[order], CallerOutcome::kNoAnswer);

    const std::string key = "order-" + std::to_string(order);
    const CallerOutcome outcome = SendRequest(entries[0], {"POST", key, key + "-retry", key});
    retries.push_back(CallRecord{0, "POST", key + "-retry", key, outcome});
  }

  ExpectCallersWereToldTheTruth(retries, fleet.Vms());
}

TEST(NotRunIsNotRun, FrozenEntryTellsTheTruthAndStopsNobodyElse) {
  RunningFleet fleet({.service_time = kServiceTime});
  Callers callers(fleet.CallerAddresses(), kCallersPerEntry);
  callers.Start();
  Sleep(kSteadyTime);

  const Process& victim = *fleet.Entries()[kVictim].process;
  victim.Signal(SIGSTOP);
  // Peers need a while to notice.
  Sleep(kFreeze - kSteadyTime);
  const int64_t before = ReadUpstreams(fleet.Vms()).executed;
  Sleep(kSteadyTime);
  EXPECT_GT(ReadUpstreams(fleet.Vms()).executed, before) << "nobody else serves";

  victim.Signal(SIGCONT);
  EXPECT_TRUE(fleet.AwaitReady(kVictim));
  Sleep(kSteadyTime);
  callers.Stop();

  ExpectCallersWereToldTheTruth(callers.Records(), fleet.Vms());

  const std::string key = "after-the-freeze";
  EXPECT_EQ(SendRequest(fleet.CallerAddresses()[kVictim], {"POST", key, key, key}),
            CallerOutcome::kWhole);
}

TEST(AtMostOnce, FaultyUpstreamsLeaveEveryOutcomeTrue) {
  RunningFleet fleet({.service_time = Millis(20)});
  Callers callers(fleet.CallerAddresses(), kCallersPerEntry);
  callers.Start();
  Sleep(Millis(500));

  for (const char* const fault :
       {"lost", "reset_before", "reset_after", "cut_off", "crossed", "silent"}) {
    TellUpstreams(fleet, "PUT", "/admin/faults", json{{"next", {{fault, 3}}}});
    Sleep(Millis(800));
  }

  // Later than the route's timeout of 5 s, so that its answer must not be taken for another's.
  TellUpstreams(fleet, "PUT", "/admin/faults", json{{"delay_next", 2}, {"delay_ms", 6'000}});
  Sleep(Millis(7'000));
  callers.Stop();

  const std::vector<CallRecord>& records = callers.Records();
  EXPECT_GT(CountOutcomes(records, CallerOutcome::kUnknown), 0) << "no fault met an order";
  EXPECT_EQ(CountOutcomes(records, CallerOutcome::kNoAnswer), 0);
  EXPECT_EQ(CountOutcomes(records, CallerOutcome::kNoConnection), 0);
  ExpectCallersWereToldTheTruth(records, fleet.Vms());
}

/// Each fault meets a request without a key, which only the method protects.
TEST(AtMostOnce, OrderWithoutAKeyIsNeverSentAgain) {
  RunningFleet fleet;
  const Address entry = fleet.CallerAddresses()[0];

  for (const char* const fault :
       {"lost", "reset_before", "reset_after", "cut_off", "crossed", "silent"}) {
    SCOPED_TRACE(fault);
    TellUpstreams(fleet, "PUT", "/admin/faults", json{{"next", {{fault, 1}}}});

    const CallerOutcome outcome = SendRequest(entry, {"POST", fault, fault, ""});
    EXPECT_EQ(outcome, CallerOutcome::kUnknown);
    EXPECT_EQ(CountOf(ReadUpstreams(fleet.Vms()).by_request_id, fault), 1);

    TellUpstreams(fleet, "PUT", "/admin/faults", json{{"next", {{fault, 0}}}});
  }
}

TEST(WholeAnswer, ConnectionsGoneSilentWhileNewOnesWork) {
  RunningFleet fleet;
  Callers callers(fleet.CallerAddresses(), kCallersPerEntry);
  callers.Start();
  Sleep(kSteadyTime);

  TellUpstreams(fleet, "POST", "/admin/silence", json::object());
  Sleep(Millis(6'000));
  callers.Stop();

  const std::string name = "after-the-silence";
  for (const Address& entry : fleet.CallerAddresses()) {
    EXPECT_EQ(SendRequest(entry, {"GET", name, name, ""}), CallerOutcome::kWhole);
  }

  EXPECT_EQ(CountOutcomes(callers.Records(), CallerOutcome::kNoAnswer), 0);
  ExpectCallersWereToldTheTruth(callers.Records(), fleet.Vms());
}

}  // namespace
}  // namespace currantpost::testing_support
