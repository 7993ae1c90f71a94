#include "verdict.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <utility>

#include "run_records.h"

namespace currantpost::demo {

using nlohmann::json;
using testing_support::Ask;
using testing_support::CountOf;
using testing_support::CountOverlaps;
using testing_support::kCallerOutcomeNames;
using testing_support::ReadUpstreams;
using testing_support::ReadWorkers;
using testing_support::UpstreamRuns;
using testing_support::WorkerRuns;

std::vector<Check> CheckCallers(const std::vector<CallRecord>& records,
                                const std::vector<VmRecord>& vms) {
  const UpstreamRuns runs = ReadUpstreams(vms);
  int64_t whole = 0;
  int64_t wrong = 0;
  int64_t not_run = 0;
  int64_t not_run_but_run = 0;
  int64_t whole_but_not_run = 0;

  for (const CallRecord& record : records) {
    const int64_t executions = CountOf(runs.by_request_id, record.request_id);

    if (record.outcome == CallerOutcome::kWrong) ++wrong;
    if (record.outcome == CallerOutcome::kWhole) {
      ++whole;
      if (executions == 0) ++whole_but_not_run;
    }
    if (record.outcome == CallerOutcome::kNotRun) {
      ++not_run;
      if (executions > 0) ++not_run_but_run;
    }
  }

  const int64_t repeated =
      std::ranges::count_if(runs.by_key, [](const auto& each) { return each.second > 1; });

  return {
      {"every upstream told what it ran", runs.is_complete ? "yes" : "no", runs.is_complete},
      {"an answer is whole and the caller's own",
       std::to_string(whole) + " whole, " + std::to_string(wrong) + " wrong, " +
           std::to_string(whole_but_not_run) + " whole but never run",
       whole > 0 && wrong == 0 && whole_but_not_run == 0},
      {"a request refused as not run was not run",
       std::to_string(not_run) + " refused, " + std::to_string(not_run_but_run) + " of them run",
       not_run_but_run == 0},
      {"an order runs at most once",
       std::to_string(runs.by_key.size()) + " orders run, " + std::to_string(repeated) +
           " more than once",
       !runs.by_key.empty() && repeated == 0},
      {"an upstream has at most 8 requests at a time",
       std::to_string(runs.most_concurrent) + " at most, " + std::to_string(runs.refused) +
           " refused by upstreams",
       runs.most_concurrent <= 8},
  };
}

std::vector<Check> CheckJob(const DemoJob& job, const json& answer,
                            const std::vector<VmRecord>& vms) {
  const WorkerRuns runs = ReadWorkers(vms, job.name);
  const int64_t completed = answer.is_object() ? answer.value("completed", int64_t{0}) : 0;
  const int finished_once = CountFinishedOnce(runs);
  const int64_t overlaps = CountOverlaps(runs);

  int64_t attempts = 0;
  for (const auto& [task, each] : runs.by_task) attempts += static_cast<int64_t>(each.size());

  return {
      {"every worker told what it ran", runs.is_complete ? "yes" : "no", runs.is_complete},
      {"the job is told complete",
       std::to_string(completed) + " of " + std::to_string(job.tasks) + " tasks",
       completed == job.tasks},
      {"each task finished exactly once",
       std::to_string(finished_once) + " of " + std::to_string(job.tasks) + " tasks, in " +
           std::to_string(attempts) + " runs",
       finished_once == job.tasks},
      {"no task ran in two places at once", std::to_string(overlaps) + " did", overlaps == 0},
      {"no VM was committed beyond what it holds",
       runs.most_committed + "; " + std::to_string(runs.over_capacity) + " starts refused for it",
       runs.is_within_capacity && runs.over_capacity == 0},
  };
}

Check CheckPreset(const std::string& preset, const json& switched,
                  const std::vector<Entry>& entries) {
  Check check{"an accepted preset is in force everywhere", "", switched.is_object()};
  const int64_t revision = switched.is_object() ? switched.value("revision", int64_t{-1}) : -1;
  check.seen =
      switched.is_object() ? "accepted as revision " + std::to_string(revision) : "refused";

  for (const Entry& entry : entries) {
    if (entry.is_killed) continue;

    const json state = Ask(entry.operators, "GET", "/v1/state");
    const json empty = json::object();
    const json part = state.is_object() ? state.value("configuration", empty) : empty;
    const int64_t present = part.value("revision", int64_t{-1});

    check.seen += ", " + entry.name + " has " + std::to_string(present);
    if (present < revision || part.value("in_force", "") != preset) check.is_kept = false;
  }

  return check;
}

void PrintCallers(const std::vector<CallRecord>& records, const std::vector<Entry>& entries) {
  std::map<std::pair<size_t, std::string>, std::map<CallerOutcome, int>> table;
  for (const CallRecord& record : records) {
    ++table[{record.entry, record.method}][record.outcome];
  }

  std::printf("\n%-10s %-6s", "entry", "method");
  for (const auto& row : kCallerOutcomeNames.Rows()) std::printf(" %10s", row.name.data());

  for (auto& [key, outcomes] : table) {
    const Entry& entry = entries[key.first];
    std::printf("\n%-10s %-6s", entry.name.c_str(), key.second.c_str());
    for (const auto& row : kCallerOutcomeNames.Rows()) std::printf(" %10d", outcomes[row.value]);
    if (entry.is_killed) std::printf("  (killed)");
  }

  std::printf("\n");
}

bool PrintChecks(const std::vector<Check>& checks) {
  std::printf("\n");

  for (const Check& check : checks) {
    std::printf("%-6s %-46s %s\n", check.is_kept ? "kept" : "BROKEN", check.promise.c_str(),
                check.seen.c_str());
  }

  return std::ranges::all_of(checks, &Check::is_kept);
}

}  // namespace currantpost::demo
