#pragma once

#include <string>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"

namespace currantpost::scheduler {

/// Who this entry is, and what its deployment promises.
struct Settings {
  EntryId entry;
  DataCentreId data_centre;
  /// Differs in each life of the process.
  std::string incarnation;
  /// Where peers reach this entry.
  Address peer_address;
  /// Processors that this entry has, in thousandths of a core.
  int64_t millicores = 1'000;
  /// Longest lease that workers grant.
  Millis max_worker_lease = Millis(10'000);
  /// How long a worker takes at most to stop a task.
  Millis stop_time = Millis(1'000);
  /// Time after the acknowledgement of a job's cancelling in which nothing of it starts any more.
  Millis cancel_time = Millis(4'000);
  /// How long the state of an ended job can be asked for.
  Millis ended_job_retention = Millis(120'000);
  /// Time in which every entry knows an accepted job.
  Millis visibility_limit = Millis(3'000);
  /// Shortest lease that the store grants.
  Millis min_store_lease = Millis(1'000);
  /// Time in which a lasting task above its latency target must be relieved.
  Millis relief_time = Millis(4'000);
};

}  // namespace currantpost::scheduler
