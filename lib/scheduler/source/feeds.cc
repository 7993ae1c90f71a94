#include "internal.h"

/// Local copies of the store's contents: listed once, then updated by watches.

namespace currantpost::scheduler {
namespace {

/// How long a watch waits for a change. Together with `kStoreTimeout` it bounds the time until a
/// silent connection is detected. That must be below 4 s, within which an entry must be up to date
/// again after a fault.
constexpr Millis kWatchWait = Millis(2'000);
/// The same for an owner's watch of the records. It is shorter so that the owner's copy does not
/// count as stale while the store has no changes. The request timeout is still that of
/// `kWatchWait`, as a long reply takes time.
constexpr Millis kOwnerRecordsWait = Millis(500);
/// Pause between two watches of the records. The entry that accepts a job sends it to the owner
/// directly, so the watch only catches up, and the pause limits the number of calls.
constexpr Millis kRecordsPause = Millis(350);
/// Longest pause for the registry, in which every worker writes every 1.5 s.
constexpr Millis kMaxRegistryPause = Millis(700);
/// Shortest wait of a watch of the registry.
constexpr Millis kMinRegistryWait = Millis(100);
/// Time kept between the age of the registry that its watches allow and the age up to which tasks
/// may start: a reply of a slow store.
constexpr Millis kRegistryMargin = Millis(300);
/// A watch reply with this many changes or bytes may be truncated, so more changes may follow. Half
/// of the store's page limits.
constexpr size_t kLongReplyItems = 250;
constexpr size_t kLongReplyBytes = 400'000;
/// How often the timeout of a request for records is doubled at most. An entry that is behind gets
/// long replies, and would never catch up if each one timed out half read.
constexpr int32_t kMaxTimeoutDoublings = 2;

bool AwaitsRecords(const State& state) {
  return std::ranges::any_of(state.cells, [](const auto& row) { return !row.second.open; });
}

bool IsNeeded(const State& state, Feed feed) {
  if (feed != Feed::kWorkers) return true;
  return !state.cells.empty() || IsCoordinator(state);
}

/// Returns the time for one watch of the registry and the pause after it, so that the registry is
/// always recent enough to start tasks.
Millis RegistryCycle(const State& state) {
  return std::max(LongestUsableAge(state.settings.drain_time), kMinUsableAge + kRegistryMargin) -
         kRegistryMargin;
}

Millis PauseOf(const State& state, Feed feed) {
  switch (feed) {
    case Feed::kRecords:
      return AwaitsRecords(state) ? Millis(0) : kRecordsPause;
    case Feed::kWorkers:
      return std::min(kMaxRegistryPause, RegistryCycle(state) - kMinRegistryWait);
    case Feed::kConfiguration:
      return Millis(0);
  }

  return Millis(0);
}

/// Returns how long a watch of a feed may wait for a change.
Millis WaitOf(const State& state, Feed feed) {
  switch (feed) {
    case Feed::kRecords:
      return state.cells.empty() ? kWatchWait : kOwnerRecordsWait;
    case Feed::kWorkers:
      return std::min(kWatchWait, RegistryCycle(state) - PauseOf(state, feed));
    case Feed::kConfiguration:
      return kWatchWait;
  }

  return kWatchWait;
}

void ApplyItem(State& state, Effects& effects, Feed feed, const StoreItem& item) {
  switch (feed) {
    case Feed::kRecords:
      ApplyRecord(state, effects, item);
      return;
    case Feed::kWorkers:
      ApplyRegistryItem(state, item);
      return;
    case Feed::kConfiguration:
      ApplyConfiguration(state, effects, item);
      return;
  }
}

/// Returns the keys of a feed that this entry's copy contains, with their revisions.
std::vector<std::pair<std::string, KvRevision>> KnownKeys(const State& state, Feed feed) {
  std::vector<std::pair<std::string, KvRevision>> keys;

  if (feed == Feed::kWorkers) {
    for (const auto& [id, worker] : state.registry) keys.emplace_back(id.Text(), 0);
  }

  if (feed != Feed::kRecords) return keys;

  const View& view = state.view;
  for (const auto& [id, entry] : view.entries) keys.emplace_back(EntryKey(id), entry.revision);
  for (const auto& [id, cell] : view.cells) keys.emplace_back(CellKey(id), cell.revision);
  for (const auto& [id, load] : view.loads) keys.emplace_back(LoadKey(id), load.revision);

  for (const auto& [id, job] : view.jobs) {
    if (job.revision != 0) keys.emplace_back(JobKey(id), job.revision);
  }

  return keys;
}

/// Removes the keys that a complete list did not contain.
void RemoveUnlisted(State& state, Effects& effects, Feed feed, const FeedState& copy) {
  for (const auto& [key, revision] : KnownKeys(state, feed)) {
    if (revision > copy.listed_from || copy.listed_keys.contains(key)) continue;

    ApplyItem(state, effects, feed,
              StoreItem{.key = key, .revision = copy.listed_from, .removed = true});
  }
}

void ApplyPage(State& state, Effects& effects, Feed feed, FeedState& copy,
               const StoreReply& reply) {
  // A list older than the copy would bring back removed keys.
  if (reply.revision < copy.revision) {
    copy.page_after.clear();
    copy.next_at = state.now + kStoreRetryDelay;
    return;
  }

  if (copy.page_after.empty()) {
    copy.list_began_at = copy.sent_at;
    copy.listed_from = reply.revision;
    copy.listed_keys.clear();
  }

  for (const StoreItem& item : reply.items) {
    copy.listed_keys.insert(item.key);
    ApplyItem(state, effects, feed, item);
  }

  if (reply.truncated && !reply.items.empty()) {
    copy.page_after = reply.items.back().key;
    return;
  }

  RemoveUnlisted(state, effects, feed, copy);
  copy.page_after.clear();
  copy.listed_keys.clear();
  copy.revision = copy.listed_from;
  copy.known_at = copy.list_began_at;
  copy.synced = true;
}

bool IsLongReply(const StoreReply& reply) {
  size_t bytes = 0;
  for (const StoreItem& item : reply.items) bytes += item.value.size();

  return reply.items.size() >= kLongReplyItems || bytes >= kLongReplyBytes;
}

/// Returns the pause before the rest of a long reply is requested. An entry that processes replies
/// slowly needs time for its other work, above all to renew its lease.
Millis CatchUpPause(const State& state, Feed feed, const FeedState& copy) {
  const Millis usual = PauseOf(state, feed);
  return state.cells.empty() ? usual : std::min(usual, state.now - copy.sent_at);
}

/// Applies a watch reply. The reply may be truncated, so by itself it does not show that the copy
/// is complete.
void ApplyChanges(State& state, Effects& effects, Feed feed, FeedState& copy,
                  const StoreReply& reply) {
  for (const StoreItem& item : reply.items) ApplyItem(state, effects, feed, item);

  const bool is_recent = reply.revision >= copy.least_revision;
  const bool whole = !IsLongReply(reply) && is_recent;
  copy.revision = reply.revision;
  if (whole) copy.known_at = std::max(copy.known_at, std::optional(copy.sent_at));
  if (is_recent) copy.known_at = std::max(copy.known_at, std::optional(copy.least_revision_at));
  if (feed == Feed::kRecords) AdvanceKnownAt(state, copy);
  copy.next_at = state.now + (whole ? PauseOf(state, feed) : CatchUpPause(state, feed, copy));
}

/// Returns the timeout of a feed request that the store may hold for `wait`.
Millis TimeoutOf(Feed feed, const FeedState& copy, Millis wait) {
  const Millis usual = wait + kStoreTimeout;
  if (feed != Feed::kRecords) return usual;

  return usual * (int64_t{1} << std::min(copy.timeouts, kMaxTimeoutDoublings));
}

void ResetFeed(FeedState& copy) {
  copy.synced = false;
  copy.page_after.clear();
}

}  // namespace

void ApplyConfiguration(State& state, Effects& effects, const StoreItem& item) {
  state.configuration_revision = std::max(state.configuration_revision, item.revision);
  if (!item.routing) return;
  if (state.routing && item.routing->version <= state.routing->version) return;

  state.routing = item.routing;
  state.queues = QueueTable(*item.routing);
  Log(effects, Severity::kInfo, "applied configuration",
      {{"version", std::to_string(item.routing->version)},
       {"queues", std::to_string(item.routing->queues.size())}});
  effects.emplace_back(ApplyRouting{item.routing});
}

void UpdateFeeds(State& state, Effects& effects) {
  for (const auto& row : kFeedNames.Rows()) {
    const Feed feed = row.value;
    FeedState& copy = state.feeds[feed];
    if (copy.request != 0) continue;

    if (!IsNeeded(state, feed)) {
      ResetFeed(copy);
      continue;
    }

    if (feed == Feed::kRecords && AwaitsRecords(state)) copy.next_at = state.now;

    if (state.now < copy.next_at) {
      WakeAt(state, copy.next_at);
      continue;
    }

    copy.sent_at = state.now;
    copy.least_revision = state.latest_revision;
    copy.least_revision_at = state.latest_revision_at;

    if (!copy.synced) {
      copy.request = CallStore(state, effects, FeedCalled{feed, true},
                               ListFeed{feed, copy.page_after}, TimeoutOf(feed, copy, Millis(0)));
      continue;
    }

    copy.request = CallStore(state, effects, FeedCalled{feed, false},
                             WatchFeed{feed, copy.revision, WaitOf(state, feed)},
                             TimeoutOf(feed, copy, kWatchWait));
  }
}

void RestartWatches(State& state) {
  for (auto& [feed, copy] : state.feeds) {
    if (!copy.synced || copy.request == 0) continue;

    state.store_calls.erase(copy.request);
    copy.request = 0;
    copy.next_at = state.now;
    WakeAt(state, state.now);
  }
}

void HandleFeedReply(State& state, Effects& effects, const FeedCalled& purpose,
                     const StoreReply& reply) {
  FeedState& copy = state.feeds[purpose.feed];
  copy.request = 0;

  switch (reply.status) {
    case StoreStatus::kOk:
      break;
    case StoreStatus::kHistoryGone:
      Log(effects, Severity::kInfo, "the store no longer has the requested history; listing again",
          {{"feed", std::string(kFeedNames.Name(purpose.feed))}});
      ResetFeed(copy);
      copy.next_at = state.now;
      return;
    default:
      if (reply.status == StoreStatus::kUnknown) ++copy.timeouts;
      copy.next_at = state.now + kStoreRetryDelay;
      return;
  }

  copy.timeouts = 0;

  if (purpose.list) {
    ApplyPage(state, effects, purpose.feed, copy, reply);
  } else if (reply.revision >= copy.revision) {
    ApplyChanges(state, effects, purpose.feed, copy, reply);
  } else {
    copy.next_at = state.now + kStoreRetryDelay;
  }

  if (purpose.feed == Feed::kWorkers) ApplyRegistry(state, effects);
}

namespace {

/// Remembers the removal of a key. Returns false if the known record is newer than the removal.
bool RememberRemoval(View& view, const std::string& key, KvRevision known, KvRevision revision) {
  if (revision < known) return false;

  if (view.removed.size() >= kMaxRememberedRemovals) view.removed.clear();
  view.removed[key] = std::max(view.removed[key], revision);
  return true;
}

/// Returns whether the key was removed at or after the record's revision.
bool WasRemoved(const View& view, const StoreItem& item) {
  const auto removed = view.removed.find(item.key);
  return removed != view.removed.end() && item.revision <= removed->second;
}

void ApplyEntry(State& state, Effects& effects, const EntryId& id, const StoreItem& item) {
  const auto known = state.view.entries.find(id);
  const KvRevision known_revision = known == state.view.entries.end() ? 0 : known->second.revision;

  if (item.removed) {
    if (!RememberRemoval(state.view, item.key, known_revision, item.revision)) return;

    state.view.entries.erase(id);
    if (id == state.settings.entry) HandleEntryRecordRemoved(state, effects);
    return;
  }

  if (item.revision <= known_revision) return;

  const Result<EntryRecord> record = DecodeEntry(item.value);
  if (!record) return LogUnreadable(effects, item, record.error());

  const bool same_incarnation =
      known != state.view.entries.end() && known->second.record.incarnation == record->incarnation;
  const Millis seen_at = same_incarnation ? known->second.seen_at : state.now;
  state.view.entries[id] = EntryView{*record, item.revision, item.lease, seen_at};
}

void ApplyLayout(State& state, Effects& effects, const StoreItem& item) {
  if (item.removed || item.revision <= state.view.layout_revision) return;

  const Result<LayoutRecord> record = DecodeLayout(item.value);
  if (!record) return LogUnreadable(effects, item, record.error());

  state.view.layout = *record;
  state.view.layout_revision = item.revision;
  ApplyRegistry(state, effects);
}

void ApplyCell(State& state, Effects& effects, const CellId& id, const StoreItem& item) {
  const auto known = state.view.cells.find(id);
  const KvRevision known_revision = known == state.view.cells.end() ? 0 : known->second.revision;
  const auto owned = state.cells.find(id);

  if (item.removed) {
    if (!RememberRemoval(state.view, item.key, known_revision, item.revision)) return;

    state.view.cells.erase(id);
    if (owned != state.cells.end() && item.revision > owned->second.grant) {
      DropCell(state, effects, id, "the cell record was removed");
    }
    return;
  }

  if (item.revision <= known_revision) return;

  const Result<CellRecord> record = DecodeCell(item.value);
  if (!record) return LogUnreadable(effects, item, record.error());

  state.view.cells[id] = CellView{*record, item.revision};
  const bool own =
      record->owner == state.settings.entry && record->incarnation == state.settings.incarnation;

  if (owned != state.cells.end() && owned->second.grant < item.revision) {
    DropCell(state, effects, id, "another grant was made");
  }

  if (own && !state.cells.contains(id)) AcquireCell(state, effects, id, item.revision);
}

void ApplyLoad(State& state, Effects& effects, const CellId& id, const StoreItem& item) {
  const auto known = state.view.loads.find(id);
  const KvRevision known_revision = known == state.view.loads.end() ? 0 : known->second.revision;

  if (item.removed) {
    if (RememberRemoval(state.view, item.key, known_revision, item.revision)) {
      state.view.loads.erase(id);
    }
    return;
  }

  if (item.revision <= known_revision) return;

  const Result<LoadRecord> record = DecodeLoad(item.value);
  if (!record) return LogUnreadable(effects, item, record.error());

  state.view.loads[id] = LoadView{*record, item.revision};
  state.view.waiting[id] = record->waiting;
  state.sent_demand.erase(id);
  state.sent_best_effort_demand.erase(id);
}

/// Adds a new or moved job to its cell if this entry owns it, and removes the job from owned cells
/// that it has left.
void AssignToOwnedCell(State& state, Effects& effects, const JobId& id, const JobView& job) {
  for (auto& [cell_id, cell] : state.cells) {
    const bool here = cell_id == job.head.cell;
    // The owner wrote this record itself, and settles the job when the write is answered.
    if (here && job.head.ended) continue;

    // No task of the job runs: a job is moved only then.
    if (cell.jobs.contains(id)) RemoveJob(cell, id);
    if (here && cell.open) AddJob(state, effects, cell, id);
  }
}

void ApplyJob(State& state, Effects& effects, const JobId& id, const StoreItem& item) {
  if (item.removed) {
    const auto known = state.view.jobs.find(id);
    const KvRevision revision = known == state.view.jobs.end() ? 0 : known->second.revision;
    if (RememberRemoval(state.view, item.key, revision, item.revision)) state.view.jobs.erase(id);
    return;
  }

  JobView& job = state.view.jobs[id];
  if (item.revision <= job.revision) return;

  Result<JobHead> head = DecodeJobHead(item.value);
  if (!head) return LogUnreadable(effects, item, head.error());

  // A move voids the progress recorded in the former cell, even if the job returns to that cell.
  // Progress recorded after the move stays valid, although the record of the move may arrive later.
  if (!head->ended && job.progress_revision < item.revision) ResetProgress(job);
  job.head = *std::move(head);
  job.value = item.value;
  job.revision = item.revision;
  AssignToOwnedCell(state, effects, id, job);

  const JobHead& known = job.head;
  if (known.ended && !known.parent.Empty()) {
    ApplyBorrowedJobEnd(state, effects, known.parent, id, *known.ended);
  }
}

/// Applies a progress record of a cell's owner. `name` is the cell and the job.
void ApplyProgress(State& state, Effects& effects, const std::string& name, const StoreItem& item) {
  // The records of an ended job are removed together, and the removal of the job record is enough.
  if (item.removed) return;

  const size_t end = name.rfind('/');
  if (end == std::string::npos) return;

  const CellId cell(name.substr(0, end));
  const JobId id(name.substr(end + 1));
  const Result<JobPhase> phase = DecodePhase(item.value);
  if (!phase) return LogUnreadable(effects, item, phase.error());

  const bool own = state.cells.contains(cell);
  const bool known = state.view.jobs.contains(id);

  if (!own) {
    // The end of a job that runs lent tasks.
    if (!known || !IsTerminal(*phase)) return;

    const JobId parent = state.view.jobs.at(id).head.parent;
    if (!parent.Empty()) ApplyBorrowedJobEnd(state, effects, parent, id, *phase);
    return;
  }

  JobView& job = state.view.jobs[id];
  // Progress recorded before the job was moved is void.
  if (item.revision <= job.progress_revision || item.revision < job.revision) return;

  job.progress_cell = cell;
  job.phase = *phase;
  job.progress_revision = item.revision;
  job.progress = IsTerminal(*phase) ? std::string() : item.value;
  if (!IsTerminal(*phase)) return;

  if (!job.ended_at) job.ended_at = state.now;
  job.value.clear();
  const JobId parent = job.head.parent;
  if (parent.Empty()) return;

  const auto lender = state.view.jobs.find(parent);
  if (lender != state.view.jobs.end()) PushToOwner(state, effects, lender->second.head.cell, item);
  ApplyBorrowedJobEnd(state, effects, parent, id, *phase);
}

void ApplyCancel(State& state, Effects& effects, const JobId& id, const StoreItem& item) {
  if (item.removed) {
    RememberRemoval(state.view, item.key, 0, item.revision);
    return;
  }

  JobView& job = state.view.jobs[id];
  if (job.cancelled) return;

  job.cancel_revision = item.revision;
  ApplyCancellation(state, effects, id);
}

/// Maps a key prefix to the function that applies its records.
template <typename Name>
struct RecordKind {
  std::string_view prefix;
  void (*apply)(State&, Effects&, const Name&, const StoreItem&);
};

constexpr RecordKind<JobId> kJobKinds[] = {{kJobPrefix, ApplyJob}, {kCancelPrefix, ApplyCancel}};
constexpr RecordKind<std::string> kProgressKinds[] = {{kProgressPrefix, ApplyProgress}};
constexpr RecordKind<CellId> kCellKinds[] = {{kCellPrefix, ApplyCell},
                                             {kLoadPrefix, ApplyLoad},
                                             {kHandOverQuestionPrefix, ApplyHandOverQuestion},
                                             {kHandOverAnswerPrefix, ApplyHandOverAnswer}};
constexpr RecordKind<EntryId> kEntryKinds[] = {{kEntryPrefix, ApplyEntry},
                                               {kEvidencePrefix, ApplyEvidence}};

template <typename Name, size_t kCount>
bool ApplyByPrefix(const RecordKind<Name> (&kinds)[kCount], State& state, Effects& effects,
                   const StoreItem& item) {
  for (const RecordKind<Name>& kind : kinds) {
    if (!item.key.starts_with(kind.prefix)) continue;

    kind.apply(state, effects, Name{item.key.substr(kind.prefix.size())}, item);
    return true;
  }

  return false;
}

}  // namespace

void ApplyCancellation(State& state, Effects& effects, const JobId& id) {
  const auto view = state.view.jobs.find(id);
  if (view == state.view.jobs.end() || view->second.cancelled) return;

  view->second.cancelled = true;

  for (auto& [cell_id, cell] : state.cells) {
    std::vector<JobId> concerned;

    for (const auto& [job_id, held] : cell.jobs) {
      if (job_id == id || held.record.parent == id) concerned.push_back(job_id);
    }

    for (const JobId& job_id : concerned) {
      CancelJob(state, effects, cell, cell.jobs.at(job_id));
    }
  }
}

void ResetProgress(JobView& job) {
  job.phase = JobPhase::kQueued;
  job.progress.clear();
  job.progress_cell = CellId();
  job.progress_revision = 0;
  job.ended_at.reset();
}

void LogUnreadable(Effects& effects, const StoreItem& item, const Error& error) {
  Log(effects, Severity::kError, "skipped unreadable record",
      {{"key", item.key}, {"error", error.detail}});
}

void ApplyRecord(State& state, Effects& effects, const StoreItem& item) {
  if (!item.removed && WasRemoved(state.view, item)) return;

  if (item.key == kLayoutKey) return ApplyLayout(state, effects, item);
  if (item.key == kLearnedKey) return ApplyLearned(state, effects, item);
  if (ApplyByPrefix(kJobKinds, state, effects, item)) return;
  if (ApplyByPrefix(kProgressKinds, state, effects, item)) return;
  if (ApplyByPrefix(kCellKinds, state, effects, item)) return;

  ApplyByPrefix(kEntryKinds, state, effects, item);
}

}  // namespace currantpost::scheduler
