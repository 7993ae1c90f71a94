#include "internal.h"

/// Reads the cancelled jobs to keep an owner's knowledge of them recent. The copy of the records is
/// seconds old while a list is in progress, the link is saturated or the process is short of
/// processor time.

namespace currantpost::scheduler {
namespace {

/// Age above which the copy of the records is late. A watch and the pause before it take less.
constexpr Millis kLateCopyAge = Millis(1'400);
/// Minimum pause between two reads of the cancelled jobs.
constexpr Millis kReadPause = Millis(500);

/// Returns the time up to which all cancellations are known, if any.
std::optional<Millis> CancelsKnownAt(const State& state) {
  const auto records = state.feeds.find(Feed::kRecords);
  const std::optional<Millis> by_copy =
      records == state.feeds.end() ? std::nullopt : records->second.known_at;
  return std::max(by_copy, state.cancel_reads.known_at);
}

/// Returns whether the cancellations matter: tasks may start, or runs are kept that may have been
/// cancelled.
bool NeedsCancels(const State& state) { return state.store_reachable && !state.cells.empty(); }

}  // namespace

bool CancelsAreCurrent(const State& state) {
  const std::optional<Millis> known_at = CancelsKnownAt(state);
  if (!known_at) return false;

  return state.now - *known_at <= LongestUsableAge(state.settings.cancel_time);
}

void UpdateCancelReads(State& state, Effects& effects) {
  CancelReads& reads = state.cancel_reads;
  if (reads.request != 0 || !NeedsCancels(state)) return;

  const std::optional<Millis> copied_at = state.feeds[Feed::kRecords].known_at;
  const Millis due = std::max(copied_at.value_or(Millis(0)) + kLateCopyAge, reads.next_at);

  if (state.now < due) {
    WakeAt(state, due);
    return;
  }

  if (reads.page_after.empty()) reads.began_at = state.now;
  reads.request = CallStore(state, effects, CancelsRead{},
                            ListRecords{std::string(kCancelPrefix), reads.page_after});
}

void HandleCancelsRead(State& state, Effects& effects, const StoreReply& reply) {
  CancelReads& reads = state.cancel_reads;
  reads.request = 0;

  if (reply.status != StoreStatus::kOk) {
    reads.page_after.clear();
    reads.next_at = state.now + kStoreRetryDelay;
    return;
  }

  for (const StoreItem& item : reply.items) ApplyRecord(state, effects, item);

  if (reply.truncated && !reply.items.empty()) {
    reads.page_after = reply.items.back().key;
    return;
  }

  reads.page_after.clear();
  reads.known_at = reads.began_at;
  // An entry that processes replies slowly needs time for its other work.
  reads.next_at = state.now + std::max(kReadPause, state.now - reads.began_at);
}

}  // namespace currantpost::scheduler
