#include "interrupted_order.h"

#include <limits>
#include <tuple>

#include "cell_load.h"
#include "owner_contact.h"
#include "worker_hold.h"

namespace currantpost::scheduler {
namespace {

/// Number of tasks with equal requirements that a load report names. The others have been without a
/// run for a shorter time, and later reports name them.
constexpr int32_t kMaxWaitsPerNeed = 4;

/// Adds the tasks that other cells report for a service, as far as they may fit on a worker here.
void AddReported(const State& state, const OwnedCell& cell, const std::string& service,
                 int64_t largest, std::vector<InterruptedTask>& tasks) {
  const ServiceRooms* rooms = state.rooms.Find(service);
  if (rooms == nullptr || rooms->Totals().interrupted_waits == 0) return;

  for (const RoomRow& row : rooms->Rows()) {
    const bool may_offer = !row.interrupted_waits.empty() && row.cell != cell.cell &&
                           CanReachOwner(state, row.cell) && !IsOwnerPaused(state, row.cell);
    if (!may_offer) continue;

    for (const ReportedWait& wait : row.interrupted_waits) {
      if (wait.task.need.millicores > largest || state.now < wait.offer_pause.until) continue;

      tasks.push_back(InterruptedTask{.priority = wait.task.priority,
                                      .absent_since = wait.absent_since,
                                      .own = std::nullopt,
                                      .reported = &wait,
                                      .waits_in = &row.cell,
                                      .service = &service});
    }
  }
}

/// Returns the largest long-running task that may fit on a worker of each service of a cell, in
/// thousandths of a core.
std::map<std::string_view, std::pair<const std::string*, int64_t>> LargestByService(
    const State& state, const OwnedCell& cell) {
  std::map<std::string_view, std::pair<const std::string*, int64_t>> largest;

  for (const auto& [id, worker] : cell.workers) {
    if (!AcceptsTasks(state, worker)) continue;

    auto& [service, millicores] = largest[worker.info.service];
    service = &worker.info.service;
    millicores =
        std::max(millicores, worker.info.capacity.millicores - worker.long_running_millicores);
  }

  return largest;
}

}  // namespace

std::vector<TaskRef> InterruptedTasksOf(const OwnedCell& cell) {
  std::vector<std::tuple<int32_t, Millis, TaskRef>> tasks;

  for (auto key = cell.waiting.begin(); key != cell.waiting.end();) {
    const auto& [priority, rank, due_at, ref] = *key;

    if (rank != kInterruptedRank) {
      // The next priority.
      key = cell.waiting.upper_bound(WaitingKey{priority, std::numeric_limits<int32_t>::max(),
                                                std::numeric_limits<int64_t>::max(), TaskRef()});
      continue;
    }

    tasks.emplace_back(priority, TaskOf(cell.jobs.at(ref.job), ref).waiting_since, ref);
    ++key;
  }

  std::ranges::sort(tasks);
  std::vector<TaskRef> refs;
  refs.reserve(tasks.size());
  for (auto& [priority, since, ref] : tasks) refs.push_back(std::move(ref));
  return refs;
}

std::vector<InterruptedTask> InterruptedTasksFor(const State& state, const OwnedCell& cell) {
  std::vector<InterruptedTask> tasks;

  for (const TaskRef& ref : InterruptedTasksOf(cell)) {
    const JobState& job = cell.jobs.at(ref.job);
    tasks.push_back(InterruptedTask{.priority = job.record.priority,
                                    .absent_since = TaskOf(job, ref).waiting_since,
                                    .own = ref});
  }

  if (state.rooms.HasInterruptedWaits()) {
    for (const auto& [name, row] : LargestByService(state, cell)) {
      const auto& [service, largest] = row;
      AddReported(state, cell, *service, largest, tasks);
    }
  }

  std::ranges::stable_sort(tasks, {}, [](const InterruptedTask& task) {
    return std::pair(task.priority, task.absent_since);
  });
  return tasks;
}

StepSpec SpecOfReported(const InterruptedWait& task) {
  return StepSpec{.need = task.need,
                  .is_long_running = true,
                  .worker_label = task.worker_label,
                  .max_per_worker = task.max_per_worker};
}

bool IsDueToOlderTask(const State& state, OwnedCell& cell, WorkerState& worker,
                      const PlacementRequest& request) {
  const Millis older = *request.absent_since - kOvertakeMargin;

  return std::ranges::any_of(InterruptedTasksFor(state, cell), [&](const InterruptedTask& task) {
    if (task.priority > request.priority) return false;
    if (task.priority == request.priority && task.absent_since >= older) return false;

    if (task.own) {
      const JobState& job = cell.jobs.at(task.own->job);
      const bool may_start =
          !job.move && !job.loan && TaskOf(job, *task.own).not_before <= state.now;
      return may_start && FitsOnWorker(state, cell, RequestFor(state, cell, *task.own), worker);
    }

    const InterruptedWait& wait = task.reported->task;
    // It has a worker of this cell already.
    if (CountHolds(cell, wait.name, wait.job, true) > 0) return false;

    const StepSpec spec = SpecOfReported(wait);
    const PlacementRequest other{.name = wait.name,
                                 .spec = spec,
                                 .service = *task.service,
                                 .avoided_worker = VmId(),
                                 .ready_at = state.now,
                                 .priority = wait.priority,
                                 .absent_since = task.absent_since};
    return FitsOnWorker(state, cell, other, worker);
  });
}

std::map<std::string, std::vector<InterruptedWait>> UnservedWaits(const State& state,
                                                                  const OwnedCell& cell) {
  std::map<std::string, std::vector<InterruptedWait>> waits;
  std::map<std::pair<StepName, JobId>, int32_t> seen;
  std::map<std::tuple<std::string, int64_t, int64_t, int64_t, std::string>, int32_t> named;

  for (const TaskRef& ref : InterruptedTasksOf(cell)) {
    const JobState& job = cell.jobs.at(ref.job);
    // Borrowed tasks stay while one of them runs here.
    const bool may_leave = !job.move && (job.record.parent.Empty() || job.bound == 0);
    if (!may_leave || job.cancelled || job.attempts_exhausted) continue;

    const StepSpec& spec = SpecOf(job, ref);
    const StepName name = StepNameOf(job, ref);
    if (++seen[{name, ref.job}] <= CountHolds(cell, name, ref.job, true)) continue;

    const std::string& service = ServiceOf(state, job.record);
    std::vector<InterruptedWait>& row = waits[service];
    int32_t& equal = named[{service, spec.need.millicores, spec.need.memory_mib,
                            spec.need.accelerators, spec.worker_label}];
    if (row.size() == kMaxReportedWaits || ++equal > kMaxWaitsPerNeed) continue;

    row.push_back(InterruptedWait{.name = name,
                                  .job = ref.job,
                                  .need = spec.need,
                                  .worker_label = spec.worker_label,
                                  .max_per_worker = spec.max_per_worker,
                                  .priority = job.record.priority,
                                  .absent = state.now - TaskOf(job, ref).waiting_since});
  }

  return waits;
}

}  // namespace currantpost::scheduler
