#include "running_fleet.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>
#include <utility>

namespace currantpost::testing_support {
namespace {

constexpr Millis kServingDeadline(20'000);

}  // namespace

RunningFleet::RunningFleet(FleetOptions options, const std::function<void(Fleet&)>& before_entries)
    : Fleet(Programs{CURRANTPOSTD_PATH, STANDIN_PLATFORM_PATH, STANDIN_VM_PATH}, options) {
  if (before_entries) BeforeEntries([this, &before_entries] { before_entries(*this); });
  EXPECT_TRUE(Start()) << "the entries did not become ready in time";
  for (size_t entry = 0; entry < Entries().size(); ++entry) EXPECT_TRUE(AwaitServing(entry));
}

RunningFleet::~RunningFleet() {
  if (testing::Test::HasFailure()) std::fprintf(stderr, "%s\n", EntryOutput().c_str());
}

bool RunningFleet::AwaitServing(size_t entry) const {
  const std::string name = "first-of-" + Entries()[entry].name;
  return WaitUntil(
      [&] {
        return SendRequest(Entries()[entry].callers, {"GET", name, name, ""}) ==
               CallerOutcome::kWhole;
      },
      kServingDeadline);
}

std::vector<Address> RunningFleet::CallerAddresses() const {
  std::vector<Address> addresses;
  for (const Entry& entry : Entries()) addresses.push_back(entry.callers);
  return addresses;
}

void Sleep(Millis span) { std::this_thread::sleep_for(std::chrono::milliseconds(span.Count())); }

int64_t CountOutcomes(const std::vector<CallRecord>& records, CallerOutcome outcome) {
  return std::ranges::count(records, outcome, &CallRecord::outcome);
}

void ExpectCallersWereToldTheTruth(const std::vector<CallRecord>& records,
                                   const std::vector<VmRecord>& vms) {
  const UpstreamRuns runs = ReadUpstreams(vms);
  ASSERT_TRUE(runs.is_complete);
  EXPECT_FALSE(runs.by_key.empty());

  for (const auto& [key, executions] : runs.by_key) EXPECT_EQ(executions, 1) << key;

  for (const CallRecord& record : records) {
    const int64_t executions = CountOf(runs.by_request_id, record.request_id);

    switch (record.outcome) {
      case CallerOutcome::kWhole:
        EXPECT_GE(executions, 1) << record.request_id;
        break;
      case CallerOutcome::kNotRun:
      case CallerOutcome::kNoConnection:
        EXPECT_EQ(executions, 0) << record.request_id;
        break;
      case CallerOutcome::kWrong:
        ADD_FAILURE() << record.request_id << " got another answer";
        break;
      case CallerOutcome::kUnknown:
      case CallerOutcome::kNoAnswer:
        break;
    }
  }
}

}  // namespace currantpost::testing_support
