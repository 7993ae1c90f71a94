#pragma once

#include <optional>

#include "internal.h"

/// Reservations of capacity in another cell, and the placement that both sides use.

namespace currantpost::scheduler {

/// A task for which a worker is to be chosen.
struct PlacementRequest {
  StepName name;
  const StepSpec& spec;
  std::string_view service;
  /// The last worker on which it failed, if any.
  VmId avoided_worker;
  /// When the task became ready to start.
  Millis ready_at;
  /// Priority of its queue.
  int32_t priority = 0;
  /// Its job is overdue, see `Urgency`.
  bool is_overdue = false;
  /// Since when it is without a run, if it is an interrupted long-running one.
  std::optional<Millis> absent_since;
};

/// Returns the best worker for a task, or null if none has capacity.
WorkerState* ChooseWorker(const State& state, OwnedCell& cell, const PlacementRequest& request);

/// Returns whether a worker may run a task, whatever capacity it has free.
bool MayUseWorker(const State& state, const OwnedCell& cell, const PlacementRequest& request,
                  const WorkerState& worker);

/// Returns whether a task may be placed on a worker.
bool FitsOnWorker(const State& state, OwnedCell& cell, const PlacementRequest& request,
                  WorkerState& worker);

/// Returns what a waiting task asks of a worker.
PlacementRequest RequestFor(const State& state, const OwnedCell& cell, const TaskRef& ref);

/// Returns whether a waiting task leaves free capacity to interrupted tasks of any cell. One for
/// which a worker is kept had its turn already.
bool Yields(const State& state, const OwnedCell& cell, const TaskRef& ref);

/// Returns the step of a task as the workers know it.
StepName StepNameOf(const JobState& job, const TaskRef& ref);

/// How long capacity is held for tasks to arrive: a write by a slow store and its delivery.
inline constexpr Millis kReservationTime = Millis(800);
/// How long a cell that had no capacity for a job's tasks is not asked again for them.
inline constexpr Millis kDeclinedPause = Millis(400);

// In the cell whose tasks wait

/// The waiting tasks of one step of a job.
struct WaitingBatch {
  std::vector<TaskRef> tasks;
  const StepSpec* spec = nullptr;
};

/// Returns the waiting tasks of the first step that has tasks ready to start. Long-running tasks
/// are returned one at a time, interrupted ones first, and then the one that has waited longest.
WaitingBatch WaitingTasks(const State& state, OwnedCell& cell, const JobState& job);

/// Lends waiting tasks to another cell.
void LendTasks(State& state, Effects& effects, OwnedCell& cell, JobState& job,
               const std::vector<TaskRef>& tasks, const CellId& to);

/// Moves a job without bound tasks to another cell.
void MoveJob(State& state, Effects& effects, OwnedCell& cell, JobState& job, const CellId& to);

/// Passes waiting tasks on to a cell that holds capacity for a number of them: the job is moved if
/// these are all the tasks that it has, otherwise they are lent.
void PassOn(State& state, Effects& effects, OwnedCell& cell, JobState& job, const CellId& to,
            WaitingBatch batch, size_t tasks);

/// Sends a request for capacity to the owner of a cell. A cell of this entry replies at once.
void AskCell(State& state, Effects& effects, const CellId& to, const ReservationRequest& request);

/// Stops a task on a draining worker for which another cell holds capacity.
void UseEvacuationReply(State& state, Effects& effects, OwnedCell& cell, JobState& job,
                        const ReservationReply& reply);

/// Returns whether another cell holds capacity for a task that was on a draining worker.
bool HasEvacuationRoom(const State& state, const JobState& job);

/// Asks the owner of another cell to reserve capacity for waiting tasks. The tasks are passed on as
/// far as the reply allows. Returns false if there is no cell to ask now.
bool RequestCapacity(State& state, Effects& effects, OwnedCell& cell, JobState& job,
                     const WaitingBatch& batch);

/// Returns whether a reservation request of the job awaits its reply. Ends the wait if the reply is
/// overdue.
bool AwaitsReservation(State& state, Effects& effects, JobState& job);

/// Ends the wait for the reply to a reservation request that is overdue or no longer needed. The
/// progress of the job is not recorded meanwhile.
void ExpireRequest(State& state, Effects& effects, const OwnedCell& cell, JobState& job);

/// Returns whether so many requests of the job had no reply that the load reports go first.
bool HasUnresponsivePeers(const JobState& job);

void ApplyReservationReply(State& state, Effects& effects, const CellId& to, const StoreItem& item);

// In the cell that has the capacity

/// Reserves capacity for the tasks of a request, or keeps a worker for one of them, and returns the
/// reply. `cell` is null if this entry doesn't own the cell that was asked.
ReservationReply MakeReply(State& state, OwnedCell* cell, const ReservationRequest& request);

void ApplyReservationRequest(State& state, Effects& effects, const CellId& id,
                             const StoreItem& item);

/// Binds the waiting tasks of a job that has just arrived to the workers reserved for them.
void ClaimReservations(State& state, OwnedCell& cell, JobState& job);

/// Releases the reservations whose tasks did not arrive in time.
void ExpireReservations(State& state, OwnedCell& cell);

}  // namespace currantpost::scheduler
