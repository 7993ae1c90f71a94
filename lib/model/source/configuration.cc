#include "currantpost/model/configuration.h"

#include <cmath>
#include <string_view>

namespace currantpost {
namespace {

constexpr std::string_view kOrdinaryPreset = "ordinary";
constexpr Millis kMaxRouteTimeout = Millis(600'000);

bool IsFraction(double value) { return std::isfinite(value) && value >= 0.0 && value <= 1.0; }

Error CheckRoute(const Preset& preset, const RouteRule& route) {
  if (route.prefix.empty() || route.prefix.front() != '/') {
    return MakeError(ErrorCode::kInvalidArgument, preset.name + ".routes.prefix");
  }

  if (route.timeout <= Millis(0) || route.timeout > kMaxRouteTimeout) {
    return MakeError(ErrorCode::kOutOfRange, preset.name + ".routes.timeout_ms");
  }

  return Error{};
}

Error CheckPreset(const Preset& preset) {
  if (!IsFraction(preset.batch_share)) {
    return MakeError(ErrorCode::kOutOfRange, preset.name + ".batch_share");
  }

  if (!std::isfinite(preset.slowdown_limit) || preset.slowdown_limit < 1.0) {
    return MakeError(ErrorCode::kOutOfRange, preset.name + ".slowdown_limit");
  }

  if (preset.evictions_per_minute < 0) {
    return MakeError(ErrorCode::kOutOfRange, preset.name + ".evictions_per_minute");
  }

  if (preset.eviction_hysteresis < Millis(0)) {
    return MakeError(ErrorCode::kOutOfRange, preset.name + ".eviction_hysteresis_ms");
  }

  if (!IsFraction(preset.retry_budget)) {
    return MakeError(ErrorCode::kOutOfRange, preset.name + ".retry_budget");
  }

  if (!IsFraction(preset.hedge_budget)) {
    return MakeError(ErrorCode::kOutOfRange, preset.name + ".hedge_budget");
  }

  if (!IsFraction(preset.ejection_limit)) {
    return MakeError(ErrorCode::kOutOfRange, preset.name + ".ejection_limit");
  }

  if (preset.routes.empty()) {
    return MakeError(ErrorCode::kMissingKey, preset.name + ".routes");
  }

  for (const RouteRule& route : preset.routes) {
    if (Error error = CheckRoute(preset, route); error.code) return error;
  }

  return Error{};
}

}  // namespace

Configuration BuiltInConfiguration() {
  Configuration configuration;
  configuration.in_force = kOrdinaryPreset;
  configuration.presets[configuration.in_force] = Preset{.name = configuration.in_force};
  return configuration;
}

const Preset& PresetInForce(const Configuration& configuration) {
  return configuration.presets.at(configuration.in_force);
}

Error CheckConfiguration(const Configuration& configuration) {
  if (!configuration.presets.contains(configuration.in_force)) {
    return MakeError(ErrorCode::kNotFound, configuration.in_force);
  }

  for (const auto& [name, preset] : configuration.presets) {
    if (name.empty() || name != preset.name) {
      return MakeError(ErrorCode::kInvalidArgument, "preset name " + name);
    }

    if (Error error = CheckPreset(preset); error.code) return error;
  }

  for (const auto& [team, quota] : configuration.quotas) {
    if (!FitsWithin(Resources{}, quota)) return MakeError(ErrorCode::kOutOfRange, "quota " + team);
  }

  return Error{};
}

}  // namespace currantpost
