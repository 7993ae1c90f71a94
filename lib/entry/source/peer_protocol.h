#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "currantpost/base/error.h"
#include "currantpost/base/time.h"
#include "currantpost/scheduler/job_spec.h"
#include "currantpost/scheduler/store.h"

/// The protocol between entries: pushing records that a peer needs soon, and asking for the phase
/// of a job.

namespace currantpost {

/// Paths of the server for peers. The path of a job's phase ends with the job's id.
/// @{
inline constexpr std::string_view kRecordsPath = "/records";
inline constexpr std::string_view kJobPhasePath = "/job/";
/// @}

/// Header field with the time that the sender waits for the response, in milliseconds.
inline constexpr std::string_view kTimeoutField = "currantpost-timeout-ms";

/// Encodes each item as a JSON array of key, revision, lease, removed and value.
std::string EncodeItems(const std::vector<scheduler::StoreItem>& items);

/// Decodes items. Fails with `kMalformed`.
Result<std::vector<scheduler::StoreItem>> DecodeItems(std::string_view text);

/// Decodes the value of `kTimeoutField`. Returns 0 if there is none, or if it is not a positive
/// number of milliseconds of at most a day.
Millis DecodeTimeout(std::optional<std::string_view> text);

/// Encodes a phase by its name; empty if the phase is unknown.
std::string EncodePhase(const std::optional<scheduler::JobPhase>& phase);

/// Decodes a phase. Returns nothing if the text is not the name of a phase.
std::optional<scheduler::JobPhase> DecodePeerPhase(std::string_view text);

}  // namespace currantpost
