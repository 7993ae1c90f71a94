#pragma once

#include <string>

#include "currantpost/base/ids.h"

/// Keys of the platform's key-value service.

namespace currantpost {

inline const std::string kConfigurationPrefix = "config/";
inline const std::string kConfigurationKey = "config/current";

}  // namespace currantpost
