#include "job_admission.h"

#include "worker_hold.h"

namespace currantpost::scheduler {
namespace {

/// Maximum age of the copy of the load reports by which a job is refused. The copy of an entry
/// without cells is up to two watches old while the store has no changes.
constexpr Millis kMaxReportAge = Millis(5'000);
/// Share of the cells, in percent, that may have no load report: those whose owners have just
/// failed.
constexpr size_t kMaxUnreportedPercent = 10;
constexpr Millis kSampleInterval = Millis(250);
/// Time for which samples are kept.
constexpr Millis kHistory = Millis(10'000);
/// Time for which new tasks must have yielded. Single interrupted tasks are mostly placed earlier.
constexpr Millis kMinYieldTime = Millis(1'000);
/// Time for which a task must have fitted on no worker.
constexpr Millis kMinMisfitTime = Millis(5'000);
/// Jobs that would wait for less are accepted.
constexpr Millis kMaxAcceptedWait = Millis(3'000);
constexpr Millis kLogInterval = Millis(10'000);
/// A wait beyond any bound that callers are told.
constexpr Millis kUnknownWait = Millis(3'600'000);

/// Returns whether this entry knows the present load of almost all cells.
bool KnowsLoads(const State& state) {
  const auto records = state.feeds.find(Feed::kRecords);
  if (records == state.feeds.end() || !records->second.synced) return false;

  const std::optional<Millis>& known_at = records->second.known_at;
  if (!known_at || state.now - *known_at > kMaxReportAge) return false;

  const std::set<CellId> cells = AllCells(state);
  const auto unreported = static_cast<size_t>(std::ranges::count_if(
      cells, [&](const CellId& cell) { return !state.view.loads.contains(cell); }));
  return !cells.empty() && unreported * 100 <= cells.size() * kMaxUnreportedPercent;
}

void Forget(CapacityHistory& history) {
  history.samples.clear();
  history.yielding_since.reset();
}

void AddSample(const State& state, const std::string& service, CapacityHistory& history) {
  const ServiceRooms* rooms = state.rooms.Find(service);

  if (rooms == nullptr || rooms->Totals().capacity == 0) return Forget(history);

  const bool yields = YieldsToInterrupted(state, StepSpec{.is_long_running = true}, service, false);
  if (!yields) history.yielding_since.reset();
  if (yields && !history.yielding_since) history.yielding_since = state.now;

  history.samples.push_back(
      CapacitySample{.at = state.now,
                     .waiting_interrupted = rooms->Totals().waiting_interrupted,
                     .largest_long_running = rooms->Maxima().largest_long_running});
  while (state.now - history.samples.front().at > kHistory) history.samples.pop_front();
}

/// Returns how long the interrupted demand lasts if it is served as fast as lately. If none was
/// served, that is known only once it has lasted for long: the end of a disruption may end all of
/// it.
Millis TimeUntilServed(const CapacityHistory& history, Millis yielding) {
  int64_t served = 0;

  for (size_t number = 1; number < history.samples.size(); ++number) {
    const int64_t before = history.samples[number - 1].waiting_interrupted;
    served += std::max<int64_t>(before - history.samples[number].waiting_interrupted, 0);
  }
  if (served == 0) return yielding > kMaxAcceptedWait ? kUnknownWait : Millis(0);

  const Millis span = history.samples.back().at - history.samples.front().at;
  return std::min(Millis(history.samples.back().waiting_interrupted * span.Count() / served),
                  kUnknownWait);
}

/// Returns whether a long-running task has fitted on no worker for a while, even beside no short
/// tasks.
bool HasFittedNowhere(const State& state, const ServiceRooms& rooms, const CapacityHistory& history,
                      int64_t need) {
  if (rooms.Maxima().largest_long_running >= need) return false;

  const Millis since = state.now - kMinMisfitTime;
  if (history.samples.empty() || history.samples.front().at > since) return false;

  return std::ranges::all_of(history.samples, [&](const CapacitySample& sample) {
    return sample.at < since || sample.largest_long_running < need;
  });
}

/// Returns whether the tasks of a step start with their job and run until it is cancelled.
bool IsFirstLongRunning(const StepSpec& step) {
  return step.after.empty() && step.is_long_running && !step.best_effort;
}

}  // namespace

void UpdateCapacityHistory(State& state) {
  const Millis gap = state.now - state.capacity_sampled_at;
  if (gap < kSampleInterval) return;

  const bool knows_loads = KnowsLoads(state);
  if (gap > kMaxReportAge || !knows_loads) {
    for (auto& [service, history] : state.capacity_histories) Forget(history);
  }
  state.capacity_sampled_at = state.now;
  if (!knows_loads) return;

  std::set<std::string_view> services;
  for (const auto& [queue, service] : state.service_of_queue) services.insert(service);
  for (const std::string_view service : services) {
    const std::string name(service);
    AddSample(state, name, state.capacity_histories[name]);
  }
}

std::optional<Millis> TimeUntilCapacity(const State& state, const std::string& service,
                                        const JobSpec& spec) {
  if (spec.occurrences > 0) return std::nullopt;

  const auto found = state.capacity_histories.find(service);
  if (found == state.capacity_histories.end() || !KnowsLoads(state)) return std::nullopt;

  const ServiceRooms* rooms = state.rooms.Find(service);
  if (rooms == nullptr) return std::nullopt;

  const CapacityHistory& history = found->second;

  for (const StepSpec& step : spec.steps) {
    if (!IsFirstLongRunning(step)) continue;
    if (HasFittedNowhere(state, *rooms, history, step.need.millicores)) return kUnknownWait;

    if (!history.yielding_since || !YieldsToInterrupted(state, step, service, false)) continue;

    const Millis yielding = state.now - *history.yielding_since;
    if (yielding < kMinYieldTime) continue;

    const Millis wait = TimeUntilServed(history, yielding);
    if (wait > kMaxAcceptedWait) return wait;
  }

  return std::nullopt;
}

void LogShortage(State& state, Effects& effects, const std::string& service, Millis wait) {
  CapacityHistory& history = state.capacity_histories[service];
  if (state.now < history.next_log) return;

  history.next_log = state.now + kLogInterval;
  const ServiceRooms* rooms = state.rooms.Find(service);
  const RoomTotals totals = rooms == nullptr ? RoomTotals() : rooms->Totals();
  const Millis yielding = history.yielding_since ? state.now - *history.yielding_since : Millis(0);
  Log(effects, Severity::kWarning, "refusing long-running jobs, which would wait for capacity",
      {{"service", service},
       {"capacity", std::to_string(totals.capacity)},
       {"long_running", std::to_string(totals.long_running)},
       {"waiting_interrupted", std::to_string(totals.waiting_interrupted)},
       {"yielding_ms", std::to_string(yielding.Count())},
       {"wait_ms", std::to_string(wait.Count())}});
}

}  // namespace currantpost::scheduler
