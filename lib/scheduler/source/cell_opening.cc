#include <optional>

#include "cell_workers.h"

/// Opening of cells: an owner takes over the jobs of a cell once it knows all that its predecessors
/// recorded. Until then it keeps the runs alive that the records bind to workers: they need no more
/// than the grant, and the copy of the records may be seconds behind.

namespace currantpost::scheduler {
namespace {

/// Reads the progress that former owners recorded. They cannot record any more after the grant.
void ReadProgress(State& state, Effects& effects, OwnedCell& cell) {
  if (cell.progress_known || cell.progress_request != 0) return;

  if (state.now < cell.progress_at) {
    WakeAt(state, cell.progress_at);
    return;
  }

  const std::string prefix = std::string(kProgressPrefix) + cell.cell.Text() + "/";
  cell.progress_request = CallStore(state, effects, ProgressListed{cell.cell, cell.grant},
                                    ListRecords{prefix, cell.progress_after});
}

/// Returns an input that the cell still needs before it can be opened, or nothing.
std::optional<CellInput> MissingInput(State& state, const OwnedCell& cell) {
  const FeedState& records = state.feeds[Feed::kRecords];
  if (!cell.progress_known) return CellInput::kProgress;
  if (!cell.hand_over.known) return CellInput::kHandOver;
  if (!state.feeds[Feed::kWorkers].synced) return CellInput::kRegistry;
  if (!records.synced) return CellInput::kRecords;
  if (records.revision < cell.grant) return CellInput::kRecordsAtGrant;

  return std::nullopt;
}

/// Adds the workers that have runs according to the recorded progress, with the addresses that the
/// former owner recorded.
void AddInheritedRuns(State& state, Effects& effects, OwnedCell& cell) {
  cell.polled_since = state.now;

  for (const auto& [id, job] : state.view.jobs) {
    if (job.progress_cell != cell.cell || job.progress.empty()) continue;

    const Result<ProgressRecord> progress = DecodeProgress(job.progress);

    if (!progress) {
      LogUnreadable(effects, StoreItem{.key = ProgressKey(cell.cell, id)}, progress.error());
      continue;
    }

    for (const TaskProgress& task : progress->tasks) {
      if (task.status != TaskStatus::kBound) continue;

      WorkerState& worker = FindOrAddWorker(cell, task.worker);
      worker.inherited_jobs.insert(id);
    }
  }
}

/// Polls the workers of a cell that is not open yet and renews their leases. Starts nothing, and
/// stops only runs of jobs that are known to be cancelled.
void KeepInheritedRuns(State& state, Effects& effects, OwnedCell& cell) {
  if (!cell.progress_known || !cell.hand_over.known) return;
  if (!cell.polled_since) AddInheritedRuns(state, effects, cell);

  UpdateHandOver(state, effects, cell);

  for (auto& [id, worker] : cell.workers) {
    const auto announced = state.registry.find(id);
    const bool is_announced = announced != state.registry.end() && !worker.contacted;
    if (is_announced) worker.info.address = announced->second.address;

    SendDuePoll(state, effects, cell, worker);
    if (!worker.orphaned_runs.empty()) SendDueOrder(state, effects, cell, worker);
  }
}

/// Replaces the inherited runs by the tasks of the jobs that were taken over. The next polls, under
/// a raised fence, show which of them run.
void SettleInheritedRuns(State& state, OwnedCell& cell) {
  for (auto& [id, worker] : cell.workers) {
    worker.inherited_jobs.clear();
    if (worker.contacted) RaiseFence(state, worker);
  }
}

}  // namespace

void HandleProgressListed(State& state, Effects& effects, const ProgressListed& listed,
                          const StoreReply& reply) {
  OwnedCell* cell = FindCell(state, listed.cell, listed.grant);
  if (cell == nullptr) return;

  cell->progress_request = 0;

  if (reply.status != StoreStatus::kOk) {
    cell->progress_at = state.now + kStoreRetryDelay;
    return;
  }

  for (const StoreItem& item : reply.items) ApplyRecord(state, effects, item);

  if (reply.truncated && !reply.items.empty()) {
    cell->progress_after = reply.items.back().key;
    return;
  }

  cell->progress_known = true;
}

void OpenCells(State& state, Effects& effects) {
  for (auto& [id, cell] : state.cells) {
    ReadProgress(state, effects, cell);
    ReadHandOver(state, effects, cell);
    if (cell.open) continue;

    if (const std::optional<CellInput> missing = MissingInput(state, cell)) {
      cell.last_missing = missing;
      KeepInheritedRuns(state, effects, cell);
      continue;
    }

    cell.open = true;
    // A worker with runs is asked whether it is the incarnation that the registry names.
    if (!cell.polled_since) AddInheritedRuns(state, effects, cell);
    if (!cell.hand_over.written) cell.polled_since = state.now;
    ApplyRegistry(state, effects);

    for (const auto& [job_id, job] : state.view.jobs) {
      if (job.revision != 0 && job.head.cell == id) AddJob(state, effects, cell, job_id);
    }
    SettleInheritedRuns(state, cell);

    Log(effects, Severity::kInfo, "opened cell",
        {{"cell", id.Text()},
         {"jobs", std::to_string(cell.jobs.size())},
         {"workers", std::to_string(cell.workers.size())},
         {"owned_ms", std::to_string((state.now - cell.taken_over_at).Count())},
         {"last_missing", cell.last_missing ? std::string(kCellInputNames.Name(*cell.last_missing))
                                            : std::string()}});
  }
}

}  // namespace currantpost::scheduler
