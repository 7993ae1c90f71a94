#include "leaving_knowledge.h"

#include <algorithm>
#include <set>

/// Decides when an entry that has started knows enough of leaving upstreams.

namespace currantpost {
namespace {

/// Maximum number of upstreams in a report, as many as a peer accepts.
constexpr size_t kMaxReported = 16'384;

bool HasSeeds(const State& state) {
  return std::ranges::any_of(state.settings.seeds, [&](const Address& seed) {
    return seed != state.settings.identity.peer_address;
  });
}

bool HasWaited(const State& state) {
  return state.now - *state.started_at >= state.settings.peer_timeout;
}

/// Returns whether everyone who may know of leaving upstreams has reported. If no peer has learned
/// from others, as after a start of all entries, there is nothing more to learn.
bool HaveAllReported(const State& state) {
  const auto& peers = state.membership.peers;
  const auto is_alive = [](const auto& named) { return named.second.alive; };
  const auto has_reported = [&](const auto& named) {
    return !is_alive(named) || named.second.reported_leaving;
  };

  if (!std::ranges::any_of(peers, is_alive)) return false;
  if (!std::ranges::all_of(peers, has_reported)) return false;

  return HasWaited(state) || UnreachedSeeds(state).empty();
}

}  // namespace

std::vector<Address> UnreachedSeeds(const State& state) {
  std::set<Address> known = {state.settings.identity.peer_address};
  for (const auto& [entry, peer] : state.membership.peers) known.insert(peer.known.peer_address);

  std::vector<Address> unreached;
  for (const Address& seed : state.settings.seeds) {
    if (!known.contains(seed)) unreached.push_back(seed);
  }

  return unreached;
}

bool MayRoute(const State& state) {
  return state.upstreams.leaving_known || !HasSeeds(state) || HasWaited(state);
}

LeavingReport MakeLeavingReport(const State& state) {
  const auto& leaving = state.upstreams.leaving;
  LeavingReport report{.is_whole = state.upstreams.leaving_known && leaving.size() <= kMaxReported};

  for (const auto& [upstream, since] : leaving) {
    if (report.upstreams.size() == kMaxReported) break;
    report.upstreams.push_back(upstream);
  }

  return report;
}

void UpdateLeavingKnowledge(State& state, const Heartbeat* received) {
  if (state.upstreams.leaving_known) return;

  const bool is_told =
      received != nullptr && received->leaving_report && received->leaving_report->is_whole;
  state.upstreams.leaving_known = is_told || !HasSeeds(state) || HaveAllReported(state);
}

}  // namespace currantpost
