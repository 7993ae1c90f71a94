#include <optional>
#include <utility>

#include "internal.h"

/// Layout: which cell each rack is in. One entry assigns new racks to cells.

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

}  // namespace

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

}  // namespace currantpost::scheduler
