#include "schedule.h"

#include <algorithm>

#include "bounds.h"

namespace currantpost::soak {
namespace {

constexpr auto kFirstFault = Millis(2'000);
/// A series for each so much of the span.
constexpr auto kSpanPerSeries = Millis(1'000);
constexpr int64_t kLongestSeries = 4;
/// Workers that drain and leave come in waves.
constexpr int64_t kLongestWave = 8;
constexpr int64_t kMostBusyLoops = 4;
constexpr Millis kLeavePollInterval = Millis(200);

struct KindLimits {
  FaultKind kind;
  int64_t shortest_ms;
  int64_t longest_ms;
};

constexpr int64_t kStopMs = kBounds.grace.Count() + 1'000;
constexpr int64_t kIsolationMs = kBounds.max_worker_lease.Count() + 500;

/// How long faults of each kind last.
constexpr KindLimits kKinds[] = {
    {FaultKind::kIsolateWorker, kIsolationMs, kIsolationMs + 3'000},
    {FaultKind::kRemoveEntry, kStopMs, kStopMs},
    {FaultKind::kPauseEntry, 200, 7'000},
    {FaultKind::kKillEntry, 300, 4'000},
    {FaultKind::kStopEntry, kStopMs, kStopMs},
    {FaultKind::kStorePath, 300, 6'000},
    {FaultKind::kWorkerPath, 300, 14'000},
    {FaultKind::kCallerPath, 300, 5'000},
    {FaultKind::kSilentConnections, 1, 1},
    {FaultKind::kStoreRejects, 300, 5'000},
    {FaultKind::kStoreDown, 500, 8'000},
    {FaultKind::kStoreSlow, 500, 5'000},
    {FaultKind::kStoreLosesAnswers, 500, 5'000},
    {FaultKind::kStoreLate, 500, 5'000},
    {FaultKind::kHistoryDropped, 1, 1},
    {FaultKind::kStoreLeaseEnds, 1, 1},
    {FaultKind::kCrashWorker, 50, 9'000},
    {FaultKind::kDrainWorker, 6'000, 8'000},
    {FaultKind::kLateOrders, 500, 5'000},
    {FaultKind::kUnhealthyWorker, 500, 5'000},
    {FaultKind::kBusyLoops, 1'000, 5'000},
};

template <typename Element>
Element& Choose(std::vector<Element>& all, int64_t number) {
  return all[static_cast<size_t>(number) % all.size()];
}

StoreFault StoreFaultOf(FaultKind kind) {
  switch (kind) {
    case FaultKind::kStoreRejects:
      return StoreFault::kRejects;
    case FaultKind::kStoreDown:
      return StoreFault::kDown;
    case FaultKind::kStoreSlow:
      return StoreFault::kSlow;
    case FaultKind::kStoreLosesAnswers:
      return StoreFault::kLosesAnswers;
    case FaultKind::kStoreLate:
      return StoreFault::kLate;
    default:
      return StoreFault::kNone;
  }
}

}  // namespace

std::vector<PlannedFault> DrawSchedule(uint64_t seed, Millis span) {
  Random random(seed);
  std::vector<PlannedFault> faults;
  const int64_t series = span.Count() / kSpanPerSeries.Count();

  for (int64_t i = 0; i < series; ++i) {
    // Each schedule cuts workers off for longer than any lease.
    const KindLimits& limits = kKinds[i == 0 ? 0 : Draw(random, 0, std::size(kKinds) - 1)];
    const int64_t latest = std::max(span.Count() - limits.shortest_ms, kFirstFault.Count());
    const bool is_wave = limits.kind == FaultKind::kDrainWorker;
    const int64_t length = Draw(random, 1, is_wave ? kLongestWave : kLongestSeries);
    int64_t at = Draw(random, kFirstFault.Count(), latest);

    for (int64_t j = 0; j < length; ++j) {
      const PlannedFault fault{
          .at = Millis(at),
          .duration = Millis(Draw(random, limits.shortest_ms, limits.longest_ms)),
          .kind = limits.kind,
          .target = Draw(random, 0, 9'999),
          .variant = Draw(random, 0, 9'999)};
      if (fault.at + fault.duration <= span) faults.push_back(fault);
      at += is_wave ? Draw(random, 0, 300) : Draw(random, 100, 2'500);
    }
  }

  std::ranges::sort(faults, {}, &PlannedFault::at);
  return faults;
}

FaultInjector::FaultInjector(EventLoop& loop, const Clock& clock, EntryFleet& fleet,
                             Checker& checker)
    : loop_(loop), clock_(clock), fleet_(fleet), checker_(checker) {}

void FaultInjector::Plan(const std::vector<PlannedFault>& faults) {
  for (const PlannedFault& fault : faults) {
    loop_.After(fault.at, [this, fault] {
      checker_.OnFaultBegins();
      checker_.Note("fault begins: " + std::string(kFaultKindNames.Name(fault.kind)) + " " +
                    std::to_string(fault.target) + " " + std::to_string(fault.variant) + ", for " +
                    std::to_string(fault.duration.Count()) + " ms");
      Begin(fault);
      loop_.After(fault.duration, [this, fault] { End(fault); });
    });
  }
}

EntryProcess& FaultInjector::EntryOf(const PlannedFault& fault) {
  return *Choose(fleet_.entries(), fault.target);
}

WorkerStandin& FaultInjector::WorkerOf(const PlannedFault& fault) {
  return *Choose(fleet_.workers(), fault.target);
}

void FaultInjector::Begin(const PlannedFault& fault) {
  switch (fault.kind) {
    case FaultKind::kPauseEntry:
      return EntryOf(fault).Pause();
    case FaultKind::kKillEntry:
      return EntryOf(fault).Kill();
    case FaultKind::kStopEntry:
      return EntryOf(fault).Terminate(clock_.Now());
    case FaultKind::kRemoveEntry:
      return fleet_.RemoveEntry(fault.target % fleet_.entries().size(), fault.variant % 2 == 0);
    case FaultKind::kStorePath:
      return BeginPathFault(*Choose(fleet_.store_paths(), fault.target), fault.variant);
    case FaultKind::kWorkerPath:
      return BeginPathFault(*Choose(fleet_.worker_paths(), fault.target), fault.variant);
    case FaultKind::kIsolateWorker:
      return Choose(fleet_.worker_paths(), fault.target)->SetFault(PathFault::kCutBoth);
    case FaultKind::kCallerPath:
      return BeginPathFault(*Choose(fleet_.caller_paths(), fault.target), fault.variant);
    case FaultKind::kSilentConnections:
      return SilenceConnections(fault.variant);
    case FaultKind::kStoreRejects:
    case FaultKind::kStoreDown:
    case FaultKind::kStoreSlow:
    case FaultKind::kStoreLosesAnswers:
    case FaultKind::kStoreLate:
      return BeginStoreFault(StoreFaultOf(fault.kind), fault.variant);
    case FaultKind::kHistoryDropped:
      return fleet_.store().DropHistory();
    case FaultKind::kStoreLeaseEnds:
      return fleet_.store().EndOneLease();
    case FaultKind::kCrashWorker:
      return WorkerOf(fault).Crash();
    case FaultKind::kDrainWorker:
      return WorkerOf(fault).Drain();
    case FaultKind::kLateOrders:
      return WorkerOf(fault).SetLateOrders(true);
    case FaultKind::kUnhealthyWorker:
      return WorkerOf(fault).SetUnhealthy(true);
    case FaultKind::kBusyLoops:
      for (int64_t i = 0; i <= fault.variant % kMostBusyLoops; ++i) {
        busy_loops_.push_back(StartBusyLoop());
      }
      return;
  }
}

void FaultInjector::End(const PlannedFault& fault) {
  // A worker that drains leaves when the store has heard of it and the time is over.
  const bool drains = fault.kind == FaultKind::kDrainWorker && WorkerOf(fault).Draining();
  if (drains) return loop_.After(kLeavePollInterval, [this, fault] { End(fault); });

  switch (fault.kind) {
    case FaultKind::kPauseEntry:
      EntryOf(fault).Continue();
      break;
    case FaultKind::kKillEntry:
    case FaultKind::kStopEntry:
      fleet_.StartEntry(fault.target % fleet_.entries().size());
      break;
    case FaultKind::kStorePath:
      Choose(fleet_.store_paths(), fault.target)->SetFault(PathFault::kNone);
      break;
    case FaultKind::kWorkerPath:
    case FaultKind::kIsolateWorker:
      Choose(fleet_.worker_paths(), fault.target)->SetFault(PathFault::kNone);
      break;
    case FaultKind::kCallerPath:
      Choose(fleet_.caller_paths(), fault.target)->SetFault(PathFault::kNone);
      break;
    case FaultKind::kStoreRejects:
    case FaultKind::kStoreDown:
    case FaultKind::kStoreSlow:
    case FaultKind::kStoreLosesAnswers:
    case FaultKind::kStoreLate:
      fleet_.store().SetFault(StoreFault::kNone);
      break;
    case FaultKind::kCrashWorker:
    case FaultKind::kDrainWorker:
      fleet_.StartWorker(fault.target % fleet_.workers().size());
      break;
    case FaultKind::kLateOrders:
      WorkerOf(fault).SetLateOrders(false);
      break;
    case FaultKind::kUnhealthyWorker:
      WorkerOf(fault).SetUnhealthy(false);
      break;
    case FaultKind::kBusyLoops:
      busy_loops_.clear();
      break;
    case FaultKind::kRemoveEntry:
    case FaultKind::kSilentConnections:
    case FaultKind::kHistoryDropped:
    case FaultKind::kStoreLeaseEnds:
      break;
  }

  checker_.Note("fault ends: " + std::string(kFaultKindNames.Name(fault.kind)) + " " +
                std::to_string(fault.target));
  checker_.OnFaultEnds();
}

void FaultInjector::BeginStoreFault(StoreFault fault, int64_t variant) {
  fleet_.store().SetLeasesPauseWhileDown(variant % 2 == 0);
  fleet_.store().SetFault(fault);
}

void FaultInjector::BeginPathFault(Proxy& path, int64_t variant) {
  constexpr PathFault kFaults[] = {PathFault::kDelayed, PathFault::kReset, PathFault::kCutToTarget,
                                   PathFault::kCutToClient, PathFault::kCutBoth};
  path.SetFault(kFaults[static_cast<size_t>(variant) % std::size(kFaults)],
                Millis(50 + variant % 700));
}

void FaultInjector::SilenceConnections(int64_t variant) {
  std::vector<Proxy*>* const kinds[] = {&fleet_.store_paths(), &fleet_.worker_paths(),
                                        &fleet_.caller_paths()};
  for (Proxy* path : *kinds[static_cast<size_t>(variant) % std::size(kinds)]) {
    path->SilencePresent();
  }
}

}  // namespace currantpost::soak
