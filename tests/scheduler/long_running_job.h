#pragma once

#include <string>

#include "world.h"

namespace currantpost::scheduler {

/// Starts a new world and a job of long-running tasks in it, and waits until they run.
inline void StartWithLongRunningJob(World& world, const std::string& id, int32_t tasks) {
  world.planner = [](const TaskName&) { return RunPlan{.never_ends = true}; };
  world.Run(Millis(3'500));
  JobSpec spec = MakeJob(id, tasks);
  spec.steps[0].is_long_running = true;
  world.Submit("e0", spec);
  world.Run(Millis(2'000));
}

}  // namespace currantpost::scheduler
