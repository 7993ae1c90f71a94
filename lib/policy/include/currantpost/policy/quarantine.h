#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"

namespace currantpost {

/// Whether a worker may be given tasks.
enum class WorkerHealth {
  kHealthy,
  /// Failed all that it started; gets nothing until its next probe.
  kQuarantined,
  /// Quarantined, but one task may be started to see whether it is well again.
  kProbing,
};

inline constexpr EnumNames kWorkerHealthNames(std::to_array<EnumName<WorkerHealth>>({
    {WorkerHealth::kHealthy, "healthy"},
    {WorkerHealth::kQuarantined, "quarantined"},
    {WorkerHealth::kProbing, "probing"},
}));

/// Settings of a `Quarantine`.
struct QuarantineSettings {
  /// Failures in a row, with no success between them, after which a worker is quarantined.
  int32_t failure_threshold = 4;
  /// Different jobs that these must come from, since one job that can never run fails everywhere.
  int32_t min_jobs = 2;
  Millis first_probe_delay = Millis(10'000);
  /// The delay doubles with each failed probe up to this.
  Millis max_probe_delay = Millis(600'000);
};

/// Keeps workers that fail all they start from being given more.
class Quarantine {
 public:
  explicit Quarantine(QuarantineSettings settings = {}) : settings_(settings) {}

  /// A task of a job failed on a worker. Not for tasks that were stopped or lost with their VM.
  void RecordFailure(Millis now, const VmId& worker, const JobId& job);

  /// A task finished on a worker, which is healthy from now on.
  void RecordSuccess(const VmId& worker) { workers_.erase(worker); }

  /// A task was started on a worker. If the worker was to be probed, this is the probe, and there
  /// is no other before its delay has passed, so that a lost one blocks nothing.
  void RecordStart(Millis now, const VmId& worker);

  /// Says whether a worker may be given tasks.
  [[nodiscard]] WorkerHealth Health(Millis now, const VmId& worker) const;

  /// Forgets a worker that is gone or was replaced.
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
