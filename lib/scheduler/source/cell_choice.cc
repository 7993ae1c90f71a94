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

uint64_t Hash(std::string_view text, const CellId& cell) {
  return XXH64(text.data(), text.size(), XXH64(cell.Text().data(), cell.Text().size(), 0));
}

/// Returns a hash between 0 and 1, both exclusive, that is the same in all entries.
double UniformHash(std::string_view text, const CellId& cell) {
  constexpr double kSteps = 9007199254740992.0;  // 2^53, the precision of a double.
  constexpr uint64_t kDropped = 11;
  return (static_cast<double>(Hash(text, cell) >> kDropped) + 0.5) / kSteps;
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

/// A cell that can be chosen, as its capacity is enough for the demand.
struct Candidate {
  CellId cell;
  /// Capacity beyond the demand, as a share of the cell's capacity; negative if it fits only
  /// without the demand that waits in the cell.
  double spare = 0.0;
  bool local = false;
};

bool IsLocal(const State& state, const CellId& cell) {
  return DataCentreOf(cell) == state.settings.data_centre.Text();
}

/// The free capacity of cells for one service, as far as it matters for a demand.
class RoomSearch {
 public:
  RoomSearch(const State& state, const std::string& service, const Demand& demand)
      : state_(state), service_(service), demand_(demand), rooms_(state.rooms.Find(service)) {}

  [[nodiscard]] size_t Size() const { return rooms_ == nullptr ? 0 : rooms_->Rows().size(); }
  [[nodiscard]] const RoomRow& Row(size_t number) const { return rooms_->Rows()[number]; }

  /// Returns whether a cell may have enough, by what all cells report together.
  [[nodiscard]] bool MayFitAnywhere() const {
    if (rooms_ == nullptr) return false;

    const RoomMaxima& maxima = rooms_->Maxima();
    return (demand_.reserved == 0 || maxima.free >= demand_.reserved) &&
           (demand_.best_effort == 0 || maxima.best_effort >= demand_.best_effort) &&
           maxima.largest_free >= demand_.largest;
  }

  [[nodiscard]] bool Fits(size_t number) const {
    const RoomRow& row = Row(number);
    if (row.largest_free < demand_.largest) return false;

    // Waiting tasks do not fit into the cell, so they do not compete with a long-running task that
    // does.
    const int64_t free =
        demand_.is_long_running ? row.Free(state_.now) : row.FreeAfterWaiting(state_.now);
    if (demand_.reserved > 0 && free < demand_.reserved) return false;
    if (demand_.best_effort == 0) return true;

    return row.MaxBestEffort(state_.now) >= demand_.best_effort &&
           BestEffort(number) >= demand_.best_effort;
  }

  [[nodiscard]] int64_t BestEffort(size_t number) const {
    return BestEffortRoom(state_, service_, *rooms_, number, demand_.image);
  }

  /// Returns the capacity beyond the demand, as a share of the cell's capacity.
  [[nodiscard]] double SpareOf(size_t number) const {
    const RoomRow& row = Row(number);
    const bool fills = demand_.reserved == 0 && demand_.best_effort > 0;
    const int64_t spare = fills ? BestEffort(number) - demand_.best_effort
                                : row.FreeAfterWaiting(state_.now) - demand_.reserved;
    return static_cast<double>(spare) / static_cast<double>(std::max<int64_t>(row.capacity, 1));
  }

  [[nodiscard]] Candidate CandidateOf(size_t number) const {
    const CellId& cell = Row(number).cell;
    return Candidate{.cell = cell, .spare = SpareOf(number), .local = IsLocal(state_, cell)};
  }

 private:
  const State& state_;
  const std::string& service_;
  const Demand& demand_;
  const ServiceRooms* rooms_;
};

/// Returns the cells that fit the demand of a search and match.
template <typename Matches>
std::vector<Candidate> FittingCells(const State& state, const RoomSearch& search, Matches matches) {
  std::vector<Candidate> candidates;
  if (!search.MayFitAnywhere()) return candidates;

  state.counts.search.Add(SearchVisit::kCell, search.Size());

  for (size_t number = 0; number < search.Size(); ++number) {
    if (!search.Fits(number)) continue;

    const CellId& cell = search.Row(number).cell;
    if (!state.view.cells.contains(cell) || !matches(cell)) continue;

    candidates.push_back(search.CandidateOf(number));
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
std::pair<int64_t, int64_t> ReportedFit(const State& state, const RoomSearch& search, size_t number,
                                        const StepSpec& spec, int64_t tasks) {
  const RoomRow& row = search.Row(number);
  const int64_t need = std::max<int64_t>(spec.need.millicores, 1);
  const auto fit = [&](int64_t free) { return std::clamp<int64_t>(free / need, 0, tasks); };

  if (spec.best_effort) {
    if (row.MaxBestEffort(state.now) < need) return {0, 0};

    const int64_t fitting = fit(search.BestEffort(number));
    return {fitting, fitting};
  }
  if (row.largest_free < spec.need.millicores) return {0, 0};

  return {fit(row.FreeAfterWaiting(state.now)), fit(row.Free(state.now))};
}

/// Returns a key for a random draw that differs between the attempts for a job.
std::string DrawKey(const State& state, const JobState& job) {
  return job.record.spec.job.Text() + "@" + std::to_string(state.now.Count());
}

std::optional<CellId> CellWithMostRoom(const State& state, const RoomSearch& search) {
  std::optional<CellId> most;
  double most_spare = 0.0;

  for (size_t number = 0; number < search.Size(); ++number) {
    const double spare = search.SpareOf(number);
    if (most && spare <= most_spare) continue;

    const CellId& cell = search.Row(number).cell;
    if (!state.view.cells.contains(cell)) continue;

    most = cell;
    most_spare = spare;
  }

  return most;
}

/// Decides whether the owners of cells may be asked for capacity for tasks of a step.
class AskFilter {
 public:
  AskFilter(const State& state, const JobState& job, const StepSpec& spec)
      : state_(state), job_(job) {
    if (!spec.best_effort || state.declined_needs.empty()) return;

    const auto needs = state.declined_needs.find(NeedsOf(state, job.record, spec));
    if (needs != state.declined_needs.end()) declined_needs_ = &needs->second;
  }

  [[nodiscard]] bool MayAsk(const CellId& cell) const {
    const auto declined = job_.declined_until.find(cell);
    if (declined != job_.declined_until.end() && state_.now < declined->second) return false;

    if (declined_needs_ != nullptr) {
      const auto needs = declined_needs_->find(cell);
      if (needs != declined_needs_->end() && state_.now < needs->second.until) return false;
    }

    return !IsOwnerPaused(state_, cell) && CanReachOwner(state_, cell);
  }

 private:
  const State& state_;
  const JobState& job_;
  /// Cells that declined tasks with the requirements of the step, or null.
  const std::map<CellId, DoublingPause>* declined_needs_ = nullptr;
};

/// Returns a cell of those that have workers of the job's service, may be asked and match: the one
/// that declined the job's tasks longest ago, or a random one of those that never did.
template <typename Matches>
std::optional<CellId> ChooseLeastRecentlyAsked(const State& state, const CellId& except,
                                               const JobState& job, const StepSpec& spec,
                                               const ServiceRooms& rooms, Matches matches) {
  const AskFilter filter(state, job, spec);
  const std::string draw = DrawKey(state, job);
  state.counts.search.Add(SearchVisit::kCell, rooms.Rows().size());
  std::optional<CellId> best;
  std::pair<Millis, uint64_t> best_rank;

  for (const RoomRow& row : rooms.Rows()) {
    if (!matches(row) || row.cell == except || !filter.MayAsk(row.cell)) continue;

    const auto declined = job.declined_until.find(row.cell);
    const Millis declined_until =
        declined == job.declined_until.end() ? Millis(0) : declined->second;
    const std::pair<Millis, uint64_t> rank(declined_until, Hash(draw, row.cell));
    if (best && rank >= best_rank) continue;

    best = row.cell;
    best_rank = rank;
  }

  return best;
}

}  // namespace

bool MayAsk(const State& state, const JobState& job, const StepSpec& spec, const CellId& cell) {
  return AskFilter(state, job, spec).MayAsk(cell);
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

int64_t BestEffortRoom(const State& state, std::string_view service, const ServiceRooms& rooms,
                       size_t row, const std::string& image) {
  const RoomRow& reported = rooms.Rows()[row];
  std::optional<double>& share = rooms.ShareOf(image, row);
  if (!share) {
    share = UsableBestEffortShare(
        state, state.view.loads.at(reported.cell).record.services.at(std::string(service)), image);
  }

  const auto usable = static_cast<int64_t>(static_cast<double>(reported.free_best_effort) * *share);
  return usable - reported.waiting_best_effort - reported.UnreportedDemand(state.now).best_effort;
}

void AddSentDemand(State& state, const CellId& cell, const Demand& demand) {
  state.rooms.AddSentDemand(cell, demand.reserved, demand.best_effort, state.now);
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
  const RoomSearch search(state, service, demand);
  const std::vector<Candidate> candidates =
      FittingCells(state, search, [](const CellId&) { return true; });

  std::optional<CellId> chosen = demand.is_long_running ? PackByImage(candidates, demand.image)
                                                        : SpreadByRoom(candidates, spec.job);
  if (!chosen) chosen = CellWithMostRoom(state, search);
  if (chosen) return chosen;

  // No owner has reported workers of this service yet.
  const std::set<CellId> cells = AllCells(state);
  if (cells.empty()) return std::nullopt;

  return *cells.begin();
}

std::optional<CellId> ChooseOtherCell(const State& state, const CellId& except,
                                      const JobRecord& record, const Demand& demand) {
  const RoomSearch search(state, ServiceOf(state, record), demand);
  const std::vector<Candidate> candidates =
      FittingCells(state, search, [&](const CellId& cell) { return cell != except; });

  // Each move of a job uses a new random draw.
  const JobId& job = record.spec.job;
  const JobId draw(job.Text() + "#" + std::to_string(record.moves));
  return demand.is_long_running ? PackByImage(candidates, demand.image)
                                : SpreadByRoom(candidates, draw);
}

std::optional<CellId> ChooseCellForTasks(const State& state, const CellId& except,
                                         const JobState& job, const StepSpec& spec, int64_t tasks) {
  Demand demand;
  AddDemand(demand, spec, 1);
  const RoomSearch search(state, ServiceOf(state, job.record), demand);
  if (!search.MayFitAnywhere()) return std::nullopt;

  const AskFilter filter(state, job, spec);
  const auto may_choose = [&](const CellId& cell) {
    return cell != except && state.view.cells.contains(cell) && filter.MayAsk(cell);
  };
  if (spec.is_long_running) {
    return PackByImage(FittingCells(state, search, may_choose), spec.image);
  }

  std::pair<int64_t, int64_t> most;
  std::vector<Candidate> best;
  state.counts.search.Add(SearchVisit::kCell, search.Size());

  for (size_t number = 0; number < search.Size(); ++number) {
    const std::pair<int64_t, int64_t> fit = ReportedFit(state, search, number, spec, tasks);
    if (fit.second == 0 || fit < most || !may_choose(search.Row(number).cell)) continue;
    if (fit > most) best.clear();

    most = fit;
    best.push_back(search.CandidateOf(number));
  }

  return SpreadByRoom(best, JobId(DrawKey(state, job)));
}

std::optional<CellId> ChooseCellToKeepWorker(const State& state, const CellId& except,
                                             const JobState& job, const StepSpec& spec) {
  const int64_t need = spec.need.millicores;
  const ServiceRooms* rooms = state.rooms.Find(ServiceOf(state, job.record));
  if (rooms == nullptr || rooms->Maxima().largest_long_running < need) return std::nullopt;

  return ChooseLeastRecentlyAsked(state, except, job, spec, *rooms, [&](const RoomRow& row) {
    return row.largest_long_running >= need && state.view.cells.contains(row.cell);
  });
}

std::optional<CellId> ChooseAnyOtherCell(const State& state, const CellId& except,
                                         const JobState& job, const StepSpec& spec) {
  const ServiceRooms* rooms = state.rooms.Find(ServiceOf(state, job.record));
  if (rooms == nullptr) return std::nullopt;

  return ChooseLeastRecentlyAsked(state, except, job, spec, *rooms,
                                  [](const RoomRow&) { return true; });
}

}  // namespace currantpost::scheduler
