#include <algorithm>
#include <optional>
#include <utility>

#include "configuration_change.h"
#include "currantpost/model/codec.h"
#include "feature.h"
#include "keys.h"

/// Receives the configuration from the platform and from peers. A lower revision is never applied.

namespace currantpost {
namespace {

constexpr Millis kRetryDelay = Millis(1'000);
/// Time without a response after which a read or watch is considered lost and restarted.
constexpr Millis kRequestTimeout = Millis(30'000);

void StartRead(State& state, Effects& effects) {
  ConfigurationState& configuration = state.configuration;
  configuration.request = NextRequest(state);
  configuration.request_sent_at = state.now;
  configuration.watching = false;

  effects.emplace_back(KvCall{configuration.request, KvGet{kConfigurationKey}});
}

void StartWatch(State& state, KvRevision after, Effects& effects) {
  ConfigurationState& configuration = state.configuration;
  configuration.request = NextRequest(state);
  configuration.request_sent_at = state.now;
  configuration.watching = true;

  effects.emplace_back(KvWatch{configuration.request, kConfigurationPrefix, after});
}

void RetryLater(State& state) {
  state.configuration.request = 0;
  state.configuration.retry_at = state.now + kRetryDelay;
}

void ApplyEncoded(State& state, const std::string& text, Effects& effects) {
  const Result<Configuration> decoded = DecodeConfiguration(text);

  if (!decoded) {
    Log(effects, Severity::kError, LogComponent::kConfiguration,
        "refused a malformed configuration",
        {{"error", ErrorName(decoded.error().code)}, {"detail", decoded.error().detail}});
    return;
  }

  ApplyConfiguration(state, *decoded, effects);
}

void ApplyEntries(State& state, const KvReply& reply, Effects& effects) {
  for (const KvEntry& entry : reply.entries) {
    if (entry.key == kConfigurationKey && entry.value) ApplyEncoded(state, *entry.value, effects);
  }
}

void OnReadAnswered(State& state, const KvReply& reply, Effects& effects) {
  if (reply.status != KvStatus::kOk) return RetryLater(state);

  // An empty store is a valid reply: the built-in configuration is then in force.
  state.configuration.known = true;
  ApplyEntries(state, reply, effects);
  StartWatch(state, reply.revision, effects);
}

void OnWatchAnswered(State& state, const KvWatchAnswered& answered, Effects& effects) {
  if (answered.request != state.configuration.request) return;
  if (answered.reply.status != KvStatus::kOk) return RetryLater(state);

  ApplyEntries(state, answered.reply, effects);
  StartWatch(state, answered.reply.revision, effects);
}

void OnTick(State& state, Effects& effects) {
  ConfigurationState& configuration = state.configuration;
  const bool lost =
      configuration.request != 0 && state.now - configuration.request_sent_at > kRequestTimeout;

  if (lost) configuration.request = 0;
  if (configuration.request == 0 && state.now >= configuration.retry_at) StartRead(state, effects);

  ContinueChanges(state, effects);
}

void OnKvAnswered(State& state, const KvAnswered& answered, Effects& effects) {
  if (answered.request == state.configuration.request && !state.configuration.watching) {
    return OnReadAnswered(state, answered.reply, effects);
  }

  OnChangeAnswered(state, answered, effects);
}

void OnCommand(State& state, const CommandReceived& received, Effects& effects) {
  if (std::holds_alternative<ListPresets>(received.body)) {
    return ReplyOk(effects, received.command, Encode(state.configuration.current));
  }

  const bool is_change = std::holds_alternative<SetPreset>(received.body) ||
                         std::holds_alternative<SwitchPreset>(received.body) ||
                         std::holds_alternative<SetQuota>(received.body);

  if (is_change) StartChange(state, received, effects);
}

void Handle(State& state, const Event& event, Effects& effects) {
  std::visit(
      Overloaded{
          [&](const Tick&) { OnTick(state, effects); },
          [&](const KvAnswered& answered) { OnKvAnswered(state, answered, effects); },
          [&](const KvWatchAnswered& answered) { OnWatchAnswered(state, answered, effects); },
          [&](const CommandReceived& received) { OnCommand(state, received, effects); },
          [&](const HeartbeatReceived& received) {
            const std::string& text = received.heartbeat.configuration;
            if (!text.empty()) ApplyEncoded(state, text, effects);
          },
          [](const auto&) {},
      },
      event.body);
}

nlohmann::json DumpConfiguration(const State& state) {
  const ConfigurationState& configuration = state.configuration;

  return {{"revision", configuration.current.revision},
          {"known", configuration.known},
          {"in_force", configuration.current.in_force},
          {"presets", configuration.current.presets.size()},
          {"watching", configuration.watching && configuration.request != 0},
          {"pending_changes", configuration.pending.size()}};
}

}  // namespace

void ApplyConfiguration(State& state, const Configuration& received_configuration,
                        Effects& effects) {
  ConfigurationState& configuration = state.configuration;
  const bool is_newer = received_configuration.revision > configuration.current.revision;
  configuration.known = true;

  if (!is_newer) return;

  configuration.current = received_configuration;
  state.upstreams.snapshot_outdated = true;
  // Peers receive it with the next heartbeat, which is sent at once.
  state.membership.next_heartbeat = state.now;

  Log(effects, Severity::kInfo, LogComponent::kConfiguration, "applied a configuration",
      {{"revision", std::to_string(received_configuration.revision)},
       {"in_force", received_configuration.in_force}});
}

const Feature kConfigurationFeature = {
    .name = "configuration", .handle = Handle, .dump = DumpConfiguration};

}  // namespace currantpost
