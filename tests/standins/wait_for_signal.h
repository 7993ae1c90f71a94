#pragma once

namespace currantpost::standins {

/// Blocks SIGINT and SIGTERM for all threads started later. Call first in `main`.
void BlockStopSignals();

/// Waits for SIGINT or SIGTERM.
void WaitForStopSignal();

}  // namespace currantpost::standins
