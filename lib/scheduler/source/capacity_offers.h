#pragma once

#include "interrupted_order.h"
#include "room_bound.h"

/// Offers of workers to interrupted tasks that wait in other cells. An owner that has capacity
/// finds by the load reports which task has been without a run for longest, keeps a worker for it,
/// and asks the owner of its cell to pass it on. Otherwise the tasks that search most often would
/// get what becomes free.

namespace currantpost::scheduler {

/// An offer of a worker of an owned cell.
struct OfferedTask {
  CellId waits_in;
  JobId job;
  /// How long the owner of the task may use it.
  Millis usable_time;
};

/// Returns whether offers of the cell's workers can be used: its owner may start tasks, and handles
/// the requests for them in time.
bool MayOffer(const State& state, const OwnedCell& cell);

/// Keeps a worker of the cell for a task of another cell. Returns the offer to send, or nothing if
/// no worker can be kept or the task has as many offers of this cell as it needs. `rank` is the
/// number of the task among those of its step and job, from 1.
std::optional<OfferedTask> MakeOffer(const State& state, OwnedCell& cell, RoomBound& bound,
                                     const InterruptedTask& task, int32_t rank);

/// Sends offers to the owners of the cells in which the tasks wait.
void SendOffers(State& state, Effects& effects, const CellId& from,
                const std::vector<OfferedTask>& offers);

void ApplyCapacityOffer(State& state, Effects& effects, const CellId& id, const StoreItem& item);
void ApplyOfferRefusal(State& state, Effects& effects, const CellId& id, const StoreItem& item);

/// Takes the next usable offer to a job for one of its tasks, if there is one.
std::optional<JobState::OfferedWorker> TakeOffer(const State& state, JobState& job,
                                                 bool is_interrupted);

/// Notes that the owner of a cell has been granted what it asked for an interrupted task.
void NoteServed(State& state, const ReservationRequest& request, const ReservationReply& reply);

}  // namespace currantpost::scheduler
