#include <xxhash.h>

#include <cmath>

#include "internal.h"

/// Which cell takes a job, or tasks that find no room in theirs. Answers many entries that choose
/// at once on reports half a second old, lasting tasks whose images are disturbed by different
/// images of filling work, and filling work that is to go where it harms nobody.
///
/// Lasting tasks of an image gather in few cells, the same ones whoever chooses. All other work
/// goes to a cell by chance, the more likely the more room it has, so that entries do not all
/// choose the one with the best report.

namespace currantpost::scheduler {
namespace {

/// Room that lasting tasks leave in a cell for short jobs while other cells have more, in percent.
constexpr int64_t kLastingReservePercent = 12;
/// Stress that a whole worker of filling work must add to lasting tasks to find no room at all
/// beside them. Images that harm each other add 0.6 or more, the others less than half of that.
constexpr double kHarmWithoutRoom = 0.7;
/// Part of the room that is counted where filling work harms all lasting tasks: it runs, paced.
constexpr double kLeastRoomPart = 0.05;
/// What the own data centre's room counts more, as a factor.
constexpr double kLocalFactor = 1.3;
/// Room beyond the demand counts with this power, so that nearly full cells are seldom chosen.
constexpr double kRoomPower = 2.0;

uint64_t Hash(std::string_view text, const CellId& cell) {
  return XXH64(text.data(), text.size(), XXH64(cell.Text().data(), cell.Text().size(), 0));
}

/// Returns a number above 0 and below 1 that is the same for all entries.
double Chance(std::string_view text, const CellId& cell) {
  constexpr double kSteps = 9007199254740992.0;  // 2^53: as many as a double tells apart.
  constexpr uint64_t kDropped = 11;
  return (static_cast<double>(Hash(text, cell) >> kDropped) + 0.5) / kSteps;
}

int64_t Sent(const std::map<CellId, int64_t>& sent, const CellId& cell) {
  const auto found = sent.find(cell);
  return found == sent.end() ? 0 : found->second;
}

/// Returns the part of a cell's room that filling work of an image can use without harm: that
/// beside lasting tasks of images that it leaves alone, as those of one image share workers.
double HarmlessPart(const State& state, const ServiceLoad& load, const std::string& image) {
  double harmless = 0.0;
  int64_t lasting = 0;

  for (const auto& [other, millicores] : load.lasting) {
    const double harm = state.interference.Harm(other, image, 1.0);
    harmless += std::max(0.0, 1.0 - harm / kHarmWithoutRoom) * static_cast<double>(millicores);
    lasting += millicores;
  }

  if (lasting == 0) return 1.0;
  return std::max(harmless / static_cast<double>(lasting), kLeastRoomPart);
}

/// A cell that may be chosen.
struct Candidate {
  CellId cell;
  /// Room beyond the demand, as a share of the cell's capacity; below 0 it does not fit.
  double spare = 0.0;
  bool fits = false;
  bool local = false;
};

std::vector<Candidate> Candidates(const State& state, const std::string& service,
                                  const Demand& demand) {
  std::vector<Candidate> candidates;

  for (const auto& [id, load] : state.view.loads) {
    const std::optional<CellRoom> room = RoomOf(state, id, service, demand.image);
    if (!room) continue;

    const double capacity = static_cast<double>(std::max<int64_t>(room->capacity, 1));
    const bool fills = demand.held == 0 && demand.filling > 0;
    Candidate candidate{.cell = id};
    candidate.spare =
        static_cast<double>(fills ? room->filling - demand.filling : room->held - demand.held) /
        capacity;
    // What waits in a cell does not fit there, so it takes no room from a lasting task that does.
    const int64_t held = demand.lasting ? room->free : room->held;
    candidate.fits = (demand.held == 0 || held >= demand.held) &&
                     (demand.filling == 0 || room->filling >= demand.filling) &&
                     room->largest >= demand.largest;
    candidate.local = DataCentreOf(id) == state.settings.data_centre.Text();
    candidates.push_back(std::move(candidate));
  }

  return candidates;
}

/// Returns the cell that all entries prefer for an image, of those that keep a reserve if any does.
std::optional<CellId> GatherByImage(const std::vector<Candidate>& candidates,
                                    const std::string& image) {
  std::optional<CellId> best;
  std::pair<bool, uint64_t> best_rank;

  for (const Candidate& candidate : candidates) {
    if (!candidate.fits) continue;

    const bool reserve = candidate.spare * 100.0 >= kLastingReservePercent;
    const std::pair<bool, uint64_t> rank(reserve, Hash(image, candidate.cell));
    if (best && rank <= best_rank) continue;

    best = candidate.cell;
    best_rank = rank;
  }

  return best;
}

/// Returns a cell by chance, weighted by `kRoomPower`, of those that fit.
std::optional<CellId> SpreadByRoom(const std::vector<Candidate>& candidates, const JobId& job) {
  std::optional<CellId> best;
  double best_rank = 0.0;

  for (const Candidate& candidate : candidates) {
    if (!candidate.fits) continue;

    constexpr double kLeastSpare = 0.001;
    const double weight = std::pow(std::max(candidate.spare, kLeastSpare), kRoomPower) *
                          (candidate.local ? kLocalFactor : 1.0);
    // The greatest of these is each candidate's with a chance in proportion to its weight.
    const double rank = std::log(Chance(job.Text(), candidate.cell)) / weight;
    if (best && rank <= best_rank) continue;

    best = candidate.cell;
    best_rank = rank;
  }

  return best;
}

std::optional<CellId> MostRoom(const std::vector<Candidate>& candidates) {
  const auto most = std::ranges::max_element(candidates, {}, &Candidate::spare);
  if (most == candidates.end()) return std::nullopt;

  return most->cell;
}

}  // namespace

void AddDemand(Demand& demand, const StepSpec& spec, int64_t tasks) {
  (spec.filling ? demand.filling : demand.held) += spec.need.millicores * tasks;
  if (!spec.filling) demand.largest = std::max(demand.largest, spec.need.millicores);
  if (spec.lasting) demand.lasting = true;
  if (demand.image.empty() && (spec.lasting || spec.filling)) demand.image = spec.image;
}

Demand FirstDemand(const JobSpec& spec) {
  Demand demand;

  for (const StepSpec& step : spec.steps) {
    if (step.after.empty()) AddDemand(demand, step, step.task_count);
  }

  return demand;
}

std::optional<CellRoom> RoomOf(const State& state, const CellId& cell, const std::string& service,
                               const std::string& image) {
  const auto load = state.view.loads.find(cell);
  if (load == state.view.loads.end() || !state.view.cells.contains(cell)) return std::nullopt;

  const auto found = load->second.record.services.find(service);
  if (found == load->second.record.services.end()) return std::nullopt;

  const ServiceLoad& told = found->second;
  CellRoom room;
  room.capacity = told.capacity;
  room.largest = told.largest_free;
  room.free = told.free - Sent(state.sent_demand, cell);
  room.held = room.free - told.waiting;
  const auto harmless = static_cast<double>(told.free_filling) * HarmlessPart(state, told, image);
  room.filling =
      static_cast<int64_t>(harmless) - told.waiting_filling - Sent(state.sent_filling, cell);
  return room;
}

void NoteSent(State& state, const CellId& cell, const Demand& demand) {
  state.sent_demand[cell] += demand.held;
  state.sent_filling[cell] += demand.filling;
}

std::optional<CellId> ChooseCell(const State& state, const std::string& service,
                                 const JobSpec& spec) {
  const Demand demand = FirstDemand(spec);
  const std::vector<Candidate> candidates = Candidates(state, service, demand);

  std::optional<CellId> chosen =
      demand.lasting ? GatherByImage(candidates, demand.image) : SpreadByRoom(candidates, spec.job);
  if (!chosen) chosen = MostRoom(candidates);
  if (chosen) return chosen;

  // No owner has told of workers yet.
  const std::set<CellId> cells = AllCells(state);
  if (cells.empty()) return std::nullopt;

  return *cells.begin();
}

std::optional<CellId> ChooseOtherCell(const State& state, const CellId& except,
                                      const JobRecord& record, const Demand& demand) {
  std::vector<Candidate> candidates = Candidates(state, record.service, demand);
  std::erase_if(candidates, [&](const Candidate& each) { return each.cell == except; });

  // Each try of a job draws anew.
  const JobId& job = record.spec.job;
  const JobId draw(job.Text() + "#" + std::to_string(record.moves));
  return demand.lasting ? GatherByImage(candidates, demand.image) : SpreadByRoom(candidates, draw);
}

}  // namespace currantpost::scheduler
