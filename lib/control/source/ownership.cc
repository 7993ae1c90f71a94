#include <xxhash.h>

#include <algorithm>

#include "membership.h"
#include "work.h"

/// Rack ownership: claim, handover, release and loss.

namespace currantpost {
namespace {

/// Additional claim delay per rank below the most preferred entry, for a rack without a live owner.
constexpr Millis kClaimRankDelay = Millis(5'000);
/// How long after a change of the record its owner counts as alive without a heartbeat. Prevents
/// two entries that receive no heartbeats from each other from taking a rack over alternately.
constexpr Millis kOwnerChangeGracePeriod = Millis(15'000);
/// How long this entry must be the most preferred one before it takes a rack from a live owner.
constexpr Millis kHandoverDelay = Millis(10'000);

uint64_t RendezvousHash(const EntryId& entry, const RackId& rack) {
  const std::string text = entry.Text() + "/" + rack.Text();
  return XXH64(text.data(), text.size(), 0);
}

bool IsSelf(const State& state, const RackRecord& record) {
  const EntryIdentity& identity = state.settings.identity;
  return record.owner == identity.entry && record.incarnation == identity.incarnation;
}

/// Returns whether another entry owns the rack and is alive. This is asked only about racks that
/// this entry does not control, so a record that names this entry does not count as a live owner.
bool HasLiveOwner(const State& state, const RackState& rack) {
  const RackRecord& record = rack.record;
  if (record.owner.Empty() || record.owner == state.settings.identity.entry) return false;

  const auto peer = state.membership.peers.find(record.owner);
  const bool known = peer != state.membership.peers.end();
  if (known && peer->second.known.incarnation > record.incarnation) return false;
  if (known && peer->second.alive) return true;
  // The peer sent a heartbeat after the change and has timed out since, so the change no longer
  // shows that it is alive.
  if (known && rack.changed_at && peer->second.last_heard_at > *rack.changed_at) return false;

  return rack.changed_at && state.now < *rack.changed_at + kOwnerChangeGracePeriod;
}

/// Returns this entry's rank among the preferred owners, 0 for the most preferred.
std::optional<int64_t> OwnRank(const State& state, const RackId& rack) {
  const std::vector<EntryId> owners = PreferredOwners(state, rack);
  const auto self = std::ranges::find(owners, state.settings.identity.entry);
  if (self == owners.end()) return std::nullopt;

  return self - owners.begin();
}

/// Returns how long this entry must have been eligible for the rack before it claims it, or nothing
/// if it is not eligible.
std::optional<Millis> ClaimDelay(const State& state, const RackState& rack) {
  const std::optional<int64_t> rank = OwnRank(state, rack.rack);
  if (!rank) return std::nullopt;

  if (HasLiveOwner(state, rack)) {
    if (*rank != 0) return std::nullopt;
    return kHandoverDelay;
  }

  // A process that has just started may not have received heartbeats from its peers yet.
  const bool just_started =
      state.now - *state.work.started_at < state.settings.peer_timeout + kClaimRankDelay;
  const Millis startup_wait = just_started ? state.settings.heartbeat_interval * 2 : Millis(0);
  const bool other_owner =
      !rack.record.owner.Empty() && rack.record.owner != state.settings.identity.entry;

  return kClaimRankDelay * *rank +
         (other_owner && just_started ? state.settings.peer_timeout : startup_wait);
}

void SendRackWrite(State& state, Effects& effects, RackState& rack) {
  RackWrite& write = *rack.write;
  write.request = CallKv(state, effects, RackWritten{rack.rack},
                         KvPut{RackKey(state, rack.rack), Encode(write.record), write.expected});
}

void StartWrite(State& state, Effects& effects, RackState& rack, RackWriteKind kind,
                RackRecord record) {
  record.change_id = NextChangeId(state);
  rack.write = RackWrite{.kind = kind, .record = std::move(record), .expected = rack.revision};
  SendRackWrite(state, effects, rack);
}

void SendClaim(State& state, Effects& effects, RackState& rack) {
  RackRecord record = rack.record;
  record.owner = state.settings.identity.entry;
  record.incarnation = state.settings.identity.incarnation;
  record.epoch = std::max(rack.record.epoch, rack.highest_epoch) + 1;
  StartWrite(state, effects, rack, RackWriteKind::kClaim, std::move(record));
}

void SendRelease(State& state, Effects& effects, RackState& rack) {
  RackRecord record = rack.record;
  record.owner = EntryId();
  record.incarnation = 0;
  StartWrite(state, effects, rack, RackWriteKind::kRelease, std::move(record));
}

void ClaimWhenDue(State& state, Effects& effects, RackState& rack) {
  const std::optional<Millis> delay = ClaimDelay(state, rack);

  if (!delay) {
    rack.claimable_since.reset();
    return;
  }

  if (!rack.claimable_since) rack.claimable_since = state.now;
  if (state.now < *rack.claimable_since + *delay) return;
  if (!state.work.watch.synced) return;

  SendClaim(state, effects, rack);
}

/// Clears the state that only the owner of a rack keeps.
void ResetRack(State& state, RackState& rack) {
  for (auto& [id, worker] : rack.workers) DropOutstandingOrder(state, worker);

  state.work.owned.erase(rack.rack);
  rack.phase = RackPhase::kNotOwned;
  rack.claimable_since.reset();
  rack.list_request = 0;
  rack.workers.clear();
  rack.parts.clear();
  rack.recorded.clear();
  rack.unrecorded.clear();
  rack.last_fence = 0;
  rack.attempt_release_due = false;
}

void AcquireRack(State& state, Effects& effects, RackState& rack) {
  ResetRack(state, rack);
  rack.phase = RackPhase::kRaisingEpoch;
  rack.epoch = rack.record.epoch;
  rack.highest_epoch = std::max(rack.highest_epoch, rack.epoch);
  state.work.owned[rack.rack] = rack.epoch;
  for (const RackMember& member : rack.record.members) AddWorker(rack, member, true);

  Log(effects, Severity::kInfo, LogComponent::kOwnership, "acquired rack",
      {{"rack", rack.rack.Text()}, {"epoch", std::to_string(rack.epoch)}});
  UpdateWorkers(state, effects);
}

/// Marks the workers listed in the record, and requeues the tasks of workers removed from it.
void ApplyMembers(State& state, Effects& effects, RackState& rack) {
  for (auto& [id, worker] : rack.workers) {
    const bool named =
        std::ranges::find(rack.record.members, worker.member) != rack.record.members.end();

    if (worker.in_record && !named) {
      RequeueTasksOfWorker(state, effects, rack, worker);
      worker.ever_confirmed = false;
      worker.confirmed = false;
    }

    const bool joined = named && !worker.in_record;
    worker.in_record = named;
    worker.leases_expired = false;

    // A worker that was unresponsive for a long time may return with finished tasks.
    if (joined && worker.confirmed && rack.phase == RackPhase::kOpen) {
      AdoptRows(state, effects, rack, worker);
    }
  }

  rack.placement_due = true;
}

void CommitWrite(State& state, Effects& effects, RackState& rack, KvRevision revision) {
  const RackWrite write = std::move(*rack.write);
  rack.write.reset();

  // The write took effect, but a later one has already replaced it.
  if (revision < rack.revision) return;

  rack.record = write.record;
  rack.revision = revision;

  switch (write.kind) {
    case RackWriteKind::kClaim:
      AcquireRack(state, effects, rack);
      return;
    case RackWriteKind::kMembers:
      if (rack.phase != RackPhase::kNotOwned) ApplyMembers(state, effects, rack);
      return;
    case RackWriteKind::kRelease:
      ResetRack(state, rack);
      Log(effects, Severity::kInfo, LogComponent::kOwnership, "released rack",
          {{"rack", rack.rack.Text()}});
      return;
  }
}

/// Abandons a write that certainly has not taken effect.
void AbandonWrite(State& state, RackState& rack) {
  rack.write.reset();
  rack.attempt_release_due = true;
  rack.write_not_before = state.now + kKvRetryInterval;
  for (auto& [id, worker] : rack.workers) worker.leases_expired = false;
}

void HandleRackConflict(State& state, Effects& effects, RackState& rack, const KvReply& reply) {
  if (reply.entries.empty() || !reply.entries.front().value) {
    AbandonWrite(state, rack);
    rack.revision = 0;
    return;
  }

  const KvEntry& entry = reply.entries.front();
  const Result<RackRecord> record = DecodeRackRecord(*entry.value);

  if (!record) {
    AbandonWrite(state, rack);
    return;
  }

  if (record->change_id == rack.write->record.change_id) {
    CommitWrite(state, effects, rack, entry.revision);
    return;
  }

  AbandonWrite(state, rack);
  ApplyRackRecord(state, effects, rack.rack, *record, entry.revision);
}

/// Returns the highest epoch that a live peer claims for a rack.
Epoch HighestClaim(const State& state, const RackId& rack) {
  Epoch highest = 0;

  for (const auto& [id, peer] : state.membership.peers) {
    if (!peer.alive || peer.known.data_centre != state.settings.identity.data_centre) continue;

    for (const RackClaim& claim : peer.racks) {
      if (claim.rack == rack) highest = std::max(highest, claim.epoch);
    }
  }

  return highest;
}

void UpdateRack(State& state, Effects& effects, RackState& rack) {
  if (rack.phase != RackPhase::kNotOwned && HighestClaim(state, rack.rack) > rack.epoch) {
    DropRack(state, effects, rack, "a peer has a newer grant");
  }

  if (rack.write) {
    if (rack.write->request == 0 && state.now >= rack.write->retry_at) {
      SendRackWrite(state, effects, rack);
    }
    return;
  }

  if (state.now < rack.write_not_before) return;

  if (rack.phase == RackPhase::kNotOwned) {
    ClaimWhenDue(state, effects, rack);
  } else if (state.shutdown.requested) {
    SendRelease(state, effects, rack);
  }
}

/// Creates the racks that occur in the platform's list of VMs.
void AddListedRacks(State& state) {
  for (const auto& [id, vm] : state.upstreams.vms) {
    if (vm.data_centre != state.settings.identity.data_centre) continue;
    if (vm.worker.port == 0 || vm.rack.Empty()) continue;

    state.work.racks[vm.rack].rack = vm.rack;
  }
}

}  // namespace

std::vector<EntryId> PreferredOwners(const State& state, const RackId& rack) {
  std::vector<std::pair<uint64_t, EntryId>> ranked;
  for (EntryId& entry : LiveEntries(state)) {
    const uint64_t hash = RendezvousHash(entry, rack);
    ranked.emplace_back(hash, std::move(entry));
  }

  std::ranges::sort(ranked, std::greater<>());

  std::vector<EntryId> owners;
  owners.reserve(ranked.size());
  for (auto& [hash, entry] : ranked) owners.push_back(std::move(entry));
  return owners;
}

void UpdateOwnership(State& state, Effects& effects) {
  AddListedRacks(state);
  for (auto& [id, rack] : state.work.racks) UpdateRack(state, effects, rack);
}

void DropRack(State& state, Effects& effects, RackState& rack, std::string_view reason) {
  Log(effects, Severity::kWarning, LogComponent::kOwnership, "lost rack",
      {{"rack", rack.rack.Text()},
       {"epoch", std::to_string(rack.epoch)},
       {"reason", std::string(reason)}});
  ResetRack(state, rack);
  rack.write.reset();
}

void ApplyRackRecord(State& state, Effects& effects, const RackId& id, const RackRecord& record,
                     KvRevision revision) {
  RackState& rack = state.work.racks[id];
  rack.rack = id;
  if (revision <= rack.revision) return;

  if (rack.write && !record.change_id.empty() && rack.write->record.change_id == record.change_id) {
    CommitWrite(state, effects, rack, revision);
    return;
  }

  const bool still_own = IsSelf(state, record) && record.epoch == rack.epoch;
  if (rack.phase != RackPhase::kNotOwned && !still_own) {
    DropRack(state, effects, rack, "the record names another owner");
  }

  if (rack.revision != 0 && record.owner != rack.record.owner) rack.changed_at = state.now;
  rack.record = record;
  rack.revision = revision;
  rack.highest_epoch = std::max(rack.highest_epoch, record.epoch);
}

void HandleRackWritten(State& state, Effects& effects, const RackId& id, RequestId request,
                       const KvReply& reply) {
  RackState& rack = state.work.racks[id];
  if (!rack.write || rack.write->request != request) return;

  rack.write->request = 0;

  switch (reply.status) {
    case KvStatus::kOk:
      CommitWrite(state, effects, rack, reply.revision);
      return;
    case KvStatus::kConflict:
      HandleRackConflict(state, effects, rack, reply);
      return;
    case KvStatus::kUnavailable:
      if (!rack.write->maybe_applied) {
        AbandonWrite(state, rack);
        return;
      }
      break;
    case KvStatus::kUnknown:
    case KvStatus::kMalformed:
      rack.write->maybe_applied = true;
      break;
  }

  // Retry the same write: either it takes effect now, or the conflict shows whether it already did.
  rack.write->retry_at = state.now + kKvRetryInterval;
}

}  // namespace currantpost
