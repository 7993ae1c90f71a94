#pragma once

#include "worker_hold.h"

/// Chooses the workers that a cell keeps for tasks.

namespace currantpost::scheduler {

/// Returns the worker to keep for a task, which may take the place of others there.
WorkerState* ChooseWorkerToKeep(const State& state, OwnedCell& cell, const HoldRequest& request);

/// Returns whether the worker of a hold may still be used for its task.
bool IsHoldUsable(const State& state, OwnedCell& cell, const PlacementRequest& request,
                  const WorkerHold& hold);

/// Returns whether a task fits on a worker now beside all that is kept there, also for its step.
bool FitsBesideHolds(const State& state, const OwnedCell& cell, const WorkerState& worker,
                     const PlacementRequest& request);

/// Keeps another worker instead if that one becomes free clearly sooner.
void MoveHold(const State& state, OwnedCell& cell, const HoldRequest& request, WorkerHold& hold);

}  // namespace currantpost::scheduler
