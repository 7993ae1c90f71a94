#include "feature.h"

/// Graceful shutdown: the entry becomes not ready, drains, and exits once nothing is in flight.

namespace currantpost {
namespace {

/// Time after which racks that could not be handed over no longer delay the exit.
constexpr Millis kHandoverTimeout = Millis(10'000);

bool RackHandoverIsOver(const State& state) {
  if (state.work.owned.empty()) return true;

  return state.now - state.shutdown.requested_at > kHandoverTimeout;
}

void OnRequested(State& state, Effects& effects) {
  ShutdownState& shutdown = state.shutdown;
  if (shutdown.requested) return;

  shutdown.requested = true;
  shutdown.requested_at = state.now;
  effects.emplace_back(SetReadiness{false});
  Log(effects, Severity::kInfo, LogComponent::kShutdown, "stopping");
}

void OnReported(State& state, const TrafficReported& reported) {
  ShutdownState& shutdown = state.shutdown;
  shutdown.requests_in_flight = reported.requests_in_flight;

  // Only a report made after the traffic threads began to refuse requests shows that they are idle.
  if (shutdown.draining) ++shutdown.reports_since_draining;
}

void OnTick(State& state, Effects& effects) {
  ShutdownState& shutdown = state.shutdown;
  if (!shutdown.requested || shutdown.exited) return;

  if (!shutdown.draining && state.now - shutdown.requested_at >= state.settings.shutdown_grace) {
    shutdown.draining = true;
    state.upstreams.snapshot_outdated = true;
    return;
  }

  // The first report may have been in flight when draining began.
  constexpr int32_t kReportsNeeded = 2;
  const bool idle =
      shutdown.reports_since_draining >= kReportsNeeded && shutdown.requests_in_flight == 0;

  if (!idle || !RackHandoverIsOver(state)) return;

  shutdown.exited = true;
  Log(effects, Severity::kInfo, LogComponent::kShutdown, "stopped");
  effects.emplace_back(ExitProcess{});
}

void Handle(State& state, const Event& event, Effects& effects) {
  std::visit(Overloaded{
                 [&](const ShutdownRequested&) { OnRequested(state, effects); },
                 [&](const TrafficReported& reported) { OnReported(state, reported); },
                 [&](const Tick&) { OnTick(state, effects); },
                 [](const auto&) {},
             },
             event.body);
}

nlohmann::json DumpShutdown(const State& state) {
  return {{"requested", state.shutdown.requested},
          {"draining", state.shutdown.draining},
          {"requests_in_flight", state.shutdown.requests_in_flight}};
}

}  // namespace

const Feature kShutdownFeature = {.name = "shutdown", .handle = Handle, .dump = DumpShutdown};

}  // namespace currantpost
