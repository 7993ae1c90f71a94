#pragma once

#include <string>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/time.h"
#include "entry_fleet.h"

namespace currantpost::soak {

enum class FaultKind {
  kPauseEntry,
  kKillEntry,
  kStopEntry,
  /// Gone for good, with or without SIGTERM.
  kRemoveEntry,
  kStorePath,
  kWorkerPath,
  /// A worker is cut off for longer than any lease.
  kIsolateWorker,
  kCallerPath,
  kSilentConnections,
  kStoreRejects,
  kStoreDown,
  kStoreSlow,
  kStoreLosesAnswers,
  kStoreLate,
  kHistoryDropped,
  kStoreLeaseEnds,
  kCrashWorker,
  kDrainWorker,
  kLateOrders,
  kUnhealthyWorker,
  kBusyLoops,
};

inline constexpr EnumNames kFaultKindNames(std::to_array<EnumName<FaultKind>>({
    {FaultKind::kPauseEntry, "pause_entry"},
    {FaultKind::kKillEntry, "kill_entry"},
    {FaultKind::kStopEntry, "stop_entry"},
    {FaultKind::kRemoveEntry, "remove_entry"},
    {FaultKind::kStorePath, "store_path"},
    {FaultKind::kWorkerPath, "worker_path"},
    {FaultKind::kIsolateWorker, "isolate_worker"},
    {FaultKind::kCallerPath, "caller_path"},
    {FaultKind::kSilentConnections, "silent_connections"},
    {FaultKind::kStoreRejects, "store_rejects"},
    {FaultKind::kStoreDown, "store_down"},
    {FaultKind::kStoreSlow, "store_slow"},
    {FaultKind::kStoreLosesAnswers, "store_loses_answers"},
    {FaultKind::kStoreLate, "store_late"},
    {FaultKind::kHistoryDropped, "history_dropped"},
    {FaultKind::kStoreLeaseEnds, "store_lease_ends"},
    {FaultKind::kCrashWorker, "crash_worker"},
    {FaultKind::kDrainWorker, "drain_worker"},
    {FaultKind::kLateOrders, "late_orders"},
    {FaultKind::kUnhealthyWorker, "unhealthy_worker"},
    {FaultKind::kBusyLoops, "busy_loops"},
}));

/// A fault of a schedule.
struct PlannedFault {
  Millis at;
  Millis duration;
  FaultKind kind = FaultKind::kPauseEntry;
  /// Chooses the entry, the worker or the path, and how it fails.
  int64_t target = 0;
  int64_t variant = 0;
};

/// Draws faults in series that overlap, all within a span.
std::vector<PlannedFault> DrawSchedule(uint64_t seed, Millis span);

/// Carries out planned faults and tells the checker of their beginnings and ends.
class FaultInjector {
 public:
  FaultInjector(EventLoop& loop, const Clock& clock, EntryFleet& fleet, Checker& checker);

  void Plan(const std::vector<PlannedFault>& faults);

 private:
  void Begin(const PlannedFault& fault);
  void End(const PlannedFault& fault);
  void BeginStoreFault(StoreFault fault, int64_t variant);
  void BeginPathFault(Proxy& path, int64_t variant);
  void SilenceConnections(int64_t variant);
  [[nodiscard]] EntryProcess& EntryOf(const PlannedFault& fault);
  [[nodiscard]] WorkerStandin& WorkerOf(const PlannedFault& fault);

  EventLoop& loop_;
  const Clock& clock_;
  EntryFleet& fleet_;
  Checker& checker_;
  std::vector<std::unique_ptr<testing_support::Process>> busy_loops_;
};

}  // namespace currantpost::soak
