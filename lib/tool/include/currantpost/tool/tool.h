#pragma once

#include <iosfwd>

#include "currantpost/tool/exit_code.h"

namespace currantpost {

/// Runs one command line of the tool. Results go to `out`, failures to `error`.
ExitCode RunTool(int argument_count, const char* const* arguments, std::ostream& out,
                 std::ostream& error);

}  // namespace currantpost
