#pragma once

#include "kept_room.h"
#include "reservations.h"

/// Keeps workers of a cell free for long-running tasks that have waited long. Short tasks take each
/// small piece of capacity as it becomes free, so without this a large task would wait until enough
/// of them happen to end together.

namespace currantpost::scheduler {

/// How long a long-running task waits before a worker is kept for it. Requests to all other cells
/// take less.
inline constexpr Millis kHoldDelay = Millis(1'000);
/// The same for an interrupted one, which has already waited for its worker's lease to end.
inline constexpr Millis kInterruptedHoldDelay = Millis(300);
inline Millis HoldDelay(bool is_interrupted) {
  return is_interrupted ? kInterruptedHoldDelay : kHoldDelay;
}

/// How long new long-running tasks leave capacity to an interrupted one. It may have requirements
/// that no worker meets.
inline constexpr Millis kMaxYieldTime = Millis(30'000);

/// Returns whether a long-running task that has never run leaves capacity to interrupted tasks of
/// its service that wait in any cell: not while there is enough for both.
bool YieldsToInterrupted(const State& state, const StepSpec& spec, std::string_view service,
                         bool is_interrupted);

/// Long-running tasks of one step of a job that wait for workers to be kept.
struct HoldRequest {
  /// For interrupted tasks, `absent_since` is that of the last one of `tasks`. It is in the future
  /// for those that still run on draining workers.
  PlacementRequest placement;
  JobId job;
  int32_t tasks = 0;
  /// Priority of their queue.
  int32_t priority = 0;
};

/// Keeps workers for tasks that fit on none now, or goes on keeping them. Interrupted tasks
/// take the place of new ones, of those that have had a run since, and of those that still run.
/// Returns for how many of the tasks a worker is kept.
int32_t KeepWorkers(const State& state, OwnedCell& cell, const HoldRequest& request);

/// Returns for how many interrupted or new tasks of one step of a job a worker is kept.
int32_t CountHolds(const OwnedCell& cell, const StepName& name, const JobId& job,
                   bool is_interrupted);

/// Returns for how many tasks of one step of a job that are being stopped because of a worker it is
/// kept.
int32_t CountHoldsOfStopping(const OwnedCell& cell, const StepName& name, const JobId& job);

/// Keeps a worker for some time for an interrupted task that waits in another cell, whose owner is
/// offered it. Returns whether one was found.
bool KeepOfferedWorker(const State& state, OwnedCell& cell, const HoldRequest& request,
                       const CellId& offered_to, Millis time);

/// Offers no worker to a task of another cell that has not come for one, for longer each time.
void DeferOffers(State& state, const CellId& waits_in, const JobId& job);

/// Keeps a worker that has room now for a task that was just stopped on a draining one.
void KeepForMove(const State& state, OwnedCell& cell, const TaskRef& ref,
                 const WorkerState& worker);

/// Notes that a task of another cell has come for a worker. Until a report shows it, none is
/// offered.
void NoteOfferUsed(State& state, const CellId& waits_in, const JobId& job);

/// Ends the holds that a task takes the place of on its worker.
void DisplaceHolds(const State& state, OwnedCell& cell, const PlacementRequest& request,
                   const WorkerState& worker);

/// Ends the holds of interrupted tasks on workers that take no tasks any more, and those beyond the
/// number of tasks that wait in the cell or run on draining workers there.
void DropUselessHolds(const State& state, OwnedCell& cell);

/// Ends a hold for a step of a job once a worker was found for one of the tasks: the hold on that
/// worker, or else any of them, but none for another task that was stopped because of its worker.
/// Returns for how long the worker was kept, 0 if none was.
Millis EndHold(const State& state, OwnedCell& cell, const StepName& name, const JobId& job,
               const VmId& worker, const std::optional<TaskRef>& task);

/// Ends all holds for tasks of a job that has left the cell.
void EndHoldsOf(const State& state, OwnedCell& cell, const JobId& job);

/// Makes the holds that another cell asked for those of a job that it has passed on.
void ClaimHolds(const State& state, OwnedCell& cell, const JobState& job);

/// Ends holds that nobody has asked for again.
void ExpireHolds(State& state, OwnedCell& cell);

/// Counts an event that ends a hold, and how long the worker was kept.
void CountEndOfHold(const State& state, HoldEvent event, const WorkerHold& hold);

}  // namespace currantpost::scheduler
