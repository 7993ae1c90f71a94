#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"

namespace currantpost {

/// Whether tasks may be started on a worker.
enum class WorkerHealth {
  kHealthy,
  /// All recent tasks failed; no task may be started until the next probe.
  kQuarantined,
  /// Quarantined, but one task may be started as a probe.
  kProbing,
};

inline constexpr EnumNames kWorkerHealthNames(std::to_array<EnumName<WorkerHealth>>({
    {WorkerHealth::kHealthy, "healthy"},
    {WorkerHealth::kQuarantined, "quarantined"},
    {WorkerHealth::kProbing, "probing"},
}));

/// Settings of a `Quarantine`.
struct QuarantineSettings {
  /// Consecutive failures, without a success between them, after which a worker is quarantined.
  int32_t failure_threshold = 4;
  /// Number of different jobs that these failures must come from. A single job that can never run
  /// fails on every worker and must not quarantine them.
  int32_t min_jobs = 2;
  /// Delay from the start of the quarantine to the first probe.
  Millis first_probe_delay = Millis(10'000);
  /// The delay doubles with each failed probe, up to this value.
  Millis max_probe_delay = Millis(600'000);
};

/// Stops starts on workers where every task fails.
class Quarantine {
 public:
  explicit Quarantine(QuarantineSettings settings = {}) : settings_(settings) {}

  /// Records that a task failed on a worker. Not for tasks that were stopped or lost with their VM.
  void RecordFailure(Millis now, const VmId& worker, const JobId& job);

  /// Records that a task finished on a worker, which makes the worker healthy.
  void RecordSuccess(const VmId& worker) { workers_.erase(worker); }

  /// Records that a task was started on a worker. On a quarantined worker the task is the probe.
  /// The next probe is allowed once the delay has passed, so a lost probe does not block later
  /// ones.
  void RecordStart(Millis now, const VmId& worker);

  /// Returns whether tasks may be started on a worker.
  [[nodiscard]] WorkerHealth Health(Millis now, const VmId& worker) const;

  /// Removes the record of a worker that is gone or was replaced.
  void Forget(const VmId& worker) { workers_.erase(worker); }

 private:
  struct Record {
    int32_t failures = 0;
    std::set<JobId> jobs;
    bool quarantined = false;
    bool probe_started = false;
    Millis delay;
    Millis next_probe;
  };

  QuarantineSettings settings_;
  std::map<VmId, Record> workers_;
};

}  // namespace currantpost
