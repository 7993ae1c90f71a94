#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fake_world.h"

namespace currantpost {
namespace {

const EntryId kFirst("e00");
const EntryId kSecond("e01");
/// Upstreams of the first data centre, which has one more.
const std::vector<VmId> kLeft = {VmId("vm00"), VmId("vm01"), VmId("vm02")};
const std::set<std::string> kNone;
constexpr Millis kStep = Millis(1);
constexpr Millis kSettled = Millis(3'990);
constexpr Millis kWatched = Millis(5'000);
/// Longer than a leaving upstream is in each heartbeat.
constexpr Millis kLongAgo = Millis(20'000);

TrafficReported LeavingReport(const VmId& vm) {
  return TrafficReported{
      .upstreams = {UpstreamObservation{.vm = vm, .incarnation = 1, .said_leaving = true}}};
}

bool Offers(const FakeWorld& world, const EntryId& entry, const VmId& vm) {
  const std::shared_ptr<const RoutingSnapshot> routing = world.Routing(entry);
  if (!routing) return false;

  const auto found = std::ranges::find(routing->upstreams, vm, &RoutedUpstream::vm);
  return found != routing->upstreams.end() && !found->leaving;
}

bool OffersAny(const FakeWorld& world, const EntryId& entry) {
  const std::shared_ptr<const RoutingSnapshot> routing = world.Routing(entry);
  return routing && std::ranges::any_of(routing->upstreams,
                                        [](const auto& upstream) { return !upstream.leaving; });
}

/// Returns the upstreams of `kLeft` that an entry offered at any moment of this span.
std::set<std::string> OfferedWithin(FakeWorld& world, const EntryId& entry, Millis span) {
  std::set<std::string> offered;

  for (Millis passed; passed < span; passed = passed + kStep) {
    world.Run(kStep);

    for (const VmId& vm : kLeft) {
      if (Offers(world, entry, vm)) offered.insert(vm.Text());
    }
  }

  return offered;
}

/// Returns how long it takes until an entry offers an upstream.
Millis TimeUntilOffers(FakeWorld& world, const EntryId& entry, Millis longest) {
  Millis passed;
  while (passed < longest && !OffersAny(world, entry)) {
    world.Run(kStep);
    passed = passed + kStep;
  }

  return passed;
}

/// The list of VMs says live throughout, and is read just after an entry started.
class StartedEntry : public testing::Test {
 protected:
  StartedEntry() {
    world_.Run(kSettled);
    for (const VmId& vm : kLeft) world_.Report(kFirst, LeavingReport(vm));
  }

  void StartAgain(const EntryId& entry) {
    world_.Kill(entry);
    world_.Start(entry);
  }

  FakeWorld world_{11, {}};
};

TEST_F(StartedEntry, DoesNotUseUpstreamsThatSaidTheyLeave) {
  world_.Run(kWatched);
  StartAgain(kSecond);

  EXPECT_EQ(OfferedWithin(world_, kSecond, kWatched), kNone);
  EXPECT_TRUE(OffersAny(world_, kSecond));
}

TEST_F(StartedEntry, DoesNotUseUpstreamsThatSaidSoLongAgo) {
  world_.Run(kLongAgo);
  StartAgain(kSecond);

  EXPECT_EQ(OfferedWithin(world_, kSecond, kWatched), kNone);
  EXPECT_TRUE(OffersAny(world_, kSecond));
}

TEST_F(StartedEntry, LearnsFromTheOtherDataCentreIfItsOwnStartsWithIt) {
  world_.Run(kLongAgo);
  for (const char* entry : {"e00", "e01", "e02"}) StartAgain(EntryId(entry));

  EXPECT_EQ(OfferedWithin(world_, kSecond, kWatched), kNone);
  EXPECT_TRUE(OffersAny(world_, kSecond));
}

TEST_F(StartedEntry, LearnsFromAPeerThatIsReachedLate) {
  world_.Run(kLongAgo);
  world_.SetFaults({.loss_probability = 0.7});
  StartAgain(kSecond);

  EXPECT_EQ(OfferedWithin(world_, kSecond, Millis(1'500)), kNone);
}

TEST_F(StartedEntry, ServesWithoutItsPeersOnceTheyCountAsDead) {
  const Millis timeout = world_.StateOf(kSecond).settings.peer_timeout;
  for (const EntryId& peer : world_.Entries()) world_.CutLink(peer.Text(), kSecond.Text());
  StartAgain(kSecond);

  const Millis waited = TimeUntilOffers(world_, kSecond, timeout * 2);
  EXPECT_GE(waited, timeout);
  EXPECT_LE(waited, timeout + Millis(200));
}

TEST_F(StartedEntry, ThatServedWithoutItsPeersLearnsFromThemLater) {
  world_.Run(kLongAgo);
  for (const EntryId& peer : world_.Entries()) world_.CutLink(peer.Text(), kSecond.Text());
  StartAgain(kSecond);
  world_.Run(kWatched);
  ASSERT_TRUE(Offers(world_, kSecond, kLeft.front()));
  EXPECT_FALSE(world_.StateOf(kSecond).upstreams.leaving_known);

  world_.RestoreLinks();
  world_.Run(Millis(1'000));
  EXPECT_TRUE(world_.StateOf(kSecond).upstreams.leaving_known);
  EXPECT_EQ(OfferedWithin(world_, kSecond, kWatched), kNone);
}

TEST(StartedEntries, ThatStartTogetherDoNotWaitForEachOther) {
  FakeWorld world(12, {});
  const Millis interval = world.StateOf(kFirst).settings.heartbeat_interval;

  EXPECT_LE(TimeUntilOffers(world, kFirst, kWatched), interval);
}

TEST(StartedEntries, ThatWaitForAThirdDoNotAnswerEachOtherWithoutEnd) {
  FakeWorld world(13, {.data_centres = 1});
  world.Kill(EntryId("e02"));
  world.Run(Millis(1'900));

  // In each of four rounds, both send to the other and to the third, and reply once.
  EXPECT_LE(world.Heartbeats(), 4 * 2 * 3);
}

}  // namespace
}  // namespace currantpost
