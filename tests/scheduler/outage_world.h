#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "world.h"

/// Worlds in which the store, an owner or a data centre goes away.

namespace currantpost::scheduler {

using Names = std::vector<std::string>;

inline constexpr const char* kJob = "a";
/// Longest time that a long-running task may be away: 6 s for its restart and 3 s more.
inline constexpr Millis kMaxAbsence = Millis(9'000);
/// A cut that is shorter than the time for which leases are renewed without the store.
inline constexpr Millis kShortCut = Millis(6'500);

/// Entries and cells in several data centres, and a job with one long-running task.
class OutageWorld {
 public:
  OutageWorld(int32_t entries, int32_t data_centres)
      : world(WorldShape{
            .entries = entries, .data_centres = data_centres, .racks = 1, .workers_per_rack = 4}) {
    world.DropUnresponsiveWorkers();
    world.planner = [](const TaskName&) {
      return RunPlan{.never_ends = true, .need = Resources{.millicores = 1'000, .memory_mib = 100}};
    };
    world.Run(Millis(6'000));
    JobSpec spec = MakeJob(kJob, 1);
    spec.steps[0].is_long_running = true;
    world.Submit("e0", spec);
    world.Run(Millis(4'000));
    worker = world.WorkersOf(kJob).front();
    owner = world.OwnerOf(kJob);
  }

  /// Returns the other entries of the owner's data centre, or those elsewhere.
  [[nodiscard]] Names OtherEntries(bool local) const {
    const auto& centres = world.DataCentres();
    Names names;
    for (const auto& [entry, centre] : centres) {
      if (entry != owner && (centre == centres.at(owner)) == local) names.push_back(entry);
    }
    return names;
  }

  /// Returns the workers of the owner's data centre, or those elsewhere.
  [[nodiscard]] Names OtherWorkers(bool local) const {
    Names names;
    for (const std::string& id : world.Workers()) {
      if ((id.substr(0, 3) == worker.substr(0, 3)) == local) names.push_back(id);
    }
    return names;
  }

  /// Cuts a group off from the store and from all entries and workers outside it.
  void Isolate(const Names& group) {
    Names others = {"store"};
    for (const bool local : {true, false}) {
      std::ranges::copy(OtherEntries(local), std::back_inserter(others));
      std::ranges::copy(OtherWorkers(local), std::back_inserter(others));
    }
    others.push_back(owner);

    for (const std::string& one : group) {
      for (const std::string& other : others) {
        if (std::ranges::find(group, other) == group.end()) world.Cut(one, other);
      }
    }
  }

  /// Cuts all entries and workers off from the store.
  void CutStore() {
    for (const std::string& entry : world.Entries()) world.Cut(entry, "store");
    for (const std::string& id : world.Workers()) world.Cut(id, "store");
  }

  /// Removes all workers from the registry. Those that reach it return with their next heartbeat.
  void EmptyRegistry() {
    for (const std::string& id : world.Workers()) world.WithdrawWorker(id);
  }

  /// Isolates the owner's data centre.
  Names IsolateDataCentre() {
    Names group = OtherEntries(true);
    group.push_back(owner);
    std::ranges::copy(OtherWorkers(true), std::back_inserter(group));
    Isolate(group);
    return group;
  }

  /// Returns how long the task was away at the longest during `span`.
  Millis LongestAbsence(Millis span) {
    Millis longest;
    Millis absence;
    for (Millis passed; passed < span; passed = passed + Millis(20)) {
      world.Run(Millis(20));
      const Names workers = world.WorkersOf(kJob);
      const bool runs = std::ranges::any_of(
          workers, [this](const std::string& id) { return world.worker(id).up; });
      absence = runs ? Millis(0) : absence + Millis(20);
      longest = std::max(longest, absence);
    }
    return longest;
  }

  [[nodiscard]] int32_t Starts() { return world.starts[TaskName{JobId(kJob), 0, 0, 0}]; }

  World world;
  std::string worker;
  std::string owner;
};

}  // namespace currantpost::scheduler
