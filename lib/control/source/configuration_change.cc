#include "configuration_change.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "currantpost/model/codec.h"
#include "feature.h"
#include "keys.h"

namespace currantpost {
namespace {

constexpr Millis kStepRetryDelay = Millis(250);
/// Time without a response after which a call is considered lost.
constexpr Millis kCallTimeout = Millis(4'000);
/// Time after which the operator gets a response, even if the outcome is unknown.
constexpr Millis kChangeTimeout = Millis(9'000);
/// Maximum number of accepted change ids that a configuration keeps.
constexpr size_t kMaxRecentChanges = 64;
/// Maximum size of a configuration in bytes; the platform accepts values up to a megabyte.
constexpr size_t kMaxConfigurationBytes = 900'000;

std::string RevisionBody(int64_t revision) { return nlohmann::json{{"revision", revision}}.dump(); }

int64_t ExpectedRevision(const Command& body) {
  return std::visit(
      [](const auto& command) -> int64_t {
        if constexpr (requires { command.expected_revision; }) return command.expected_revision;
        return 0;
      },
      body);
}

bool ContainsChange(const Configuration& configuration, const std::string& change_id) {
  return std::ranges::find(configuration.recent_changes, change_id) !=
         configuration.recent_changes.end();
}

void SendStep(State& state, PendingChange& change, Effects& effects) {
  change.request = NextRequest(state);
  change.request_sent_at = state.now;

  if (change.step != ChangeStep::kWriting) {
    effects.emplace_back(KvCall{change.request, KvGet{kConfigurationKey}});
    return;
  }

  effects.emplace_back(KvCall{
      change.request, KvPut{kConfigurationKey, Encode(change.new_configuration), change.expected}});
}

void Finish(State& state, const PendingChange& change, const Error& error, int64_t revision,
            Effects& effects) {
  if (error.code) {
    ReplyError(effects, change.command, error, RevisionBody(revision));
  } else {
    ReplyOk(effects, change.command, RevisionBody(revision));
  }

  // Must be last, because it destroys `change`.
  state.configuration.pending.erase(change.command);
}

void Accept(State& state, const PendingChange& change, const Configuration& accepted,
            Effects& effects) {
  ApplyConfiguration(state, accepted, effects);
  Finish(state, change, Error{}, accepted.revision, effects);
}

/// Applies the operator's command to a configuration.
Error ApplyCommand(const Command& body, Configuration& configuration) {
  if (const auto* set = std::get_if<SetPreset>(&body)) {
    configuration.presets[set->preset.name] = set->preset;
  } else if (const auto* change = std::get_if<SwitchPreset>(&body)) {
    if (!configuration.presets.contains(change->name)) {
      return MakeError(ErrorCode::kNotFound, "preset " + change->name);
    }

    configuration.in_force = change->name;
  } else if (const auto* quota = std::get_if<SetQuota>(&body)) {
    configuration.quotas[quota->team.Text()] = quota->limit;
  }

  return CheckConfiguration(configuration);
}

/// Decodes the configuration from a reply. Fails if the stored value is malformed.
Result<Configuration> ConfigurationFromReply(const State& state, const KvReply& reply) {
  if (reply.entries.empty() || !reply.entries.front().value) return state.configuration.current;

  Result<Configuration> stored = DecodeConfiguration(*reply.entries.front().value);
  if (!stored) return stored;

  // A stale read of the platform must not undo an accepted change.
  if (stored->revision < state.configuration.current.revision) return state.configuration.current;

  return stored;
}

void WriteBasedOn(State& state, PendingChange& change, const Configuration& base,
                  KvRevision key_revision, Effects& effects) {
  const int64_t expected_revision = ExpectedRevision(change.body);

  if (expected_revision != 0 && expected_revision != base.revision) {
    return Finish(state, change, MakeError(ErrorCode::kConflict, "revision"), base.revision,
                  effects);
  }

  Configuration next = base;

  if (const Error error = ApplyCommand(change.body, next); error.code) {
    return Finish(state, change, error, base.revision, effects);
  }

  next.revision = base.revision + 1;
  next.change_id = change.change_id;
  next.recent_changes.push_back(change.change_id);

  if (next.recent_changes.size() > kMaxRecentChanges) {
    next.recent_changes.erase(next.recent_changes.begin());
  }

  if (Encode(next).size() > kMaxConfigurationBytes) {
    return Finish(state, change, MakeError(ErrorCode::kTooLarge, "configuration"), base.revision,
                  effects);
  }

  change.new_configuration = std::move(next);
  change.expected = key_revision;
  change.step = ChangeStep::kWriting;
  SendStep(state, change, effects);
}

void OnRead(State& state, PendingChange& change, const KvReply& reply, Effects& effects) {
  if (reply.status != KvStatus::kOk) {
    change.retry_at = state.now + kStepRetryDelay;
    return;
  }

  const Result<Configuration> stored = ConfigurationFromReply(state, reply);
  if (!stored) return Finish(state, change, stored.error(), 0, effects);

  if (ContainsChange(*stored, change.change_id)) return Accept(state, change, *stored, effects);

  const KvRevision key_revision = reply.entries.empty() ? 0 : reply.entries.front().revision;
  const bool may_still_apply =
      change.step == ChangeStep::kReadingBack && key_revision == change.expected;

  if (may_still_apply) {
    // Repeat the same write: compare-and-swap lets at most one of the two take effect.
    change.step = ChangeStep::kWriting;
    return SendStep(state, change, effects);
  }

  // The key has a new revision, so an earlier write can no longer take effect.
  change.maybe_applied = false;
  WriteBasedOn(state, change, *stored, key_revision, effects);
}

void OnWritten(State& state, PendingChange& change, const KvReply& reply, Effects& effects) {
  if (reply.status == KvStatus::kOk) {
    // A copy, because finishing the change destroys it.
    const Configuration accepted = change.new_configuration;
    return Accept(state, change, accepted, effects);
  }

  if (reply.status == KvStatus::kUnavailable) {
    change.retry_at = state.now + kStepRetryDelay;
    return;
  }

  // After a conflict, the stored value may come from an earlier copy of this same write.
  if (reply.status != KvStatus::kConflict) change.maybe_applied = true;

  change.step = ChangeStep::kReadingBack;
  SendStep(state, change, effects);
}

}  // namespace

void StartChange(State& state, const CommandReceived& received, Effects& effects) {
  PendingChange change{.command = received.command,
                       .change_id = received.change_id,
                       .body = received.body,
                       .received_at = state.now};

  auto [position, inserted] = state.configuration.pending.emplace(received.command, change);
  if (inserted) SendStep(state, position->second, effects);
}

void OnChangeAnswered(State& state, const KvAnswered& answered, Effects& effects) {
  for (auto& [command, change] : state.configuration.pending) {
    if (change.request != answered.request) continue;

    change.request = 0;

    if (change.step == ChangeStep::kWriting) {
      OnWritten(state, change, answered.reply, effects);
    } else {
      OnRead(state, change, answered.reply, effects);
    }

    return;
  }
}

void ContinueChanges(State& state, Effects& effects) {
  std::vector<RequestId> expired;

  for (auto& [command, change] : state.configuration.pending) {
    if (state.now - change.received_at > kChangeTimeout) {
      expired.push_back(command);
      continue;
    }

    const bool lost = change.request != 0 && state.now - change.request_sent_at > kCallTimeout;

    if (lost && change.step == ChangeStep::kWriting) {
      change.maybe_applied = true;
      change.step = ChangeStep::kReadingBack;
    }

    if (lost) change.request = 0;
    if (change.request == 0 && state.now >= change.retry_at) SendStep(state, change, effects);
  }

  for (const RequestId command : expired) {
    const PendingChange& change = state.configuration.pending.at(command);
    const bool outcome_unknown = change.maybe_applied || change.step != ChangeStep::kReading;
    const ErrorCode code = outcome_unknown ? ErrorCode::kOutcomeUnknown : ErrorCode::kUnavailable;

    Finish(state, change, MakeError(code, "key-value service"),
           state.configuration.current.revision, effects);
  }
}

}  // namespace currantpost
