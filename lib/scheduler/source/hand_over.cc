#include "former_leases.h"

/// Handover of the leases of a cell's workers between successive owners of the cell.
///
/// A task of an unresponsive worker may start on another worker only after all leases that any
/// owner granted to the unresponsive worker have expired. Each owner therefore writes a record
/// before it renews any lease. The record says that the owner may renew leases, and names the
/// workers whose leases it does not renew, with the time that these may still run. When the owner
/// releases the cell, it records the remaining times of all leases. Times are durations, because
/// entries have no common clock. If the former owner did not record a release, the next owner
/// asks it for the remaining leases. A former owner that has restarted cannot renew leases any
/// more.

namespace currantpost::scheduler {
namespace {

/// Returns the time by which all leases of a former owner have expired that is not known to have
/// stopped. The store can delete the owner's keys right after confirming its lease, without the
/// owner noticing. The owner then treats its lease as valid for up to `kStoreLeaseTtl`, and grants
/// worker leases that end at most `kStoreOutageRenewalPeriod` after that, with renewals and starts
/// alike. Only the incarnation of the worker that they were meant for carries them out.
Millis LongestFormerLeases(Millis granted_at) {
  return granted_at + MaxLeaseDuration(kStoreLeaseTtl + kStoreOutageRenewalPeriod);
}

/// Longest time that an owner's first record waits for replies of workers. A worker that replies
/// need not be named in it.
constexpr Millis kMaxFirstPollWait = Millis(300);
/// Minimum interval between two records of a cell, and between two that differ only in the elapsed
/// time.
constexpr Millis kRecordInterval = Millis(200);
constexpr Millis kRefreshInterval = Millis(1'000);
/// Timeout of the write of a record, after which it is retried. Leases that depend on the record
/// are not renewed meanwhile. Longer than the reply time of a slow store.
constexpr Millis kRecordTimeout = Millis(500);
/// Interval between questions to a former owner, which may be unreachable.
constexpr Millis kQuestionInterval = Millis(500);

/// Returns whether a worker has tasks that this owner cannot keep running any more, so that they
/// wait for the leases to expire. While a lease certainly lasts it can be renewed, which must not
/// depend on a write of the record.
bool WaitsForLeaseExpiry(const State& state, const WorkerState& worker) {
  if (!MayHaveRuns(worker)) return false;
  if (!worker.contacted) return true;

  return worker.failed_polls >= kFailedPollsUntilUnresponsive && state.now >= worker.lease.earliest;
}

/// Returns the workers that the owner's record must name.
std::set<VmId> WorkersAwaitingLeaseExpiry(const State& state, const OwnedCell& cell) {
  std::set<VmId> names;

  for (const auto& [id, worker] : cell.workers) {
    if (WaitsForLeaseExpiry(state, worker)) names.insert(id);
  }

  return names;
}

/// Returns whether the record lacks the address of a worker with tasks.
bool LacksAddress(const OwnedCell& cell) {
  const std::map<VmId, Address>& recorded = cell.hand_over.recorded_addresses;

  return std::ranges::any_of(cell.workers, [&](const auto& row) {
    const Address& address = row.second.info.address;
    if (address.port == 0 || !MayHaveRuns(row.second)) return false;

    const auto found = recorded.find(row.first);
    return found == recorded.end() || found->second != address;
  });
}

HandOverRecord MakeHandOverRecord(const State& state, const OwnedCell& cell,
                                  const std::set<VmId>& names) {
  HandOverRecord record{.owner = state.settings.entry,
                        .incarnation = state.settings.incarnation,
                        .peer_address = state.settings.peer_address,
                        .grant = cell.grant,
                        .lease = state.lease.lease,
                        .addresses = cell.hand_over.pending_addresses,
                        .witnesses = cell.hand_over.pending_witnesses};
  for (const VmId& id : names) {
    AddLease(record, id, cell.workers.at(id).lease.Expiry(), state.now);
  }

  return record;
}

std::set<VmId> NamedWorkers(const HandOverRecord& record) {
  std::set<VmId> names;
  for (const auto& [id, remaining] : record.leases) names.insert(id);

  return names;
}

/// Takes over the lease expiries of a record. `from` is a time at which the record was already
/// written.
void InheritLeases(HandOverState& state, const HandOverRecord& record, Millis from) {
  state.expiries.clear();
  for (const auto& [id, remaining] : record.leases) state.expiries[id] = from + remaining;
}

/// Checks whether the former owner has restarted on its machine. Its previous incarnation can no
/// longer renew leases then.
void CheckForNewIncarnation(State& state, Effects& effects, OwnedCell& cell) {
  HandOverState& hand_over = cell.hand_over;
  const HandOverRecord& former = hand_over.former;
  const auto entry = state.view.entries.find(former.owner);
  if (entry == state.view.entries.end() || entry->second.revision < former.grant) return;

  const EntryRecord& record = entry->second.record;
  if (record.incarnation == former.incarnation || record.peer_address != former.peer_address)
    return;

  hand_over.default_expiry =
      std::min(hand_over.default_expiry, state.now + MaxLeaseDuration(kWorkerLeaseTtl));
  hand_over.former.owner = EntryId();
  ShortenWaits(state, effects, cell, "the former owner has restarted");
  // What kept the workers silent may have ended with the restart.
  PollUncontactedWorkers(state, cell);
}

void ApplyFormerLeases(State& state, Effects& effects, OwnedCell& cell,
                       const HandOverRecord& leases) {
  InheritLeases(cell.hand_over, leases, state.now);
  cell.hand_over.default_expiry = state.now;
  cell.hand_over.former.owner = EntryId();
  ShortenWaits(state, effects, cell, "the former owner reported its remaining leases");
  // The former owner can be reached, so its workers probably can be too.
  PollUncontactedWorkers(state, cell);
}

void AskFormerOwner(State& state, Effects& effects, OwnedCell& cell) {
  HandOverState& hand_over = cell.hand_over;
  const HandOverRecord& former = hand_over.former;

  if (former.owner == state.settings.entry && former.incarnation == state.settings.incarnation) {
    return ApplyFormerLeases(state, effects, cell, FormerLeases(state, cell.cell, former.grant));
  }

  if (!AwaitsFormerLeases(state, cell)) return;

  if (state.now < hand_over.next_question) {
    WakeAt(state, hand_over.next_question);
    return;
  }

  hand_over.next_question = state.now + kQuestionInterval;
  const HandOverQuestion question{.grant = former.grant,
                                  .incarnation = former.incarnation,
                                  .current_grant = cell.grant,
                                  .reply_to = state.settings.peer_address};
  PushMessage(effects, former.peer_address, kHandOverQuestionPrefix, cell.cell.Text(),
              Encode(question));
}

/// Marks this owner's record as stored. No earlier write of the record
/// can take effect any more, since each expects a revision that this one replaced.
void MarkWritten(HandOverState& hand_over, KvRevision revision, std::set<VmId> names,
                 std::map<VmId, Address> addresses, std::map<EntryInstance, Address> witnesses) {
  hand_over.written = true;
  hand_over.revision = revision;
  hand_over.recorded_workers = std::move(names);
  hand_over.maybe_recorded_workers.clear();
  hand_over.recorded_addresses = std::move(addresses);
  hand_over.recorded_witnesses = std::move(witnesses);
  hand_over.maybe_recorded_witnesses.clear();
}

/// Returns whether each worker with tasks has answered a poll or failed to, so that the first
/// record names only those that failed. Also true after `kMaxFirstPollWait`.
bool FirstPollsAreDone(State& state, const OwnedCell& cell) {
  const Millis latest = cell.polled_since.value_or(state.now) + kMaxFirstPollWait;
  const bool all = std::ranges::all_of(cell.workers, [](const auto& row) {
    const WorkerState& worker = row.second;
    return !MayHaveRuns(worker) || worker.contacted || worker.failed_polls > 0;
  });
  if (all || state.now >= latest) return true;

  WakeAt(state, latest);
  return false;
}

/// Returns whether the record has to be written: because it was never written, because an earlier
/// write has an unknown outcome, because it names other workers or witnesses, because it lacks an
/// address, because a lease runs longer than recorded, or because the recorded times have partly
/// elapsed.
bool IsOutdated(const State& state, const OwnedCell& cell, const std::set<VmId>& names,
                const std::map<EntryInstance, Address>& witnesses) {
  const HandOverState& hand_over = cell.hand_over;
  if (witnesses != hand_over.recorded_witnesses) return true;
  if (!hand_over.written || names != hand_over.recorded_workers ||
      !hand_over.maybe_recorded_workers.empty())
    return true;
  if (names.empty() && !LacksAddress(cell)) return false;

  if (state.now >= hand_over.refresh_at) return true;

  return std::ranges::any_of(names, [&](const VmId& id) {
    const auto recorded = hand_over.recorded_expiries.find(id);
    return recorded == hand_over.recorded_expiries.end() ||
           cell.workers.at(id).lease.Expiry() > recorded->second;
  });
}

void WriteHandOver(State& state, Effects& effects, OwnedCell& cell) {
  HandOverState& hand_over = cell.hand_over;
  if (hand_over.write_request != 0 || cell.release_request != 0 || cell.maybe_released) return;
  if (!hand_over.written && !ReplacesFormerRecord(cell)) return;
  if (!hand_over.written && !FirstPollsAreDone(state, cell)) return;

  std::set<VmId> names = WorkersAwaitingLeaseExpiry(state, cell);
  const std::map<EntryInstance, Address>& witnesses = state.outage.witnesses;

  if (!IsOutdated(state, cell, names, witnesses)) {
    if (state.now < hand_over.refresh_at) WakeAt(state, hand_over.refresh_at);
    return;
  }

  if (state.now < hand_over.write_at) {
    WakeAt(state, hand_over.write_at);
    return;
  }

  hand_over.write_at = state.now + kRecordInterval;
  hand_over.refresh_at = state.now + kRefreshInterval;
  hand_over.recorded_expiries.clear();
  for (const VmId& id : names) hand_over.recorded_expiries[id] = cell.workers.at(id).lease.Expiry();
  hand_over.maybe_recorded_workers.insert(names.begin(), names.end());
  hand_over.maybe_recorded_witnesses.insert(witnesses.begin(), witnesses.end());
  hand_over.pending_witnesses = witnesses;
  hand_over.pending_addresses = KnownAddresses(cell);

  WriteRecords write;
  write.expected = {ExpectedRecord{CellKey(cell.cell), cell.grant},
                    ExpectedRecord{HandOverKey(cell.cell), hand_over.revision}};
  write.puts.push_back(
      RecordPut{HandOverKey(cell.cell), Encode(MakeHandOverRecord(state, cell, names)), 0});
  hand_over.pending_workers = std::move(names);
  hand_over.write_request = CallStore(state, effects, HandOverWritten{cell.cell, cell.grant},
                                      std::move(write), kRecordTimeout);
}

}  // namespace

void ReadHandOver(State& state, Effects& effects, OwnedCell& cell) {
  HandOverState& hand_over = cell.hand_over;
  if (hand_over.known || hand_over.read_request != 0) return;

  if (state.now < hand_over.read_at) {
    WakeAt(state, hand_over.read_at);
    return;
  }

  hand_over.read_request = CallStore(state, effects, HandOverRead{cell.cell, cell.grant},
                                     ReadRecord{HandOverKey(cell.cell)});
}

void HandleHandOverRead(State& state, Effects& effects, const HandOverRead& read,
                        const StoreReply& reply) {
  OwnedCell* cell = FindCell(state, read.cell, read.grant);
  if (cell == nullptr) return;

  HandOverState& hand_over = cell->hand_over;
  hand_over.read_request = 0;

  if (reply.status != StoreStatus::kOk && reply.status != StoreStatus::kNotFound) {
    hand_over.read_at = state.now + kStoreRetryDelay;
    return;
  }

  hand_over.known = true;
  hand_over.default_expiry = LongestFormerLeases(cell->taken_over_at);
  if (reply.items.empty()) return;

  const StoreItem& item = reply.items.front();
  hand_over.revision = item.revision;
  Result<HandOverRecord> record = DecodeHandOver(item.value);
  if (!record) return LogUnreadable(effects, item, record.error());

  // The former owner wrote the record before this grant.
  InheritLeases(hand_over, *record, cell->taken_over_at);
  hand_over.addresses = record->addresses;
  if (record->owner.Empty()) hand_over.default_expiry = cell->taken_over_at;

  Log(effects, Severity::kInfo, "read the former owner's handover record",
      {{"cell", read.cell.Text()},
       {"former_owner", record->owner.Empty() ? "released the cell" : record->owner.Text()},
       {"former_grant", std::to_string(record->grant)},
       {"leases", std::to_string(record->leases.size())}});
  hand_over.former = *std::move(record);
}

bool AwaitsFormerLeases(const State& state, const OwnedCell& cell) {
  return std::ranges::any_of(cell.workers, [&](const auto& row) {
    const WorkerState& worker = row.second;
    return !worker.contacted && MayHaveRuns(worker) && worker.lease.inherited > state.now;
  });
}

void ShortenWaits(const State& state, Effects& effects, OwnedCell& cell, std::string_view reason) {
  for (auto& [id, worker] : cell.workers) {
    if (worker.contacted) continue;

    const Millis expiry = std::min(worker.lease.inherited, InheritedExpiry(cell, id));
    if (expiry == worker.lease.inherited) continue;

    worker.lease.inherited = expiry;
    worker.needs_update = true;
    if (!MayHaveRuns(worker)) continue;

    Log(effects, Severity::kInfo,
        "leases of a worker that has not answered expire earlier than assumed",
        {{"worker", id.Text()},
         {"rest_ms", std::to_string(Remaining(worker.lease.Expiry(), state.now).Count())},
         {"tasks", std::to_string(worker.tasks.size())},
         {"inherited_jobs", std::to_string(worker.inherited_jobs.size())},
         {"proof", std::string(reason)}});
  }
}

Millis InheritedExpiry(const OwnedCell& cell, const VmId& worker) {
  const auto named = cell.hand_over.expiries.find(worker);
  return named == cell.hand_over.expiries.end() ? cell.hand_over.default_expiry : named->second;
}

void UpdateHandOver(State& state, Effects& effects, OwnedCell& cell) {
  if (!cell.hand_over.former.owner.Empty()) CheckForNewIncarnation(state, effects, cell);
  if (!cell.hand_over.former.owner.Empty()) AskFormerOwner(state, effects, cell);
  if (!cell.hand_over.former.owner.Empty()) AskForDenial(state, effects, cell);

  WriteHandOver(state, effects, cell);
}

void HandleHandOverWritten(State& state, Effects& effects, const HandOverWritten& written,
                           const StoreReply& reply) {
  OwnedCell* cell = FindCell(state, written.cell, written.grant);
  if (cell == nullptr) return;

  HandOverState& hand_over = cell->hand_over;
  hand_over.write_request = 0;

  switch (reply.status) {
    case StoreStatus::kOk:
      return MarkWritten(hand_over, reply.revision, std::move(hand_over.pending_workers),
                         std::move(hand_over.pending_addresses),
                         std::move(hand_over.pending_witnesses));
    case StoreStatus::kConflict:
      break;
    case StoreStatus::kUnknown:
      hand_over.write_at = state.now;
      return;
    default:
      hand_over.write_at = state.now + kStoreRetryDelay;
      return;
  }

  for (const StoreItem& item : reply.items) {
    if (item.key == CellKey(written.cell) && (item.removed || item.revision != written.grant)) {
      DropCell(state, effects, written.cell, "the store no longer has this entry's grant");
      ApplyRecord(state, effects, item);
      return;
    }

    if (item.key != HandOverKey(written.cell)) continue;

    const Result<HandOverRecord> record = DecodeHandOver(item.value);
    const bool own = record && record->grant == written.grant;
    hand_over.revision = item.revision;
    hand_over.write_at = state.now;
    // The record comes from an earlier write whose reply was lost.
    if (own) {
      MarkWritten(hand_over, item.revision, NamedWorkers(*record), record->addresses,
                  record->witnesses.value_or(std::map<EntryInstance, Address>()));
    }
  }
}

bool ReplacesFormerRecord(const OwnedCell& cell) {
  return cell.open ||
         std::ranges::any_of(cell.workers, [](const auto& row) { return row.second.contacted; });
}

bool IsRecordedAsSilent(const OwnedCell& cell, const WorkerState& worker) {
  const HandOverState& hand_over = cell.hand_over;
  const VmId& id = worker.info.id;
  return hand_over.recorded_workers.contains(id) || hand_over.maybe_recorded_workers.contains(id);
}

bool MayRenewLease(const OwnedCell& cell, const WorkerState& worker) {
  if (!cell.hand_over.written || !worker.contacted) return false;
  if (cell.release_request != 0 || cell.maybe_released) return false;

  return !IsRecordedAsSilent(cell, worker);
}

void ApplyHandOverAnswer(State& state, Effects& effects, const CellId& id, const StoreItem& item) {
  const auto cell = state.cells.find(id);
  if (cell == state.cells.end()) return;

  const Result<HandOverRecord> leases = DecodeHandOver(item.value);
  if (!leases) return LogUnreadable(effects, item, leases.error());

  const HandOverRecord& former = cell->second.hand_over.former;
  // The record of an owner in between hides whose leases these are, but they come from an entry
  // that probably reaches the workers.
  if (former.owner.Empty() || former.grant != leases->grant) {
    return PollUncontactedWorkers(state, cell->second);
  }

  ApplyFormerLeases(state, effects, cell->second, *leases);
}

}  // namespace currantpost::scheduler
