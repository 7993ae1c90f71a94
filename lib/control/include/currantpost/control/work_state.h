#pragma once

#include <map>

#include "currantpost/base/ids.h"

namespace currantpost {

/// Racks, workers, tasks and jobs, as far as this entry owns them.
struct WorkState {
  /// Epoch of each rack that this entry owns and may order.
  std::map<RackId, Epoch> owned;
};

}  // namespace currantpost
