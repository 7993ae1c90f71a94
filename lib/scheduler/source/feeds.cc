#include "internal.h"

/// Local copies of the store's contents: listed once, then updated by watches.

namespace currantpost::scheduler {
namespace {

/// How long a watch waits for a change. For the large feeds, it bounds the time until a silent
/// connection is detected, together with `kStoreTimeout`. That must be below 4 s, within which an
/// entry must be up to date again after a fault. What else a silent watch of them would delay is
/// read or pushed meanwhile. For the small feeds, see `SilenceLimit`.
constexpr Millis kWatchWait = Millis(2'000);
/// The same for an owner's watch of the records. It is shorter so that the owner's copy does not
/// count as stale while the store has no changes. The request timeout is still that of
/// `kWatchWait`, as a long reply takes time.
constexpr Millis kOwnerRecordsWait = Millis(500);
/// Time for the reply to a watch of a small feed after its wait, and for the reply to the next one
/// if the connection was silent. A slow store takes 250 ms.
constexpr Millis kSmallReplyTime = Millis(500);
constexpr Millis kNextReplyTime = Millis(300);
/// Shortest wait of a watch of a small feed, whatever the deployment promises.
constexpr Millis kMinSmallFeedWait = Millis(100);
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

/// Returns whether a cell cannot be opened before the copy of the records is newer.
bool AwaitsRecords(const State& state) {
  const auto records = state.feeds.find(Feed::kRecords);
  const KvRevision known = records == state.feeds.end() ? 0 : records->second.revision;

  return std::ranges::any_of(
      state.cells, [&](const auto& row) { return !row.second.open && known < row.second.grant; });
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
    case Feed::kMembers:
      return kRecordsPause;
    case Feed::kRecords:
      return AwaitsRecords(state) ? Millis(0) : kRecordsPause;
    case Feed::kWorkers:
      return std::min(kMaxRegistryPause, RegistryCycle(state) - kMinRegistryWait);
    case Feed::kConfiguration:
      return Millis(0);
  }

  return Millis(0);
}

/// Returns whether the replies to watches of a feed are small, so that none is cut off by a short
/// timeout. Nothing but these watches tells an entry about changes of the small feeds.
bool IsSmall(Feed feed) { return feed == Feed::kMembers || feed == Feed::kConfiguration; }

/// Returns how long a watch of a small feed may be silent. Its connection may be silent for good
/// since it was sent, and the next watch must still bring what has changed within
/// `Settings::contact_time`.
Millis SilenceLimit(const State& state) {
  const Millis allowed = state.settings.contact_time - kStoreRetryDelay - kNextReplyTime;
  return std::clamp(allowed, kMinSmallFeedWait + kSmallReplyTime, kWatchWait + kStoreTimeout);
}

/// Returns how long a watch of a feed may wait for a change.
Millis WaitOf(const State& state, Feed feed) {
  const Millis small_feed_wait = std::min(kWatchWait, SilenceLimit(state) - kSmallReplyTime);

  switch (feed) {
    case Feed::kMembers:
      return small_feed_wait;
    case Feed::kRecords:
      return state.cells.empty() ? kWatchWait : kOwnerRecordsWait;
    case Feed::kWorkers:
      return std::min(kWatchWait, RegistryCycle(state) - PauseOf(state, feed));
    case Feed::kConfiguration:
      return small_feed_wait;
  }

  return kWatchWait;
}

void ApplyItem(State& state, Effects& effects, Feed feed, const StoreItem& item) {
  switch (feed) {
    case Feed::kMembers:
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

  const View& view = state.view;

  if (feed == Feed::kMembers) {
    for (const auto& [id, entry] : view.entries) keys.emplace_back(EntryKey(id), entry.revision);
    for (const auto& [id, cell] : view.cells) keys.emplace_back(CellKey(id), cell.revision);
  }

  if (feed != Feed::kRecords) return keys;

  for (const auto& [id, load] : view.loads) keys.emplace_back(LoadKey(id), load.revision);

  for (const auto& [id, job] : view.jobs) {
    if (job.revision != 0) keys.emplace_back(JobKey(id), job.revision);
  }

  for (const auto& [id, job] : view.withdrawn) keys.emplace_back(WithdrawnKey(id), job.revision);

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

size_t BytesOf(const StoreReply& reply) {
  size_t bytes = 0;
  for (const StoreItem& item : reply.items) bytes += item.value.size();

  return bytes;
}

bool IsLongReply(const StoreReply& reply) {
  return reply.items.size() >= kLongReplyItems || BytesOf(reply) >= kLongReplyBytes;
}

/// Counts a reply that did not bring the copy up to date by itself, or the last one of a series of
/// such replies, which ends with a line in the log.
void CountBacklog(const State& state, Effects& effects, Feed feed, FeedState& copy,
                  const StoreReply& reply, bool complete) {
  FeedBacklog& backlog = copy.backlog;
  if (complete && backlog.replies == 0) return;

  if (backlog.replies == 0) backlog.since = copy.sent_at;
  ++backlog.replies;
  backlog.items += reply.items.size();
  backlog.bytes += BytesOf(reply);
  if (!complete) return;

  Log(effects, Severity::kInfo, "caught up with the store",
      {{"feed", std::string(kFeedNames.Name(feed))},
       {"ms", std::to_string((state.now - backlog.since).Count())},
       {"replies", std::to_string(backlog.replies)},
       {"items", std::to_string(backlog.items)},
       {"bytes", std::to_string(backlog.bytes)}});
  backlog = FeedBacklog{};
}

void RetryLater(const State& state, FeedState& copy) {
  copy.next_at = state.now + kStoreRetryDelay;
  copy.not_before = copy.next_at;
}

void ApplyPage(State& state, Effects& effects, Feed feed, FeedState& copy,
               const StoreReply& reply) {
  // A list older than the copy would bring back removed keys.
  if (reply.revision < copy.revision) {
    copy.page_after.clear();
    RetryLater(state, copy);
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

  const bool complete = !reply.truncated || reply.items.empty();
  CountBacklog(state, effects, feed, copy, reply, complete);

  if (!complete) {
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

/// Returns the pause before the rest of a long reply is requested. An entry that processes replies
/// slowly needs time for its other work, above all to renew its lease.
Millis CatchUpPause(const State& state, Feed feed, const FeedState& copy) {
  const Millis longest = feed == Feed::kRecords ? kRecordsPause : PauseOf(state, feed);
  return std::min(longest, state.now - copy.sent_at);
}

/// Applies a watch reply. The reply may be truncated, so by itself it does not show that the copy
/// is complete.
void ApplyChanges(State& state, Effects& effects, Feed feed, FeedState& copy,
                  const StoreReply& reply) {
  for (const StoreItem& item : reply.items) ApplyItem(state, effects, feed, item);

  const bool is_recent = reply.revision >= copy.least_revision;
  const bool whole = !IsLongReply(reply) && is_recent;
  CountBacklog(state, effects, feed, copy, reply, whole);
  copy.revision = reply.revision;
  if (whole) copy.known_at = std::max(copy.known_at, std::optional(copy.sent_at));
  if (is_recent) copy.known_at = std::max(copy.known_at, std::optional(copy.least_revision_at));
  if (feed == Feed::kRecords) AdvanceKnownAt(state, copy);
  copy.next_at = state.now + (whole ? PauseOf(state, feed) : CatchUpPause(state, feed, copy));
  if (!whole) copy.not_before = copy.next_at;
}

/// Returns the timeout of a feed request that the store may hold for `wait`.
Millis TimeoutOf(Feed feed, const FeedState& copy, Millis wait) {
  const Millis usual = wait + kStoreTimeout;
  if (feed != Feed::kRecords) return usual;

  return usual * (int64_t{1} << std::min(copy.timeouts, kMaxTimeoutDoublings));
}

/// Returns the timeout of a watch. For the large feeds, it does not depend on the wait, as a long
/// reply takes time.
Millis WatchTimeoutOf(const State& state, Feed feed, const FeedState& copy) {
  return IsSmall(feed) ? SilenceLimit(state) : TimeoutOf(feed, copy, kWatchWait);
}

void ResetFeed(FeedState& copy) {
  copy.synced = false;
  copy.page_after.clear();
}

/// Returns whether the first list of a feed may be requested. The records are by far the largest
/// feed, and must not delay an entry that may claim cells as soon as it knows the members.
bool MayList(State& state, Feed feed) {
  return feed != Feed::kRecords || state.feeds[Feed::kMembers].synced;
}

}  // namespace

void ApplyConfiguration(State& state, Effects& effects, const StoreItem& item) {
  state.configuration_revision = std::max(state.configuration_revision, item.revision);
  if (!item.routing) return;
  if (state.routing && item.routing->version <= state.routing->version) return;

  state.routing = item.routing;
  state.queues = QueueTable(*item.routing);
  for (const Queue& queue : item.routing->queues) {
    state.service_of_queue[queue.name] = queue.service;
  }
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

    if (feed == Feed::kRecords && AwaitsRecords(state)) {
      copy.next_at = std::min(copy.next_at, copy.not_before);
    }

    if (state.now < copy.next_at) {
      WakeAt(state, copy.next_at);
      continue;
    }

    if (!copy.synced && !MayList(state, feed)) continue;

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
                             WatchTimeoutOf(state, feed, copy));
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
      RetryLater(state, copy);
      return;
  }

  copy.timeouts = 0;

  if (purpose.list) {
    ApplyPage(state, effects, purpose.feed, copy, reply);
  } else if (reply.revision >= copy.revision) {
    ApplyChanges(state, effects, purpose.feed, copy, reply);
  } else {
    RetryLater(state, copy);
  }

  if (purpose.feed == Feed::kWorkers) ApplyRegistry(state, effects);
}

}  // namespace currantpost::scheduler
