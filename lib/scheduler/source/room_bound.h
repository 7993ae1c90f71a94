#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "reservations.h"

namespace currantpost::scheduler {

/// Upper bounds on the room of a cell's workers for interrupted tasks, so that a round passes over
/// those that fit nowhere without a look at each worker.
class RoomBound {
 public:
  RoomBound(const State& state, OwnedCell& cell) : state_(state), cell_(cell) {}

  /// Returns false if a task fits on no worker even once the short tasks have ended. Tasks have to
  /// be asked for in the order of interrupted tasks: a later one takes the place of no more holds.
  [[nodiscard]] bool MayFit(const PlacementRequest& request);

  /// To be called when room may have grown, as holds have ended or moved.
  void Reset() { rooms_.clear(); }

 private:
  [[nodiscard]] std::vector<Resources> LargestRooms(const PlacementRequest& request) const;

  const State& state_;
  OwnedCell& cell_;
  /// By service and required label. None of the rooms is within another one.
  std::map<std::pair<std::string, std::string>, std::vector<Resources>> rooms_;
};

}  // namespace currantpost::scheduler
