#include <optional>
#include <utility>

#include "cell_release.h"
#include "owner_choice.h"

/// Ownership of cells. docs/design/platform.md explains why a single grant in the store is enough.

namespace currantpost::scheduler {
namespace {

/// Additional delay per rank before an entry claims a cell that a better ranked entry should claim.
constexpr Millis kClaimRankDelay = Millis(400);
/// The same from this rank on: if so many better ranked entries claim nothing, the others probably
/// don't either. The cell must have an owner before the leases of its workers end, and the claims
/// of many entries must not reach the store together.
constexpr int64_t kLateClaimRank = 4;
constexpr Millis kLateClaimRankDelay = Millis(20);
/// How long after its registration an entry claims no cell beyond what its processor can serve, for
/// each multiple of that, up to the maximum. The first entry that has a lease after an outage of
/// the store knows of no other, and the others claim their share within that time.
constexpr Millis kOverburdenedClaimDelay = Millis(1'500);
constexpr int64_t kMaxClaimDelays = 4;
/// Maximum interval between evaluations of which entry should own which cell.
constexpr Millis kMaxOwnershipReviewInterval = Millis(500);
/// Delay before a claim that failed or has an unknown outcome is retried.
constexpr Millis kClaimRetry = Millis(500);

void SendClaim(State& state, Effects& effects, const CellId& id, OrphanedCell& orphan) {
  WriteRecords write;
  write.expected.push_back(ExpectedRecord{CellKey(id), 0});
  write.puts.push_back(
      RecordPut{CellKey(id), Encode(CellRecord{state.settings.entry, state.settings.incarnation}),
                state.lease.lease});
  write.puts.push_back(RecordPut{GrantKey(id), state.settings.entry.Text(), 0});
  orphan.claim = CallStore(state, effects, CellClaimed{id}, std::move(write));
}

/// Returns the earliest time at which this entry may claim a cell, the others being as known.
Millis ClaimTime(const State& state, const OrphanedCell& orphan, size_t rank,
                 const OwnerCandidate& self) {
  const auto early_ranks = std::min(static_cast<int64_t>(rank), kLateClaimRank);
  const int64_t late_ranks = static_cast<int64_t>(rank) - early_ranks;
  const Millis ranked =
      orphan.since + kClaimRankDelay * early_ranks + kLateClaimRankDelay * late_ranks;
  const Millis at = std::max(ranked, orphan.retry_at);
  if (!self.suitability.overburdened) return at;

  const int64_t delays = std::min(Overload(self.burden), kMaxClaimDelays);
  return std::max(at, state.lease.registered_at + kOverburdenedClaimDelay * delays);
}

/// Returns whether a claim is in flight.
bool ClaimWhenDue(State& state, Effects& effects, const CellId& id, size_t rank,
                  const OwnerCandidate& self) {
  OrphanedCell& orphan = state.orphans[id];
  if (orphan.claim != 0) return true;

  const Millis at = ClaimTime(state, orphan, rank, self);
  if (state.now < at) {
    WakeAt(state, at);
    return false;
  }

  SendClaim(state, effects, id, orphan);
  return true;
}

/// Returns whether this entry knows all entries that had registered before it.
bool KnowsEarlierEntries(const State& state) {
  const auto members = state.feeds.find(Feed::kMembers);
  if (members == state.feeds.end() || !members->second.synced) return false;

  return members->second.revision >= state.lease.registered_revision;
}

/// Releases a grant that this entry still has in the store and does not use, because it dropped the
/// cell when it wrongly assumed to have lost it. Otherwise no entry could claim the cell until
/// the lease ends.
void ReleaseUnusedGrant(State& state, Effects& effects, const CellId& id, const CellView& view) {
  const bool own = view.record.owner == state.settings.entry &&
                   view.record.incarnation == state.settings.incarnation;
  if (!own || state.cells.contains(id)) return;

  OrphanedCell& orphan = state.orphans[id];
  if (orphan.claim != 0) return;

  if (state.now < orphan.retry_at) {
    WakeAt(state, orphan.retry_at);
    return;
  }

  WriteRecords write;
  write.expected.push_back(ExpectedRecord{CellKey(id), view.revision});
  write.removals = {CellKey(id)};
  orphan.claim = CallStore(state, effects, CellReleased{id, view.revision}, std::move(write));
}

/// Claims the cells without an owner that this entry should own. All entries distribute the cells
/// in the same order and count those already distributed, so that no entry gets too many.
void ClaimOrphanedCells(State& state, Effects& effects, std::map<EntryId, size_t> owned) {
  if (!HoldsLease(state) || !state.lease.registered || state.stopping) return;
  if (!KnowsEarlierEntries(state)) return;

  for (const CellId& id : AllCells(state)) {
    const auto view = state.view.cells.find(id);

    if (view != state.view.cells.end()) {
      ReleaseUnusedGrant(state, effects, id, view->second);
      // The next period without an owner is measured from its own start.
      const auto former = state.orphans.find(id);
      if (former != state.orphans.end()) former->second.since = Millis(0);
      continue;
    }

    const std::vector<OwnerCandidate> candidates = RankedCandidates(state, id, owned);
    if (candidates.empty()) return;

    ++owned[candidates.front().entry];
    const auto self = std::ranges::find(candidates, state.settings.entry, &OwnerCandidate::entry);
    if (self == candidates.end()) continue;

    OrphanedCell& orphan = state.orphans[id];
    if (orphan.since == Millis(0)) orphan.since = state.now;
    const auto rank = static_cast<size_t>(self - candidates.begin());
    const bool claimed = ClaimWhenDue(state, effects, id, rank, *self);
    // The best candidate may not be claiming its cells at all.
    if (claimed && rank > 0) ++owned[state.settings.entry];
  }
}

/// Claims cells and releases cells to better owners. This iterates over all cells and entries, so
/// it is skipped until a record has changed or `due_at` is reached.
void UpdateOwnership(State& state, Effects& effects) {
  OwnershipRound& round = state.ownership;

  if (!std::exchange(round.records_changed, false) && state.now < round.due_at) {
    WakeAt(state, round.due_at);
    return;
  }

  const Millis wake_at = std::exchange(state.wake_at, state.now + kMaxOwnershipReviewInterval);
  const std::map<EntryId, size_t> owned = CellsByOwner(state);
  ExtendLayout(state, effects);
  ClaimOrphanedCells(state, effects, owned);
  RebalanceCells(state, effects, owned);
  round.due_at = std::exchange(state.wake_at, wake_at);
  WakeAt(state, round.due_at);
}

}  // namespace

OwnedCell* FindOpenCell(State& state, const CellId& id) {
  const auto cell = state.cells.find(id);
  return cell == state.cells.end() || !cell->second.open ? nullptr : &cell->second;
}

std::optional<Address> OwnerAddress(const State& state, const CellId& cell) {
  const auto owner = state.view.cells.find(cell);
  if (owner == state.view.cells.end()) return std::nullopt;

  const EntryId& id = owner->second.record.owner;
  const auto entry = state.view.entries.find(id);
  if (entry == state.view.entries.end() || id == state.settings.entry) return std::nullopt;

  return entry->second.record.peer_address;
}

void PushMessage(Effects& effects, const Address& peer, std::string_view prefix,
                 std::string_view name, std::string value) {
  StoreItem message{.key = std::string(prefix).append(name), .value = std::move(value)};
  effects.emplace_back(PushRecords{peer, {std::move(message)}});
}

void PushToOwner(State& state, Effects& effects, const CellId& cell, StoreItem item) {
  if (const auto owner = OwnerAddress(state, cell)) {
    effects.emplace_back(PushRecords{*owner, {std::move(item)}});
  }
}

std::string_view DataCentreOf(const CellId& cell) {
  const std::string_view text = cell.Text();
  return text.substr(0, text.rfind('/'));
}

std::set<CellId> AllCells(const State& state) {
  std::set<CellId> cells;
  for (const auto& [rack, cell] : state.view.layout.cell_of_rack) cells.insert(cell);
  return cells;
}

void UpdateCells(State& state, Effects& effects) {
  UpdateOwnership(state, effects);

  for (auto& [id, cell] : state.cells) {
    UpdateRelease(state, effects, cell);
  }
}

void NoteClaimAnswered(State& state, const CellId& id) {
  OrphanedCell& orphan = state.orphans[id];
  orphan.claim = 0;
  orphan.retry_at = state.now + kClaimRetry;
}

void HandleCellClaimed(State& state, Effects& effects, const CellId& id, const StoreReply& reply) {
  NoteClaimAnswered(state, id);

  if (reply.status == StoreStatus::kOk) {
    ApplyRecord(
        state, effects,
        StoreItem{.key = CellKey(id),
                  .revision = reply.revision,
                  .lease = state.lease.lease,
                  .value = Encode(CellRecord{state.settings.entry, state.settings.incarnation})});
    return;
  }

  // After an unknown outcome, the watch shows whether the claim took effect.
  for (const StoreItem& item : reply.items) ApplyRecord(state, effects, item);
}

OwnedCell* FindCell(State& state, const CellId& id, KvRevision grant) {
  const auto cell = state.cells.find(id);
  if (cell == state.cells.end() || cell->second.grant != grant) return nullptr;

  return &cell->second;
}

void AcquireCell(State& state, Effects& effects, const CellId& id, KvRevision grant) {
  OwnedCell& cell = state.cells[id];
  cell.cell = id;
  cell.grant = grant;
  cell.taken_over_at = state.now;
  cell.releasing = state.stopping;
  const auto orphan = state.orphans.find(id);
  const bool was_seen = orphan != state.orphans.end() && orphan->second.since > Millis(0);
  const Millis ownerless = was_seen ? state.now - orphan->second.since : Millis(0);
  state.orphans.erase(id);

  for (auto& [job_id, job] : state.view.jobs) {
    if (job.progress_cell == id) ResetProgress(job);
  }

  Log(effects, Severity::kInfo, "took cell",
      {{"cell", id.Text()},
       {"grant", std::to_string(grant)},
       {"ownerless_ms", std::to_string(ownerless.Count())}});
}

void DropCell(State& state, Effects& effects, const CellId& id, std::string_view reason) {
  LogCellGivenUp(state, effects, state.cells.at(id), reason);
  LogPendingLeaseWaits(state, effects, state.cells.at(id));
  RememberFormerLeases(state, state.cells.at(id));
  state.cells.erase(id);
}

}  // namespace currantpost::scheduler
