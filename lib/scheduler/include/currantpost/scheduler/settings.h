#pragma once

#include <string>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"

namespace currantpost::scheduler {

/// Identity of this entry, and the limits that its deployment guarantees.
struct Settings {
  EntryId entry;
  DataCentreId data_centre;
  /// Unique per start of the process.
  std::string incarnation;
  /// Address at which peers reach this entry.
  Address peer_address;
  /// Processor capacity of this entry, in thousandths of a core.
  int64_t millicores = 1'000;
  /// Longest lease that workers grant.
  Millis max_worker_lease = Millis(10'000);
  /// Longest time that a worker takes to stop a task.
  Millis stop_time = Millis(1'000);
  /// Time after the acknowledged cancellation of a job after which no task of it starts any more.
  Millis cancel_time = Millis(4'000);
  /// Time after the end of a disruption after which all bounds hold again.
  Millis contact_time = Millis(3'000);
  /// Time after a worker has announced that it drains after which no task starts there any more.
  Millis drain_time = Millis(2'000);
  /// How long callers can query an ended job.
  Millis ended_job_retention = Millis(120'000);
  /// Longest time until every entry knows an accepted job.
  Millis visibility_limit = Millis(3'000);
  /// Shortest lease that the store grants.
  Millis min_store_lease = Millis(1'000);
  /// Time within which the scheduler must relieve a long-running task above its latency target.
  Millis relief_time = Millis(4'000);
};

}  // namespace currantpost::scheduler
