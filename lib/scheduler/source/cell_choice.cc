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
constexpr int64_t kLongRunningReservePercent = 12;
/// Stress that a whole worker of filling work must add to lasting tasks to find no room at all
/// beside them. Images that harm each other add 0.6 or more, the others less than half of that.
constexpr double kAddedStressLeavingNoRoom = 0.7;
/// Part of the room that is counted where filling work harms all lasting tasks: it runs, paced.
constexpr double kMinRoomShare = 0.05;
/// What the own data centre's room counts more, as a factor.
constexpr double kLocalFactor = 1.3;
/// Room beyond the demand counts with this power, so that nearly full cells are seldom chosen.
constexpr double kSpareExponent = 2.0;

uint64_t Hash(std::string_view text, const CellId& cell) {
  return XXH64(text.data(), text.size(), XXH64(cell.Text().data(), cell.Text().size(), 0));
}

/// Returns a number above 0 and below 1 that is the same for all entries.
double UniformHash(std::string_view text, const CellId& cell) {
  constexpr double kSteps = 9007199254740992.0;  // 2^53: as many as a double tells apart.
  constexpr uint64_t kDropped = 11;
  return (static_cast<double>(Hash(text, cell) >> kDropped) + 0.5) / kSteps;
}

int64_t SentSinceReport(const std::map<CellId, int64_t>& sent, const CellId& cell) {
  const auto found = sent.find(cell);
  return found == sent.end() ? 0 : found->second;
}

/// Returns the part of a cell's room that filling work of an image can use without harm: that
/// beside lasting tasks of images that it leaves alone, as those of one image share workers.
double UsableBestEffortShare(const State& state, const ServiceLoad& load,
                             const std::string& image) {
  double usable = 0.0;
  int64_t long_running = 0;

  for (const auto& [other, millicores] : load.long_running) {
    const double added_stress = state.interference.AddedSlowdown(other, image, 1.0);
    usable += std::max(0.0, 1.0 - added_stress / kAddedStressLeavingNoRoom) *
              static_cast<double>(millicores);
    long_running += millicores;
  }

  if (long_running == 0) return 1.0;
  return std::max(usable / static_cast<double>(long_running), kMinRoomShare);
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
    const bool fills = demand.reserved == 0 && demand.best_effort > 0;
    Candidate candidate{.cell = id};
    candidate.spare = static_cast<double>(fills ? room->best_effort - demand.best_effort
                                                : room->free_after_waiting - demand.reserved) /
                      capacity;
    // What waits in a cell does not fit there, so it takes no room from a lasting task that does.
    const int64_t free = demand.long_running ? room->free : room->free_after_waiting;
    candidate.fits = (demand.reserved == 0 || free >= demand.reserved) &&
                     (demand.best_effort == 0 || room->best_effort >= demand.best_effort) &&
                     room->largest >= demand.largest;
    candidate.local = DataCentreOf(id) == state.settings.data_centre.Text();
    candidates.push_back(std::move(candidate));
  }

  return candidates;
}

/// Returns the cell that all entries prefer for an image, of those that keep a reserve if any does.
std::optional<CellId> PackByImage(const std::vector<Candidate>& candidates,
                                  const std::string& image) {
  std::optional<CellId> best;
  std::pair<bool, uint64_t> best_rank;

  for (const Candidate& candidate : candidates) {
    if (!candidate.fits) continue;

    const bool reserve = candidate.spare * 100.0 >= kLongRunningReservePercent;
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

    constexpr double kMinSpare = 0.001;
    const double weight = std::pow(std::max(candidate.spare, kMinSpare), kSpareExponent) *
                          (candidate.local ? kLocalFactor : 1.0);
    // The greatest of these is each candidate's with a chance in proportion to its weight.
    const double rank = std::log(UniformHash(job.Text(), candidate.cell)) / weight;
    if (best && rank <= best_rank) continue;

    best = candidate.cell;
    best_rank = rank;
  }

  return best;
}

std::optional<CellId> CellWithMostRoom(const std::vector<Candidate>& candidates) {
  const auto most = std::ranges::max_element(candidates, {}, &Candidate::spare);
  if (most == candidates.end()) return std::nullopt;

  return most->cell;
}

}  // namespace

void AddDemand(Demand& demand, const StepSpec& spec, int64_t tasks) {
  (spec.best_effort ? demand.best_effort : demand.reserved) += spec.need.millicores * tasks;
  if (!spec.best_effort) demand.largest = std::max(demand.largest, spec.need.millicores);
  if (spec.long_running) demand.long_running = true;
  if (demand.image.empty() && (spec.long_running || spec.best_effort)) demand.image = spec.image;
}

Demand InitialDemand(const JobSpec& spec) {
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

  const ServiceLoad& report = found->second;
  CellRoom room;
  room.capacity = report.capacity;
  room.largest = report.largest_free;
  room.free = report.free - SentSinceReport(state.sent_demand, cell);
  room.free_after_waiting = room.free - report.waiting;
  const auto usable =
      static_cast<double>(report.free_best_effort) * UsableBestEffortShare(state, report, image);
  room.best_effort = static_cast<int64_t>(usable) - report.waiting_best_effort -
                     SentSinceReport(state.sent_best_effort_demand, cell);
  return room;
}

void AddSentDemand(State& state, const CellId& cell, const Demand& demand) {
  state.sent_demand[cell] += demand.reserved;
  state.sent_best_effort_demand[cell] += demand.best_effort;
}

std::optional<CellId> ChooseCell(const State& state, const std::string& service,
                                 const JobSpec& spec) {
  const Demand demand = InitialDemand(spec);
  const std::vector<Candidate> candidates = Candidates(state, service, demand);

  std::optional<CellId> chosen = demand.long_running ? PackByImage(candidates, demand.image)
                                                     : SpreadByRoom(candidates, spec.job);
  if (!chosen) chosen = CellWithMostRoom(candidates);
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
  return demand.long_running ? PackByImage(candidates, demand.image)
                             : SpreadByRoom(candidates, draw);
}

}  // namespace currantpost::scheduler
