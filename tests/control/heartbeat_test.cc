#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "currantpost/control/reducer.h"

namespace currantpost {
namespace {

const DataCentreId kOwn("dc0");
const DataCentreId kForeign("dc1");
constexpr Millis kTick = Millis(100);

/// One entry among silent peers, and the heartbeats that it sends.
class SendingEntry {
 public:
  SendingEntry() : state_(SettingsOfEntry()) {}

  void Hear(int peer, const DataCentreId& data_centre) {
    Heartbeat heartbeat;
    heartbeat.sender.entry = EntryId("e" + std::to_string(peer));
    heartbeat.sender.data_centre = data_centre;
    heartbeat.sender.peer_address = AddressOf(peer);
    Take(HeartbeatReceived{heartbeat});
  }

  void SeesLeaving(int upstream) {
    const VmId vm("vm" + std::to_string(upstream));
    Take(TrafficReported{
        .upstreams = {UpstreamObservation{.vm = vm, .incarnation = 1, .said_leaving = true}}});
  }

  /// Lets a tick pass.
  void Tick() {
    now_ = now_ + kTick;
    Take(currantpost::Tick{});
  }

  /// Returns the upstreams that one peer was told of.
  std::set<VmId> ToldTo(int peer) const {
    std::set<VmId> told;

    for (const SendHeartbeat& send : sent_) {
      if (send.peer != AddressOf(peer)) continue;
      for (const LeavingUpstream& life : send.heartbeat.leaving_upstreams) told.insert(life.vm);
    }

    return told;
  }

  std::vector<SendHeartbeat> TakeSent() { return std::exchange(sent_, {}); }
  int64_t SilencesLogged() const { return silences_; }
  size_t Alive() const {
    return static_cast<size_t>(std::ranges::count_if(
        state_.membership.peers, [](const auto& named) { return named.second.alive; }));
  }

 private:
  static Address AddressOf(int peer) { return Address{"10.0.0.1", 1'000 + peer}; }

  static ControlSettings SettingsOfEntry() {
    ControlSettings settings;
    settings.identity.entry = EntryId("self");
    settings.identity.data_centre = kOwn;
    return settings;
  }

  void Take(decltype(Event::body) body) {
    Effects effects;
    Reduce(state_, Event{now_, std::move(body)}, effects);

    for (const Effect& effect : effects) {
      if (const auto* send = std::get_if<SendHeartbeat>(&effect)) sent_.push_back(*send);

      const auto* line = std::get_if<LogLine>(&effect);
      if (line != nullptr && line->sentence == "peer is silent") ++silences_;
    }
  }

  State state_;
  Millis now_ = Millis(1'000);
  std::vector<SendHeartbeat> sent_;
  int64_t silences_ = 0;
};

TEST(LeavingNews, EachOfManyLeavingUpstreamsReachesEachPeerWithinSeconds) {
  constexpr int kUpstreams = 560;
  constexpr int kPeers = 19;
  constexpr int kTicks = 150;
  SendingEntry entry;
  for (int peer = 0; peer < kPeers; ++peer) entry.Hear(peer, kOwn);
  for (int upstream = 0; upstream < kUpstreams; ++upstream) entry.SeesLeaving(upstream);

  std::set<VmId> told;
  for (int tick = 0; tick < kTicks; ++tick) {
    for (int peer = 0; peer < kPeers; ++peer) entry.Hear(peer, kOwn);
    entry.Tick();
  }

  // Each peer passes on what it heard, so that together they know all.
  for (int peer = 0; peer < kPeers; ++peer) {
    told.merge(entry.ToldTo(peer));
    EXPECT_GE(entry.ToldTo(peer).size(), 300U) << peer;
  }
  EXPECT_EQ(told.size(), kUpstreams);
}

TEST(LeavingNews, OldNewsTakesLittleRoomAndIsStillToldToNewPeers) {
  constexpr int kUpstreams = 150;
  constexpr size_t kMostEach = 4;
  SendingEntry entry;
  for (int upstream = 0; upstream < kUpstreams; ++upstream) entry.SeesLeaving(upstream);
  for (int tick = 0; tick < 200; ++tick) entry.Tick();

  entry.Hear(1, kOwn);
  for (int tick = 0; tick < 1'000; ++tick) {
    entry.Hear(1, kOwn);
    entry.Tick();
  }

  EXPECT_GE(entry.ToldTo(1).size(), kUpstreams * 9 / 10);
  for (const SendHeartbeat& send : entry.TakeSent()) {
    EXPECT_LE(send.heartbeat.leaving_upstreams.size(), kMostEach);
  }
}

TEST(DistantPeers, AreNotTakenForDeadBetweenTheirTurns) {
  constexpr int kPeers = 48;
  SendingEntry entry;
  for (int peer = 0; peer < kPeers; ++peer) entry.Hear(peer, kForeign);

  // Each speaks once in its turn: one peer every other round of half a second.
  for (int tick = 0; tick < 2 * kPeers * 10; ++tick) {
    if (tick % 10 == 0) entry.Hear(tick / 10 % kPeers, kForeign);
    entry.Tick();
  }

  EXPECT_EQ(entry.SilencesLogged(), 0);
  EXPECT_EQ(entry.Alive(), kPeers);

  // One that is gone for good is noticed in the end.
  for (int tick = 0; tick < 3 * kPeers * 10; ++tick) entry.Tick();
  EXPECT_EQ(entry.Alive(), 0U);
}

}  // namespace
}  // namespace currantpost
