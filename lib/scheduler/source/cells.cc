#include <xxhash.h>

#include <optional>
#include <utility>

#include "internal.h"

/// Ownership of cells. docs/design/platform.md explains why a single grant in the store is enough.

namespace currantpost::scheduler {
namespace {

/// Target number of workers per cell. Larger cells improve placement. Smaller cells reduce the
/// effect of losing an owner, and spread the work over more entries.
constexpr size_t kWorkersPerCell = 16;
/// Interval between checks for racks without a cell.
constexpr Millis kLayoutInterval = Millis(1'000);
/// New racks are assigned to cells once no further worker of them has appeared for this time, which
/// is longer than the interval between reads of the registry. The workers of a rack register over
/// one heartbeat interval. If a rack were assigned by its first worker alone, its cell would get
/// far too many workers.
constexpr Millis kRegistrySettleTime = Millis(1'000);
/// New racks are assigned to cells after this time in any case: two heartbeat intervals plus
/// `kRegistrySettleTime`.
constexpr Millis kMaxLayoutDelay = Millis(4'000);
/// Additional delay per rank before an entry claims a cell that a better ranked entry should claim.
constexpr Millis kClaimRankDelay = Millis(400);
/// How long after its registration an entry claims no cell beyond what its processor can serve, for
/// each multiple of that, up to the maximum. The first entry that has a lease after an outage of
/// the store knows of no other, and the others claim their share within that time.
constexpr Millis kOverburdenedClaimDelay = Millis(1'500);
constexpr int64_t kMaxClaimDelays = 4;
/// A cell is released to another entry only if that entry has been up, and the cell has been owned,
/// for this time. Otherwise entries that are restarted one after the other would pass cells back
/// and forth.
constexpr Millis kRebalanceMinAge = Millis(3'000);
/// Scale of the integer ratio of cells to thousandths of a core.
constexpr int64_t kBurdenScale = 1'000'000;
/// Thousandths of a core that an entry needs per cell. A busy cell of 16 workers takes up to 0.04
/// of a core. An entry with less per cell falls behind, so that any other entry is a better owner.
constexpr int64_t kMillicoresPerCell = 50;
/// Maximum interval between evaluations of which entry should own which cell.
constexpr Millis kMaxOwnershipReviewInterval = Millis(500);
/// Delay before a claim that failed or has an unknown outcome is retried.
constexpr Millis kClaimRetry = Millis(500);

uint64_t RendezvousHash(const EntryId& entry, const CellId& cell) {
  const std::string text = entry.Text() + "/" + cell.Text();
  return XXH64(text.data(), text.size(), 0);
}

std::map<EntryId, size_t> CellsByOwner(const State& state) {
  std::map<EntryId, size_t> owned;
  for (const auto& [id, cell] : state.view.cells) ++owned[cell.record.owner];

  return owned;
}

/// Returns the scaled number of cells per thousandth of a core of an entry. A cell takes the same
/// work on every entry, and an entry that runs out of processor time falls seconds behind.
int64_t Burden(size_t cells, int64_t millicores) {
  return static_cast<int64_t>(cells) * kBurdenScale / std::max<int64_t>(millicores, 1);
}

size_t CellsOf(const std::map<EntryId, size_t>& owned, const EntryId& entry) {
  const auto count = owned.find(entry);
  return count == owned.end() ? 0 : count->second;
}

/// Returns how many times over an entry with this burden has as many cells as it can serve.
int64_t Overload(int64_t burden) { return burden * kMillicoresPerCell / kBurdenScale; }

/// How well an entry suits a cell. The smallest value is best. Entries in the cell's own data
/// centre come first unless they are overburdened, because workers in a data centre that is cut off
/// are unreachable for all entries elsewhere.
struct Suitability {
  bool overburdened = false;
  bool other_data_centre = false;

  auto operator<=>(const Suitability&) const = default;  // NOLINT(modernize-use-nullptr): false
};

Suitability SuitabilityOf(const CellId& cell, const DataCentreId& data_centre, int64_t burden) {
  return Suitability{.overburdened = burden > kBurdenScale / kMillicoresPerCell,
                     .other_data_centre = data_centre.Text() != DataCentreOf(cell)};
}

/// An entry that may own a cell. Among equally suitable entries, the one with the lowest burden
/// comes first.
struct OwnerCandidate {
  Suitability suitability;
  /// Burden of the entry including this cell.
  int64_t burden = 0;
  uint64_t hash = 0;
  EntryId entry;

  auto operator<=>(const OwnerCandidate&) const = default;  // NOLINT(modernize-use-nullptr): false
};

/// Returns the live entries in the order in which they should claim a cell.
std::vector<OwnerCandidate> RankedCandidates(const State& state, const CellId& cell,
                                             const std::map<EntryId, size_t>& owned) {
  std::vector<OwnerCandidate> candidates;

  for (const auto& [id, entry] : state.view.entries) {
    const int64_t burden = Burden(CellsOf(owned, id) + 1, entry.record.millicores);
    candidates.push_back(
        OwnerCandidate{.suitability = SuitabilityOf(cell, entry.record.data_centre, burden),
                       .burden = burden,
                       .hash = RendezvousHash(id, cell),
                       .entry = id});
  }

  std::ranges::sort(candidates);
  return candidates;
}

void SendClaim(State& state, Effects& effects, const CellId& id, OrphanedCell& orphan) {
  WriteRecords write;
  write.expected.push_back(ExpectedRecord{CellKey(id), 0});
  write.puts.push_back(
      RecordPut{CellKey(id), Encode(CellRecord{state.settings.entry, state.settings.incarnation}),
                state.lease.lease});
  orphan.claim = CallStore(state, effects, CellClaimed{id}, std::move(write));
}

/// Returns the earliest time at which this entry may claim a cell, the others being as known.
Millis ClaimTime(const State& state, const OrphanedCell& orphan, size_t rank,
                 const OwnerCandidate& self) {
  const Millis ranked = orphan.since + kClaimRankDelay * static_cast<int64_t>(rank);
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

/// Returns whether another entry, up for at least `kRebalanceMinAge`, is a better owner of a cell:
/// it is more suitable, or equally suitable and its burden with this cell and one more is not above
/// this entry's. With a smaller difference, that entry would soon release the cell in turn.
bool HasBetterOwner(const State& state, const CellId& id, const std::map<EntryId, size_t>& owned) {
  const int64_t own_burden = Burden(state.cells.size(), state.settings.millicores);
  const Suitability own = SuitabilityOf(id, state.settings.data_centre, own_burden);

  return std::ranges::any_of(state.view.entries, [&](const auto& row) {
    const auto& [entry_id, entry] = row;
    if (entry_id == state.settings.entry) return false;
    if (state.now - entry.seen_at < kRebalanceMinAge) return false;

    const size_t cells = CellsOf(owned, entry_id);
    const int64_t millicores = entry.record.millicores;
    const Suitability other =
        SuitabilityOf(id, entry.record.data_centre, Burden(cells + 1, millicores));
    if (other != own) return other < own;

    return Burden(cells + 2, millicores) <= own_burden;
  });
}

/// Starts to release a cell that has a better owner. Only one cell at a time, because no tasks
/// start in it meanwhile.
void RebalanceCells(State& state, Effects& effects, const std::map<EntryId, size_t>& owned) {
  if (state.stopping || !HoldsLease(state)) return;

  const bool busy = std::ranges::any_of(
      state.cells, [](const auto& row) { return row.second.releasing || !row.second.open; });
  if (busy) return;

  for (auto& [id, cell] : state.cells) {
    if (state.now - cell.taken_over_at < kRebalanceMinAge) continue;
    if (!HasBetterOwner(state, id, owned)) continue;

    Log(effects, Severity::kInfo, "releasing a cell to a better suited entry",
        {{"cell", id.Text()}, {"cells", std::to_string(state.cells.size())}});
    cell.releasing = true;
    return;
  }
}

/// Returns the layout with each rack without a cell assigned to the smallest cell of its data
/// centre that has space left, or to a new cell. Returns nothing if there are no such racks.
std::optional<LayoutRecord> ExtendedLayout(const State& state) {
  std::map<RackId, size_t> rack_sizes;
  std::map<RackId, DataCentreId> places;

  for (const auto& [id, worker] : state.registry) {
    ++rack_sizes[worker.rack];
    places[worker.rack] = worker.data_centre;
  }

  LayoutRecord layout = state.view.layout;
  std::map<CellId, size_t> cell_sizes;
  for (const auto& [rack, cell] : layout.cell_of_rack) cell_sizes[cell] += rack_sizes[rack];

  bool extended = false;

  for (const auto& [rack, place] : places) {
    if (layout.cell_of_rack.contains(rack)) continue;

    std::optional<CellId> chosen;
    size_t cells_there = 0;

    for (const auto& [cell, size] : cell_sizes) {
      if (DataCentreOf(cell) != place.Text()) continue;

      ++cells_there;
      const bool fits = size + rack_sizes[rack] <= kWorkersPerCell;
      if (fits && (!chosen || size < cell_sizes[*chosen])) chosen = cell;
    }

    if (!chosen) chosen = CellId(place.Text() + "/" + std::to_string(cells_there));
    layout.cell_of_rack[rack] = *chosen;
    cell_sizes[*chosen] += rack_sizes[rack];
    extended = true;
  }

  if (!extended) return std::nullopt;
  return layout;
}

/// Returns whether the workers of new racks have probably all registered.
bool NewRacksAreComplete(State& state) {
  NewRacks& fresh = state.new_racks;

  if (std::exchange(fresh.recount, false)) {
    const auto is_new = [&](const auto& row) {
      return !state.view.layout.cell_of_rack.contains(row.second.rack);
    };
    const auto workers = static_cast<size_t>(std::ranges::count_if(state.registry, is_new));
    if (fresh.workers == 0) fresh.since = state.now;
    if (fresh.workers != workers) fresh.changed_at = state.now;
    fresh.workers = workers;
  }

  if (fresh.workers == 0) return false;

  const Millis known_at =
      std::min(fresh.changed_at + kRegistrySettleTime, fresh.since + kMaxLayoutDelay);
  if (state.now >= known_at) return true;

  WakeAt(state, known_at);
  return false;
}

void ExtendLayout(State& state, Effects& effects) {
  const bool synced = state.feeds[Feed::kWorkers].synced && state.feeds[Feed::kMembers].synced;
  if (!IsCoordinator(state) || !synced || state.layout_request != 0 || !HoldsLease(state)) return;

  if (!NewRacksAreComplete(state)) return;

  if (state.now < state.layout_at) {
    WakeAt(state, state.layout_at);
    return;
  }

  state.layout_at = state.now + kLayoutInterval;
  const std::optional<LayoutRecord> layout = ExtendedLayout(state);
  if (!layout) return;

  Log(effects, Severity::kInfo, "assigning new racks to cells",
      {{"racks", std::to_string(layout->cell_of_rack.size())}});
  WriteRecords write;
  write.expected.push_back(ExpectedRecord{std::string(kLayoutKey), state.view.layout_revision});
  write.puts.push_back(RecordPut{std::string(kLayoutKey), Encode(*layout), 0});
  state.layout_request = CallStore(state, effects, LayoutWritten{}, std::move(write));
}

/// Applies the release of a cell, and notifies the entry that should claim it.
void NotifySuccessor(State& state, Effects& effects, const CellId& id, KvRevision revision) {
  std::vector<StoreItem> removals;

  if (state.stopping) {
    removals.push_back(
        StoreItem{.key = EntryKey(state.settings.entry), .revision = revision, .removed = true});
  }

  removals.push_back(StoreItem{.key = CellKey(id), .revision = revision, .removed = true});
  for (const StoreItem& item : removals) ApplyRecord(state, effects, item);

  const std::vector<OwnerCandidate> candidates = RankedCandidates(state, id, CellsByOwner(state));
  if (candidates.empty()) return;

  const EntryView& successor = state.view.entries.at(candidates.front().entry);
  effects.emplace_back(PushRecords{successor.record.peer_address, removals});
}

/// Releases a cell as soon as no write or order is in flight there. Orders that stop tasks may be.
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

  WriteRecords write;
  write.expected.push_back(ExpectedRecord{CellKey(cell.cell), cell.grant});
  write.removals = {CellKey(cell.cell), LoadKey(cell.cell)};
  // An owner that has renewed no lease leaves its predecessor's record unchanged.
  if (cell.hand_over.written) {
    write.puts.push_back(
        RecordPut{HandOverKey(cell.cell), Encode(RemainingLeases(state, cell)), 0});
  }
  // Once the entry's own record is removed, the other entries no longer rank it, so they do not
  // wait for it to claim the cell.
  if (state.stopping) write.removals.push_back(EntryKey(state.settings.entry));
  cell.release_request =
      CallStore(state, effects, CellReleased{cell.cell, cell.grant}, std::move(write));
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
    if (cell.releasing) ReleaseWhenIdle(state, effects, cell);
  }
}

void HandleCellClaimed(State& state, Effects& effects, const CellId& id, const StoreReply& reply) {
  OrphanedCell& orphan = state.orphans[id];
  orphan.claim = 0;
  orphan.retry_at = state.now + kClaimRetry;

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

void HandleCellReleased(State& state, Effects& effects, const CellReleased& released,
                        const StoreReply& reply) {
  const CellId& id = released.cell;
  OrphanedCell& orphan = state.orphans[id];
  orphan.claim = 0;
  orphan.retry_at = state.now + kClaimRetry;

  if (OwnedCell* cell = FindCell(state, id, released.grant)) {
    cell->release_request = 0;
    if (reply.status == StoreStatus::kUnknown) cell->maybe_released = true;
  }

  if (reply.status == StoreStatus::kOk) {
    NotifySuccessor(state, effects, id, reply.revision);
    return;
  }

  if (reply.status != StoreStatus::kConflict) return;

  if (FindCell(state, id, released.grant) != nullptr) {
    DropCell(state, effects, id, "an earlier request already released the cell");
  }
  for (const StoreItem& item : reply.items) ApplyRecord(state, effects, item);
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
