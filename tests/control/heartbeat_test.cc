#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "currantpost/control/reducer.h"

namespace currantpost {
namespace {

const DataCentreId kLocal("dc0");
const DataCentreId kRemote("dc1");
constexpr Millis kTick = Millis(100);

/// Drives the reducer of one entry and records the heartbeats that it sends.
class HeartbeatSender {
 public:
  HeartbeatSender() : state_(SettingsOfEntry()) {}

  void ReceiveHeartbeat(int peer, const DataCentreId& data_centre) {
    Heartbeat heartbeat;
    heartbeat.sender.entry = EntryId("e" + std::to_string(peer));
    heartbeat.sender.data_centre = data_centre;
    heartbeat.sender.peer_address = AddressOf(peer);
    HandleEvent(HeartbeatReceived{heartbeat});
  }

  void ReportLeaving(int upstream) {
    const VmId vm("vm" + std::to_string(upstream));
    HandleEvent(TrafficReported{
        .upstreams = {UpstreamObservation{.vm = vm, .incarnation = 1, .said_leaving = true}}});
  }

  /// Advances the time by one tick and handles it.
  void Tick() {
    now_ = now_ + kTick;
    HandleEvent(currantpost::Tick{});
  }

  /// Returns the leaving upstreams that were sent to one peer.
  std::set<VmId> LeavingUpstreamsSentTo(int peer) const {
    std::set<VmId> reported;

    for (const SendHeartbeat& send : sent_) {
      if (send.peer != AddressOf(peer)) continue;
      for (const LeavingUpstream& upstream : send.heartbeat.leaving_upstreams)
        reported.insert(upstream.vm);
    }

    return reported;
  }

  std::vector<SendHeartbeat> TakeSent() { return std::exchange(sent_, {}); }
  int64_t SilentPeersLogged() const { return silent_peers_logged_; }
  size_t CountAlive() const {
    return static_cast<size_t>(std::ranges::count_if(
        state_.membership.peers,
        [](const auto& entry_and_peer) { return entry_and_peer.second.alive; }));
  }

 private:
  static Address AddressOf(int peer) { return Address{"10.0.0.1", 1'000 + peer}; }

  static ControlSettings SettingsOfEntry() {
    ControlSettings settings;
    settings.identity.entry = EntryId("self");
    settings.identity.data_centre = kLocal;
    return settings;
  }

  void HandleEvent(decltype(Event::body) body) {
    Effects effects;
    Reduce(state_, Event{now_, std::move(body)}, effects);

    for (const Effect& effect : effects) {
      if (const auto* send = std::get_if<SendHeartbeat>(&effect)) sent_.push_back(*send);

      const auto* line = std::get_if<LogLine>(&effect);
      if (line != nullptr && line->message == "peer is silent") ++silent_peers_logged_;
    }
  }

  State state_;
  Millis now_ = Millis(1'000);
  std::vector<SendHeartbeat> sent_;
  int64_t silent_peers_logged_ = 0;
};

TEST(LeavingUpstreamPropagation, EachOfManyLeavingUpstreamsReachesEachPeerWithinSeconds) {
  constexpr int kUpstreams = 560;
  constexpr int kPeers = 19;
  constexpr int kTicks = 150;
  HeartbeatSender entry;
  for (int peer = 0; peer < kPeers; ++peer) entry.ReceiveHeartbeat(peer, kLocal);
  for (int upstream = 0; upstream < kUpstreams; ++upstream) entry.ReportLeaving(upstream);

  std::set<VmId> reported;
  for (int tick = 0; tick < kTicks; ++tick) {
    for (int peer = 0; peer < kPeers; ++peer) entry.ReceiveHeartbeat(peer, kLocal);
    entry.Tick();
  }

  // Peers forward what they receive, so it is enough that all of them together know all upstreams.
  for (int peer = 0; peer < kPeers; ++peer) {
    reported.merge(entry.LeavingUpstreamsSentTo(peer));
    EXPECT_GE(entry.LeavingUpstreamsSentTo(peer).size(), 300U) << peer;
  }
  EXPECT_EQ(reported.size(), kUpstreams);
}

TEST(LeavingUpstreamPropagation, OlderLeavingUpstreamsAreFewPerHeartbeatAndReachNewPeers) {
  constexpr int kUpstreams = 150;
  constexpr size_t kMaxPerHeartbeat = 4;
  HeartbeatSender entry;
  for (int upstream = 0; upstream < kUpstreams; ++upstream) entry.ReportLeaving(upstream);
  for (int tick = 0; tick < 200; ++tick) entry.Tick();

  entry.ReceiveHeartbeat(1, kLocal);
  for (int tick = 0; tick < 1'000; ++tick) {
    entry.ReceiveHeartbeat(1, kLocal);
    entry.Tick();
  }

  EXPECT_GE(entry.LeavingUpstreamsSentTo(1).size(), kUpstreams * 9 / 10);
  for (const SendHeartbeat& send : entry.TakeSent()) {
    EXPECT_LE(send.heartbeat.leaving_upstreams.size(), kMaxPerHeartbeat);
  }
}

TEST(RemotePeers, AreNotMarkedDeadBetweenTheirHeartbeats) {
  constexpr int kPeers = 48;
  HeartbeatSender entry;
  for (int peer = 0; peer < kPeers; ++peer) entry.ReceiveHeartbeat(peer, kRemote);

  // One peer sends a heartbeat every other round of 500 ms, that is every 10 ticks, in rotation.
  for (int tick = 0; tick < 2 * kPeers * 10; ++tick) {
    if (tick % 10 == 0) entry.ReceiveHeartbeat(tick / 10 % kPeers, kRemote);
    entry.Tick();
  }

  EXPECT_EQ(entry.SilentPeersLogged(), 0);
  EXPECT_EQ(entry.CountAlive(), kPeers);

  // Peers that stop sending heartbeats for good are marked dead.
  for (int tick = 0; tick < 3 * kPeers * 10; ++tick) entry.Tick();
  EXPECT_EQ(entry.CountAlive(), 0U);
}

}  // namespace
}  // namespace currantpost
