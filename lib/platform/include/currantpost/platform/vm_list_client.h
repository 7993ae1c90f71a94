#pragma once

#include <memory>
#include <vector>

#include "currantpost/base/error.h"
#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"

namespace currantpost {

class HttpChannel;

/// Reads the platform's list of live and leaving VMs. The list lags behind the actual state.
class VmListClient {
 public:
  virtual ~VmListClient() = default;

  /// Reads the list. Fails with `kUnavailable`, `kTimeout` or `kMalformed`.
  virtual Result<std::vector<VmRecord>> Read() = 0;
};

/// Reads the list of VMs as JSON over HTTP. Thread-safe.
class HttpVmListClient final : public VmListClient {
 public:
  HttpVmListClient(Address address, Millis timeout);
  ~HttpVmListClient() override;

  Result<std::vector<VmRecord>> Read() override;

 private:
  std::unique_ptr<HttpChannel> channel_;
  Millis timeout_;
};

}  // namespace currantpost
