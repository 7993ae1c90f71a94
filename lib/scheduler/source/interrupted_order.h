#pragma once

#include <vector>

#include "reservations.h"

/// The order in which interrupted long-running tasks of a service get workers, whichever cells they
/// wait in: by priority, then by how long they have been without a run.

namespace currantpost::scheduler {

/// An interrupted task that may get a worker of a cell.
struct InterruptedTask {
  int32_t priority = 0;
  Millis absent_since;
  /// The task if it waits in the cell itself.
  std::optional<TaskRef> own;
  /// The task as its cell has reported it, and that cell, otherwise. Valid until the next report.
  /// @{
  const ReportedWait* reported = nullptr;
  const CellId* waits_in = nullptr;
  const std::string* service = nullptr;
  /// @}
};

/// Returns the interrupted tasks that wait in a cell, in that order.
std::vector<TaskRef> InterruptedTasksOf(const OwnedCell& cell);

/// Returns the interrupted tasks that may get workers of a cell, in that order. Those of other
/// cells only as far as the owners of these can be asked to pass them on.
std::vector<InterruptedTask> InterruptedTasksFor(const State& state, const OwnedCell& cell);

/// Returns the requirements of a task that another cell has reported.
StepSpec SpecOfReported(const InterruptedWait& task);

/// Returns whether a worker is to be left to another interrupted task, which fits on it and comes
/// clearly before the one of a request.
bool IsDueToOlderTask(const State& state, OwnedCell& cell, WorkerState& worker,
                      const PlacementRequest& request);

/// Returns the interrupted tasks of a cell that no worker is kept for, as its load report names
/// them for each service.
std::map<std::string, std::vector<InterruptedWait>> UnservedWaits(const State& state,
                                                                  const OwnedCell& cell);

}  // namespace currantpost::scheduler
