#pragma once

#include <nlohmann/json.hpp>
#include <string_view>
#include <variant>

#include "currantpost/control/effects.h"
#include "currantpost/control/events.h"
#include "currantpost/control/state.h"

namespace currantpost {

/// One concern of the control state. Features do not know each other.
struct Feature {
  std::string_view name;
  /// Takes an event in; ignores those of no concern.
  void (*handle)(State& state, const Event& event, Effects& effects);
  /// Describes the feature's part of the state.
  nlohmann::json (*dump)(const State& state);
};

/// Makes a visitor out of lambdas.
template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};

template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

extern const Feature kConfigurationFeature;
extern const Feature kMembershipFeature;
extern const Feature kUpstreamFeature;
extern const Feature kWorkFeature;
extern const Feature kShutdownFeature;

/// Appends a log line.
void Log(Effects& effects, Severity severity, LogComponent component, std::string message,
         std::vector<LogField> fields = {});

/// Answers a command with success.
void ReplyOk(Effects& effects, RequestId command, std::string body);

/// Answers a command with a failure.
void ReplyError(Effects& effects, RequestId command, Error error, std::string body = {});

}  // namespace currantpost
