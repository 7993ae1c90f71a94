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

const DataCentreId kOwn("dc0");
const DataCentreId kForeign("dc1");

VmRecord Vm(const std::string& name, const DataCentreId& data_centre, Incarnation life = 1,
            VmState state = VmState::kLive) {
  return VmRecord{VmId(name),
                  life,
                  data_centre,
                  RackId("rack"),
                  state,
                  Resources{4'000, 4'096, 0},
                  Address{"10.0.0.1", 7'000},
                  Address{"10.0.0.1", 8'000}};
}

/// One entry that reads lists of VMs, and the upstreams that its traffic threads were last given.
class ReadingEntry {
 public:
  ReadingEntry() : state_(SettingsOfEntry()) {}

  void Read(std::vector<VmRecord> vms) { Take(VmListRead{std::move(vms)}); }

  void Hear(const LeavingUpstream& life) {
    Heartbeat heartbeat;
    heartbeat.sender.entry = EntryId("e01");
    heartbeat.leaving_upstreams = {life};
    Take(HeartbeatReceived{heartbeat});
  }

  /// Returns the routed upstream of a name, or null.
  const RoutedUpstream* Routed(const std::string& name) const {
    const auto found = std::ranges::find(routing_->upstreams, VmId(name), &RoutedUpstream::vm);
    return found == routing_->upstreams.end() ? nullptr : &*found;
  }

  const State& Entry() const { return state_; }

 private:
  static ControlSettings SettingsOfEntry() {
    ControlSettings settings;
    settings.identity.entry = EntryId("e00");
    settings.identity.data_centre = kOwn;
    return settings;
  }

  void Take(decltype(Event::body) body) {
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

/// The list lags in all data centres alike.
class UpstreamList : public testing::TestWithParam<DataCentreId> {};

TEST_P(UpstreamList, AStaleRowDoesNotBringAnOlderLifeBack) {
  ReadingEntry entry;
  entry.Read({Vm("vm", GetParam(), 2)});
  entry.Read({Vm("vm", GetParam(), 1)});

  ASSERT_NE(entry.Routed("vm"), nullptr);
  EXPECT_EQ(entry.Routed("vm")->incarnation, 2U);
}

TEST_P(UpstreamList, AVmThatIsNoLongerListedIsNotRouted) {
  ReadingEntry entry;
  entry.Read({Vm("vm", GetParam()), Vm("other", GetParam())});
  entry.Read({Vm("other", GetParam())});

  EXPECT_EQ(entry.Routed("vm"), nullptr);
  EXPECT_NE(entry.Routed("other"), nullptr);
}

TEST_P(UpstreamList, ANewLifeIsNotLeavingBecauseThePastOneWas) {
  ReadingEntry entry;
  entry.Read({Vm("vm", GetParam(), 1, VmState::kLeaving)});
  EXPECT_TRUE(entry.Routed("vm")->leaving);

  entry.Read({Vm("vm", GetParam(), 2)});
  EXPECT_FALSE(entry.Routed("vm")->leaving);

  entry.Hear(LeavingUpstream{VmId("vm"), 1});
  EXPECT_FALSE(entry.Entry().upstreams.leaving.contains(LeavingUpstream{VmId("vm"), 1}) &&
               entry.Routed("vm")->leaving);

  entry.Hear(LeavingUpstream{VmId("vm"), 2});
  EXPECT_TRUE(entry.Routed("vm")->leaving);
}

TEST_P(UpstreamList, AnEmptyListAfterAFullOneChangesNothing) {
  ReadingEntry entry;
  entry.Read({Vm("vm", GetParam())});
  entry.Read({});

  EXPECT_NE(entry.Routed("vm"), nullptr);
}

INSTANTIATE_TEST_SUITE_P(OwnAndForeign, UpstreamList, testing::Values(kOwn, kForeign),
                         [](const auto& named) { return named.param.Text(); });

TEST(UpstreamShares, EachEntryHasAShareSomewhereWhereEntriesOutnumberSlots) {
  constexpr int kEntries = 20;
  constexpr int kUpstreams = 56;
  constexpr int32_t kSlots = 8;
  std::vector<VmRecord> list;

  for (int vm = 0; vm < kUpstreams; ++vm) {
    list.push_back(VmRecord{.vm = VmId("vm" + std::to_string(vm)),
                            .incarnation = 1,
                            .data_centre = kOwn,
                            .upstream = Address{"10.0.0.2", 9}});
  }

  std::map<VmId, int32_t> given;

  for (int32_t ordinal = 0; ordinal < kEntries; ++ordinal) {
    ControlSettings settings;
    settings.identity.data_centre = kOwn;
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
