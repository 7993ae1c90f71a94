#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/time.h"
#include "currantpost/scheduler/store.h"

/// What the scheduler has done since the process started, for its metrics. Counting takes no
/// look-up by name and no memory.

namespace currantpost::scheduler {

/// Number of events by a label. The last value of the label is `kLast`.
template <typename Label, Label kLast>
class CountsBy {
 public:
  static constexpr size_t kSize = static_cast<size_t>(kLast) + 1;

  void Add(Label label, uint64_t number = 1) { counts_[static_cast<size_t>(label)] += number; }
  [[nodiscard]] uint64_t Get(Label label) const { return counts_[static_cast<size_t>(label)]; }

 private:
  std::array<uint64_t, kSize> counts_{};
};

/// Number of durations up to each of several bounds, which are in milliseconds and ascend.
template <const auto& kBounds>
class Durations {
 public:
  void Add(Millis duration) {
    size_t bucket = 0;
    while (bucket < kBounds.size() && duration.Count() > kBounds[bucket]) ++bucket;
    ++buckets_[bucket];
    sum_ = sum_ + duration;
  }

  /// Returns the number of durations of each bucket, without those of the buckets before it.
  [[nodiscard]] std::span<const uint64_t> Buckets() const { return buckets_; }
  [[nodiscard]] Millis Sum() const { return sum_; }

  [[nodiscard]] uint64_t Number() const {
    uint64_t number = 0;
    for (const uint64_t in_bucket : buckets_) number += in_bucket;
    return number;
  }

 private:
  /// The last bucket has no upper bound.
  std::array<uint64_t, kBounds.size() + 1> buckets_{};
  Millis sum_;
};

/// Bounds of times that something takes.
inline constexpr std::array<int64_t, 12> kTimeBounds = {1,   2,   5,   10,    20,    50,
                                                        100, 200, 500, 1'000, 3'000, 10'000};
/// Bounds of what is left of a lease.
inline constexpr std::array<int64_t, 8> kLeaseBounds = {0,     100,   250,   500,
                                                        1'000, 1'500, 2'000, 3'000};

using Times = Durations<kTimeBounds>;
using LeaseRests = Durations<kLeaseBounds>;

/// Why a caller's job was not accepted. The names are the reasons in the log.
enum class Refusal {
  kNeedsAdvice,
  kHasGang,
  kStopping,
  kRecordsUnknown,
  kNoWorkerKnown,
  kWithdrawn,
  kStoreSilent,
};

inline constexpr EnumNames kRefusalNames(std::to_array<EnumName<Refusal>>({
    {Refusal::kNeedsAdvice, "the queue needs the advice service"},
    {Refusal::kHasGang, "gangs are not served yet"},
    {Refusal::kStopping, "the entry is stopping"},
    {Refusal::kRecordsUnknown, "the records are not known yet"},
    {Refusal::kNoWorkerKnown, "no worker is known yet"},
    {Refusal::kWithdrawn, "the job was withdrawn"},
    {Refusal::kStoreSilent, "the store does not answer"},
}));

/// Why a run was treated as lost. The names are the reasons in the log.
enum class LossReason {
  kLeaseExpired,
  kWorkerRestarted,
  kWorkerRestartedEarlier,
  kNotListed,
};

inline constexpr EnumNames kLossReasonNames(std::to_array<EnumName<LossReason>>({
    {LossReason::kLeaseExpired, "the worker's lease has expired"},
    {LossReason::kWorkerRestarted, "the worker has restarted"},
    {LossReason::kWorkerRestartedEarlier, "its worker has restarted since"},
    {LossReason::kNotListed, "the worker does not list the run"},
}));

/// What became of a request for capacity to the owner of another cell.
enum class CapacityOutcome {
  kGranted,
  /// A worker is kept for the task, which waits for it there.
  kWorkerKept,
  kDeclined,
  kUnanswered,
};

inline constexpr EnumNames kCapacityOutcomeNames(std::to_array<EnumName<CapacityOutcome>>({
    {CapacityOutcome::kGranted, "granted"},
    {CapacityOutcome::kWorkerKept, "worker_kept"},
    {CapacityOutcome::kDeclined, "declined"},
    {CapacityOutcome::kUnanswered, "unanswered"},
}));

/// Kinds of tasks that wait for a worker.
enum class WaitKind {
  kLongRunning,
  kShort,
  kBestEffort,
};

inline constexpr EnumNames kWaitKindNames(std::to_array<EnumName<WaitKind>>({
    {WaitKind::kLongRunning, "long_running"},
    {WaitKind::kShort, "short"},
    {WaitKind::kBestEffort, "best_effort"},
}));

/// What happens to a worker that is kept for a task.
enum class HoldEvent {
  kGranted,
  /// A worker was found for the task.
  kUsed,
  /// Nobody asked for it again.
  kExpired,
  /// An interrupted task took its place.
  kDisplaced,
  /// The worker no longer suits the task, or is no longer needed.
  kDropped,
  /// The job has left the cell or has ended.
  kJobLeft,
  /// The task that it was granted to arrived from another cell.
  kPassedOn,
  /// It was offered to a task that waits in another cell.
  kOffered,
  /// The owner of that cell has refused the offer.
  kRefused,
  /// Another worker is kept instead, as it becomes free sooner.
  kMoved,
};

inline constexpr EnumNames kHoldEventNames(std::to_array<EnumName<HoldEvent>>({
    {HoldEvent::kGranted, "granted"},
    {HoldEvent::kUsed, "used"},
    {HoldEvent::kExpired, "expired"},
    {HoldEvent::kDisplaced, "displaced"},
    {HoldEvent::kDropped, "dropped"},
    {HoldEvent::kJobLeft, "job_left"},
    {HoldEvent::kPassedOn, "passed_on"},
    {HoldEvent::kOffered, "offered"},
    {HoldEvent::kRefused, "refused"},
    {HoldEvent::kMoved, "moved"},
}));

/// What a search for capacity visits.
enum class SearchVisit {
  /// Updates of the jobs of one cell.
  kPass,
  /// Jobs in these.
  kJob,
  /// Other cells that were looked at for a job.
  kCell,
  /// Cells of this entry that were asked for capacity.
  kOwnCell,
  /// Workers that were looked at for interrupted tasks.
  kWorker,
};

inline constexpr EnumNames kSearchVisitNames(std::to_array<EnumName<SearchVisit>>({
    {SearchVisit::kPass, "pass"},
    {SearchVisit::kJob, "job"},
    {SearchVisit::kCell, "cell"},
    {SearchVisit::kOwnCell, "own_cell"},
    {SearchVisit::kWorker, "worker"},
}));

using SearchVisits = CountsBy<SearchVisit, SearchVisit::kWorker>;

/// Kinds of calls to the store.
enum class StoreCallKind {
  /// Ends when something changes, or after a while.
  kWatch,
  kList,
  /// This entry's own lease.
  kLease,
  /// All other reads and writes.
  kOther,
};

inline constexpr EnumNames kStoreCallKindNames(std::to_array<EnumName<StoreCallKind>>({
    {StoreCallKind::kWatch, "watch"},
    {StoreCallKind::kList, "list"},
    {StoreCallKind::kLease, "lease"},
    {StoreCallKind::kOther, "other"},
}));

/// Counts of the scheduler. No decision depends on them.
struct Counts {
  CountsBy<Refusal, Refusal::kStoreSilent> refusals;
  CountsBy<LossReason, LossReason::kNotListed> lost_runs;
  /// Runs that were treated as lost and had completed their tasks.
  uint64_t completed_lost_runs = 0;
  /// Replies of workers that list runs whose lease was not renewed in time.
  uint64_t lapsed_replies = 0;
  CountsBy<CapacityOutcome, CapacityOutcome::kUnanswered> capacity_requests;
  /// Requests of peers that were dropped because their senders no longer waited.
  uint64_t overdue_requests = 0;
  CountsBy<HoldEvent, HoldEvent::kMoved> holds;
  /// How long workers were kept for long-running tasks and for others, by `HoldEvent` that ended
  /// it.
  /// @{
  std::array<Times, kHoldEventNames.Rows().size()> hold_times;
  std::array<Times, kHoldEventNames.Rows().size()> short_hold_times;
  /// @}
  /// How long tasks waited until they were placed, by `WaitKind`.
  std::array<Times, kWaitKindNames.Rows().size()> waits;
  /// Log lines about waiting tasks that were left out, as there were many.
  uint64_t omitted_wait_lines = 0;
  /// Tasks that were stopped to make room for interrupted long-running ones.
  uint64_t evictions = 0;
  SearchVisits search;
  /// What was left of a worker's lease when its renewal was confirmed.
  LeaseRests lease_rests;
  /// Times of calls to the store, answered or not, by `StoreCallKind` and `StoreStatus`.
  std::array<std::array<Times, kStoreStatusNames.Rows().size()>, kStoreCallKindNames.Rows().size()>
      store_calls;

  /// Counts an event that ends a hold, and how long the worker was kept.
  void AddEndOfHold(HoldEvent event, bool is_long_running, Millis kept) {
    holds.Add(event);
    (is_long_running ? hold_times : short_hold_times)[static_cast<size_t>(event)].Add(kept);
  }

  void AddStoreCall(StoreCallKind kind, StoreStatus status, Millis took) {
    store_calls[static_cast<size_t>(kind)][static_cast<size_t>(status)].Add(took);
  }
};

}  // namespace currantpost::scheduler
