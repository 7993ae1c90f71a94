#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/codec.h"

/// JSON conversions of the model's types, for the codecs, the clients and the state dumps.

namespace currantpost {

/// Reads a required member. Throws `nlohmann::json::exception` if it is missing or of another type.
template <typename Value>
void Read(const nlohmann::json& json, const char* key, Value& value) {
  json.at(key).get_to(value);
}

/// Reads an optional member. Leaves `value` unchanged if it is missing.
template <typename Value>
void ReadOptional(const nlohmann::json& json, const char* key, Value& value) {
  if (json.contains(key)) json.at(key).get_to(value);
}

/// Reads an enumerator by its name. Throws `nlohmann::json::other_error` for a name that is not in
/// the table.
template <typename Enum, size_t kSize>
void ReadName(const nlohmann::json& json, const char* key, const EnumNames<Enum, kSize>& names,
              Enum& value) {
  const auto name = json.at(key).get<std::string>();
  const std::optional<Enum> found = names.Find(name);

  if (!found) {
    throw nlohmann::json::other_error::create(501, std::string(key) + "=" + name, &json);
  }

  value = *found;
}

template <typename Tag>
void to_json(nlohmann::json& json, const Id<Tag>& id) {  // NOLINT(readability-identifier-naming)
  json = id.Text();
}

template <typename Tag>
void from_json(const nlohmann::json& json, Id<Tag>& id) {  // NOLINT(readability-identifier-naming)
  id = Id<Tag>(json.get<std::string>());
}

// nlohmann-json finds these functions by their names.
// NOLINTBEGIN(readability-identifier-naming)
void to_json(nlohmann::json& json, const Millis& millis);
void from_json(const nlohmann::json& json, Millis& millis);
void to_json(nlohmann::json& json, const Resources& resources);
void from_json(const nlohmann::json& json, Resources& resources);
void to_json(nlohmann::json& json, const Address& address);
void from_json(const nlohmann::json& json, Address& address);
void to_json(nlohmann::json& json, const VmRecord& vm);
void from_json(const nlohmann::json& json, VmRecord& vm);
void to_json(nlohmann::json& json, const JobSpec& spec);
void from_json(const nlohmann::json& json, JobSpec& spec);
void to_json(nlohmann::json& json, const JobPart& part);
void from_json(const nlohmann::json& json, JobPart& part);
void to_json(nlohmann::json& json, const JobRecord& record);
void from_json(const nlohmann::json& json, JobRecord& record);
void to_json(nlohmann::json& json, const PartRecord& record);
void from_json(const nlohmann::json& json, PartRecord& record);
void to_json(nlohmann::json& json, const RackMember& member);
void from_json(const nlohmann::json& json, RackMember& member);
void to_json(nlohmann::json& json, const ReleasedAttempt& released);
void from_json(const nlohmann::json& json, ReleasedAttempt& released);
void to_json(nlohmann::json& json, const RackRecord& record);
void from_json(const nlohmann::json& json, RackRecord& record);
void to_json(nlohmann::json& json, const TaskKey& key);
void from_json(const nlohmann::json& json, TaskKey& key);
void to_json(nlohmann::json& json, const WorkerTask& task);
void from_json(const nlohmann::json& json, WorkerTask& task);
void to_json(nlohmann::json& json, const TaskUsage& usage);
void from_json(const nlohmann::json& json, TaskUsage& usage);
void to_json(nlohmann::json& json, const WorkerTable& table);
void from_json(const nlohmann::json& json, WorkerTable& table);
void to_json(nlohmann::json& json, const RouteRule& route);
void from_json(const nlohmann::json& json, RouteRule& route);
void to_json(nlohmann::json& json, const Preset& preset);
void from_json(const nlohmann::json& json, Preset& preset);
void to_json(nlohmann::json& json, const Configuration& configuration);
void from_json(const nlohmann::json& json, Configuration& configuration);
// NOLINTEND(readability-identifier-naming)

}  // namespace currantpost
