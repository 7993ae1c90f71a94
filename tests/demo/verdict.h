#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "callers.h"
#include "fleet.h"

namespace currantpost::demo {

using testing_support::CallerOutcome;
using testing_support::CallRecord;
using testing_support::Entry;

/// One promise, and what was seen of it.
struct Check {
  std::string promise;
  std::string seen;
  bool is_kept = false;
};

/// The job that the demo submits.
struct DemoJob {
  std::string name;
  int tasks = 0;
};

/// Judges what callers got by what the upstreams ran.
std::vector<Check> CheckCallers(const std::vector<CallRecord>& records,
                                const std::vector<VmRecord>& vms);

/// Judges the job by what the workers ran.
std::vector<Check> CheckJob(const DemoJob& job, const nlohmann::json& answer,
                            const std::vector<VmRecord>& vms);

/// Judges whether the preset is in force at all entries that were not killed.
Check CheckPreset(const std::string& preset, const nlohmann::json& switched,
                  const std::vector<Entry>& entries);

/// Prints what callers got, by entry and method.
void PrintCallers(const std::vector<CallRecord>& records, const std::vector<Entry>& entries);

/// Prints all checks. Returns whether all promises were kept.
bool PrintChecks(const std::vector<Check>& checks);

}  // namespace currantpost::demo
