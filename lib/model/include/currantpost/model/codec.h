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

/// An incarnation of a worker to which the owner of a rack may send orders.
struct RackMember {
  VmId vm;
  Incarnation incarnation = 0;
  Address worker;

  bool operator==(const RackMember&) const = default;
};

/// An attempt that ended and is no longer in the table of any worker of the rack.
struct ReleasedAttempt {
  TaskKey task;
  int32_t attempt = 0;
  /// Checkpoint to resume from, empty to start from the beginning.
  std::string checkpoint;

  bool operator==(const ReleasedAttempt&) const = default;
};

/// Ownership record of a rack, stored in the platform's key-value service at
/// "dc/<data centre>/racks/<rack>".
struct RackRecord {
  EntryId owner;
  Incarnation incarnation = 0;
  Epoch epoch = 0;
  std::string change_id;
  /// All worker incarnations that may run tasks of the rack; others get no orders.
  std::vector<RackMember> members;
  /// Ended attempts whose successor is not yet known to run.
  std::vector<ReleasedAttempt> released;

  bool operator==(const RackRecord&) const = default;
};

/// Encodes a value as one line of JSON.
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

/// Decodes a value from JSON. Fails with `kMalformed` and a description of the fault. Job specs and
/// configurations are also validated, with the error codes of the checks.
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
