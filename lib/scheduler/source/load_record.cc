#include "currantpost/model/json_integer.h"
#include "currantpost/scheduler/limits.h"
#include "currantpost/scheduler/records.h"
#include "record_json.h"

namespace currantpost::scheduler {
namespace {

Json WaitsJson(const std::vector<InterruptedWait>& waits) {
  Json rows = Json::array();

  for (const InterruptedWait& wait : waits) {
    rows.push_back(
        Json::array({wait.name.job.Text(), wait.name.occurrence, wait.name.step, wait.job.Text(),
                     wait.need.millicores, wait.need.memory_mib, wait.need.accelerators,
                     wait.worker_label, wait.max_per_worker, wait.priority, wait.absent.Count()}));
  }

  return rows;
}

/// Reads the rows of `WaitsJson`, as many as an owner reports.
std::vector<InterruptedWait> WaitsOf(const Json& json) {
  std::vector<InterruptedWait> waits;

  for (const Json& row : json.get_ref<const Json::array_t&>()) {
    if (waits.size() == kMaxReportedWaits) break;

    waits.push_back(InterruptedWait{
        .name = StepName{.job = JobId(row.at(0).get<std::string>()),
                         .occurrence = ReadInteger<int32_t>(row.at(1), 0),
                         .step = ReadInteger<int32_t>(row.at(2), 0)},
        .job = JobId(row.at(3).get<std::string>()),
        .need = Resources{.millicores = ReadInteger<int64_t>(row.at(4), 0, kMaxAmount),
                          .memory_mib = ReadInteger<int64_t>(row.at(5), 0, kMaxAmount),
                          .accelerators = ReadInteger<int64_t>(row.at(6), 0, kMaxAmount)},
        .worker_label = row.at(7).get<std::string>(),
        .max_per_worker = ReadInteger<int32_t>(row.at(8), 0),
        .priority = ReadInteger<int32_t>(row.at(9)),
        .absent = ReadDuration(row.at(10))});
  }

  return waits;
}

}  // namespace

std::string Encode(const LoadRecord& record) {
  Json json = Json::object();

  for (const auto& [service, load] : record.services) {
    json[service] = Json::array({load.capacity, load.free, load.largest_free, load.free_best_effort,
                                 load.waiting, load.waiting_best_effort, load.long_running_by_image,
                                 load.largest_long_running, load.waiting_interrupted});
    if (!load.interrupted_waits.empty()) json[service].push_back(WaitsJson(load.interrupted_waits));
  }

  return Dump(Json{{"services", std::move(json)},
                   {"pending", record.waiting.by_queue},
                   {"up_to", record.waiting.up_to}});
}

Result<LoadRecord> DecodeLoad(std::string_view value) {
  return Decode<LoadRecord>(value, "load record", [](const Json& json) {
    LoadRecord record;

    record.waiting.by_queue = json.at("pending").get<std::map<std::string, int64_t>>();
    record.waiting.up_to = json.value("up_to", KvRevision{0});

    for (const auto& [service, row] : json.at("services").items()) {
      // Earlier versions do not report what fits beside the long-running tasks.
      const Json& largest_long_running = row.at(row.size() > 7 ? 7 : 2);
      const int64_t waiting_interrupted = row.size() > 8 ? row.at(8).get<int64_t>() : 0;
      record.services[service] =
          ServiceLoad{.capacity = row.at(0).get<int64_t>(),
                      .free = row.at(1).get<int64_t>(),
                      .largest_free = row.at(2).get<int64_t>(),
                      .free_best_effort = row.at(3).get<int64_t>(),
                      .waiting = row.at(4).get<int64_t>(),
                      .waiting_best_effort = row.at(5).get<int64_t>(),
                      .largest_long_running = largest_long_running.get<int64_t>(),
                      .waiting_interrupted = waiting_interrupted,
                      .long_running_by_image = row.at(6).get<std::map<std::string, int64_t>>(),
                      .interrupted_waits = WaitsOf(row.size() > 9 ? row.at(9) : Json::array())};
    }

    return record;
  });
}

}  // namespace currantpost::scheduler
