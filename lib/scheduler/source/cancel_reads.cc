#include "internal.h"

/// How recent an owner's knowledge of cancelled jobs is. The copy of the records is seconds old
/// while a list is under way, the link is full or the process is short of processor time.

namespace currantpost::scheduler {
namespace {

/// A copy of the records that is older is late: a watch of them and the pause before it take less.
constexpr Millis kLateCopyAge = Millis(1'400);
/// Least pause between two reads of the cancelled jobs.
constexpr Millis kReadPause = Millis(500);
/// Added to the time that an order takes at most: rounding, and timers that fire late.
constexpr Millis kStartMargin = Millis(200);
/// Least age of that knowledge at which tasks start all the same, however short the time for a
/// cancel is: with less nothing would ever start.
constexpr Millis kMinUsableAge = Millis(500);

/// Returns the time by which all cancels are known, if there is one.
std::optional<Millis> CancelsKnownAt(const State& state) {
  const auto records = state.feeds.find(Feed::kRecords);
  const std::optional<Millis> by_copy =
      records == state.feeds.end() ? std::nullopt : records->second.known_at;
  return std::max(by_copy, state.cancel_reads.known_at);
}

/// Says whether tasks may start once the cancels are known.
bool MayStartTasks(const State& state) {
  if (!state.store_reachable) return false;

  return std::ranges::any_of(state.cells, [](const auto& row) { return row.second.open; });
}

}  // namespace

bool CancelsAreCurrent(const State& state) {
  const std::optional<Millis> known_at = CancelsKnownAt(state);
  if (!known_at) return false;

  const Millis longest = state.settings.cancel_time - kOrderTimeout - kStartMargin;
  return state.now - *known_at <= std::max(longest, kMinUsableAge);
}

void UpdateCancelReads(State& state, Effects& effects) {
  CancelReads& reads = state.cancel_reads;
  if (reads.request != 0 || !MayStartTasks(state)) return;

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
  // An entry that takes answers in slowly has to get round to its other work.
  reads.next_at = state.now + std::max(kReadPause, state.now - reads.began_at);
}

}  // namespace currantpost::scheduler
