#pragma once

#include <map>
#include <vector>

#include "internal.h"

/// Which entries should own which cells. All entries rank them in the same order.

namespace currantpost::scheduler {

/// How well an entry suits a cell. The smallest value is best. Entries that are behind start no
/// tasks until they have caught up. Of the others, those in the cell's own data centre come first,
/// because workers in a data centre that is cut off are unreachable for all entries elsewhere.
struct Suitability {
  bool overburdened = false;
  bool behind = false;
  bool other_data_centre = false;

  auto operator<=>(const Suitability&) const = default;  // NOLINT(modernize-use-nullptr): false
};

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

/// Returns the number of cells of each owner.
std::map<EntryId, size_t> CellsByOwner(const State& state);

/// Returns how many times over an entry with this burden has as many cells as it can serve.
int64_t Overload(int64_t burden);

/// Returns the live entries in the order in which they should claim a cell.
std::vector<OwnerCandidate> RankedCandidates(const State& state, const CellId& cell,
                                             const std::map<EntryId, size_t>& owned);

/// Returns the best other entry that has been up for at least `min_age` and is a better owner of
/// one of this entry's cells: it is more suitable, or equally suitable and its burden with this
/// cell and one more is not above this entry's. With a smaller difference, that entry would soon
/// pass the cell on in turn. `behind` says whether this entry starts no tasks in the cell. Entries
/// that could not read the progress of an offered cell lately are left out.
std::optional<EntryId> BetterOwner(const State& state, const CellId& cell,
                                   const std::map<EntryId, size_t>& owned, Millis min_age,
                                   bool behind);

}  // namespace currantpost::scheduler
