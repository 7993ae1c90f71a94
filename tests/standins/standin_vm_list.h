#pragma once

#include <mutex>
#include <vector>

#include "currantpost/model/vm.h"
#include "faulty_service.h"

namespace currantpost::standins {

/// The platform's list of VMs, which follows the truth after a lag.
class StandinVmList {
 public:
  explicit StandinVmList(Millis lag);
  ~StandinVmList() { service_.Stop(); }

  int Start(int port = 0) { return service_.Start(port); }
  FaultyService& Service() { return service_; }

  /// Sets the truth; the list shows it once the lag is over.
  void SetVms(std::vector<VmRecord> vms);

  /// Returns the list as it is served now; empty until the first truth is old enough.
  std::vector<VmRecord> Served();

 private:
  struct Version {
    Millis set_at;
    std::vector<VmRecord> vms;
  };

  const Millis lag_;
  MonotonicClock clock_;
  std::mutex mutex_;
  /// Versions in the order in which they were set; the first may be served already.
  std::vector<Version> versions_;
  FaultyService service_;
};

}  // namespace currantpost::standins
