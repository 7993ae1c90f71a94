#include "currantpost/scheduler/scheduler.h"

#include "background_work.h"
#include "callers.h"
#include "cell_acceptance.h"
#include "eviction.h"
#include "reservations.h"
#include "worker_hold.h"

/// The reducer: dispatches each event to its handler, then updates every part of the scheduler.

namespace currantpost::scheduler {
namespace {

/// Maximum time between two updates.
constexpr Millis kMaxTickInterval = Millis(1'000);
/// Time without a reply of the store after which the entry does not accept new connections. Two
/// missed renewals of its lease.
constexpr Millis kStoreSilenceLimit = Millis(2'500);

struct StoreAnswerHandler {
  State& state;
  Effects& effects;
  RequestId request = 0;
  const StoreReply& reply;

  void operator()(const FeedCalled& purpose) const {
    HandleFeedReply(state, effects, purpose, reply);
  }
  void operator()(const LeaseGranted&) const { HandleLeaseGranted(state, effects, reply); }
  void operator()(const LeaseRenewed&) const { HandleLeaseRenewed(state, effects, reply); }
  void operator()(const PreviousLeaseEnded&) const { state.lease.previous_lease = 0; }
  void operator()(const EntryRegistered& purpose) const {
    HandleEntryRegistered(state, effects, purpose, reply);
  }
  void operator()(const LayoutWritten&) const {
    state.layout_request = 0;
    for (const StoreItem& item : reply.items) ApplyRecord(state, effects, item);
  }
  void operator()(const CellClaimed& purpose) const {
    HandleCellClaimed(state, effects, purpose.cell, reply);
  }
  void operator()(const CellReleased& purpose) const {
    HandleCellReleased(state, effects, purpose, reply);
  }
  void operator()(const ProgressListed& purpose) const {
    HandleProgressListed(state, effects, purpose, reply);
  }
  void operator()(const OfferedProgressListed& purpose) const {
    HandleOfferedProgressListed(state, effects, purpose, reply);
  }
  void operator()(const ProgressWritten& purpose) const {
    HandleProgressWritten(state, effects, purpose, reply);
  }
  void operator()(const HandOverRead& purpose) const {
    HandleHandOverRead(state, effects, purpose, reply);
  }
  void operator()(const HandOverWritten& purpose) const {
    HandleHandOverWritten(state, effects, purpose, reply);
  }
  void operator()(const FormerLeaseEnded& purpose) const {
    HandleFormerLeaseEnded(state, effects, purpose, reply);
  }
  void operator()(const JobMoved& purpose) const { HandleJobMoved(state, effects, purpose, reply); }
  void operator()(const TasksLent& purpose) const {
    HandleTasksLent(state, effects, purpose, reply);
  }
  void operator()(const SubmitWritten& purpose) const {
    HandleSubmitWritten(state, effects, purpose.job, request, reply);
  }
  void operator()(const CancelAnswered& purpose) const {
    HandleCancelAnswered(state, effects, purpose.job, request, reply);
  }
  void operator()(const JobRead& purpose) const { HandleJobRead(state, effects, purpose, reply); }
  void operator()(const PhaseRead& purpose) const {
    HandlePhaseRead(state, effects, purpose, reply);
  }
  void operator()(const WorkerRead& purpose) const {
    HandleWorkerRead(state, effects, purpose, reply);
  }
  void operator()(const EndedJobsRemoved&) const {}
  void operator()(const WithdrawalsRemoved& purpose) const {
    HandleWithdrawalsRemoved(state, effects, purpose, reply);
  }
  void operator()(const LearnedWritten&) const { HandleLearnedWritten(state, effects, reply); }
  void operator()(const CancelsRead&) const { HandleCancelsRead(state, effects, reply); }
};

/// Marks all cells and their workers for an update, as new records may concern any of them.
void MarkAllForSweep(State& state) {
  state.ownership.records_changed = true;
  for (auto& [id, cell] : state.cells) cell.worker_update_due = true;
}

/// Returns whether an item that a peer pushed is a copy of a record rather than a message.
bool IsRecord(const StoreItem& item) {
  constexpr std::string_view kPrefixes[] = {kMembersPrefix, kSharedPrefix, kProgressPrefix};
  return std::ranges::any_of(kPrefixes,
                             [&](std::string_view prefix) { return item.key.starts_with(prefix); });
}

StoreCallKind KindOf(const StorePurpose& purpose) {
  if (const auto* feed = std::get_if<FeedCalled>(&purpose)) {
    return feed->list ? StoreCallKind::kList : StoreCallKind::kWatch;
  }
  const bool is_lease = std::holds_alternative<LeaseGranted>(purpose) ||
                        std::holds_alternative<LeaseRenewed>(purpose);
  return is_lease ? StoreCallKind::kLease : StoreCallKind::kOther;
}

void HandleStoreAnswered(State& state, Effects& effects, const StoreAnswered& answered) {
  const auto found = state.store_calls.find(answered.request);
  if (found == state.store_calls.end()) return;

  const StoreCallInFlight call = std::move(found->second);
  state.store_calls.erase(found);

  const StoreStatus status = answered.reply.status;
  state.counts.AddStoreCall(KindOf(call.purpose), status, state.now - call.sent_at);
  if (status != StoreStatus::kUnavailable && status != StoreStatus::kUnknown) {
    state.store_answered_at = state.now;
  }

  const auto* feed = std::get_if<FeedCalled>(&call.purpose);
  const bool watch = feed != nullptr && !feed->list;
  if (status == StoreStatus::kOk && !watch) {
    RecordStoreRevision(state, call.sent_at, answered.reply.revision);
  }

  std::visit(StoreAnswerHandler{state, effects, answered.request, answered.reply}, call.purpose);
  MarkAllForSweep(state);
}

struct EventHandler {
  State& state;
  Effects& effects;

  void operator()(const Tick&) const {}
  void operator()(const StoreAnswered& event) const { HandleStoreAnswered(state, effects, event); }
  void operator()(const WorkerAnswered& event) const {
    HandleWorkerAnswered(state, effects, event);
  }
  void operator()(const CallerRequested& event) const {
    HandleCallerRequest(state, effects, event);
  }
  void operator()(const RecordsPushed& event) const {
    for (const StoreItem& item : event.items) ApplyRecord(state, effects, item);
    if (std::ranges::any_of(event.items, IsRecord)) MarkAllForSweep(state);
  }
  void operator()(const PeerQueried& event) const { HandlePeerQuery(state, effects, event); }
  void operator()(const PeerAnswered& event) const { HandlePeerAnswered(state, effects, event); }
  void operator()(const StopRequested&) const {
    if (state.stopping) return;

    state.stopping = true;
    state.stop_requested_at = state.now;
    for (auto& [id, cell] : state.cells) cell.releasing = true;
    Log(effects, Severity::kInfo, "stopping", {{"cells", std::to_string(state.cells.size())}});
  }
};

void UpdateStoreReachability(State& state, Effects& effects) {
  const bool reachable =
      state.store_answered_at && state.now - *state.store_answered_at < kStoreSilenceLimit;
  if (reachable == state.store_reachable) return;

  state.store_reachable = reachable;
  if (reachable) RestartWatches(state);
  Log(effects, reachable ? Severity::kInfo : Severity::kWarning,
      reachable ? "store is reachable" : "store is unreachable", {});
}

}  // namespace

void UpdateReadiness(State& state, Effects& effects) {
  UpdateStoreReachability(state, effects);
  const bool ready = state.routing && state.feeds[Feed::kRecords].synced && state.store_reachable &&
                     !state.stopping;

  if (ready != state.ready) {
    state.ready = ready;
    effects.emplace_back(SetReadiness{ready});
  }

  if (!state.stopping || state.exit_announced) return;
  if (!state.cells.empty() || !state.submits.empty() || HasUnansweredCancels(state)) return;

  state.exit_announced = true;
  if (state.lease.lease != 0) {
    CallStore(state, effects, PreviousLeaseEnded{}, RevokeLease{state.lease.lease});
  }
  effects.emplace_back(ReadyToExit{});
}

std::unique_ptr<State> MakeState(Settings settings) {
  auto state = std::make_unique<State>();
  state->settings = std::move(settings);
  return state;
}

void Reduce(State& state, const Event& event, Effects& effects) {
  state.now = event.now;
  state.unix_ms = event.unix_ms;
  state.lateness = event.backlog.lateness;
  state.handled_up_to = event.backlog.handled_up_to.value_or(event.now);
  state.wake_at = state.now + kMaxTickInterval;

  std::visit(EventHandler{state, effects}, event.body);

  UpdateCaughtUp(state);
  UpdateLease(state, effects);
  UpdateWitnesses(state, effects);
  UpdateFeeds(state, effects);
  UpdateCancelReads(state, effects);
  LogRecordsStaleness(state, effects);
  UpdateCells(state, effects);
  OpenCells(state, effects);
  RunBackgroundWork(state, effects);

  for (auto& [id, cell] : state.cells) {
    if (!cell.open) continue;

    UpdateHandOver(state, effects, cell);
    ExpireReservations(state, cell);
    ExpireHolds(state, cell);
    UpdateJobs(state, effects, cell);
    EvictForInterrupted(state, effects, cell);
    UpdateWorkers(state, effects, cell);
    EvacuateDraining(state, effects, cell);
    PlaceTasks(state, effects, cell);
    WriteProgress(state, effects, cell);
  }

  UpdateCalls(state, effects);
  UpdateReadiness(state, effects);
}

void Log(Effects& effects, Severity severity, std::string message, std::vector<LogField> fields) {
  effects.emplace_back(LogLine{severity, std::move(message), std::move(fields)});
}

RequestId NextRequest(State& state) { return ++state.last_request; }

void WakeAt(State& state, Millis at) {
  if (at < state.wake_at) state.wake_at = at;
}

std::string EntryKey(const EntryId& entry) { return std::string(kEntryPrefix) + entry.Text(); }
std::string CellKey(const CellId& cell) { return std::string(kCellPrefix) + cell.Text(); }
std::string GrantKey(const CellId& cell) { return std::string(kGrantPrefix) + cell.Text(); }
std::string LoadKey(const CellId& cell) { return std::string(kLoadPrefix) + cell.Text(); }
std::string JobKey(const JobId& job) { return std::string(kJobPrefix) + job.Text(); }
std::string ProgressKey(const CellId& cell, const JobId& job) {
  return std::string(kProgressPrefix) + cell.Text() + "/" + job.Text();
}
std::string HandOverKey(const CellId& cell) { return std::string(kHandOverPrefix) + cell.Text(); }
std::string CancelKey(const JobId& job) { return std::string(kCancelPrefix) + job.Text(); }
std::string WithdrawnKey(const JobId& job) { return std::string(kWithdrawnPrefix) + job.Text(); }

}  // namespace currantpost::scheduler
