#include "cell_load.h"

#include "cell_workers.h"
#include "interrupted_order.h"
#include "worker_hold.h"

/// Counts the free capacity of a cell and the demand that waits there.

namespace currantpost::scheduler {
namespace {

/// A worker that has not answered for this long gets no new tasks: two polls have failed by then.
constexpr Millis kUnresponsiveAfter = Millis(2'600);

/// Adds the capacity of a worker to that of its service.
void AddFree(const OwnedCell& cell, const WorkerState& worker, ServiceLoad& load) {
  const int64_t kept = KeptOn(cell, worker).millicores;
  const int64_t free = std::max<int64_t>(FreeMillicores(worker) - kept, 0);
  load.capacity += worker.info.capacity.millicores;
  load.free += free;
  load.largest_free = std::max(load.largest_free, free);
  const int64_t short_running = worker.reserved.millicores - worker.long_running_millicores;
  const int64_t long_running =
      FreeMillicores(worker) + short_running - KeptForInterrupted(cell, worker).millicores;
  load.largest_long_running = std::max(load.largest_long_running, long_running);
  load.free_best_effort += std::max<int64_t>(FreeBestEffort(worker), 0);
}

/// Adds the demand of the long-running tasks on a worker that will probably be interrupted.
void AddInterruptedSoon(const State& state, const OwnedCell& cell, const WorkerState& worker,
                        LoadRecord& record) {
  for (const TaskRef& ref : worker.tasks) {
    const JobState& job = cell.jobs.at(ref.job);
    const StepSpec& spec = SpecOf(job, ref);
    if (!spec.is_long_running || spec.best_effort || job.cancelled) continue;

    record.services[ServiceOf(state, job.record)].waiting_interrupted += spec.need.millicores;
  }
}

}  // namespace

bool AcceptsTasks(const State& state, const WorkerState& worker) {
  if (!worker.listed || worker.info.draining || !worker.confirmed) return false;
  if (state.now < worker.quarantined_until) return false;

  return worker.failed_polls == 0 || state.now - worker.answered_at < kUnresponsiveAfter;
}

PendingJobs CountCellPendingJobs(const State& state, const OwnedCell& cell, KvRevision up_to) {
  PendingJobs waiting{.up_to = up_to};

  for (const auto& [id, job] : cell.jobs) {
    const bool immediate = job.record.spec.occurrences == 0 && job.record.parent.Empty();
    if (!immediate || job.phase != JobPhase::kQueued || job.cancelled) continue;

    const auto view = state.view.jobs.find(id);
    if (view != state.view.jobs.end() && view->second.revision > up_to) continue;

    ++waiting.by_queue[job.record.queue];
  }

  return waiting;
}

ServiceLoad CountFree(const State& state, const OwnedCell& cell, const std::string& service) {
  ServiceLoad load;

  for (const auto& [id, worker] : cell.workers) {
    if (worker.info.service == service && AcceptsTasks(state, worker)) AddFree(cell, worker, load);
  }

  return load;
}

LoadRecord CountLoad(const State& state, const OwnedCell& cell) {
  LoadRecord record;

  for (const auto& [id, worker] : cell.workers) {
    if (IsLeavingOrSilent(worker)) AddInterruptedSoon(state, cell, worker, record);
    if (!AcceptsTasks(state, worker)) continue;

    ServiceLoad& load = record.services[worker.info.service];
    AddFree(cell, worker, load);

    for (const TaskRef& ref : worker.tasks) {
      const StepSpec& spec = SpecOf(cell.jobs.at(ref.job), ref);
      if (spec.is_long_running) load.long_running_by_image[spec.image] += spec.need.millicores;
    }
  }

  record.waiting = CountCellPendingJobs(state, cell, state.feeds.at(Feed::kRecords).revision);

  const JobState* job = nullptr;
  ServiceLoad* load = nullptr;

  // The tasks of one job are adjacent within each rank.
  for (const WaitingKey& key : cell.waiting) {
    const TaskRef& ref = std::get<3>(key);

    if (job == nullptr || job->record.spec.job != ref.job) {
      job = &cell.jobs.at(ref.job);
      load = &record.services[ServiceOf(state, job->record)];
    }

    const StepSpec& spec = SpecOf(*job, ref);
    (spec.best_effort ? load->waiting_best_effort : load->waiting) += spec.need.millicores;
    const Millis waited = state.now - TaskOf(*job, ref).waiting_since;
    const bool is_overdue = waited >= kInterruptedHoldDelay && waited < kMaxYieldTime;
    if (IsInterrupted(*job, ref) && is_overdue) load->waiting_interrupted += spec.need.millicores;
  }

  for (auto& [service, waits] : UnservedWaits(state, cell)) {
    record.services[service].interrupted_waits = std::move(waits);
  }

  return record;
}

}  // namespace currantpost::scheduler
