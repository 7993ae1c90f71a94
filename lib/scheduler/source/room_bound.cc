#include "room_bound.h"

#include "cell_load.h"
#include "worker_hold.h"

namespace currantpost::scheduler {
namespace {

bool FitsInto(const std::vector<Resources>& rooms, const Resources& need) {
  return std::ranges::any_of(rooms, [&](const Resources& room) { return FitsWithin(need, room); });
}

}  // namespace

bool RoomBound::MayFit(const PlacementRequest& request) {
  const StepSpec& spec = request.spec;
  // A hold of its own step leaves a task room that it leaves no other one.
  const bool has_bound =
      !spec.best_effort &&
      std::ranges::find(cell_.holds, request.name, &WorkerHold::name) == cell_.holds.end();
  if (!has_bound) return true;

  const auto [row, is_new] = rooms_.try_emplace({std::string(request.service), spec.worker_label});
  if (!is_new && !FitsInto(row->second, spec.need)) return false;

  // What was known may be too high, as others have been placed since.
  row->second = LargestRooms(request);
  return FitsInto(row->second, spec.need);
}

std::vector<Resources> RoomBound::LargestRooms(const PlacementRequest& request) const {
  const std::string& label = request.spec.worker_label;
  std::vector<Resources> rooms;
  state_.counts.search.Add(SearchVisit::kWorker, cell_.workers.size());

  for (const auto& [id, worker] : cell_.workers) {
    if (!AcceptsTasks(state_, worker) || worker.info.service != request.service) continue;
    if (!label.empty() && std::ranges::find(worker.info.labels, label) == worker.info.labels.end())
      continue;

    const Resources room =
        RoomBesideLongRunning(cell_, worker) - KeptFrom(state_, cell_, request, worker);
    if (FitsInto(rooms, room)) continue;

    std::erase_if(rooms, [&](const Resources& other) { return FitsWithin(other, room); });
    rooms.push_back(room);
  }

  return rooms;
}

}  // namespace currantpost::scheduler
