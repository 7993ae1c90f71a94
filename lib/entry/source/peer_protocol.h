#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "currantpost/base/error.h"
#include "currantpost/scheduler/job_spec.h"
#include "currantpost/scheduler/store.h"

/// What entries say to each other: records that a peer needs soon, and how far a job is.

namespace currantpost {

/// Paths of the peers' server.
/// @{
inline constexpr std::string_view kRecordsPath = "/records";
inline constexpr std::string_view kJobPhasePath = "/job/";
/// @}

std::string EncodeItems(const std::vector<scheduler::StoreItem>& items);

/// Fails with `kMalformed`.
Result<std::vector<scheduler::StoreItem>> DecodeItems(std::string_view text);

std::string EncodePhase(const std::optional<scheduler::JobPhase>& phase);

/// Returns nothing for an answer that names no phase.
std::optional<scheduler::JobPhase> DecodePeerPhase(std::string_view text);

}  // namespace currantpost
