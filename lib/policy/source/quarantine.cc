#include "currantpost/policy/quarantine.h"

#include <algorithm>

namespace currantpost {

void Quarantine::RecordFailure(Millis now, const VmId& worker, const JobId& job) {
  Record& record = workers_[worker];

  if (record.quarantined) {
    // Tasks started before the quarantine may still fail; only the failure of a probe counts.
    if (!record.probe_started) return;

    record.probe_started = false;
    record.delay = std::min(record.delay * 2, settings_.max_probe_delay);
    record.next_probe = now + record.delay;
    return;
  }

  ++record.failures;
  if (static_cast<int32_t>(record.jobs.size()) < settings_.min_jobs) record.jobs.insert(job);

  const bool enough_jobs = static_cast<int32_t>(record.jobs.size()) >= settings_.min_jobs;
  if (record.failures < settings_.failure_threshold || !enough_jobs) return;

  record.quarantined = true;
  record.delay = settings_.first_probe_delay;
  record.next_probe = now + record.delay;
}

void Quarantine::RecordStart(Millis now, const VmId& worker) {
  const auto found = workers_.find(worker);
  if (found == workers_.end() || !found->second.quarantined) return;

  found->second.probe_started = true;
  found->second.next_probe = now + found->second.delay;
}

WorkerHealth Quarantine::Health(Millis now, const VmId& worker) const {
  const auto found = workers_.find(worker);
  if (found == workers_.end() || !found->second.quarantined) return WorkerHealth::kHealthy;

  return now >= found->second.next_probe ? WorkerHealth::kProbing : WorkerHealth::kQuarantined;
}

}  // namespace currantpost
