#include <xxhash.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "currantpost/model/codec.h"
#include "feature.h"

/// Keeps the list of upstreams, those that leave or are ejected, and publishes the routing
/// snapshot.

namespace currantpost {
namespace {

/// Bad reports in a row after which an upstream is ejected.
constexpr int32_t kBadReportsAllowed = 3;
constexpr Millis kFirstEjection = Millis(1'000);
/// Doublings of the ejection time at most.
constexpr int32_t kMostDoublings = 5;
/// How long a leaving life is remembered after the list has dropped it.
constexpr Millis kRememberLeaving = Millis(3'600'000);

bool IsLocal(const State& state, const VmRecord& vm) {
  return vm.data_centre == state.settings.identity.data_centre;
}

LeavingUpstream LifeOf(const VmRecord& vm) { return LeavingUpstream{vm.vm, vm.incarnation}; }

bool IsLeaving(const State& state, const VmRecord& vm) {
  return state.upstreams.leaving.contains(LifeOf(vm));
}

void MarkLeaving(State& state, const LeavingUpstream& life, Effects& effects) {
  const bool inserted = state.upstreams.leaving.emplace(life, state.now).second;
  if (!inserted) return;

  state.upstreams.changed = true;
  // The other entries hear of it at once.
  state.membership.next_heartbeat = state.now;

  Log(effects, Severity::kInfo, Part::kUpstreams, "upstream is leaving",
      {{"vm", life.vm.Text()}, {"incarnation", std::to_string(life.incarnation)}});
}

/// Returns the life of a VM in the list as last read, or nothing if the VM is not in it.
std::optional<Incarnation> ListedLife(const State& state, const VmId& vm) {
  const auto own = state.upstreams.vms.find(vm);
  if (own != state.upstreams.vms.end()) return own->second.incarnation;

  const auto upstream = state.upstreams.upstreams.find(vm);
  if (upstream == state.upstreams.upstreams.end()) return std::nullopt;

  return upstream->second.vm.incarnation;
}

/// Takes in a row for routing; a row of an older life than the known one is stale.
void LearnUpstream(State& state, const VmRecord& vm, Effects& effects) {
  UpstreamRecord& upstream = state.upstreams.upstreams[vm.vm];
  upstream.reading = state.upstreams.readings;
  if (vm.incarnation < upstream.vm.incarnation) return;

  const bool is_new_life = upstream.vm.incarnation != vm.incarnation;
  const bool moved = upstream.vm.upstream != vm.upstream;

  if (is_new_life) upstream = UpstreamRecord{.reading = state.upstreams.readings};

  upstream.vm = vm;
  state.upstreams.changed |= is_new_life || moved;
  if (vm.state == VmState::kLeaving) MarkLeaving(state, LifeOf(vm), effects);
}

/// Takes in a row of the own data centre. Returns it, or the known one if the row is stale.
const VmRecord& LearnOwnVm(std::map<VmId, VmRecord>& own, const UpstreamState& upstreams,
                           const VmRecord& row) {
  const auto before = upstreams.vms.find(row.vm);
  const bool is_stale =
      before != upstreams.vms.end() && row.incarnation < before->second.incarnation;

  return own.insert_or_assign(row.vm, is_stale ? before->second : row).first->second;
}

void LearnRow(State& state, const VmRecord& row, std::map<VmId, VmRecord>& own, Effects& effects) {
  const bool is_local = IsLocal(state, row);
  const VmRecord& vm = is_local ? LearnOwnVm(own, state.upstreams, row) : row;

  if (vm.upstream.port != 0) {
    LearnUpstream(state, vm, effects);
  } else if (is_local && vm.state == VmState::kLeaving) {
    MarkLeaving(state, LifeOf(vm), effects);
  }
}

/// Takes the list in.
void LearnList(State& state, const std::vector<VmRecord>& list, Effects& effects) {
  UpstreamState& upstreams = state.upstreams;

  // A list without any VM is a platform that does not know yet, not the end of all VMs.
  if (list.empty()) return;

  ++upstreams.readings;
  std::map<VmId, VmRecord> own;

  for (const VmRecord& row : list) LearnRow(state, row, own, effects);

  const size_t dropped = std::erase_if(upstreams.upstreams, [&](const auto& named) {
    return named.second.reading != upstreams.readings;
  });

  upstreams.changed |= dropped > 0;
  upstreams.vms = std::move(own);
  upstreams.list_known = true;
  upstreams.list_read_at = state.now;
}

void LearnListOfPeer(State& state, const std::string& text, Effects& effects) {
  // The platform's own word is newer than a peer's.
  if (state.upstreams.list_known) return;

  const Result<std::vector<VmRecord>> list = DecodeVmList(text);

  if (!list) {
    Log(effects, Severity::kWarning, Part::kUpstreams, "refused a peer's list of VMs",
        {{"error", ErrorName(list.error().code)}});
    return;
  }

  LearnList(state, *list, effects);
}

/// Says whether one more upstream of the own data centre may be ejected.
bool MayEject(const State& state) {
  int32_t ejected = 0;
  int32_t usable = 0;

  for (const auto& [vm, upstream] : state.upstreams.upstreams) {
    if (!IsLocal(state, upstream.vm) || IsLeaving(state, upstream.vm)) continue;

    ++usable;
    if (upstream.ejected) ++ejected;
  }

  const double limit = PresetInForce(state.configuration.present).ejection_limit;
  return ejected + 1 <= limit * usable;
}

void Eject(State& state, UpstreamRecord& upstream, Effects& effects) {
  const int32_t doublings = std::min(upstream.ejections, kMostDoublings);
  ++upstream.ejections;
  upstream.ejected = true;
  upstream.ejected_until = state.now + kFirstEjection * (int64_t{1} << doublings);
  upstream.bad_reports = 0;
  state.upstreams.changed = true;

  Log(effects, Severity::kWarning, Part::kUpstreams, "ejected an upstream",
      {{"vm", upstream.vm.vm.Text()},
       {"for_ms", std::to_string((upstream.ejected_until - state.now).Count())}});
}

void Observe(State& state, const UpstreamObservation& observation, Effects& effects) {
  if (observation.said_leaving) {
    MarkLeaving(state, LeavingUpstream{observation.vm, observation.incarnation}, effects);
  }

  const auto found = state.upstreams.upstreams.find(observation.vm);
  if (found == state.upstreams.upstreams.end()) return;

  UpstreamRecord& upstream = found->second;
  if (upstream.vm.incarnation != observation.incarnation) return;

  if (observation.completed > 0) {
    upstream.bad_reports = 0;
    if (!upstream.ejected) upstream.ejections = 0;
    return;
  }

  if (observation.failed + observation.refused == 0) return;

  ++upstream.bad_reports;
  const bool is_bad = upstream.bad_reports >= kBadReportsAllowed && !upstream.ejected;

  if (is_bad && MayEject(state)) Eject(state, upstream, effects);
}

void ReleaseEjected(State& state) {
  for (auto& [vm, upstream] : state.upstreams.upstreams) {
    if (!upstream.ejected || state.now < upstream.ejected_until) continue;

    upstream.ejected = false;
    state.upstreams.changed = true;
  }
}

void ForgetOldLeavers(State& state) {
  std::erase_if(state.upstreams.leaving, [&](const auto& leaver) {
    const auto& [life, since] = leaver;
    const std::optional<Incarnation> listed = ListedLife(state, life.vm);

    if (listed) return *listed > life.incarnation;

    return state.now - since > kRememberLeaving;
  });
}

/// Returns this entry's share of an upstream's fixed limit. The shares of all entries never exceed
/// it in sum, whatever they think of each other, as they follow from the settings and the VM's name
/// alone. What does not divide evenly goes to other entries at each upstream, so that each entry
/// has a share somewhere also where there are more entries than slots.
int32_t ShareOf(const State& state, const VmId& vm, int32_t limit) {
  const auto entries = static_cast<uint64_t>(state.settings.entries_per_data_centre);
  const uint64_t hash = XXH64(vm.Text().data(), vm.Text().size(), 0);
  const uint64_t turn =
      (hash % entries + static_cast<uint64_t>(state.settings.entry_ordinal)) % entries;
  const auto whole = static_cast<uint64_t>(limit);

  return static_cast<int32_t>(whole / entries + (turn < whole % entries ? 1 : 0));
}

RoutedUpstream Route(const State& state, const UpstreamRecord& upstream) {
  const bool is_local = IsLocal(state, upstream.vm);

  return RoutedUpstream{
      .vm = upstream.vm.vm,
      .incarnation = upstream.vm.incarnation,
      .address = upstream.vm.upstream,
      .data_centre = upstream.vm.data_centre,
      .leaving = IsLeaving(state, upstream.vm),
      .ejected = upstream.ejected,
      .connection_share =
          is_local ? ShareOf(state, upstream.vm.vm, state.settings.upstream_connections) : 0,
      .slot_share = is_local ? ShareOf(state, upstream.vm.vm, state.settings.upstream_slots) : 0,
      .predicted_slowdown = upstream.predicted_slowdown};
}

void Publish(State& state, Effects& effects) {
  UpstreamState& upstreams = state.upstreams;
  if (!upstreams.changed) return;

  upstreams.changed = false;
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->revision = ++upstreams.snapshot_revision;
  snapshot->own_data_centre = state.settings.identity.data_centre;
  snapshot->preset = PresetInForce(state.configuration.present);
  snapshot->draining = state.shutdown.draining;

  for (const auto& [vm, upstream] : upstreams.upstreams) {
    snapshot->upstreams.push_back(Route(state, upstream));
  }

  effects.emplace_back(PublishRouting{std::move(snapshot)});
}

void AnnounceReadiness(State& state, Effects& effects) {
  const bool can_serve = state.upstreams.list_known && !state.upstreams.upstreams.empty();
  const bool ready = can_serve && !state.shutdown.requested;
  if (ready == state.upstreams.ready) return;

  state.upstreams.ready = ready;
  effects.emplace_back(SetReadiness{ready});
}

void OnTick(State& state, Effects& effects) {
  ReleaseEjected(state);
  ForgetOldLeavers(state);
  AnnounceReadiness(state, effects);
}

void OnHeartbeat(State& state, const Heartbeat& heartbeat, Effects& effects) {
  for (const LeavingUpstream& life : heartbeat.leaving_upstreams) {
    const bool is_past = ListedLife(state, life.vm).value_or(0) > life.incarnation;

    if (!is_past) MarkLeaving(state, life, effects);
  }

  if (!heartbeat.vm_list.empty()) LearnListOfPeer(state, heartbeat.vm_list, effects);
}

void Handle(State& state, const Event& event, Effects& effects) {
  std::visit(Overloaded{
                 [&](const VmListRead& list) { LearnList(state, list.vms, effects); },
                 [&](const TrafficReported& reported) {
                   for (const auto& observation : reported.upstreams) {
                     Observe(state, observation, effects);
                   }
                 },
                 [&](const HeartbeatReceived& received) {
                   OnHeartbeat(state, received.heartbeat, effects);
                 },
                 [&](const Tick&) { OnTick(state, effects); },
                 [](const auto&) {},
             },
             event.body);

  Publish(state, effects);
}

nlohmann::json DumpUpstreams(const State& state) {
  nlohmann::json upstreams = nlohmann::json::object();

  for (const auto& [vm, upstream] : state.upstreams.upstreams) {
    upstreams[vm.Text()] = {{"data_centre", upstream.vm.data_centre.Text()},
                            {"incarnation", upstream.vm.incarnation},
                            {"leaving", IsLeaving(state, upstream.vm)},
                            {"ejected", upstream.ejected},
                            {"bad_reports", upstream.bad_reports},
                            {"predicted_slowdown", upstream.predicted_slowdown}};
  }

  return {{"list_known", state.upstreams.list_known},
          {"ready", state.upstreams.ready},
          {"snapshot_revision", state.upstreams.snapshot_revision},
          {"upstreams", upstreams}};
}

}  // namespace

const Feature kUpstreamFeature = {.name = "upstreams", .handle = Handle, .dump = DumpUpstreams};

}  // namespace currantpost
