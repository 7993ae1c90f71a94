#include "run_records.h"

#include <algorithm>

#include "currantpost/model/json.h"
#include "fleet.h"

namespace currantpost::testing_support {

using nlohmann::json;

namespace {

void Add(const Counts& counts, Counts& sum) {
  for (const auto& [name, count] : counts) sum[name] += count;
}

void AddRuns(const json& records, const std::string& job, WorkerRuns& runs) {
  for (const json& row : records.at("runs")) {
    if (row.at("task").at("job") != job) continue;

    const std::string how = row.at("how");
    runs.by_task[row.at("task").at("index")].push_back(
        Run{row.at("start_ms"), row.at("end_ms"), how != "running", how == "finished"});
  }
}

}  // namespace

UpstreamRuns ReadUpstreams(const std::vector<VmRecord>& vms) {
  UpstreamRuns runs;

  for (const VmRecord& vm : vms) {
    const json records = Ask(vm.upstream, "GET", "/admin/records");

    if (!records.is_object()) {
      runs.is_complete = false;
      continue;
    }

    Add(records.at("by_request_id").get<Counts>(), runs.by_request_id);
    Add(records.at("by_key").get<Counts>(), runs.by_key);
    runs.executed += records.at("executed").get<int64_t>();
    runs.refused += records.at("refused").get<int64_t>();
    runs.most_concurrent =
        std::max(runs.most_concurrent, records.at("most_concurrent").get<int64_t>());
  }

  return runs;
}

int64_t CountOf(const Counts& counts, const std::string& name) {
  const auto found = counts.find(name);
  return found == counts.end() ? 0 : found->second;
}

WorkerRuns ReadWorkers(const std::vector<VmRecord>& vms, const std::string& job) {
  WorkerRuns runs;
  Resources most;

  for (const VmRecord& vm : vms) {
    const json records = Ask(vm.worker, "GET", "/admin/records");

    if (!records.is_object()) {
      runs.is_complete = false;
      continue;
    }

    AddRuns(records, job, runs);
    runs.over_capacity += records.at("over_capacity").get<int64_t>();

    const auto committed = records.at("most_committed").get<Resources>();
    most = ComponentMax(most, committed);
    if (!FitsWithin(committed, vm.capacity)) runs.is_within_capacity = false;
  }

  runs.most_committed = std::to_string(most.millicores) + " of " +
                        std::to_string(vms.front().capacity.millicores) + " millicores, " +
                        std::to_string(most.memory_mib) + " of " +
                        std::to_string(vms.front().capacity.memory_mib) + " MiB";
  return runs;
}

bool HaveOverlap(std::vector<Run> runs) {
  std::ranges::sort(runs, {}, &Run::start);

  for (size_t next = 1; next < runs.size(); ++next) {
    if (!runs[next - 1].is_over || runs[next].start < runs[next - 1].end) return true;
  }

  return false;
}

int CountFinishedOnce(const WorkerRuns& runs) {
  return static_cast<int>(std::ranges::count_if(runs.by_task, [](const auto& task) {
    return std::ranges::count_if(task.second, &Run::is_finished) == 1;
  }));
}

int64_t CountOverlaps(const WorkerRuns& runs) {
  return std::ranges::count_if(runs.by_task,
                               [](const auto& task) { return HaveOverlap(task.second); });
}

}  // namespace currantpost::testing_support
