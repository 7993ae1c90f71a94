#pragma once

#include <string>
#include <string_view>

#include "currantpost/base/error.h"
#include "currantpost/model/configuration.h"
#include "currantpost/model/job.h"
#include "currantpost/model/peer.h"
#include "currantpost/model/vm.h"
#include "currantpost/model/worker.h"

namespace currantpost {

/// One life of a worker that the owner of a rack may order.
struct RackMember {
  VmId vm;
  Incarnation incarnation = 0;
  Address worker;

  bool operator==(const RackMember&) const = default;
};

/// An attempt that ended and of which no worker of the rack keeps a row.
struct ReleasedAttempt {
  TaskKey task;
  int32_t attempt = 0;
  /// Checkpoint to resume from, empty to begin anew.
  std::string checkpoint;

  bool operator==(const ReleasedAttempt&) const = default;
};

/// Owner of a rack, as the platform's key-value service keeps it at "dc/<data
/// centre>/racks/<rack>".
struct RackRecord {
  EntryId owner;
  Incarnation incarnation = 0;
  Epoch epoch = 0;
  std::string change_id;
  /// Every worker life that may run tasks of the rack; no other may be ordered.
  std::vector<RackMember> members;
  /// Attempts whose next one is not known to run yet.
  std::vector<ReleasedAttempt> released;

  bool operator==(const RackRecord&) const = default;
};

/// Writes a value as one line of JSON.
/// @{
std::string Encode(const Resources& resources);
std::string Encode(const JobSpec& spec);
std::string Encode(const JobRecord& record);
std::string Encode(const PartRecord& record);
std::string Encode(const RackRecord& record);
std::string Encode(const Preset& preset);
std::string Encode(const Configuration& configuration);
std::string Encode(const std::vector<VmRecord>& list);
std::string Encode(const WorkerTable& table);
/// @}

/// Reads a value from JSON. Fails with `kMalformed` and the place of the fault.
/// Ranges are checked too, so a decoded value can be used as it is.
/// @{
Result<JobSpec> DecodeJobSpec(std::string_view text);
Result<JobRecord> DecodeJobRecord(std::string_view text);
Result<PartRecord> DecodePartRecord(std::string_view text);
Result<RackRecord> DecodeRackRecord(std::string_view text);
Result<Preset> DecodePreset(std::string_view text);
Result<Configuration> DecodeConfiguration(std::string_view text);
Result<std::vector<VmRecord>> DecodeVmList(std::string_view text);
Result<WorkerTable> DecodeWorkerTable(std::string_view text);
Result<Resources> DecodeResources(std::string_view text);
/// @}

}  // namespace currantpost
