#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>

#include "currantpost/base/ids.h"
#include "faulty_service.h"

namespace currantpost::standins {

/// What an upstream holds and how fast it is.
struct UpstreamOptions {
  VmId vm;
  Millis service_time = Millis(5);
  int32_t slots = 8;
  int64_t connections = 64;
};

/// What an upstream did.
struct UpstreamRecords {
  /// Attempts run, by the caller's name of the request.
  std::map<std::string, int64_t> by_request_id;
  /// Requests other than GET that were run, by their `Idempotency-Key`, or else by their body.
  std::map<std::string, int64_t> by_key;
  int64_t executed = 0;
  int64_t refused = 0;
  int32_t most_concurrent = 0;
};

/// The service on a VM: answers any path after a while, within fixed limits.
class StandinUpstream {
 public:
  explicit StandinUpstream(UpstreamOptions options);
  ~StandinUpstream() { service_.Stop(); }

  int Start(int port = 0) { return service_.Start(port); }
  FaultyService& Service() { return service_; }

  /// Makes all answers say that the upstream is leaving.
  void SetLeaving(bool leaving) { leaving_ = leaving; }
  UpstreamRecords Records() const;

 private:
  void Run(const httplib::Request& request, httplib::Response& response);
  bool TakeSlot(const httplib::Request& request);
  void ReleaseSlot();
  void ServeAdmin();

  const UpstreamOptions options_;
  std::atomic<bool> leaving_ = false;
  mutable std::mutex mutex_;
  int32_t concurrent_ = 0;
  UpstreamRecords records_;
  FaultyService service_;
};

}  // namespace currantpost::standins
