#include "capacity_offers.h"
#include "cell_acceptance.h"

/// Applies records from any source to the local replica, and messages of peers to the state that
/// they concern. An older revision than the known one changes nothing.

namespace currantpost::scheduler {
namespace {

/// Maximum number of remembered removals. Far more than happen while a late reply is in flight.
constexpr size_t kMaxRememberedRemovals = 4'000;

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
  // A grant that is attached to another lease than this entry's would outlive this entry's lease.
  const bool usable = own && item.lease == state.lease.lease;

  if (owned != state.cells.end() && owned->second.grant < item.revision) {
    DropCell(state, effects, id, "another grant was made");
  }

  if (usable && !state.cells.contains(id)) AcquireCell(state, effects, id, item.revision);
  if (!own) ReportFormerLeases(state, effects, id);
}

void ApplyLoad(State& state, Effects& effects, const CellId& id, const StoreItem& item) {
  const auto known = state.view.loads.find(id);
  const KvRevision known_revision = known == state.view.loads.end() ? 0 : known->second.revision;

  if (item.removed) {
    if (RememberRemoval(state.view, item.key, known_revision, item.revision)) {
      state.view.loads.erase(id);
      state.rooms.RemoveReport(id);
    }
    return;
  }

  if (item.revision <= known_revision) return;

  const Result<LoadRecord> record = DecodeLoad(item.value);
  if (!record) return LogUnreadable(effects, item, record.error());

  state.view.loads[id] = LoadView{*record, item.revision};
  state.view.waiting[id] = record->waiting;
  state.rooms.SetReport(id, *record, state.now);

  const bool has_waits = std::ranges::any_of(
      record->services, [](const auto& row) { return !row.second.interrupted_waits.empty(); });
  if (!has_waits) return;

  // Capacity that is free here may be for one of them.
  for (auto& [cell_id, cell] : state.cells) cell.placement_due = true;
}

/// Adds a new or moved job to its cell if this entry owns it, and removes the job from owned cells
/// that it has left.
void AssignToOwnedCell(State& state, Effects& effects, const JobId& id, const JobView& job) {
  for (auto& [cell_id, cell] : state.cells) {
    const bool here = cell_id == job.head.cell;
    // The owner wrote this record itself, and settles the job when the write is answered.
    if (here && job.head.ended) continue;

    // No task of the job runs: a job is moved only then.
    if (cell.jobs.contains(id)) RemoveJob(state, cell, id);
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

void ApplyWithdrawal(State& state, Effects& /*effects*/, const JobId& id, const StoreItem& item) {
  const auto known = state.view.withdrawn.find(id);
  const KvRevision revision = known == state.view.withdrawn.end() ? 0 : known->second.revision;

  if (item.removed) {
    if (RememberRemoval(state.view, item.key, revision, item.revision)) {
      state.view.withdrawn.erase(id);
    }
    return;
  }

  if (item.revision > revision) {
    state.view.withdrawn[id] = WithdrawnView{.revision = item.revision, .seen_at = state.now};
  }
}

/// Maps a key prefix to the function that applies its records.
template <typename Name>
struct RecordKind {
  std::string_view prefix;
  void (*apply)(State&, Effects&, const Name&, const StoreItem&);
};

constexpr RecordKind<JobId> kJobKinds[] = {
    {kJobPrefix, ApplyJob}, {kCancelPrefix, ApplyCancel}, {kWithdrawnPrefix, ApplyWithdrawal}};
constexpr RecordKind<std::string> kProgressKinds[] = {{kProgressPrefix, ApplyProgress}};
constexpr RecordKind<CellId> kCellKinds[] = {{kCellPrefix, ApplyCell},
                                             {kLoadPrefix, ApplyLoad},
                                             {kReservationRequestPrefix, ApplyReservationRequest},
                                             {kReservationReplyPrefix, ApplyReservationReply},
                                             {kCapacityOfferPrefix, ApplyCapacityOffer},
                                             {kOfferRefusalPrefix, ApplyOfferRefusal},
                                             {kHandOverQuestionPrefix, ApplyHandOverQuestion},
                                             {kHandOverAnswerPrefix, ApplyHandOverAnswer},
                                             {kTransferOfferPrefix, ApplyTransferOffer},
                                             {kTransferReplyPrefix, ApplyTransferReply},
                                             {kDenialQuestionPrefix, ApplyDenialQuestion},
                                             {kDenialPrefix, ApplyDenialAnswer}};
constexpr RecordKind<EntryId> kEntryKinds[] = {
    {kEntryPrefix, ApplyEntry},
    {kEvidencePrefix, ApplyEvidence},
    {kOutageQuestionPrefix, ApplyOutageQuestion},
    {kOutageConfirmationPrefix, ApplyOutageConfirmation}};

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
