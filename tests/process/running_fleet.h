#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "callers.h"
#include "fleet.h"
#include "run_records.h"

namespace currantpost::testing_support {

/// A fleet that has started and serves. If the test fails, it prints what the entries wrote.
class RunningFleet : public Fleet {
 public:
  explicit RunningFleet(FleetOptions options = {},
                        const std::function<void(Fleet&)>& before_entries = nullptr);
  ~RunningFleet();

  RunningFleet(const RunningFleet&) = delete;
  RunningFleet& operator=(const RunningFleet&) = delete;

  /// Waits until an entry answers requests, for which it needs the list of VMs. Says whether it
  /// does in time.
  bool AwaitServing(size_t entry) const;

  /// Returns where each entry takes callers' requests.
  std::vector<Address> CallerAddresses() const;
};

/// Waits for a span.
void Sleep(Millis span);

/// Returns how many records have an outcome.
int64_t CountOutcomes(const std::vector<CallRecord>& records, CallerOutcome outcome);

/// Checks what callers were told by what the upstreams ran: no answer is another request's, a whole
/// answer was run, what was told as not run was not, and no order ran twice.
void ExpectCallersWereToldTheTruth(const std::vector<CallRecord>& records,
                                   const std::vector<VmRecord>& vms);

}  // namespace currantpost::testing_support
