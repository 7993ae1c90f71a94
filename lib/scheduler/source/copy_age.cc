#include "internal.h"

/// Age of the local copies of the store's contents: up to which time each copy is known to be
/// complete.

namespace currantpost::scheduler {
namespace {

/// Age above which an owner's copy of the records counts as stale and is logged.
constexpr Millis kStaleRecordsAge = Millis(2'500);
/// Age up to which the copy of an entry counts as caught up. The copy of an entry without cells is
/// up to two watches old while the store has no changes.
constexpr Millis kMaxCaughtUpAge = Millis(5'000);
/// Minimum interval between two stored revision marks, and their maximum number.
constexpr Millis kMarkInterval = Millis(100);
constexpr size_t kMaxMarks = 300;
/// Added to the timeout of an order, for rounding and timers that fire late.
constexpr Millis kStartMargin = Millis(200);

}  // namespace

void AdvanceKnownAt(State& state, FeedState& copy) {
  while (!state.revision_marks.empty() && state.revision_marks.front().revision <= copy.revision) {
    copy.known_at = std::max(copy.known_at, std::optional(state.revision_marks.front().sent_at));
    state.revision_marks.pop_front();
  }
}

void RecordStoreRevision(State& state, Millis sent_at, KvRevision revision) {
  if (revision > state.latest_revision) {
    state.latest_revision = revision;
    state.latest_revision_at = sent_at;
  }

  const bool late = !state.revision_marks.empty() &&
                    sent_at < state.revision_marks.back().sent_at + kMarkInterval;
  if (revision == 0 || late || state.revision_marks.size() >= kMaxMarks) return;

  state.revision_marks.push_back(RevisionMark{sent_at, revision});
}

bool IsCaughtUp(const State& state) { return state.caught_up; }

void UpdateCaughtUp(State& state) {
  const FeedState& copy = state.feeds[Feed::kRecords];
  const bool recent = copy.synced && copy.known_at && state.now - *copy.known_at <= kMaxCaughtUpAge;
  state.caught_up = recent && !IsSlow(state) && (state.caught_up || copy.backlog.replies == 0);
}

std::string RecordsAgeText(const State& state) {
  const auto records = state.feeds.find(Feed::kRecords);
  if (records == state.feeds.end() || !records->second.known_at) return "never";

  return std::to_string((state.now - *records->second.known_at).Count());
}

void LogRecordsStaleness(State& state, Effects& effects) {
  const FeedState& records = state.feeds[Feed::kRecords];
  const bool owns_open_cell =
      std::ranges::any_of(state.cells, [](const auto& row) { return row.second.open; });
  const bool old =
      owns_open_cell && records.known_at && state.now - *records.known_at > kStaleRecordsAge;
  if (old == state.stale_records_logged) return;

  state.stale_records_logged = old;
  Log(effects, old ? Severity::kWarning : Severity::kInfo,
      old ? "copy of the records is stale" : "copy of the records is up to date again",
      {{"known_ms", RecordsAgeText(state)},
       {"listing", records.synced ? "no" : "yes"},
       {"revision", std::to_string(records.revision)},
       {"cells", std::to_string(state.cells.size())}});
}

Millis LongestUsableAge(Millis limit) {
  return std::max(limit - kOrderTimeout - kStartMargin, kMinUsableAge);
}

bool IsRegistrationCurrent(const State& state, const WorkerState& worker) {
  const auto registry = state.feeds.find(Feed::kWorkers);
  const std::optional<Millis> copied_at =
      registry == state.feeds.end() ? std::nullopt : registry->second.known_at;
  const std::optional<Millis> known_at = std::max(copied_at, worker.registration_known_at);
  if (!known_at) return false;

  return state.now - *known_at <= LongestUsableAge(state.settings.drain_time);
}

}  // namespace currantpost::scheduler
