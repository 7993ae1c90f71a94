#include "background_work.h"

#include <algorithm>
#include <utility>

#include "callers.h"
#include "wait_log.h"

namespace currantpost::scheduler {
namespace {

/// What a slice visits at most.
struct SliceLimit {
  SearchVisit what;
  uint64_t number;
};

/// A request to an own cell looks at all its workers.
constexpr SliceLimit kSliceLimits[] = {
    {SearchVisit::kJob, 1'000}, {SearchVisit::kCell, 4'000}, {SearchVisit::kOwnCell, 64}};
/// How long a turn to ask cells that report no capacity is left to the jobs after the last one that
/// had it: longer than the interval of their searches.
constexpr Millis kMaxTurnWait = Millis(250);

/// A slice of a pass over the jobs of all owned cells.
class SearchSlice {
 public:
  SearchSlice(State& state, Effects& effects)
      : state_(state), effects_(effects), before_(state.counts.search) {}

  /// Visits jobs from the cursor on. Returns whether the pass has reached the last one.
  bool Run() {
    BackgroundWork& work = state_.background;

    for (auto cell = state_.cells.lower_bound(work.cell); cell != state_.cells.end(); ++cell) {
      const bool resumes = cell->first == work.cell;
      if (!resumes) work.job = JobId();
      work.cell = cell->first;
      if (cell->second.open && !RunInCell(cell->second)) return false;
    }

    return true;
  }

 private:
  /// Returns false if the slice ends before the last job of the cell.
  bool RunInCell(OwnedCell& cell) {
    JobId& last = state_.background.job;

    for (auto job = cell.jobs.upper_bound(last); job != cell.jobs.end(); ++job) {
      if (IsOver()) return false;

      state_.counts.search.Add(SearchVisit::kJob);
      last = job->first;
      LogLongWait(state_, effects_, cell, job->second);
      TryMoveJob(state_, effects_, cell, job->second);
      TryLendTasks(state_, effects_, cell, job->second);
    }

    // No job after the last one has asked, so that the first one has its turn again.
    if (state_.now >= cell.next_probe + kMaxTurnWait) cell.last_probe = JobId();
    return true;
  }

  [[nodiscard]] bool IsOver() const {
    return std::ranges::any_of(kSliceLimits, [&](const SliceLimit& limit) {
      return state_.counts.search.Get(limit.what) - before_.Get(limit.what) >= limit.number;
    });
  }

  State& state_;
  Effects& effects_;
  SearchVisits before_;
};

/// Returns when the next slice is due.
Millis NextSlice(const BackgroundWork& work) {
  const Millis paced = work.pace.NextSlice();
  if (work.in_pass) return paced;

  return std::max(paced, work.pass_began + BackgroundPace::kPassInterval);
}

/// Searches for capacity for the jobs after the last one that was visited.
void ContinuePass(State& state, Effects& effects) {
  BackgroundWork& work = state.background;

  if (!std::exchange(work.in_pass, true)) {
    work.pass_began = state.now;
    state.counts.search.Add(SearchVisit::kPass);
    work.cell = CellId();
    work.job = JobId();
  }

  work.in_pass = !SearchSlice(state, effects).Run();
}

}  // namespace

void RunBackgroundWork(State& state, Effects& effects) {
  BackgroundWork& work = state.background;
  work.pace.Observe(state.lateness);
  const bool searches =
      std::ranges::any_of(state.cells, [](const auto& row) { return row.second.open; });

  if (state.now >= (searches ? NextSlice(work) : work.pace.NextSlice())) {
    work.pace.BeginSlice(state.now);
    if (searches) ContinuePass(state, effects);
    RemoveEndedJobs(state, effects);
    RemoveWithdrawals(state, effects);
    UpdateLearning(state, effects);
  }

  if (searches) WakeAt(state, NextSlice(work));
}

bool MaySearchAtOnce(const State& state) { return !state.background.pace.IsBehind(); }

}  // namespace currantpost::scheduler
