#include "room_monitor.h"

#include <algorithm>
#include <set>

namespace currantpost::scheduler {
namespace {

constexpr Millis kSampleInterval = Millis(20);

TaskName NameIn(const JobState& job, const TaskRef& ref) {
  const JobId& id = job.record.parent.Empty() ? ref.job : job.record.parent;
  return TaskName{id, ref.occurrence, ref.step, ref.index};
}

}  // namespace

RoomMonitor::RoomMonitor(World& world) : world_(world) {}

void RoomMonitor::Run(Millis span) {
  const Millis end = world_.now() + span;

  while (world_.now() < end) {
    world_.Run(kSampleInterval);
    FindWaitingTasks();
    RemoveStartedTasks();
    MeasureRoom();
    for (const auto& [name, task] : waiting_) Measure(name, task);
  }
}

void RoomMonitor::FindWaitingTasks() {
  for (const std::string& entry : world_.Entries()) {
    if (!world_.IsUp(entry)) continue;

    for (const auto& [id, cell] : world_.state(entry).cells) {
      for (const WaitingKey& key : cell.waiting) {
        const TaskRef& ref = std::get<3>(key);
        const JobState& job = cell.jobs.at(ref.job);
        const StepSpec& spec = job.record.spec.steps[static_cast<size_t>(ref.step)];
        const TaskState& task = job.occurrences[static_cast<size_t>(ref.occurrence)]
                                    .steps[static_cast<size_t>(ref.step)]
                                    .tasks[static_cast<size_t>(ref.index)];
        if (spec.best_effort || task.not_before > world_.now()) continue;

        const TaskName name = NameIn(job, ref);
        waiting_.try_emplace(name, Waiting{world_.now(), world_.starts[name], spec.need.millicores,
                                           spec.is_long_running});
      }
    }
  }
}

void RoomMonitor::RemoveStartedTasks() {
  std::erase_if(waiting_, [&](const auto& row) {
    const bool cancelled = world_.cancel_sent_at.contains(row.first.job);
    const bool started = world_.starts[row.first] > row.second.starts;
    if (started && !row.second.is_long_running) {
      ++waits[(world_.now() - row.second.since).Count() / 100];
    }
    return cancelled || started;
  });
}

void RoomMonitor::MeasureRoom() {
  std::set<int64_t> sizes;
  for (const auto& [name, task] : waiting_) sizes.insert(task.millicores);

  for (const std::string& id : world_.Workers()) {
    const SimWorker& worker = world_.worker(id);
    const int64_t free = worker.info().capacity.millicores - worker.Held().millicores;

    for (const int64_t size : sizes) {
      const bool has_room = worker.up && !worker.info().draining && free >= size;
      if (has_room) {
        room_since_.try_emplace({size, id}, world_.now());
      } else {
        room_since_.erase({size, id});
      }
    }
  }

  std::erase_if(room_since_, [&](const auto& row) { return !sizes.contains(row.first.first); });
}

void RoomMonitor::Measure(const TaskName& name, const Waiting& task) {
  Millis room_since = world_.now();
  std::string where;

  for (auto row = room_since_.lower_bound({task.millicores, std::string()});
       row != room_since_.end() && row->first.first == task.millicores; ++row) {
    if (row->second >= room_since) continue;

    room_since = row->second;
    where = row->first.second;
  }

  const Millis wait = world_.now() - std::max(room_since, task.since);
  Millis& longest = task.is_long_running ? longest_long_running : longest_other;
  if (wait <= longest) return;

  longest = wait;
  text += std::to_string(world_.now().Count()) + " ms: " + name.job.Text() + "." +
          std::to_string(name.step) + "." + std::to_string(name.index) + " has waited for " +
          std::to_string(wait.Count()) + " ms with room on " + where + "\n";
}

}  // namespace currantpost::scheduler
