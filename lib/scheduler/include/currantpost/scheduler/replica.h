#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/scheduler/records.h"
#include "currantpost/scheduler/store.h"

/// Local replica of the store's records.

namespace currantpost::scheduler {

/// Replies that brought a copy of a feed up to date. For the log.
struct FeedBacklog {
  /// When the first of them was requested.
  Millis since;
  int32_t replies = 0;
  size_t items = 0;
  size_t bytes = 0;
};

/// Synchronization state of the local copy of a feed.
struct FeedState {
  /// The feed was listed completely, and all changes up to `revision` were applied since then.
  bool synced = false;
  KvRevision revision = 0;
  /// The list or watch in flight, 0 if there is none.
  RequestId request = 0;
  Millis next_at;
  /// Earliest time of the next request, also if a cell waits for the copy: the last one failed, or
  /// its reply took long to process.
  Millis not_before;
  /// When the last request was sent.
  Millis sent_at;
  /// The latest store revision known when the last request was sent, and when the call that
  /// reported it was sent.
  KvRevision least_revision = 0;
  Millis least_revision_at;
  /// Consecutive requests that timed out.
  int32_t timeouts = 0;
  /// The copy holds everything that the store held at this time. Empty until the feed was first
  /// listed completely.
  std::optional<Millis> known_at;
  /// When the first page of the list in flight was requested.
  Millis list_began_at;
  /// The last key of the previous page of the list in flight.
  std::string page_after;
  /// The revision from which the watch starts after the list.
  KvRevision listed_from = 0;
  /// The keys that the list in flight has returned so far.
  std::set<std::string> listed_keys;
  /// The replies since the copy was last complete.
  FeedBacklog backlog;
};

/// A store revision reported in a reply. An upper bound on the revision that the store had when
/// the call was sent.
struct RevisionMark {
  Millis sent_at;
  KvRevision revision = 0;
};

/// Reads only the cancellation records while the copy of all records is stale. These reads are
/// short, and no task of a cancelled job may start.
struct CancelReads {
  /// The read in flight, 0 if there is none.
  RequestId request = 0;
  /// The last key of the previous page.
  std::string page_after;
  /// When the first page was requested.
  Millis began_at;
  Millis next_at;
  /// All jobs that were cancelled up to this time are known.
  std::optional<Millis> known_at;
};

/// A live entry.
struct EntryView {
  EntryRecord record;
  KvRevision revision = 0;
  LeaseId lease = 0;
  /// When this incarnation of the entry was first seen here.
  Millis seen_at;
};

/// The current owner of a cell.
struct CellView {
  CellRecord record;
  KvRevision revision = 0;
};

/// The last load report of a cell's owner.
struct LoadView {
  LoadRecord record;
  KvRevision revision = 0;
};

/// A job as recorded in the store.
struct JobView {
  JobHead head;
  std::string value;
  KvRevision revision = 0;
  bool cancelled = false;
  KvRevision cancel_revision = 0;
  /// The following members are known only for jobs in owned cells.
  JobPhase phase = JobPhase::kQueued;
  std::string progress;
  KvRevision progress_revision = 0;
  /// The cell in which the progress was recorded. It can differ from the job's cell while the
  /// record of a move has not arrived yet.
  CellId progress_cell;
  /// When this entry first saw that the job had ended.
  std::optional<Millis> ended_at;
};

/// A job that was withdrawn before it was stored.
struct WithdrawnView {
  KvRevision revision = 0;
  /// When this entry first saw this revision.
  Millis seen_at;
};

/// Local replica of the records that all entries share, and of the progress of jobs in owned cells.
struct View {
  std::map<EntryId, EntryView> entries;
  LayoutRecord layout;
  KvRevision layout_revision = 0;
  std::map<CellId, CellView> cells;
  std::map<CellId, LoadView> loads;
  /// The pending jobs that the owner of each cell last reported. Kept after the owner is gone.
  std::map<CellId, PendingJobs> waiting;
  std::map<JobId, JobView> jobs;
  std::map<JobId, WithdrawnView> withdrawn;
  /// Revisions at which records were removed, by key. Older updates that arrive late are ignored.
  std::map<std::string, KvRevision> removed;
};

}  // namespace currantpost::scheduler
