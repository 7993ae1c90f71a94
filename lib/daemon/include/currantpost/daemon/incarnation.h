#pragma once

#include "currantpost/base/ids.h"

namespace currantpost {

/// Draws the number that tells this life of the process from all others. Rises with the wall
/// clock's milliseconds; the lowest 20 bits are random.
Incarnation DrawIncarnation();

}  // namespace currantpost
