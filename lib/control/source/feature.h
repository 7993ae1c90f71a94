#pragma once

#include <nlohmann/json.hpp>
#include <string_view>
#include <variant>

#include "currantpost/control/effects.h"
#include "currantpost/control/events.h"
#include "currantpost/control/state.h"

namespace currantpost {

/// One feature of the control state. Features do not depend on each other.
struct Feature {
  std::string_view name;
  /// Handles an event; ignores irrelevant ones.
  void (*handle)(State& state, const Event& event, Effects& effects);
  /// Dumps the feature's part of the state as JSON.
  nlohmann::json (*dump)(const State& state);
};

/// Combines lambdas into a visitor.
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

/// Replies to a command with success.
void ReplyOk(Effects& effects, RequestId command, std::string body);

/// Replies to a command with an error.
void ReplyError(Effects& effects, RequestId command, Error error, std::string body = {});

}  // namespace currantpost
