#pragma once

#include <absl/functional/function_ref.h>

#include "reservations.h"

/// What is kept on the workers of a cell by holds, and which tasks it is kept from.

namespace currantpost::scheduler {

/// How much longer than another one a task has to be without a run to take a worker that was kept
/// for that one. Covers the age of load reports.
inline constexpr Millis kOvertakeMargin = Millis(1'000);

/// Returns the sum of the matching holds on a worker.
Resources HeldOn(const OwnedCell& cell, const VmId& worker,
                 absl::FunctionRef<bool(const WorkerHold&)> matches);

/// Returns whether a task takes the place of the task of a hold.
bool TakesPlaceOf(const State& state, const PlacementRequest& request, const WorkerHold& hold);

/// Returns whether a hold is not for a task of its step, as another one was stopped because of the
/// worker.
bool IsForAnother(const State& state, const OwnedCell& cell, const WorkerHold& hold,
                  const std::optional<TaskRef>& task);

/// Returns whether an amount fits on a worker once the short tasks there have ended.
bool FitsBesideLongRunning(const OwnedCell& cell, const WorkerState& worker,
                           const Resources& amount);

/// Returns what a worker has left once the short tasks there have ended.
Resources RoomBesideLongRunning(const OwnedCell& cell, const WorkerState& worker);

/// Returns what is kept on a worker for interrupted tasks.
Resources KeptForInterrupted(const OwnedCell& cell, const WorkerState& worker);

/// Returns what is kept on a worker for any task.
Resources KeptOn(const OwnedCell& cell, const WorkerState& worker);

/// Returns what is kept on a worker from a task.
Resources KeptFrom(const State& state, const OwnedCell& cell, const PlacementRequest& request,
                   const WorkerState& worker);

}  // namespace currantpost::scheduler
