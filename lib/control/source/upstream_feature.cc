#include <xxhash.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "currantpost/model/codec.h"
#include "feature.h"
#include "leaving_knowledge.h"

/// Maintains the list of upstreams, including leaving and ejected ones, and publishes the routing
/// snapshot.

namespace currantpost {
namespace {

/// Consecutive bad reports after which an upstream is ejected.
constexpr int32_t kBadReportsUntilEjection = 3;
constexpr Millis kInitialEjectionTime = Millis(1'000);
/// Maximum number of doublings of the ejection time.
constexpr int32_t kMaxEjectionDoublings = 5;
/// How long a leaving incarnation that is not in the list of VMs is remembered.
constexpr Millis kLeavingRetention = Millis(3'600'000);

bool IsLocal(const State& state, const VmRecord& vm) {
  return vm.data_centre == state.settings.identity.data_centre;
}

LeavingUpstream ToLeavingUpstream(const VmRecord& vm) {
  return LeavingUpstream{vm.vm, vm.incarnation};
}

bool IsLeaving(const State& state, const VmRecord& vm) {
  return state.upstreams.leaving.contains(ToLeavingUpstream(vm));
}

void MarkLeaving(State& state, const LeavingUpstream& leaving_upstream, Effects& effects) {
  const bool inserted = state.upstreams.leaving.emplace(leaving_upstream, state.now).second;
  if (!inserted) return;

  state.upstreams.snapshot_outdated = true;
  // Send a heartbeat immediately to notify the other entries.
  state.membership.next_heartbeat = state.now;

  Log(effects, Severity::kInfo, LogComponent::kUpstreams, "upstream is leaving",
      {{"vm", leaving_upstream.vm.Text()},
       {"incarnation", std::to_string(leaving_upstream.incarnation)}});
}

/// Returns the incarnation of a VM in the most recent list, or nothing if the VM is not in it.
std::optional<Incarnation> ListedIncarnation(const State& state, const VmId& vm) {
  const auto own = state.upstreams.vms.find(vm);
  if (own != state.upstreams.vms.end()) return own->second.incarnation;

  const auto upstream = state.upstreams.upstreams.find(vm);
  if (upstream == state.upstreams.upstreams.end()) return std::nullopt;

  return upstream->second.vm.incarnation;
}

/// Updates an upstream from a row of the list. A row of an older incarnation is stale and only
/// keeps the upstream listed.
void UpdateUpstream(State& state, const VmRecord& vm, Effects& effects) {
  UpstreamRecord& upstream = state.upstreams.upstreams[vm.vm];
  upstream.last_list_read = state.upstreams.list_reads;
  if (vm.incarnation < upstream.vm.incarnation) return;

  const bool is_new_incarnation = upstream.vm.incarnation != vm.incarnation;
  const bool address_changed = upstream.vm.upstream != vm.upstream;

  if (is_new_incarnation) upstream = UpstreamRecord{.last_list_read = state.upstreams.list_reads};

  upstream.vm = vm;
  state.upstreams.snapshot_outdated |= is_new_incarnation || address_changed;
  if (vm.state == VmState::kLeaving) MarkLeaving(state, ToLeavingUpstream(vm), effects);
}

/// Adds a row of this entry's data centre to `own`. Returns it, or the known row if it is stale.
const VmRecord& UpdateOwnVm(std::map<VmId, VmRecord>& own, const UpstreamState& upstreams,
                            const VmRecord& row) {
  const auto before = upstreams.vms.find(row.vm);
  const bool is_stale =
      before != upstreams.vms.end() && row.incarnation < before->second.incarnation;

  return own.insert_or_assign(row.vm, is_stale ? before->second : row).first->second;
}

void ApplyVmRow(State& state, const VmRecord& row, std::map<VmId, VmRecord>& own,
                Effects& effects) {
  const bool is_local = IsLocal(state, row);
  const VmRecord& vm = is_local ? UpdateOwnVm(own, state.upstreams, row) : row;

  if (vm.upstream.port != 0) {
    UpdateUpstream(state, vm, effects);
  } else if (is_local && vm.state == VmState::kLeaving) {
    MarkLeaving(state, ToLeavingUpstream(vm), effects);
  }
}

/// Replaces the known VMs by a list from the platform or a peer.
void ApplyVmList(State& state, const std::vector<VmRecord>& list, Effects& effects) {
  UpstreamState& upstreams = state.upstreams;

  // An empty list means that the platform has no data yet, not that all VMs are gone.
  if (list.empty()) return;

  ++upstreams.list_reads;
  std::map<VmId, VmRecord> own;

  for (const VmRecord& row : list) ApplyVmRow(state, row, own, effects);

  const size_t dropped = std::erase_if(upstreams.upstreams, [&](const auto& named) {
    return named.second.last_list_read != upstreams.list_reads;
  });

  upstreams.snapshot_outdated |= dropped > 0;
  upstreams.vms = std::move(own);
  upstreams.list_known = true;
  upstreams.list_read_at = state.now;
}

void ApplyPeerVmList(State& state, const std::string& text, Effects& effects) {
  // A list from the platform is newer than one from a peer.
  if (state.upstreams.list_known) return;

  const Result<std::vector<VmRecord>> list = DecodeVmList(text);

  if (!list) {
    Log(effects, Severity::kWarning, LogComponent::kUpstreams, "rejected a peer's list of VMs",
        {{"error", ErrorName(list.error().code)}});
    return;
  }

  ApplyVmList(state, *list, effects);
}

/// Returns whether one more upstream of this entry's data centre may be ejected.
bool MayEject(const State& state) {
  int32_t ejected = 0;
  int32_t usable = 0;

  for (const auto& [vm, upstream] : state.upstreams.upstreams) {
    if (!IsLocal(state, upstream.vm) || IsLeaving(state, upstream.vm)) continue;

    ++usable;
    if (upstream.ejected) ++ejected;
  }

  const double limit = PresetInForce(state.configuration.current).ejection_limit;
  return ejected + 1 <= limit * usable;
}

void Eject(State& state, UpstreamRecord& upstream, Effects& effects) {
  const int32_t doublings = std::min(upstream.ejections, kMaxEjectionDoublings);
  ++upstream.ejections;
  upstream.ejected = true;
  upstream.ejected_until = state.now + kInitialEjectionTime * (int64_t{1} << doublings);
  upstream.bad_reports = 0;
  state.upstreams.snapshot_outdated = true;

  Log(effects, Severity::kWarning, LogComponent::kUpstreams, "ejected an upstream",
      {{"vm", upstream.vm.vm.Text()},
       {"for_ms", std::to_string((upstream.ejected_until - state.now).Count())}});
}

void ApplyObservation(State& state, const UpstreamObservation& observation, Effects& effects) {
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
  const bool is_bad = upstream.bad_reports >= kBadReportsUntilEjection && !upstream.ejected;

  if (is_bad && MayEject(state)) Eject(state, upstream, effects);
}

void EndExpiredEjections(State& state) {
  for (auto& [vm, upstream] : state.upstreams.upstreams) {
    if (!upstream.ejected || state.now < upstream.ejected_until) continue;

    upstream.ejected = false;
    state.upstreams.snapshot_outdated = true;
  }
}

void ForgetOldLeavingUpstreams(State& state) {
  std::erase_if(state.upstreams.leaving, [&](const auto& entry) {
    const auto& [leaving_upstream, since] = entry;
    const std::optional<Incarnation> listed = ListedIncarnation(state, leaving_upstream.vm);

    if (listed) return *listed > leaving_upstream.incarnation;

    return state.now - since > kLeavingRetention;
  });
}

/// Returns this entry's share of an upstream's fixed limit. The shares depend only on the settings
/// and the VM's name, so their sum never exceeds the limit, even if the entries disagree about
/// which of them are alive. The remainder goes to different entries at each upstream, so that each
/// entry has a share of some upstreams even if there are more entries than slots.
int32_t ShareOf(const State& state, const VmId& vm, int32_t limit) {
  const auto entries = static_cast<uint64_t>(state.settings.entries_per_data_centre);
  const uint64_t hash = XXH64(vm.Text().data(), vm.Text().size(), 0);
  const uint64_t position =
      (hash % entries + static_cast<uint64_t>(state.settings.entry_ordinal)) % entries;
  const auto total = static_cast<uint64_t>(limit);

  return static_cast<int32_t>(total / entries + (position < total % entries ? 1 : 0));
}

RoutedUpstream ToRoutedUpstream(const State& state, const UpstreamRecord& upstream) {
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
  if (!upstreams.snapshot_outdated) return;

  upstreams.snapshot_outdated = false;
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->revision = ++upstreams.snapshot_revision;
  snapshot->own_data_centre = state.settings.identity.data_centre;
  snapshot->preset = PresetInForce(state.configuration.current);
  snapshot->draining = state.shutdown.draining;

  if (upstreams.routing) {
    for (const auto& [vm, upstream] : upstreams.upstreams) {
      snapshot->upstreams.push_back(ToRoutedUpstream(state, upstream));
    }
  }

  effects.emplace_back(PublishRouting{std::move(snapshot)});
}

void UpdateRouting(State& state, Effects& effects) {
  UpstreamState& upstreams = state.upstreams;
  if (upstreams.routing || !MayRoute(state)) return;

  upstreams.routing = true;
  upstreams.snapshot_outdated = true;
  if (upstreams.leaving_known) return;

  Log(effects, Severity::kWarning, LogComponent::kUpstreams,
      "no peer told which upstreams are leaving");
}

void UpdateReadiness(State& state, Effects& effects) {
  const bool can_serve =
      state.upstreams.routing && state.upstreams.list_known && !state.upstreams.upstreams.empty();
  const bool ready = can_serve && !state.shutdown.requested;
  if (ready == state.upstreams.ready) return;

  state.upstreams.ready = ready;
  effects.emplace_back(SetReadiness{ready});
}

void OnTick(State& state, Effects& effects) {
  EndExpiredEjections(state);
  ForgetOldLeavingUpstreams(state);
  UpdateReadiness(state, effects);
}

void MarkReported(State& state, const std::vector<LeavingUpstream>& reported, Effects& effects) {
  for (const LeavingUpstream& leaving_upstream : reported) {
    const bool is_older =
        ListedIncarnation(state, leaving_upstream.vm).value_or(0) > leaving_upstream.incarnation;

    if (!is_older) MarkLeaving(state, leaving_upstream, effects);
  }
}

void OnHeartbeat(State& state, const Heartbeat& heartbeat, Effects& effects) {
  MarkReported(state, heartbeat.leaving_upstreams, effects);
  if (heartbeat.leaving_report) MarkReported(state, heartbeat.leaving_report->upstreams, effects);
  if (!heartbeat.vm_list.empty()) ApplyPeerVmList(state, heartbeat.vm_list, effects);
}

void Handle(State& state, const Event& event, Effects& effects) {
  std::visit(Overloaded{
                 [&](const VmListRead& list) { ApplyVmList(state, list.vms, effects); },
                 [&](const TrafficReported& reported) {
                   for (const auto& observation : reported.upstreams) {
                     ApplyObservation(state, observation, effects);
                   }
                 },
                 [&](const HeartbeatReceived& received) {
                   OnHeartbeat(state, received.heartbeat, effects);
                 },
                 [&](const Tick&) { OnTick(state, effects); },
                 [](const auto&) {},
             },
             event.body);

  const auto* received = std::get_if<HeartbeatReceived>(&event.body);
  UpdateLeavingKnowledge(state, received == nullptr ? nullptr : &received->heartbeat);
  UpdateRouting(state, effects);
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
          {"leaving_known", state.upstreams.leaving_known},
          {"ready", state.upstreams.ready},
          {"snapshot_revision", state.upstreams.snapshot_revision},
          {"upstreams", upstreams}};
}

}  // namespace

const Feature kUpstreamFeature = {.name = "upstreams", .handle = Handle, .dump = DumpUpstreams};

}  // namespace currantpost
