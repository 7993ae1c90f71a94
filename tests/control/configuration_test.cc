#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "currantpost/model/codec.h"
#include "fake_world.h"

namespace currantpost {
namespace {

/// Time within which an accepted change must be in force at every entry.
constexpr Millis kPropagationTimeout = Millis(11'000);

const EntryId kFirst("e00");
const EntryId kSecond("e01");
const EntryId kRemote("e10");

SetPreset NewPreset(const std::string& name, int64_t expected_revision = 0) {
  return SetPreset{.preset = Preset{.name = name}, .expected_revision = expected_revision};
}

bool IsAccepted(const CommandRecord& record) { return record.reply && !record.reply->error.code; }

std::error_code CodeOf(const CommandRecord& record) {
  return record.reply ? record.reply->error.code : std::error_code();
}

Configuration StoredConfiguration(FakeWorld& world) {
  return *DecodeConfiguration(world.Kv().Value("config/current").value());
}

TEST(ConfigurationHolds, AnAcceptedPresetIsInForceEverywhereWithinSeconds) {
  FakeWorld world(1, {});
  world.Run(Millis(3'000));

  world.Submit(kFirst, NewPreset("peak"));
  world.Run(Millis(1'000));
  const size_t change = world.Submit(kRemote, SwitchPreset{.name = "peak"});
  world.Run(kPropagationTimeout);

  ASSERT_TRUE(IsAccepted(world.Commands()[change]));

  for (const EntryId& entry : world.Entries()) {
    EXPECT_EQ(world.StateOf(entry).configuration.current.in_force, "peak") << entry.Text();
    ASSERT_NE(world.Routing(entry), nullptr);
    EXPECT_EQ(world.Routing(entry)->preset.name, "peak") << entry.Text();
  }
}

TEST(ConfigurationHolds, AnEntryCutOffFromThePlatformLearnsFromPeers) {
  FakeWorld world(2, {});
  world.Run(Millis(3'000));
  world.CutLink("dc1", "kv");
  world.CutLink("kv", "dc1");

  world.Submit(kFirst, NewPreset("peak"));
  world.Run(kPropagationTimeout);

  EXPECT_TRUE(world.StateOf(kRemote).configuration.current.presets.contains("peak"));
}

TEST(ConfigurationHolds, ARestartedEntryLearnsFromPeersWhileThePlatformIsDown) {
  FakeWorld world(3, {});
  world.Run(Millis(3'000));
  world.Submit(kFirst, NewPreset("peak"));
  world.Run(Millis(2'000));

  world.SetKvDown(true);
  world.Kill(kSecond);
  world.Start(kSecond);
  world.Run(kPropagationTimeout);

  EXPECT_TRUE(world.StateOf(kSecond).configuration.current.presets.contains("peak"));
  // The entry also gets the list of VMs from its peers, so it can serve requests.
  ASSERT_NE(world.Routing(kSecond), nullptr);
  EXPECT_FALSE(world.Routing(kSecond)->upstreams.empty());
}

TEST(ConfigurationHolds, TheLoserOfARaceGetsATypedConflict) {
  FakeWorld world(4, {});
  world.Run(Millis(3'000));
  world.Submit(kFirst, NewPreset("ordinary"));
  world.Run(Millis(2'000));
  const int64_t seen = StoredConfiguration(world).revision;

  const size_t one = world.Submit(kFirst, NewPreset("peak", seen));
  const size_t other = world.Submit(kRemote, NewPreset("night", seen));
  world.Run(Millis(2'000));

  EXPECT_NE(IsAccepted(world.Commands()[one]), IsAccepted(world.Commands()[other]));

  const size_t loser = IsAccepted(world.Commands()[one]) ? other : one;
  EXPECT_EQ(CodeOf(world.Commands()[loser]), ErrorCode::kConflict);
  EXPECT_NE(world.Commands()[loser].reply->body.find(std::to_string(seen + 1)), std::string::npos);
}

TEST(ConfigurationHolds, AChangeWhileThePlatformIsDownIsNotAccepted) {
  FakeWorld world(5, {});
  world.Run(Millis(3'000));
  world.SetKvDown(true);

  const size_t change = world.Submit(kFirst, NewPreset("peak"));
  world.Run(Millis(12'000));

  EXPECT_EQ(CodeOf(world.Commands()[change]), ErrorCode::kUnavailable);
}

TEST(ConfigurationHolds, AnUnknownPresetIsRefused) {
  FakeWorld world(6, {});
  world.Run(Millis(3'000));

  const size_t change = world.Submit(kFirst, SwitchPreset{.name = "nowhere"});
  world.Run(Millis(2'000));

  EXPECT_EQ(CodeOf(world.Commands()[change]), ErrorCode::kNotFound);
}

/// Injects one fault of a random history. `kind` is 0 to 7.
void InjectFault(FakeWorld& world, int kind, const EntryId& entry) {
  switch (kind) {
    case 0:
      world.Kill(entry);
      world.Start(entry);
      return;
    case 1:
      world.Pause(entry);
      return;
    case 2:
      world.CutLink(entry.Text(), "kv");
      return;
    case 3:
      world.CutLink("kv", entry.Text());
      return;
    case 4:
      world.CutLink("dc0", "dc1");
      return;
    case 5:
      world.SetKvDown(true);
      return;
    case 6:
      world.SetKvDown(false);
      return;
    default:
      world.RestoreLinks();
  }
}

RC_GTEST_PROP(ConfigurationHolds, AcceptedChangesAreNeverLostOrReverted, ()) {
  FakeWorld world(*rc::gen::arbitrary<uint32_t>(), {});
  world.SetFaults({.loss_probability = 0.1,
                   .duplicate_probability = 0.1,
                   .delay_probability = 0.1,
                   .max_long_delay = Millis(6'000)});
  world.Run(Millis(3'000));

  const std::vector<EntryId> entries = world.Entries();
  const int steps = *rc::gen::inRange(4, 16);

  for (int step = 0; step < steps; ++step) {
    const EntryId entry = *rc::gen::elementOf(entries);

    if (*rc::gen::inRange(0, 2) == 0) {
      world.Submit(entry, NewPreset("p" + std::to_string(step)));
    } else {
      InjectFault(world, *rc::gen::inRange(0, 8), entry);
    }

    world.Run(Millis(*rc::gen::inRange(10, 4'000)));
  }

  // Long enough for messages still in flight and for the last replies.
  world.EndAllFaults();
  world.Run(Millis(20'000) + kPropagationTimeout);

  RC_ASSERT(world.Violations().empty());

  for (const CommandRecord& record : world.Commands()) {
    const std::string& name = std::get<SetPreset>(record.body).preset.name;
    const bool refused =
        CodeOf(record) == ErrorCode::kUnavailable || CodeOf(record) == ErrorCode::kConflict;

    for (const EntryId& entry : entries) {
      const bool has = world.StateOf(entry).configuration.current.presets.contains(name);
      RC_ASSERT(has || !IsAccepted(record));
      RC_ASSERT(!has || !refused);
    }
  }
}

}  // namespace
}  // namespace currantpost
