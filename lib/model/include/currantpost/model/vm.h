#pragma once

#include <string>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/model/resources.h"

namespace currantpost {

/// Whether the platform keeps a VM or is about to remove it.
enum class VmState { kLive, kLeaving };

inline constexpr EnumNames kVmStateNames(std::to_array<EnumName<VmState>>({
    {VmState::kLive, "live"},
    {VmState::kLeaving, "leaving"},
}));

/// A TCP address; the host is an IP number.
struct Address {
  std::string host;
  int port = 0;

  auto operator<=>(const Address&) const = default;
};

/// One VM in the platform's list. The list lags behind, so a listed VM may no longer exist.
struct VmRecord {
  VmId vm;
  Incarnation incarnation = 0;
  DataCentreId data_centre;
  RackId rack;
  VmState state = VmState::kLive;
  Resources capacity;
  /// Address at which the worker accepts orders. Port 0 if the VM runs no tasks.
  Address worker;
  /// Address at which the VM serves callers' requests. Port 0 if it serves none.
  Address upstream;
};

}  // namespace currantpost
