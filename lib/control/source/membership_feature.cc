#include <algorithm>
#include <utility>

#include "currantpost/model/codec.h"
#include "feature.h"
#include "leaving_knowledge.h"
#include "membership.h"

/// Tracks live entries by heartbeats, and gossips the state that must reach all of them.

namespace currantpost {
namespace {

/// Number of peers of the own data centre that get a heartbeat in each round.
constexpr size_t kLocalFanOut = 4;
/// Rounds between two heartbeats to other data centres.
constexpr uint64_t kRoundsPerRemoteHeartbeat = 2;
/// Maximum number of known entries in one heartbeat.
constexpr size_t kKnownPerHeartbeat = 4;
/// Maximum number of recently leaving upstreams in one heartbeat.
constexpr size_t kRecentLeavingPerHeartbeat = 64;
/// Maximum number of other leaving upstreams in one heartbeat, for entries that were not running
/// when those were recent.
constexpr size_t kOlderLeavingPerHeartbeat = 1;
/// Time for which a leaving upstream counts as recent.
constexpr Millis kRecentLeavingAge = Millis(15'000);
/// 2^64 divided by the golden ratio. Multiplying by it spreads rounds evenly over a list, for any
/// list length and for any subset of the rounds that a peer receives.
constexpr uint64_t kGoldenRatioMultiplier = 0x9E37'79B9'7F4A'7C15;
/// Time after which a silent peer is removed.
constexpr Millis kPeerRetention = Millis(600'000);

bool IsSelf(const State& state, const EntryId& entry) {
  return entry == state.settings.identity.entry;
}

bool IsLocal(const State& state, const PeerState& peer) {
  return peer.known.data_centre == state.settings.identity.data_centre;
}

/// Returns how long a peer may be silent; longer if one round does not reach all peers.
Millis PeerTimeout(const State& state, bool local) {
  const auto peers = static_cast<int64_t>(
      std::ranges::count_if(state.membership.peers, [&](const auto& entry_and_peer) {
        return IsLocal(state, entry_and_peer.second) == local &&
               (entry_and_peer.second.alive || !local);
      }));
  const Millis timeout = state.settings.peer_timeout;

  if (!local) {
    // One remote peer gets a heartbeat at a time, so reaching all of them takes this many rounds.
    const auto rounds = peers * static_cast<int64_t>(kRoundsPerRemoteHeartbeat);
    return timeout + state.settings.heartbeat_interval * rounds;
  }

  const auto fan_out = static_cast<int64_t>(kLocalFanOut);
  return timeout * std::max<int64_t>(1, (peers + fan_out - 1) / fan_out);
}

/// Applies a description of an entry whose heartbeat is `age` old.
void UpdatePeer(State& state, const KnownEntry& reported, Millis age, Effects& effects) {
  if (IsSelf(state, reported.entry) || reported.entry.Empty()) return;
  if (age > kPeerRetention) return;

  PeerState& peer = state.membership.peers[reported.entry];
  const bool is_stale = reported.incarnation < peer.known.incarnation;
  if (is_stale) return;

  const bool is_new_incarnation = reported.incarnation > peer.known.incarnation;
  const Millis last_heard_at = state.now - age;

  if (is_new_incarnation) {
    peer = PeerState{.known = reported, .last_heard_at = last_heard_at};
  } else if (last_heard_at > peer.last_heard_at) {
    const int64_t revision =
        std::max(peer.known.configuration_revision, reported.configuration_revision);
    // An incarnation that is leaving does not return.
    const bool leaving = peer.known.leaving || reported.leaving;

    peer.last_heard_at = last_heard_at;
    peer.known = reported;
    peer.known.configuration_revision = revision;
    peer.known.leaving = leaving;
  }

  const bool alive = state.now - peer.last_heard_at <= PeerTimeout(state, IsLocal(state, peer));

  if (alive && !peer.alive) {
    Log(effects, Severity::kInfo, LogComponent::kMembership, "peer is up",
        {{"peer", reported.entry.Text()}, {"data_centre", reported.data_centre.Text()}});
  }

  peer.alive = alive;
}

void MarkDeadPeers(State& state, Effects& effects) {
  const Millis local_timeout = PeerTimeout(state, true);
  const Millis remote_timeout = PeerTimeout(state, false);

  for (auto& [entry, peer] : state.membership.peers) {
    const Millis timeout = IsLocal(state, peer) ? local_timeout : remote_timeout;
    if (!peer.alive || state.now - peer.last_heard_at <= timeout) continue;

    peer.alive = false;
    Log(effects, Severity::kWarning, LogComponent::kMembership, "peer is silent",
        {{"peer", entry.Text()}, {"data_centre", peer.known.data_centre.Text()}});
  }

  std::erase_if(state.membership.peers, [&](const auto& entry_and_peer) {
    return state.now - entry_and_peer.second.last_heard_at > kPeerRetention;
  });
}

std::string EncodeLocalVms(const State& state) {
  std::vector<VmRecord> own;

  for (const auto& [vm, record] : state.upstreams.vms) {
    if (record.data_centre == state.settings.identity.data_centre) own.push_back(record);
  }

  return own.empty() ? std::string() : Encode(own);
}

/// Adds up to `max_count` of the upstreams, starting at a different position each round.
void AddRotating(const std::vector<const LeavingUpstream*>& upstreams, size_t max_count,
                 uint64_t round, Heartbeat& heartbeat) {
  constexpr int kHalf = 32;
  if (upstreams.empty()) return;

  const uint64_t share = (round * kGoldenRatioMultiplier) >> kHalf;
  const auto begin = static_cast<size_t>((share * upstreams.size()) >> kHalf);

  for (size_t offset = 0; offset < std::min(max_count, upstreams.size()); ++offset) {
    heartbeat.leaving_upstreams.push_back(*upstreams[(begin + offset) % upstreams.size()]);
  }
}

void AddLeaving(const State& state, Heartbeat& heartbeat) {
  std::vector<const LeavingUpstream*> recent;
  std::vector<const LeavingUpstream*> older;

  for (const auto& [upstream, since] : state.upstreams.leaving) {
    const bool is_recent = state.now - since <= kRecentLeavingAge;
    (is_recent ? recent : older).push_back(&upstream);
  }

  AddRotating(recent, kRecentLeavingPerHeartbeat, state.membership.round, heartbeat);
  AddRotating(older, kOlderLeavingPerHeartbeat, state.membership.round, heartbeat);
}

Heartbeat MakeHeartbeat(const State& state) {
  Heartbeat heartbeat{.sender = DescribeSelf(state)};

  for (const auto& [rack, epoch] : state.work.owned) {
    heartbeat.racks.push_back(RackClaim{rack, epoch});
  }

  AddLeaving(state, heartbeat);
  heartbeat.wants_vm_list = !state.upstreams.list_known;
  heartbeat.wants_leaving = !state.upstreams.leaving_known;
  return heartbeat;
}

void AddKnownEntries(const State& state, Heartbeat& heartbeat) {
  const auto& peers = state.membership.peers;
  const size_t count = std::min(kKnownPerHeartbeat, peers.size());

  for (size_t offset = 0; offset < count; ++offset) {
    const size_t selected = (state.membership.round * count + offset) % peers.size();
    const PeerState& peer = std::next(peers.begin(), static_cast<std::ptrdiff_t>(selected))->second;
    if (!peer.alive) continue;

    heartbeat.known.push_back(peer.known);
    heartbeat.known.back().age_ms = (state.now - peer.last_heard_at).Count();
  }
}

/// Returns whether the peer asked for the leaving upstreams within the last two rounds.
bool WantsLeaving(const State& state, const PeerState& peer) {
  return peer.asked_for_leaving_at &&
         state.now - *peer.asked_for_leaving_at <= state.settings.heartbeat_interval * 2;
}

/// Adds the data that only this receiver needs, and sends the heartbeat.
void SendTo(const State& state, const PeerState& peer, Heartbeat heartbeat, Effects& effects) {
  const Configuration& present = state.configuration.current;
  const bool is_behind = peer.known.configuration_revision < present.revision;

  if (is_behind) heartbeat.configuration = Encode(present);
  if (peer.wants_vm_list && IsLocal(state, peer)) heartbeat.vm_list = EncodeLocalVms(state);
  if (WantsLeaving(state, peer)) heartbeat.leaving_report = MakeLeavingReport(state);

  effects.emplace_back(SendHeartbeat{peer.known.peer_address, std::move(heartbeat)});
}

void OnHeartbeat(State& state, const Heartbeat& heartbeat, Effects& effects) {
  UpdatePeer(state, heartbeat.sender, Millis(0), effects);

  for (const KnownEntry& known : heartbeat.known) {
    UpdatePeer(state, known, Millis(std::max<int64_t>(0, known.age_ms)), effects);
  }

  const auto sender = state.membership.peers.find(heartbeat.sender.entry);
  if (sender == state.membership.peers.end()) return;

  PeerState& peer = sender->second;
  peer.racks = heartbeat.racks;
  peer.wants_vm_list = heartbeat.wants_vm_list;
  peer.reported_leaving |= heartbeat.leaving_report.has_value();
  if (!heartbeat.wants_leaving) return;

  peer.asked_for_leaving_at = state.now;

  // A reply that asks as well is answered with the next round, or two entries that have both just
  // started would answer each other without end.
  if (!heartbeat.leaving_report) SendTo(state, peer, MakeHeartbeat(state), effects);
}

/// Selects `count` peers, continuing where the previous round ended.
std::vector<const PeerState*> SelectPeers(const std::vector<const PeerState*>& peers, size_t count,
                                          uint64_t round) {
  std::vector<const PeerState*> selected;

  for (size_t offset = 0; offset < std::min(count, peers.size()); ++offset) {
    selected.push_back(peers[(round * count + offset) % peers.size()]);
  }

  return selected;
}

void SendRound(State& state, Effects& effects) {
  std::vector<const PeerState*> local;
  std::vector<const PeerState*> remote;

  for (const auto& [entry, peer] : state.membership.peers) {
    (IsLocal(state, peer) ? local : remote).push_back(&peer);
  }

  MembershipState& membership = state.membership;
  const Heartbeat base = MakeHeartbeat(state);
  // Anyone may be the one who knows what this entry waits for.
  const bool is_waiting = !MayRoute(state);
  const size_t local_count = is_waiting ? local.size() : kLocalFanOut;
  const size_t remote_count = is_waiting ? remote.size() : 1;

  for (const PeerState* peer : SelectPeers(local, local_count, membership.round)) {
    SendTo(state, *peer, base, effects);
  }

  Heartbeat full = base;
  AddKnownEntries(state, full);

  if (is_waiting || membership.round % kRoundsPerRemoteHeartbeat == 0) {
    for (const PeerState* peer :
         SelectPeers(remote, remote_count, membership.round / kRoundsPerRemoteHeartbeat)) {
      SendTo(state, *peer, full, effects);
    }
  }

  // Contacting one per round is enough to discover the others.
  const std::vector<Address> seeds = UnreachedSeeds(state);
  const size_t seed_count = is_waiting ? seeds.size() : std::min<size_t>(1, seeds.size());

  for (size_t offset = 0; offset < seed_count; ++offset) {
    effects.emplace_back(SendHeartbeat{seeds[(membership.round + offset) % seeds.size()], full});
  }

  ++membership.round;
}

/// Sends a new configuration at once to peers with an older one, so that an accepted change does
/// not wait for the regular rounds.
void BroadcastConfiguration(State& state, Effects& effects) {
  const int64_t revision = state.configuration.current.revision;
  if (revision == state.membership.broadcast_revision) return;

  state.membership.broadcast_revision = revision;
  const Heartbeat heartbeat = MakeHeartbeat(state);
  size_t remote = 0;

  for (const auto& [entry, peer] : state.membership.peers) {
    if (!peer.alive || peer.known.configuration_revision >= revision) continue;
    if (!IsLocal(state, peer) && ++remote > kLocalFanOut) continue;

    SendTo(state, peer, heartbeat, effects);
  }
}

void OnTick(State& state, Effects& effects) {
  MarkDeadPeers(state, effects);
  BroadcastConfiguration(state, effects);

  if (state.now < state.membership.next_heartbeat) return;

  state.membership.next_heartbeat = state.now + state.settings.heartbeat_interval;
  SendRound(state, effects);
}

void Handle(State& state, const Event& event, Effects& effects) {
  std::visit(Overloaded{
                 [&](const HeartbeatReceived& received) {
                   OnHeartbeat(state, received.heartbeat, effects);
                 },
                 [&](const Tick&) { OnTick(state, effects); },
                 [](const auto&) {},
             },
             event.body);
}

nlohmann::json DumpMembership(const State& state) {
  nlohmann::json peers = nlohmann::json::object();

  for (const auto& [entry, peer] : state.membership.peers) {
    nlohmann::json racks = nlohmann::json::object();
    for (const RackClaim& claim : peer.racks) racks[claim.rack.Text()] = claim.epoch;

    peers[entry.Text()] = {{"data_centre", peer.known.data_centre.Text()},
                           {"alive", peer.alive},
                           {"leaving", peer.known.leaving},
                           {"silent_for_ms", (state.now - peer.last_heard_at).Count()},
                           {"configuration_revision", peer.known.configuration_revision},
                           {"operator_host", peer.known.operator_address.host},
                           {"operator_port", peer.known.operator_address.port},
                           {"racks", racks}};
  }

  return {{"peers", peers}};
}

}  // namespace

KnownEntry DescribeSelf(const State& state) {
  const EntryIdentity& identity = state.settings.identity;

  return KnownEntry{.entry = identity.entry,
                    .incarnation = identity.incarnation,
                    .data_centre = identity.data_centre,
                    .peer_address = identity.peer_address,
                    .operator_address = identity.operator_address,
                    .configuration_revision = state.configuration.current.revision,
                    .leaving = state.shutdown.requested};
}

std::vector<EntryId> LiveEntries(const State& state) {
  std::vector<EntryId> live;
  if (!state.shutdown.requested) live.push_back(state.settings.identity.entry);

  for (const auto& [entry, peer] : state.membership.peers) {
    if (peer.alive && IsLocal(state, peer) && !peer.known.leaving) live.push_back(entry);
  }

  std::ranges::sort(live);
  return live;
}

const Feature kMembershipFeature = {.name = "membership", .handle = Handle, .dump = DumpMembership};

}  // namespace currantpost
