#include "cell_release.h"

#include <optional>
#include <utility>

#include "owner_choice.h"

/// Release of cells: to an entry that has accepted the cell, in the same write, or to nobody in
/// particular if no entry accepts it in time.

namespace currantpost::scheduler {
namespace {

/// A cell is passed on to another entry only if that entry has been up, and the cell has been
/// owned, for this time. Otherwise entries that are restarted one after the other would pass cells
/// back and forth.
constexpr Millis kRebalanceMinAge = Millis(3'000);
/// How long the reply to an offer is awaited. The other entry first reads the progress of the cell
/// for up to 1.5 s, and an entry that is short of processor time, which has the most reason to pass
/// a cell on, handles the reply two seconds late.
constexpr Millis kOfferTimeout = Millis(3'500);
/// The same at an entry that stops.
constexpr Millis kOfferTimeoutAtStop = Millis(500);
/// Pause after an offer that was not accepted. An entry that stops makes no pause.
constexpr Millis kOfferPause = Millis(1'000);
/// Number of entries to which an entry that stops offers a cell before it releases it to nobody. It
/// has seconds to stop, and no task starts in its cells meanwhile.
constexpr size_t kOffersAtStop = 3;
/// How long an acceptance holds, until the last write of the cell's owner is answered.
constexpr Millis kAcceptanceTime = Millis(2'000);
/// Maximum number of times that the pause between two offers to an entry is doubled which could not
/// read the progress in time. It will not be able to soon.
constexpr int32_t kMaxOfferPauseDoublings = 5;

/// Returns whether an owner has had enough time to read the recorded progress of a cell and has not
/// done so. Until then it keeps no run alive there.
bool IsReadOverdue(const State& state, const OwnedCell& cell) {
  return !cell.progress_known && state.now - cell.taken_over_at >= kRebalanceMinAge;
}

void SendOffer(State& state, Effects& effects, OwnedCell& cell, const EntryId& to) {
  const EntryRecord& record = state.view.entries.at(to).record;
  cell.successor = Successor{.instance = {to, record.incarnation}, .asked_at = state.now};
  WakeAt(state, state.now + kOfferTimeoutAtStop);
  const TransferOffer offer{.grant = cell.grant,
                            .number = ++cell.last_offer,
                            .successor_incarnation = record.incarnation,
                            .stopping = state.stopping,
                            .reply_to = state.settings.peer_address};
  PushMessage(effects, record.peer_address, kTransferOfferPrefix, cell.cell.Text(), Encode(offer));
}

bool HasAccepted(const OwnedCell& cell) { return cell.successor && cell.successor->lease != 0; }

/// Forgets an offer or an acceptance. A cell whose release may have taken effect stays in release:
/// a release without successor shows whether it has.
void GiveUpOffer(const State& state, OwnedCell& cell) {
  cell.successor.reset();
  cell.next_offer = state.now + kOfferPause;
  if (!state.stopping && !cell.maybe_released) cell.releasing = false;
}

/// Gives up an offer that was not accepted in time, and an acceptance that no longer holds.
void ExpireOffer(State& state, OwnedCell& cell) {
  if (!cell.successor) return;

  const Millis timeout = state.stopping ? kOfferTimeoutAtStop : kOfferTimeout;
  const Millis until = HasAccepted(cell) ? cell.successor->accepted_at + kAcceptanceTime
                                         : cell.successor->asked_at + timeout;

  if (state.now < until) {
    WakeAt(state, until);
    return;
  }

  GiveUpOffer(state, cell);
}

/// Offers a cell to the next best entry. Returns false if it was offered to enough of them.
bool OfferAtStop(State& state, Effects& effects, OwnedCell& cell) {
  if (cell.offers_at_stop >= kOffersAtStop) return false;

  size_t rank = 0;

  for (const OwnerCandidate& other : RankedCandidates(state, cell.cell, CellsByOwner(state))) {
    if (other.entry == state.settings.entry || rank++ < cell.offers_at_stop) continue;

    ++cell.offers_at_stop;
    SendOffer(state, effects, cell, other.entry);
    return true;
  }

  return false;
}

/// Returns whether an entry may still accept the cell.
bool AwaitsSuccessor(State& state, Effects& effects, OwnedCell& cell) {
  if (HasAccepted(cell) || cell.maybe_released) return false;
  if (cell.successor) return true;

  return state.stopping && OfferAtStop(state, effects, cell);
}

/// Returns the items by which others learn of a release.
std::vector<StoreItem> ReleaseItems(const State& state, const CellReleased& released,
                                    KvRevision revision) {
  std::vector<StoreItem> items;

  if (state.stopping) {
    items.push_back(
        StoreItem{.key = EntryKey(state.settings.entry), .revision = revision, .removed = true});
  }

  StoreItem cell{.key = CellKey(released.cell), .revision = revision};

  if (released.successor) {
    cell.lease = released.successor->lease;
    cell.value = Encode(
        CellRecord{released.successor->instance.entry, released.successor->instance.incarnation});
  } else {
    cell.removed = true;
  }

  items.push_back(std::move(cell));
  return items;
}

/// Returns the entry that owns a released cell now, or the one that should claim it.
std::optional<EntryId> EntryToNotify(const State& state, const CellReleased& released) {
  if (released.successor) return released.successor->instance.entry;

  const std::vector<OwnerCandidate> candidates =
      RankedCandidates(state, released.cell, CellsByOwner(state));
  if (candidates.empty()) return std::nullopt;

  return candidates.front().entry;
}

/// Applies the release of a cell, and notifies the entry that owns it now or should claim it.
void NotifySuccessor(State& state, Effects& effects, const CellReleased& released,
                     KvRevision revision) {
  const std::vector<StoreItem> items = ReleaseItems(state, released, revision);
  for (const StoreItem& item : items) ApplyRecord(state, effects, item);

  const std::optional<EntryId> to = EntryToNotify(state, released);
  if (!to) return;

  const auto entry = state.view.entries.find(*to);
  if (entry == state.view.entries.end()) return;

  effects.emplace_back(PushRecords{entry->second.record.peer_address, items});
}

/// Releases a cell as soon as no write or order is in flight there and no entry may still accept
/// it. Orders that stop tasks may be in flight.
void ReleaseWhenIdle(State& state, Effects& effects, OwnedCell& cell) {
  if (cell.release_request != 0 || cell.write.request != 0) return;
  if (cell.hand_over.write_request != 0) return;

  // Stop orders in flight do not delay the release: a stop that arrives late is still useful or has
  // no effect, and it may never be answered.
  const bool busy = std::ranges::any_of(cell.workers, [](const auto& row) {
    const WorkerState& worker = row.second;
    return worker.order_request != 0 && !std::holds_alternative<StopTask>(worker.order);
  });
  const bool moving = std::ranges::any_of(cell.jobs, [](const auto& row) {
    return row.second.move.has_value() || row.second.loan.has_value();
  });
  if (busy || moving || !cell.dirty.empty()) return;
  if (AwaitsSuccessor(state, effects, cell)) return;

  WriteRecords write;
  write.expected.push_back(ExpectedRecord{CellKey(cell.cell), cell.grant});
  write.removals = {LoadKey(cell.cell)};

  if (HasAccepted(cell)) {
    const EntryInstance& to = cell.successor->instance;
    write.puts.push_back(RecordPut{CellKey(cell.cell), Encode(CellRecord{to.entry, to.incarnation}),
                                   cell.successor->lease});
    write.puts.push_back(RecordPut{GrantKey(cell.cell), to.entry.Text(), 0});
  } else {
    write.removals.push_back(CellKey(cell.cell));
  }

  // An owner that has renewed no lease leaves its predecessor's record unchanged.
  if (cell.hand_over.written || (cell.polled_since && ReplacesFormerRecord(cell))) {
    write.puts.push_back(
        RecordPut{HandOverKey(cell.cell), Encode(RemainingLeases(state, cell)), 0});
  }
  // Once the entry's own record is removed, the other entries no longer rank it, so they do not
  // wait for it to claim the cell.
  if (state.stopping) write.removals.push_back(EntryKey(state.settings.entry));
  cell.release_request = CallStore(
      state, effects, CellReleased{cell.cell, cell.grant, cell.successor}, std::move(write));
}

}  // namespace

void UpdateRelease(State& state, Effects& effects, OwnedCell& cell) {
  if (cell.release_request == 0) ExpireOffer(state, cell);
  if (cell.releasing) ReleaseWhenIdle(state, effects, cell);
}

void RebalanceCells(State& state, Effects& effects, const std::map<EntryId, size_t>& owned) {
  if (state.stopping || !HoldsLease(state)) return;

  // The cells of an entry that is behind may stay closed for long, and another entry can open them.
  const bool behind = !IsCaughtUp(state);
  const bool busy = std::ranges::any_of(state.cells, [&](const auto& row) {
    const OwnedCell& cell = row.second;
    const bool opening = !cell.open && !behind && !IsReadOverdue(state, cell);
    return cell.releasing || cell.successor || opening;
  });
  if (busy) return;

  for (auto& [id, cell] : state.cells) {
    if (state.now - cell.taken_over_at < kRebalanceMinAge || state.now < cell.next_offer) continue;
    // The next owner could not ask whose leases these are.
    if (AwaitsFormerLeases(state, cell)) continue;

    const std::optional<EntryId> better =
        BetterOwner(state, id, owned, kRebalanceMinAge, behind || IsReadOverdue(state, cell));
    if (!better) continue;

    Log(effects, Severity::kInfo, "offering a cell to a better suited entry",
        {{"cell", id.Text()},
         {"entry", better->Text()},
         {"cells", std::to_string(state.cells.size())}});
    SendOffer(state, effects, cell, *better);
    return;
  }
}

void ApplyTransferReply(State& state, Effects& effects, const CellId& id, const StoreItem& item) {
  const Result<TransferReply> reply = DecodeTransferReply(item.value);
  if (!reply) return LogUnreadable(effects, item, reply.error());

  OwnedCell* cell = FindCell(state, id, reply->grant);
  if (cell == nullptr || !cell->successor || HasAccepted(*cell) || cell->release_request != 0)
    return;

  if (reply->number != cell->last_offer) return;

  const EntryId& entry = cell->successor->instance.entry;

  if (reply->read_too_long) {
    state.slow_readers[entry].Extend(state.now, kOfferPause, kMaxOfferPauseDoublings);
  }

  if (reply->lease == 0) return GiveUpOffer(state, *cell);

  state.slow_readers.erase(entry);
  cell->successor->lease = reply->lease;
  cell->successor->accepted_at = state.now;
  cell->releasing = true;
}

void HandleCellReleased(State& state, Effects& effects, const CellReleased& released,
                        const StoreReply& reply) {
  const CellId& id = released.cell;
  NoteClaimAnswered(state, id);

  OwnedCell* cell = FindCell(state, id, released.grant);

  if (cell != nullptr) {
    cell->release_request = 0;
    if (reply.status == StoreStatus::kUnknown) cell->maybe_released = true;
    // The lease of the entry that had accepted the cell has ended.
    if (reply.status == StoreStatus::kNotFound) GiveUpOffer(state, *cell);
  }

  if (reply.status == StoreStatus::kOk) {
    NotifySuccessor(state, effects, released, reply.revision);
    return;
  }

  if (reply.status != StoreStatus::kConflict) return;

  if (cell != nullptr) {
    DropCell(state, effects, id, "an earlier request already released the cell");
  }
  for (const StoreItem& item : reply.items) ApplyRecord(state, effects, item);
}

}  // namespace currantpost::scheduler
