#include "owner_choice.h"

#include <xxhash.h>

namespace currantpost::scheduler {
namespace {

/// Scale of the integer ratio of cells to thousandths of a core.
constexpr int64_t kBurdenScale = 1'000'000;
/// Thousandths of a core that an entry needs per cell. A busy cell of 16 workers takes up to 0.04
/// of a core. An entry with less per cell falls behind, so that any other entry is a better owner.
constexpr int64_t kMillicoresPerCell = 50;

uint64_t RendezvousHash(const EntryId& entry, const CellId& cell) {
  const std::string text = entry.Text() + "/" + cell.Text();
  return XXH64(text.data(), text.size(), 0);
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

Suitability SuitabilityOf(const CellId& cell, const DataCentreId& data_centre, int64_t burden,
                          bool caught_up) {
  return Suitability{.overburdened = burden > kBurdenScale / kMillicoresPerCell,
                     .behind = !caught_up,
                     .other_data_centre = data_centre.Text() != DataCentreOf(cell)};
}

OwnerCandidate CandidateOf(const CellId& cell, const EntryId& id, const EntryRecord& entry,
                           const std::map<EntryId, size_t>& owned) {
  const int64_t burden = Burden(CellsOf(owned, id) + 1, entry.millicores);
  return OwnerCandidate{
      .suitability = SuitabilityOf(cell, entry.data_centre, burden, entry.caught_up),
      .burden = burden,
      .hash = RendezvousHash(id, cell),
      .entry = id};
}

}  // namespace

std::map<EntryId, size_t> CellsByOwner(const State& state) {
  std::map<EntryId, size_t> owned;
  for (const auto& [id, cell] : state.view.cells) ++owned[cell.record.owner];

  return owned;
}

int64_t Overload(int64_t burden) { return burden * kMillicoresPerCell / kBurdenScale; }

std::vector<OwnerCandidate> RankedCandidates(const State& state, const CellId& cell,
                                             const std::map<EntryId, size_t>& owned) {
  std::vector<OwnerCandidate> candidates;

  for (const auto& [id, entry] : state.view.entries) {
    candidates.push_back(CandidateOf(cell, id, entry.record, owned));
  }

  std::ranges::sort(candidates);
  return candidates;
}

std::optional<EntryId> BetterOwner(const State& state, const CellId& cell,
                                   const std::map<EntryId, size_t>& owned, Millis min_age,
                                   bool behind) {
  const int64_t own_burden = Burden(state.cells.size(), state.settings.millicores);
  const Suitability own = SuitabilityOf(cell, state.settings.data_centre, own_burden, !behind);

  std::optional<OwnerCandidate> best;

  for (const auto& [id, entry] : state.view.entries) {
    if (id == state.settings.entry || state.now - entry.seen_at < min_age) continue;

    const auto slow = state.slow_readers.find(id);
    if (slow != state.slow_readers.end() && state.now < slow->second.until) continue;

    const EntryRecord& record = entry.record;
    const size_t cells = CellsOf(owned, id);
    const Suitability other = SuitabilityOf(cell, record.data_centre,
                                            Burden(cells + 1, record.millicores), record.caught_up);
    const bool has_less_to_do = Burden(cells + 2, record.millicores) <= own_burden;
    if (other > own || (other == own && !has_less_to_do)) continue;

    const OwnerCandidate candidate = CandidateOf(cell, id, record, owned);
    if (!best || candidate < *best) best = candidate;
  }

  if (!best) return std::nullopt;
  return best->entry;
}

}  // namespace currantpost::scheduler
