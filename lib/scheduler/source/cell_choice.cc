#include <xxhash.h>

#include <cmath>

#include "internal.h"
#include "owner_contact.h"

/// Chooses the cell for a job, or for tasks that do not fit into their own cell. Many entries
/// choose concurrently on load records that are half a second old. Different images of best-effort
/// work slow down different images of long-running tasks, and best-effort work should go to cells
/// where it adds little stress.
///
/// Long-running tasks of an image are packed into few cells, the same ones for all choosing
/// entries. All other work goes to a random cell, weighted by free capacity, so that the entries do
/// not all choose the cell with the best load record.

namespace currantpost::scheduler {
namespace {

/// Share of a cell's capacity that long-running tasks leave free for short jobs while other cells
/// have more, in percent.
constexpr int64_t kLongRunningReservePercent = 12;
/// Added stress on long-running tasks, by a whole worker of best-effort work, at which no capacity
/// beside them counts as usable. Images that slow each other down add 0.6 or more, the others less
/// than half of that.
constexpr double kAddedStressLeavingNoRoom = 0.7;
/// Share of the capacity that counts even if best-effort work slows down all long-running tasks, as
/// it still runs there throttled.
constexpr double kMinRoomShare = 0.05;
/// Weight factor for cells in the entry's own data centre.
constexpr double kLocalFactor = 1.3;
/// Exponent of the spare capacity in a cell's weight, so that nearly full cells are rarely chosen.
constexpr double kSpareExponent = 2.0;

/// Time after which demand sent to a cell is no longer subtracted from its free capacity. A cell
/// whose load has hardly changed makes no new report.
constexpr Millis kMaxUnreportedTime = Millis(1'500);

uint64_t Hash(std::string_view text, const CellId& cell) {
  return XXH64(text.data(), text.size(), XXH64(cell.Text().data(), cell.Text().size(), 0));
}

/// Returns a hash between 0 and 1, both exclusive, that is the same in all entries.
double UniformHash(std::string_view text, const CellId& cell) {
  constexpr double kSteps = 9007199254740992.0;  // 2^53, the precision of a double.
  constexpr uint64_t kDropped = 11;
  return (static_cast<double>(Hash(text, cell) >> kDropped) + 0.5) / kSteps;
}

/// Returns the demand sent to a cell that its load report may not contain yet.
SentDemand UnreportedDemand(const State& state, const CellId& cell) {
  const auto sent = state.sent_demand.find(cell);
  const bool is_recent =
      sent != state.sent_demand.end() && state.now - sent->second.sent_at < kMaxUnreportedTime;
  return is_recent ? sent->second : SentDemand{};
}

/// Returns the share of a cell's capacity that best-effort work of an image can use without adding
/// much stress. That is the capacity beside long-running tasks of images that it does not slow
/// down, as long-running tasks of one image share workers.
double UsableBestEffortShare(const State& state, const ServiceLoad& load,
                             const std::string& image) {
  double usable = 0.0;
  int64_t total_long_running = 0;

  for (const auto& [other, millicores] : load.long_running_by_image) {
    const double added_stress = state.interference.AddedSlowdown(other, image, 1.0);
    usable += std::max(0.0, 1.0 - added_stress / kAddedStressLeavingNoRoom) *
              static_cast<double>(millicores);
    total_long_running += millicores;
  }

  if (total_long_running == 0) return 1.0;
  return std::max(usable / static_cast<double>(total_long_running), kMinRoomShare);
}

/// A cell that can be chosen.
struct Candidate {
  CellId cell;
  /// Capacity beyond the demand, as a share of the cell's capacity; negative if it does not fit.
  double spare = 0.0;
  bool fits = false;
  bool local = false;
};

std::vector<Candidate> Candidates(const State& state, const std::string& service,
                                  const Demand& demand) {
  std::vector<Candidate> candidates;
  state.counts.search.Add(SearchVisit::kCell, state.view.loads.size());

  for (const auto& [id, load] : state.view.loads) {
    const std::optional<CellRoom> room = RoomOf(state, id, service, demand.image);
    if (!room) continue;

    const double capacity = static_cast<double>(std::max<int64_t>(room->capacity, 1));
    const bool fills = demand.reserved == 0 && demand.best_effort > 0;
    Candidate candidate{.cell = id};
    candidate.spare = static_cast<double>(fills ? room->best_effort - demand.best_effort
                                                : room->free_after_waiting - demand.reserved) /
                      capacity;
    // Waiting tasks do not fit into the cell, so they do not compete with a long-running task that
    // does.
    const int64_t free = demand.is_long_running ? room->free : room->free_after_waiting;
    candidate.fits = (demand.reserved == 0 || free >= demand.reserved) &&
                     (demand.best_effort == 0 || room->best_effort >= demand.best_effort) &&
                     room->largest >= demand.largest;
    candidate.local = DataCentreOf(id) == state.settings.data_centre.Text();
    candidates.push_back(std::move(candidate));
  }

  return candidates;
}

/// Returns the fitting cell that all entries prefer for an image. Cells that keep the reserve come
/// first.
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

/// Returns a random cell of those that fit, weighted by spare capacity.
std::optional<CellId> SpreadByRoom(const std::vector<Candidate>& candidates, const JobId& job) {
  std::optional<CellId> best;
  double best_rank = 0.0;

  for (const Candidate& candidate : candidates) {
    if (!candidate.fits) continue;

    constexpr double kMinSpare = 0.001;
    const double weight = std::pow(std::max(candidate.spare, kMinSpare), kSpareExponent) *
                          (candidate.local ? kLocalFactor : 1.0);
    // Weighted sampling: the probability of the highest rank is proportional to the weight.
    const double rank = std::log(UniformHash(job.Text(), candidate.cell)) / weight;
    if (best && rank <= best_rank) continue;

    best = candidate.cell;
    best_rank = rank;
  }

  return best;
}

/// Returns for how many tasks of a step a cell reports room beside the tasks that wait there, and
/// for how many if those do not fit.
std::pair<int64_t, int64_t> ReportedFit(const CellRoom& room, const StepSpec& spec, int64_t tasks) {
  const auto fit = [&](int64_t free) {
    return std::clamp<int64_t>(free / std::max<int64_t>(spec.need.millicores, 1), 0, tasks);
  };
  if (spec.best_effort) return {fit(room.best_effort), fit(room.best_effort)};
  if (room.largest < spec.need.millicores) return {0, 0};

  return {fit(room.free_after_waiting), fit(room.free)};
}

/// Returns a key for a random draw that differs between the attempts for a job.
std::string DrawKey(const State& state, const JobState& job) {
  return job.record.spec.job.Text() + "@" + std::to_string(state.now.Count());
}

std::optional<CellId> CellWithMostRoom(const std::vector<Candidate>& candidates) {
  const auto most = std::ranges::max_element(candidates, {}, &Candidate::spare);
  if (most == candidates.end()) return std::nullopt;

  return most->cell;
}

/// Returns a cell of those that have workers of the job's service, may be asked and match: the one
/// that declined the job's tasks longest ago, or a random one of those that never did.
template <typename Matches>
std::optional<CellId> ChooseLeastRecentlyAsked(const State& state, const CellId& except,
                                               const JobState& job, const StepSpec& spec,
                                               Matches matches) {
  const std::string& service = ServiceOf(state, job.record);
  const std::string draw = DrawKey(state, job);
  state.counts.search.Add(SearchVisit::kCell, state.view.loads.size());
  std::optional<CellId> best;
  std::pair<Millis, uint64_t> best_rank;

  for (const auto& [id, load] : state.view.loads) {
    if (id == except || !load.record.services.contains(service)) continue;
    if (!MayAsk(state, job, spec, id) || !matches(id)) continue;

    const auto declined = job.declined_until.find(id);
    const Millis declined_until =
        declined == job.declined_until.end() ? Millis(0) : declined->second;
    const std::pair<Millis, uint64_t> rank(declined_until, Hash(draw, id));
    if (best && rank >= best_rank) continue;

    best = id;
    best_rank = rank;
  }

  return best;
}

}  // namespace

bool MayAsk(const State& state, const JobState& job, const StepSpec& spec, const CellId& cell) {
  if (!CanReachOwner(state, cell) || IsOwnerPaused(state, cell)) return false;

  if (spec.best_effort) {
    const auto needs =
        state.declined_needs.find(std::make_pair(cell, NeedsOf(state, job.record, spec)));
    if (needs != state.declined_needs.end() && state.now < needs->second.until) return false;
  }

  const auto declined = job.declined_until.find(cell);
  return declined == job.declined_until.end() || state.now >= declined->second;
}

void AddDemand(Demand& demand, const StepSpec& spec, int64_t tasks) {
  (spec.best_effort ? demand.best_effort : demand.reserved) += spec.need.millicores * tasks;
  if (!spec.best_effort) demand.largest = std::max(demand.largest, spec.need.millicores);
  if (spec.is_long_running) demand.is_long_running = true;
  if (demand.image.empty() && (spec.is_long_running || spec.best_effort)) demand.image = spec.image;
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
  room.largest_long_running = report.largest_long_running;
  const SentDemand sent = UnreportedDemand(state, cell);
  room.free = report.free - sent.reserved;
  room.free_after_waiting = room.free - report.waiting;
  const auto usable =
      static_cast<double>(report.free_best_effort) * UsableBestEffortShare(state, report, image);
  room.best_effort = static_cast<int64_t>(usable) - report.waiting_best_effort - sent.best_effort;
  return room;
}

void AddSentDemand(State& state, const CellId& cell, const Demand& demand) {
  SentDemand& sent = state.sent_demand[cell];
  sent = UnreportedDemand(state, cell);
  sent.reserved += demand.reserved;
  sent.best_effort += demand.best_effort;
  sent.sent_at = state.now;
}

BestEffortNeeds NeedsOf(const State& state, const JobRecord& record, const StepSpec& spec) {
  return BestEffortNeeds{.service = ServiceOf(state, record),
                         .worker_label = spec.worker_label,
                         .image = spec.image,
                         .millicores = spec.need.millicores,
                         .memory_mib = spec.need.memory_mib,
                         .accelerators = spec.need.accelerators};
}

std::optional<CellId> ChooseCell(const State& state, const std::string& service,
                                 const JobSpec& spec) {
  const Demand demand = InitialDemand(spec);
  const std::vector<Candidate> candidates = Candidates(state, service, demand);

  std::optional<CellId> chosen = demand.is_long_running ? PackByImage(candidates, demand.image)
                                                        : SpreadByRoom(candidates, spec.job);
  if (!chosen) chosen = CellWithMostRoom(candidates);
  if (chosen) return chosen;

  // No owner has reported workers of this service yet.
  const std::set<CellId> cells = AllCells(state);
  if (cells.empty()) return std::nullopt;

  return *cells.begin();
}

std::optional<CellId> ChooseOtherCell(const State& state, const CellId& except,
                                      const JobRecord& record, const Demand& demand) {
  std::vector<Candidate> candidates = Candidates(state, ServiceOf(state, record), demand);
  std::erase_if(candidates, [&](const Candidate& each) { return each.cell == except; });

  // Each move of a job uses a new random draw.
  const JobId& job = record.spec.job;
  const JobId draw(job.Text() + "#" + std::to_string(record.moves));
  return demand.is_long_running ? PackByImage(candidates, demand.image)
                                : SpreadByRoom(candidates, draw);
}

std::optional<CellId> ChooseCellForTasks(const State& state, const CellId& except,
                                         const JobState& job, const StepSpec& spec, int64_t tasks) {
  const std::string& service = ServiceOf(state, job.record);
  Demand demand;
  AddDemand(demand, spec, 1);
  std::vector<Candidate> candidates = Candidates(state, service, demand);
  std::erase_if(candidates, [&](const Candidate& each) {
    return each.cell == except || !MayAsk(state, job, spec, each.cell);
  });
  if (spec.is_long_running) return PackByImage(candidates, spec.image);

  std::pair<int64_t, int64_t> most;
  std::vector<Candidate> best;

  for (Candidate& candidate : candidates) {
    const CellRoom room = *RoomOf(state, candidate.cell, service, spec.image);
    const std::pair<int64_t, int64_t> fit = ReportedFit(room, spec, tasks);
    if (fit.second == 0 || fit < most) continue;
    if (fit > most) best.clear();

    most = fit;
    candidate.fits = true;
    best.push_back(std::move(candidate));
  }

  return SpreadByRoom(best, JobId(DrawKey(state, job)));
}

std::optional<CellId> ChooseCellToKeepWorker(const State& state, const CellId& except,
                                             const JobState& job, const StepSpec& spec) {
  const std::string& service = ServiceOf(state, job.record);
  return ChooseLeastRecentlyAsked(state, except, job, spec, [&](const CellId& id) {
    const std::optional<CellRoom> room = RoomOf(state, id, service, spec.image);
    return room && room->largest_long_running >= spec.need.millicores;
  });
}

std::optional<CellId> ChooseAnyOtherCell(const State& state, const CellId& except,
                                         const JobState& job, const StepSpec& spec) {
  return ChooseLeastRecentlyAsked(state, except, job, spec, [](const CellId&) { return true; });
}

}  // namespace currantpost::scheduler
