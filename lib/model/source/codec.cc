#include "currantpost/model/codec.h"

#include <algorithm>

#include "currantpost/model/json.h"

namespace currantpost {
namespace {

constexpr int32_t kMaxTasksPerJob = 100'000;
constexpr size_t kMaxNameLength = 200;

template <typename Value>
std::string EncodeJson(const Value& value) {
  // Replaces invalid UTF-8, as encoding must never throw.
  return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

template <typename Value>
Result<Value> DecodeJson(std::string_view text) {
  try {
    return nlohmann::json::parse(text).get<Value>();
  } catch (const nlohmann::json::exception& exception) {
    return Fail(ErrorCode::kMalformed, exception.what());
  }
}

bool IsName(const std::string& text) {
  const auto is_allowed = [](char character) {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '-' || character == '_' ||
           character == '.';
  };

  return !text.empty() && text.size() <= kMaxNameLength && std::ranges::all_of(text, is_allowed);
}

Error CheckSpec(const JobSpec& spec) {
  // The job's name is part of a key in the key-value service, so it must not contain a slash.
  if (!IsName(spec.job.Text())) return MakeError(ErrorCode::kInvalidArgument, "job");
  if (!IsName(spec.team.Text())) return MakeError(ErrorCode::kInvalidArgument, "team");
  if (!IsName(spec.kind)) return MakeError(ErrorCode::kInvalidArgument, "kind");

  if (spec.task_count < 1 || spec.task_count > kMaxTasksPerJob) {
    return MakeError(ErrorCode::kOutOfRange, "task_count");
  }

  if (!FitsWithin(Resources{}, spec.declared)) return MakeError(ErrorCode::kOutOfRange, "declared");
  if (spec.declared.millicores == 0) return MakeError(ErrorCode::kOutOfRange, "millicores");
  if (spec.run_time < Millis(0)) return MakeError(ErrorCode::kOutOfRange, "run_time_ms");

  return Error{};
}

}  // namespace

std::string Encode(const Resources& resources) { return EncodeJson(resources); }
std::string Encode(const JobSpec& spec) { return EncodeJson(spec); }
std::string Encode(const JobRecord& record) { return EncodeJson(record); }
std::string Encode(const PartRecord& record) { return EncodeJson(record); }
std::string Encode(const RackRecord& record) { return EncodeJson(record); }
std::string Encode(const Preset& preset) { return EncodeJson(preset); }
std::string Encode(const Configuration& configuration) { return EncodeJson(configuration); }
std::string Encode(const std::vector<VmRecord>& list) { return EncodeJson(list); }
std::string Encode(const WorkerTable& table) { return EncodeJson(table); }

Result<JobSpec> DecodeJobSpec(std::string_view text) {
  Result<JobSpec> spec = DecodeJson<JobSpec>(text);
  if (!spec) return spec;

  if (Error error = CheckSpec(*spec); error.code) return tl::unexpected<Error>(error);

  return spec;
}

Result<JobRecord> DecodeJobRecord(std::string_view text) { return DecodeJson<JobRecord>(text); }

Result<PartRecord> DecodePartRecord(std::string_view text) { return DecodeJson<PartRecord>(text); }

Result<RackRecord> DecodeRackRecord(std::string_view text) { return DecodeJson<RackRecord>(text); }

Result<Preset> DecodePreset(std::string_view text) { return DecodeJson<Preset>(text); }

Result<Configuration> DecodeConfiguration(std::string_view text) {
  Result<Configuration> configuration = DecodeJson<Configuration>(text);
  if (!configuration) return configuration;

  if (Error error = CheckConfiguration(*configuration); error.code) {
    return tl::unexpected<Error>(error);
  }

  return configuration;
}

Result<std::vector<VmRecord>> DecodeVmList(std::string_view text) {
  return DecodeJson<std::vector<VmRecord>>(text);
}

Result<WorkerTable> DecodeWorkerTable(std::string_view text) {
  return DecodeJson<WorkerTable>(text);
}

Result<Resources> DecodeResources(std::string_view text) { return DecodeJson<Resources>(text); }

}  // namespace currantpost
