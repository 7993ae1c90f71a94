#pragma once

#include <memory>
#include <vector>

#include "currantpost/base/error.h"
#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"

namespace currantpost {

class HttpChannel;

/// The platform's list of live and leaving VMs. It lags behind the truth.
class VmListClient {
 public:
  virtual ~VmListClient() = default;

  /// Reads the list. Fails with `kUnavailable`, `kTimeout` or `kMalformed`.
  virtual Result<std::vector<VmRecord>> Read() = 0;
};

/// The list of VMs over HTTP and JSON. Usable from many threads at a time.
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
