#pragma once

namespace currantpost::bench {

/// Prints how much memory each thing that an entry knows takes.
void PrintMemory();

/// Prints how long heartbeats are, by what they hold.
void PrintHeartbeatBytes();

/// Prints calls to the store and messages by racks, entries and jobs, over simulated time.
void PrintTraffic();

}  // namespace currantpost::bench
