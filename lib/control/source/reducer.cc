#include "currantpost/control/reducer.h"

#include <array>
#include <utility>

#include "feature.h"

namespace currantpost {
namespace {

const std::array kFeatures = {
    &kConfigurationFeature, &kMembershipFeature, &kUpstreamFeature,
    &kWorkFeature,          &kShutdownFeature,
};

void ReplyWithDump(const State& state, const Event& event, Effects& effects) {
  const auto* received = std::get_if<CommandReceived>(&event.body);
  if (received == nullptr) return;
  if (!std::holds_alternative<DumpState>(received->body)) return;

  ReplyOk(effects, received->command, Dump(state));
}

}  // namespace

RequestId NextRequest(State& state) { return state.next_request++; }

std::string NextChangeId(State& state) {
  const EntryIdentity& identity = state.settings.identity;

  return identity.entry.Text() + "." + std::to_string(identity.incarnation) + "." +
         std::to_string(NextRequest(state));
}

void Log(Effects& effects, Severity severity, LogComponent component, std::string message,
         std::vector<LogField> fields) {
  effects.emplace_back(LogLine{severity, component, std::move(message), std::move(fields)});
}

void ReplyOk(Effects& effects, RequestId command, std::string body) {
  effects.emplace_back(CommandReply{command, Error{}, std::move(body)});
}

void ReplyError(Effects& effects, RequestId command, Error error, std::string body) {
  effects.emplace_back(CommandReply{command, std::move(error), std::move(body)});
}

void Reduce(State& state, const Event& event, Effects& effects) {
  state.previous = state.now;
  state.now = event.now;
  if (!state.started_at) state.started_at = event.now;

  for (const Feature* feature : kFeatures) feature->handle(state, event, effects);

  ReplyWithDump(state, event, effects);
}

std::string Dump(const State& state) {
  nlohmann::json dump;
  const EntryIdentity& identity = state.settings.identity;
  dump["entry"] = identity.entry.Text();
  dump["incarnation"] = identity.incarnation;
  dump["data_centre"] = identity.data_centre.Text();
  dump["now_ms"] = state.now.Count();

  for (const Feature* feature : kFeatures) {
    dump[std::string(feature->name)] = feature->dump(state);
  }

  return dump.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace currantpost
