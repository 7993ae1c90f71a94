#pragma once

#include <string>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/model/resources.h"

namespace currantpost {

/// Whether the platform means to keep a VM.
enum class VmState { kLive, kLeaving };

inline constexpr EnumNames kVmStateNames(std::to_array<EnumName<VmState>>({
    {VmState::kLive, "live"},
    {VmState::kLeaving, "leaving"},
}));

/// A TCP address, by IP number.
struct Address {
  std::string host;
  int port = 0;

  auto operator<=>(const Address&) const = default;
};

/// One VM of the platform's list. The list lags, so a VM in it may be long gone.
struct VmRecord {
  VmId vm;
  Incarnation incarnation = 0;
  DataCentreId data_centre;
  RackId rack;
  VmState state = VmState::kLive;
  Resources capacity;
  /// Where the worker takes orders. Port 0 if the VM runs no tasks.
  Address worker;
  /// Where the VM serves callers' requests. Port 0 if it serves none.
  Address upstream;
};

}  // namespace currantpost
