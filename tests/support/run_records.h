#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "currantpost/model/resources.h"
#include "currantpost/model/vm.h"

namespace currantpost::testing_support {

/// How often each name was seen.
using Counts = std::map<std::string, int64_t>;

/// What all upstreams ran by their own records, added up.
struct UpstreamRuns {
  Counts by_request_id;
  Counts by_key;
  int64_t executed = 0;
  int64_t refused = 0;
  int64_t most_concurrent = 0;
  /// Whether every upstream told its records.
  bool is_complete = true;
};

/// Asks all upstreams what they ran.
UpstreamRuns ReadUpstreams(const std::vector<VmRecord>& vms);

/// Returns how often a name was seen, 0 if never.
int64_t CountOf(const Counts& counts, const std::string& name);

/// One run of a task at a worker. Times are in ms of the machine's clock.
struct Run {
  int64_t start = 0;
  int64_t end = 0;
  bool is_over = false;
  bool is_finished = false;
};

/// What all workers did for one job by their own records, added up.
struct WorkerRuns {
  std::map<int, std::vector<Run>> by_task;
  int64_t over_capacity = 0;
  bool is_within_capacity = true;
  /// Whether every worker told its records.
  bool is_complete = true;
  /// The most that a worker had committed, for people.
  std::string most_committed;
};

/// Asks all workers what they did for a job.
WorkerRuns ReadWorkers(const std::vector<VmRecord>& vms, const std::string& job);

/// Says whether two of a task's runs went on at the same time.
bool HaveOverlap(std::vector<Run> runs);

/// Returns how many tasks finished exactly once.
int CountFinishedOnce(const WorkerRuns& runs);

/// Returns how many tasks ran in two places at once.
int64_t CountOverlaps(const WorkerRuns& runs);

}  // namespace currantpost::testing_support
