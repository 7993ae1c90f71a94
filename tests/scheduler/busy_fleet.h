#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "world.h"

namespace currantpost::scheduler {

/// Size and load of a `BusyFleet`.
struct BusyFleetShape {
  int32_t entries = 2;
  int32_t cells_per_entry = 10;
  /// Half of them long-running, the others short.
  int32_t waiting_jobs = 400;
  /// The machine of each entry from the beginning of the load on. A pass over all jobs takes it
  /// longer than the interval of passes.
  Machine machine = {.event_us = 200, .job_us = 5, .cell_us = 50};
  uint64_t seed = 1;
};

/// A fleet of few entries with many cells each. Long-running tasks fill all workers but one of each
/// cell, and more jobs wait than find capacity. It records what goes wrong with runs and renewals.
class BusyFleet {
 public:
  /// So many that each rack is a cell of its own.
  static constexpr int32_t kWorkersPerCell = 9;
  static constexpr int64_t kWorkerNeed = 8'000;
  static constexpr int64_t kLargeNeed = 6'000;
  static constexpr int64_t kShortNeed = 2'000;

  explicit BusyFleet(const BusyFleetShape& shape)
      : shape_(shape),
        world_(WorldShape{.entries = shape.entries,
                          .data_centres = shape.entries,
                          .racks = shape.cells_per_entry,
                          .workers_per_rack = kWorkersPerCell,
                          .seed = shape.seed}) {
    world_.planner = [](const TaskName& name) {
      return RunPlan{.duration = Millis(400),
                     .never_ends = name.job.Text().starts_with("long"),
                     .need = Resources{.millicores = 1'000, .memory_mib = 100}};
    };
    world_.on_run_end = [this](const std::string& worker, const TaskName& name, RunEnd end) {
      if (end == RunEnd::kLeaseExpired) lapsed_.push_back(name.job.Text() + " on " + worker);
    };
  }

  /// Starts the long-running tasks that fill the cells, and then records the jobs that wait.
  void Load() {
    world_.Run(Millis(6'000));
    for (int32_t cell = 0; cell < Cells(); ++cell) {
      filling_.push_back(Record("long-fills", cell, kWorkersPerCell - 1, kWorkerNeed));
    }
    world_.Run(Millis(2'000));

    for (const std::string& entry : world_.Entries()) world_.SetMachine(entry, shape_.machine);
    for (int32_t job = 0; job < shape_.waiting_jobs; ++job) {
      if (job % 2 == 0) {
        waiting_.push_back(Record("long-waits", job / 2 % Cells(), 1, kLargeNeed));
      } else {
        Record("short", job / 2 % Cells(), 2, kShortNeed);
      }
    }
  }

  /// Returns the longest time that an event of any entry waited, sampled at each interval.
  Millis RunAndMeasure(Millis span) {
    constexpr Millis kInterval = Millis(100);
    Millis longest;

    for (Millis passed; passed < span; passed = passed + kInterval) {
      world_.Run(kInterval);
      for (const std::string& entry : world_.Entries()) {
        longest = std::max(longest, world_.last_wait[entry]);
      }
    }

    return longest;
  }

  /// Returns the number of runs of long-running tasks beyond the first of each.
  [[nodiscard]] int64_t Restarts() const {
    int64_t restarts = 0;
    for (const auto& [name, starts] : world_.starts) {
      if (name.job.Text().starts_with("long")) restarts += starts - 1;
    }
    return restarts;
  }

  std::set<TaskName> RunningTasks() {
    std::set<TaskName> running;
    for (const std::string& worker : world_.Workers()) {
      for (const TaskName& task : world_.worker(worker).Running()) running.insert(task);
    }
    return running;
  }

  [[nodiscard]] int64_t RunningWaiters() const {
    return std::ranges::count_if(
        waiting_, [&](const std::string& job) { return !world_.WorkersOf(job).empty(); });
  }

  World& world() { return world_; }
  [[nodiscard]] const std::vector<std::string>& lapsed() const { return lapsed_; }
  [[nodiscard]] const std::vector<std::string>& filling() const { return filling_; }

 private:
  [[nodiscard]] int32_t Cells() const { return shape_.entries * shape_.cells_per_entry; }

  std::string Record(const std::string& kind, int32_t cell, int32_t tasks, int64_t millicores) {
    const std::string id = kind + std::to_string(++jobs_);
    JobRecord record{.queue = "queue", .service = "service", .max_attempts = 50};
    record.cell = CellId("dc" + std::to_string(cell % shape_.entries) + "/" +
                         std::to_string(cell / shape_.entries));
    record.spec = MakeJob(id, tasks, millicores);
    record.spec.steps[0].is_long_running = kind.starts_with("long");
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + id, Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
    return id;
  }

  BusyFleetShape shape_;
  World world_;
  std::vector<std::string> lapsed_;
  std::vector<std::string> filling_;
  std::vector<std::string> waiting_;
  int32_t jobs_ = 0;
};

}  // namespace currantpost::scheduler
