#pragma once

#include <string>

#include "world.h"

namespace currantpost::scheduler {

/// Removes from the handover record of a cell what an owner of an earlier build did not record: its
/// lease and its witnesses. The next owner then waits for the longest lease.
inline void DropWitnesses(World& world, const std::string& cell) {
  const std::string key = std::string(kHandOverPrefix) + cell;
  HandOverRecord record = *DecodeHandOver(*world.store.Value(key));
  record.lease = 0;
  record.witnesses.reset();
  world.store.Handle(WriteRecords{.puts = {RecordPut{key, Encode(record), 0}}}, world.now(),
                     [](const StoreReply&) {});
}

}  // namespace currantpost::scheduler
