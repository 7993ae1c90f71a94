#pragma once

#include <httplib.h>

#include "currantpost/base/error.h"
#include "currantpost/control/events.h"

namespace currantpost {

/// One request that becomes a command.
struct CommandRoute {
  const char* method;
  /// Regular expression of the path.
  const char* pattern;
  /// Reads the command out of the request, whose `matches` hold the path's parts.
  Result<Command> (*read)(const httplib::Request& request);
};

/// All requests that become commands.
extern const CommandRoute kCommandRoutes[];
extern const size_t kCommandRouteCount;

}  // namespace currantpost
