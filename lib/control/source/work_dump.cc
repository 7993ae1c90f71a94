#include "currantpost/model/json.h"
#include "work.h"

/// State dump of the work feature.

namespace currantpost {
namespace {

using nlohmann::json;

/// Maximum number of tasks that a dump lists for one part.
constexpr size_t kMaxTasksListed = 100;

json DumpWorker(const WorkerState& worker) {
  return json{{"incarnation", worker.member.incarnation},
              {"address", worker.member.worker},
              {"in_record", worker.in_record},
              {"confirmed", worker.confirmed},
              {"leaving", worker.leaving},
              {"lapsed", worker.leases_expired},
              {"fence", worker.fence},
              {"capacity", worker.capacity},
              {"committed", worker.committed},
              {"committed_batch", worker.committed_batch},
              {"tasks", worker.tasks.size()},
              {"rows", worker.rows.size()},
              {"answered_at_ms", worker.answered_at}};
}

json DumpTask(const ActiveTask& task) {
  return json{{"worker", task.worker},
              {"attempt", task.attempt},
              {"phase", kTaskPhaseNames.Name(task.phase)},
              {"checkpoint", task.checkpoint}};
}

json DumpPart(const PartState& part) {
  json tasks = json::object();

  for (const auto& [index, task] : part.active) {
    if (tasks.size() >= kMaxTasksListed) break;
    tasks[std::to_string(index)] = DumpTask(task);
  }

  return json{{"first_task", part.part.first_task},
              {"task_count", part.part.task_count},
              {"cancelled", part.cancelled},
              {"completed", part.recorded.completed.size()},
              {"failed", part.recorded.failed.size()},
              {"unrecorded", part.unrecorded_completed.size() + part.unrecorded_failed.size()},
              {"next_fresh", part.next_unstarted},
              {"retries", part.retries.size()},
              {"active", part.active.size()},
              {"tasks", std::move(tasks)}};
}

json DumpRack(const RackState& rack) {
  json workers = json::object();
  for (const auto& [id, worker] : rack.workers) workers[id.Text()] = DumpWorker(worker);

  json parts = json::object();
  for (const auto& [job, part] : rack.parts) parts[job.Text()] = DumpPart(part);

  return json{{"phase", kRackPhaseNames.Name(rack.phase)},
              {"epoch", rack.epoch},
              {"owner", rack.record.owner},
              {"record_epoch", rack.record.epoch},
              {"revision", rack.revision},
              {"write", rack.write ? kRackWriteKindNames.Name(rack.write->kind) : "none"},
              {"workers", std::move(workers)},
              {"parts", std::move(parts)}};
}

}  // namespace

json DumpWork(const State& state) {
  json racks = json::object();
  for (const auto& [id, rack] : state.work.racks) racks[id.Text()] = DumpRack(rack);

  return json{{"synced", state.work.watch.synced},
              {"jobs", state.work.jobs.size()},
              {"store_calls", state.work.calls.size()},
              {"worker_orders", state.work.orders.size()},
              {"pending_commands",
               state.work.submits.size() + state.work.cancels.size() + state.work.shows.size()},
              {"racks", std::move(racks)}};
}

}  // namespace currantpost
