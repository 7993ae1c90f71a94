#include <utility>

#include "internal.h"

/// This entry's lease at the store, and the record that announces it to the other entries.

namespace currantpost::scheduler {
namespace {

/// Delay before a failed renewal is retried.
constexpr Millis kRenewRetry = Millis(300);
/// Timeout of a renewal, after which it is retried.
constexpr Millis kRenewTimeout = Millis(900);
/// Minimum interval between two records of this entry.
constexpr Millis kRecordInterval = Millis(1'000);
/// Renewals that take at least this long are logged: the store, the link or this process is slow.
constexpr Millis kSlowRenewal = Millis(300);
/// Number of late renewals in a row after which this entry counts as slow: those of at least 5 s,
/// as its copy of the records may be that old too. A pause of the process makes one or two late.
constexpr int32_t kLateRenewalsUntilSlow = 5;
/// For how long it counts as slow from then on: the cells that have made it slow would do so again.
constexpr Millis kSlowTime = Millis(30'000);

/// Revokes the lease of this entry's previous incarnation, so that its cells are free immediately.
/// The previous process has ended, as the machine runs only one process of this entry.
void RevokePreviousLease(State& state, Effects& effects) {
  LeaseState& lease = state.lease;
  if (lease.previous_lease_checked || !state.feeds[Feed::kMembers].synced) return;

  lease.previous_lease_checked = true;
  const auto self = state.view.entries.find(state.settings.entry);
  if (self == state.view.entries.end() || self->second.lease == 0) return;
  if (self->second.record.incarnation == state.settings.incarnation) return;

  lease.previous_lease = self->second.lease;
  Log(effects, Severity::kInfo, "revoking the lease of the former incarnation",
      {{"life", self->second.record.incarnation}});
  CallStore(state, effects, PreviousLeaseEnded{}, RevokeLease{lease.previous_lease});
}

EntryRecord OwnRecord(const State& state) {
  return EntryRecord{.incarnation = state.settings.incarnation,
                     .data_centre = state.settings.data_centre,
                     .peer_address = state.settings.peer_address,
                     .millicores = state.settings.millicores,
                     .caught_up = IsCaughtUp(state)};
}

/// Returns whether the store holds this entry's record as it should be.
bool IsRecordCurrent(const State& state) {
  if (!state.lease.registered) return false;

  const auto self = state.view.entries.find(state.settings.entry);
  if (self == state.view.entries.end() || state.stopping) return true;

  return self->second.record.caught_up == IsCaughtUp(state);
}

/// Writes this entry's record. A later record of the same lease replaces only the former one: if
/// the store has removed that, the lease is useless.
void Register(State& state, Effects& effects) {
  LeaseState& lease = state.lease;
  if (lease.register_request != 0 || IsRecordCurrent(state)) return;

  if (state.now < lease.register_at) {
    WakeAt(state, lease.register_at);
    return;
  }

  lease.sent_record = OwnRecord(state);
  const std::string key = EntryKey(state.settings.entry);
  WriteRecords write;
  write.puts.push_back(RecordPut{key, Encode(lease.sent_record), lease.lease});

  if (lease.registered) {
    write.expected.push_back(
        ExpectedRecord{key, state.view.entries.at(state.settings.entry).revision});
  }

  lease.register_request =
      CallStore(state, effects, EntryRegistered{lease.lease}, std::move(write));
}

/// Notes whether a renewal took so long that no task can start by a reply of the store that takes
/// as long, because what the reply says of a worker is too old then.
void NoteRenewalTime(State& state, Effects& effects, Millis took) {
  LeaseState& lease = state.lease;

  const bool late = took > LongestUsableAge(state.settings.drain_time);
  lease.late_renewals = late ? lease.late_renewals + 1 : 0;
  if (lease.late_renewals < kLateRenewalsUntilSlow) return;

  if (!IsSlow(state)) {
    Log(effects, Severity::kWarning, "this entry is too slow to start tasks",
        {{"cells", std::to_string(state.cells.size())}});
  }
  lease.slow_until = state.now + kSlowTime;
}

void HandleLeaseLost(State& state, Effects& effects, std::string_view reason) {
  Log(effects, Severity::kWarning, "lost the store lease",
      {{"lease", std::to_string(state.lease.lease)}, {"reason", std::string(reason)}});
  state.lease.lease = 0;
  state.lease.registered = false;
  state.lease.valid_until = Millis(0);
  state.lease.next_at = state.now;

  std::vector<CellId> cells;
  for (const auto& [id, cell] : state.cells) cells.push_back(id);
  for (const CellId& id : cells) DropCell(state, effects, id, "the entry's lease has ended");
}

/// Handles a conflict of a later record of this entry: an earlier write without an answer took
/// effect, or the store has removed the record.
void HandleConflictingRecord(State& state, Effects& effects, const StoreReply& reply) {
  for (const StoreItem& item : reply.items) {
    if (item.key != EntryKey(state.settings.entry)) continue;

    const Result<EntryRecord> record = DecodeEntry(item.value);
    const bool own = !item.removed && record && record->incarnation == state.settings.incarnation;
    if (own) return ApplyRecord(state, effects, item);
  }

  HandleLeaseLost(state, effects, "the entry's record was replaced or removed");
}

}  // namespace

bool IsSlow(const State& state) { return state.now < state.lease.slow_until; }

bool HoldsLease(const State& state) {
  return state.lease.lease != 0 && state.now < state.lease.valid_until;
}

void UpdateLease(State& state, Effects& effects) {
  LeaseState& lease = state.lease;
  RevokePreviousLease(state, effects);
  if (!lease.previous_lease_checked || state.exit_announced) return;

  if (lease.lease != 0) Register(state, effects);
  if (lease.request != 0) return;

  if (state.now < lease.next_at) {
    WakeAt(state, lease.next_at);
    return;
  }

  lease.sent_at = state.now;
  const bool is_first =
      !state.store_answered_at || lease.unanswered_since <= *state.store_answered_at;
  if (is_first) lease.unanswered_since = state.now;

  if (lease.lease == 0) {
    if (state.stopping) return;

    lease.request = CallStore(state, effects, LeaseGranted{},
                              GrantLease{std::max(kStoreLeaseTtl, state.settings.min_store_lease)});
    return;
  }

  lease.request = CallStore(state, effects, LeaseRenewed{}, RenewLease{lease.lease}, kRenewTimeout);
}

void HandleLeaseGranted(State& state, Effects& effects, const StoreReply& reply) {
  LeaseState& lease = state.lease;
  lease.request = 0;

  if (reply.status != StoreStatus::kOk) {
    lease.next_at = state.now + kStoreRetryDelay;
    return;
  }

  lease.lease = reply.lease;
  lease.valid_until = lease.sent_at + reply.ttl;
  lease.next_at = state.now + kStoreLeaseRenewalInterval;
  lease.registered = false;
  Log(effects, Severity::kInfo, "store granted a lease",
      {{"lease", std::to_string(lease.lease)}, {"ttl_ms", std::to_string(reply.ttl.Count())}});
}

void HandleLeaseRenewed(State& state, Effects& effects, const StoreReply& reply) {
  LeaseState& lease = state.lease;
  lease.request = 0;

  const Millis took = state.now - lease.sent_at;

  if (took >= kSlowRenewal) {
    Log(effects, Severity::kWarning, "slow renewal of the store lease",
        {{"ms", std::to_string(took.Count())},
         {"status", std::string(kStoreStatusNames.Name(reply.status))},
         {"cells", std::to_string(state.cells.size())}});
  }

  if (reply.status == StoreStatus::kOk) {
    NoteRenewalTime(state, effects, took);
    // The store extends the lease when the renewal arrives, which is not before it was sent.
    lease.valid_until = lease.sent_at + std::min(reply.ttl, kStoreLeaseTtl);
    lease.next_at = lease.sent_at + kStoreLeaseRenewalInterval;
    return;
  }

  if (reply.status == StoreStatus::kNotFound) {
    HandleLeaseLost(state, effects, "the store does not know it");
    return;
  }

  lease.next_at = state.now + kRenewRetry;
}

void HandleEntryRegistered(State& state, Effects& effects, const EntryRegistered& registered,
                           const StoreReply& reply) {
  LeaseState& lease = state.lease;
  lease.register_request = 0;
  if (registered.lease != lease.lease) return;

  if (reply.status == StoreStatus::kConflict) {
    HandleConflictingRecord(state, effects, reply);
    return;
  }

  if (reply.status == StoreStatus::kOk) {
    lease.register_at = state.now + kRecordInterval;

    if (!std::exchange(lease.registered, true)) {
      lease.registered_at = state.now;
      lease.registered_revision = reply.revision;
    }
    // Applied immediately, so that a late removal of an earlier record is not mistaken for the
    // removal of this one.
    ApplyRecord(state, effects,
                StoreItem{.key = EntryKey(state.settings.entry),
                          .revision = reply.revision,
                          .lease = lease.lease,
                          .value = Encode(lease.sent_record)});
    return;
  }

  if (reply.status == StoreStatus::kNotFound) {
    HandleLeaseLost(state, effects, "the store does not know it");
    return;
  }

  lease.register_at = state.now + kStoreRetryDelay;
}

void HandleEntryRecordRemoved(State& state, Effects& effects) {
  // The record of the former incarnation is removed when its lease is revoked.
  if (!state.lease.registered || state.stopping) return;

  // The keys attached to the lease are gone although it is renewed, so the lease is useless.
  HandleLeaseLost(state, effects, "the entry's record was removed");
}

}  // namespace currantpost::scheduler
