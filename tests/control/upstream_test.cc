#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

#include "fake_world.h"

namespace currantpost {
namespace {

/// Time within which every entry must stop sending requests to a leaving upstream.
constexpr Millis kLeaveTimeout = Millis(5'000);

const EntryId kFirst("e00");
const EntryId kSecond("e01");
const VmId kVm("vm00");

/// Returns an upstream from an entry's routing snapshot, or null.
const RoutedUpstream* Find(const FakeWorld& world, const EntryId& entry, const VmId& vm) {
  const auto routing = world.Routing(entry);
  if (!routing) return nullptr;

  const auto found = std::ranges::find(routing->upstreams, vm, &RoutedUpstream::vm);
  return found == routing->upstreams.end() ? nullptr : &*found;
}

bool IsAvoidedByAll(const FakeWorld& world, const VmId& vm) {
  return std::ranges::all_of(world.Entries(), [&](const EntryId& entry) {
    const RoutedUpstream* upstream = Find(world, entry, vm);
    return upstream == nullptr || upstream->leaving;
  });
}

TrafficReported LeavingReport(const VmId& vm) {
  return TrafficReported{
      .upstreams = {UpstreamObservation{.vm = vm, .incarnation = 1, .said_leaving = true}}};
}

TrafficReported FailureReport(const VmId& vm) {
  return TrafficReported{
      .upstreams = {UpstreamObservation{.vm = vm, .incarnation = 1, .failed = 3}}};
}

TEST(LeavingUpstream, AllEntriesAvoidAVmThatTheListMarksLeaving) {
  FakeWorld world(1, {});
  world.Run(Millis(4'000));
  world.SetVmState(kVm, VmState::kLeaving);
  world.Run(kLeaveTimeout);

  EXPECT_TRUE(IsAvoidedByAll(world, kVm));
}

TEST(LeavingUpstream, AReportToOneEntryReachesAllWhileThePlatformIsDown) {
  FakeWorld world(2, {});
  world.Run(Millis(4'000));
  world.SetKvDown(true);
  world.Report(kFirst, LeavingReport(kVm));
  world.Run(kLeaveTimeout);

  EXPECT_TRUE(IsAvoidedByAll(world, kVm));
}

TEST(LeavingUpstream, AStaleListDoesNotRevertIt) {
  FakeWorld world(3, {});
  world.Run(Millis(4'000));
  world.FreezeList(true);
  world.Report(kFirst, LeavingReport(kVm));
  world.Run(kLeaveTimeout);
  ASSERT_TRUE(IsAvoidedByAll(world, kVm));

  // A restarted entry reads the stale list and gets the leaving upstream from its peers.
  world.Kill(kSecond);
  world.Start(kSecond);
  world.Run(kLeaveTimeout);

  EXPECT_TRUE(IsAvoidedByAll(world, kVm));
}

TEST(LeavingUpstream, ANewIncarnationOfTheSameVmIsUsed) {
  FakeWorld world(4, {});
  world.Run(Millis(4'000));
  world.Report(kFirst, LeavingReport(kVm));
  world.Run(kLeaveTimeout);

  world.ReplaceWorker(kVm);
  world.Run(kLeaveTimeout);

  const RoutedUpstream* upstream = Find(world, kFirst, kVm);
  ASSERT_NE(upstream, nullptr);
  EXPECT_EQ(upstream->incarnation, 2U);
  EXPECT_FALSE(upstream->leaving);
}

TEST(Ejection, NeverExceedsTheLimitOfTheDataCentre) {
  FakeWorld world(5, {});
  world.Run(Millis(4'000));

  for (int round = 0; round < 5; ++round) {
    for (const auto& [vm, worker] : world.Workers()) world.Report(kFirst, FailureReport(vm));
  }

  world.Run(Millis(200));
  const auto routing = world.Routing(kFirst);
  const auto ejected = std::ranges::count_if(routing->upstreams, &RoutedUpstream::ejected);

  // At most 34 percent of the four upstreams in the data centre may be ejected.
  EXPECT_EQ(ejected, 1);
}

TEST(Ejection, EndsByItself) {
  FakeWorld world(6, {});
  world.Run(Millis(4'000));
  for (int round = 0; round < 5; ++round) world.Report(kFirst, FailureReport(kVm));
  world.Run(Millis(200));
  ASSERT_TRUE(Find(world, kFirst, kVm)->ejected);

  world.Run(Millis(2'000));
  EXPECT_FALSE(Find(world, kFirst, kVm)->ejected);
}

TEST(Readiness, WaitsForAListThatHoldsAnUpstream) {
  State state{ControlSettings{}};
  Effects effects;

  Reduce(state, Event{Millis(1), VmListRead{}}, effects);
  Reduce(state, Event{Millis(2), Tick{}}, effects);

  EXPECT_TRUE(std::ranges::none_of(
      effects, [](const Effect& effect) { return std::holds_alternative<SetReadiness>(effect); }));
}

TEST(Readiness, AnEmptyListDoesNotRemoveTheUpstreams) {
  FakeWorld world(7, {});
  world.Run(Millis(4'000));
  State state = State(world.StateOf(kFirst).settings);
  Effects effects;
  const VmRecord vm{.vm = kVm, .incarnation = 1, .upstream = {"127.0.0.1", 9}};

  Reduce(state, Event{Millis(1), VmListRead{{vm}}}, effects);
  Reduce(state, Event{Millis(2), VmListRead{}}, effects);

  EXPECT_EQ(state.upstreams.upstreams.size(), 1U);
}

RC_GTEST_PROP(UpstreamLimits, SharesOfAllEntriesNeverExceedTheLimit, ()) {
  const auto entries = *rc::gen::inRange(1, 9);
  const auto slots = *rc::gen::inRange(entries, 64);
  const auto connections = *rc::gen::inRange(entries, 200);
  const VmRecord vm{.vm = kVm,
                    .incarnation = 1,
                    .data_centre = DataCentreId("dc0"),
                    .upstream = {"127.0.0.1", 9}};
  int32_t slot_sum = 0;
  int32_t connection_sum = 0;

  for (int32_t ordinal = 0; ordinal < entries; ++ordinal) {
    ControlSettings settings;
    settings.identity.data_centre = vm.data_centre;
    settings.entry_ordinal = ordinal;
    settings.entries_per_data_centre = entries;
    settings.upstream_slots = slots;
    settings.upstream_connections = connections;

    State state(settings);
    Effects effects;
    Reduce(state, Event{Millis(1), VmListRead{{vm}}}, effects);

    const auto& routed = std::get<PublishRouting>(effects.back()).snapshot->upstreams.front();
    RC_ASSERT(routed.slot_share >= 1);
    slot_sum += routed.slot_share;
    connection_sum += routed.connection_share;
  }

  RC_ASSERT(slot_sum == slots);
  RC_ASSERT(connection_sum == connections);
}

}  // namespace
}  // namespace currantpost
