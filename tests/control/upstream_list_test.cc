#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "currantpost/control/reducer.h"

namespace currantpost {
namespace {

const DataCentreId kLocal("dc0");
const DataCentreId kRemote("dc1");

VmRecord Vm(const std::string& name, const DataCentreId& data_centre, Incarnation incarnation = 1,
            VmState state = VmState::kLive) {
  return VmRecord{VmId(name),
                  incarnation,
                  data_centre,
                  RackId("rack"),
                  state,
                  Resources{4'000, 4'096, 0},
                  Address{"10.0.0.1", 7'000},
                  Address{"10.0.0.1", 8'000}};
}

/// Drives the reducer of one entry that reads lists of VMs, and keeps its last routing snapshot.
class VmListReader {
 public:
  VmListReader() : state_(SettingsOfEntry()) {}

  void ReadVmList(std::vector<VmRecord> vms) { HandleEvent(VmListRead{std::move(vms)}); }

  void ReceiveHeartbeat(const LeavingUpstream& leaving_upstream) {
    Heartbeat heartbeat;
    heartbeat.sender.entry = EntryId("e01");
    heartbeat.leaving_upstreams = {leaving_upstream};
    HandleEvent(HeartbeatReceived{heartbeat});
  }

  /// Returns the routed upstream of the VM with this name, or null.
  const RoutedUpstream* FindRouted(const std::string& name) const {
    const auto found = std::ranges::find(routing_->upstreams, VmId(name), &RoutedUpstream::vm);
    return found == routing_->upstreams.end() ? nullptr : &*found;
  }

  const State& CurrentState() const { return state_; }

 private:
  static ControlSettings SettingsOfEntry() {
    ControlSettings settings;
    settings.identity.entry = EntryId("e00");
    settings.identity.data_centre = kLocal;
    return settings;
  }

  void HandleEvent(decltype(Event::body) body) {
    now_ = now_ + Millis(100);
    Effects effects;
    Reduce(state_, Event{now_, std::move(body)}, effects);

    for (const Effect& effect : effects) {
      if (const auto* publish = std::get_if<PublishRouting>(&effect)) routing_ = publish->snapshot;
    }
  }

  State state_;
  Millis now_ = Millis(1'000);
  std::shared_ptr<const RoutingSnapshot> routing_ = std::make_shared<RoutingSnapshot>();
};

/// The list of VMs may be stale for the local data centre as well as for remote ones.
class UpstreamList : public testing::TestWithParam<DataCentreId> {};

TEST_P(UpstreamList, AStaleRowDoesNotRestoreAnOlderIncarnation) {
  VmListReader entry;
  entry.ReadVmList({Vm("vm", GetParam(), 2)});
  entry.ReadVmList({Vm("vm", GetParam(), 1)});

  ASSERT_NE(entry.FindRouted("vm"), nullptr);
  EXPECT_EQ(entry.FindRouted("vm")->incarnation, 2U);
}

TEST_P(UpstreamList, AVmThatIsNoLongerListedIsNotRouted) {
  VmListReader entry;
  entry.ReadVmList({Vm("vm", GetParam()), Vm("other", GetParam())});
  entry.ReadVmList({Vm("other", GetParam())});

  EXPECT_EQ(entry.FindRouted("vm"), nullptr);
  EXPECT_NE(entry.FindRouted("other"), nullptr);
}

TEST_P(UpstreamList, ANewIncarnationIsNotLeavingBecauseTheFormerOneWas) {
  VmListReader entry;
  entry.ReadVmList({Vm("vm", GetParam(), 1, VmState::kLeaving)});
  EXPECT_TRUE(entry.FindRouted("vm")->leaving);

  entry.ReadVmList({Vm("vm", GetParam(), 2)});
  EXPECT_FALSE(entry.FindRouted("vm")->leaving);

  entry.ReceiveHeartbeat(LeavingUpstream{VmId("vm"), 1});
  EXPECT_FALSE(entry.CurrentState().upstreams.leaving.contains(LeavingUpstream{VmId("vm"), 1}) &&
               entry.FindRouted("vm")->leaving);

  entry.ReceiveHeartbeat(LeavingUpstream{VmId("vm"), 2});
  EXPECT_TRUE(entry.FindRouted("vm")->leaving);
}

TEST_P(UpstreamList, AnEmptyListAfterAFullOneChangesNothing) {
  VmListReader entry;
  entry.ReadVmList({Vm("vm", GetParam())});
  entry.ReadVmList({});

  EXPECT_NE(entry.FindRouted("vm"), nullptr);
}

INSTANTIATE_TEST_SUITE_P(LocalAndRemote, UpstreamList, testing::Values(kLocal, kRemote),
                         [](const auto& info) { return info.param.Text(); });

TEST(UpstreamShares, EachEntryHasEnoughSlotsWhereEntriesOutnumberSlotsPerUpstream) {
  constexpr int kEntries = 20;
  constexpr int kUpstreams = 56;
  constexpr int32_t kSlots = 8;
  std::vector<VmRecord> list;

  for (int vm = 0; vm < kUpstreams; ++vm) {
    list.push_back(VmRecord{.vm = VmId("vm" + std::to_string(vm)),
                            .incarnation = 1,
                            .data_centre = kLocal,
                            .upstream = Address{"10.0.0.2", 9}});
  }

  std::map<VmId, int32_t> given;

  for (int32_t ordinal = 0; ordinal < kEntries; ++ordinal) {
    ControlSettings settings;
    settings.identity.data_centre = kLocal;
    settings.entry_ordinal = ordinal;
    settings.entries_per_data_centre = kEntries;
    settings.upstream_slots = kSlots;
    State state(settings);
    Effects effects;
    Reduce(state, Event{Millis(1), VmListRead{list}}, effects);

    int32_t own = 0;
    for (const auto& routed : std::get<PublishRouting>(effects.back()).snapshot->upstreams) {
      own += routed.slot_share;
      given[routed.vm] += routed.slot_share;
    }

    EXPECT_GE(own, kUpstreams * kSlots / kEntries / 2) << ordinal;
  }

  for (const auto& [vm, slots] : given) EXPECT_EQ(slots, kSlots) << vm.Text();
}

}  // namespace
}  // namespace currantpost
