#include "callers.h"

/// Callers' cancellations of jobs.

namespace currantpost::scheduler {
namespace {

/// How long a cancellation is retried, also after its caller received an unknown outcome, as the
/// caller may not retry. Outages and partitions of the store are shorter.
constexpr Millis kCancelRetryPeriod = Millis(15'000);

/// Returns whether a job that the store did not have may be stored soon: it is known by now, or
/// this entry still writes it.
bool MayBeAccepted(const State& state, const JobId& id) {
  return IsKnown(state, id) || state.submits.contains(id);
}

void SendCancel(State& state, Effects& effects, const JobId& id, PendingCancel& cancel) {
  if (!IsKnown(state, id)) {
    cancel.step = CancelStep::kReading;
    cancel.request = CallStore(state, effects, CancelAnswered{id}, ReadRecord{JobKey(id)});
    return;
  }

  cancel.step = CancelStep::kCancelling;
  WriteRecords write;
  write.expected.push_back(ExpectedRecord{JobKey(id), state.view.jobs.at(id).revision});
  write.puts.push_back(RecordPut{CancelKey(id), "{}", 0});
  cancel.request = CallStore(state, effects, CancelAnswered{id}, std::move(write));
}

/// Logs a cancellation that the store has recorded, and the owner that has to execute it.
void LogCancelled(const State& state, Effects& effects, const JobId& id, KvRevision revision) {
  const auto job = state.view.jobs.find(id);
  const bool known = job != state.view.jobs.end();
  const CellId cell = known ? job->second.head.cell : CellId();
  const auto owner = state.view.cells.find(cell);
  Log(effects, Severity::kInfo, "cancelled job",
      {{"job", id.Text()},
       {"cell", cell.Text()},
       {"owner", owner == state.view.cells.end() ? "" : owner->second.record.owner.Text()},
       {"revision", std::to_string(revision)}});
}

void RetryCancel(const State& state, PendingCancel& cancel, const StoreReply& reply) {
  const bool at_once = reply.status == StoreStatus::kConflict;
  cancel.retry_at = state.now + (at_once ? Millis(0) : kStoreRetryDelay);
}

void EndCancel(State& state, Effects& effects, const JobId& id, CallerOutcome outcome) {
  const auto found = state.cancels.find(id);
  AnswerAll(effects, found->second.calls, outcome);
  state.cancels.erase(found);
}

void HandleRead(State& state, Effects& effects, const JobId& id, PendingCancel& cancel,
                const StoreReply& reply) {
  if (reply.status == StoreStatus::kOk) {
    for (const StoreItem& item : reply.items) ApplyRecord(state, effects, item);
    return SendCancel(state, effects, id, cancel);
  }

  const bool absent = reply.status == StoreStatus::kNotFound && !MayBeAccepted(state, id);
  if (!absent) return RetryCancel(state, cancel, reply);

  if (!MayWithdraw(state)) {
    Log(effects, Severity::kWarning, "too many withdrawn jobs; this one has to wait",
        {{"job", id.Text()}});
    return RetryCancel(state, cancel, reply);
  }

  cancel.step = CancelStep::kWithdrawing;
  cancel.request = SendWithdrawal(state, effects, id);
}

void HandleWithdrawn(State& state, Effects& effects, const JobId& id, PendingCancel& cancel,
                     const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk) {
    // On a conflict the job was stored meanwhile, and is cancelled next.
    for (const StoreItem& item : reply.items) ApplyRecord(state, effects, item);
    return RetryCancel(state, cancel, reply);
  }

  Log(effects, Severity::kInfo, "withdrew job, which was not stored",
      {{"job", id.Text()}, {"revision", std::to_string(reply.revision)}});
  EndCancel(state, effects, id, CallerOutcome::kNoSuchJob);
  ApplyRecord(state, effects,
              StoreItem{.key = WithdrawnKey(id), .revision = reply.revision, .value = "{}"});
}

void HandleCancelled(State& state, Effects& effects, const JobId& id, PendingCancel& cancel,
                     const StoreReply& reply) {
  if (reply.status == StoreStatus::kOk) {
    const StoreItem item{.key = CancelKey(id), .revision = reply.revision, .value = "{}"};
    LogCancelled(state, effects, id, reply.revision);
    EndCancel(state, effects, id, CallerOutcome::kCancelled);
    // The removal of the job may have arrived before this reply.
    const auto job = state.view.jobs.find(id);
    if (job == state.view.jobs.end()) return;

    PushToOwner(state, effects, job->second.head.cell, item);
    return ApplyRecord(state, effects, item);
  }

  const bool gone = std::ranges::any_of(
      reply.items, [&](const StoreItem& item) { return item.key == JobKey(id) && item.removed; });
  if (reply.status == StoreStatus::kConflict && gone) {
    return EndCancel(state, effects, id, CallerOutcome::kNoSuchJob);
  }

  for (const StoreItem& item : reply.items) ApplyRecord(state, effects, item);
  RetryCancel(state, cancel, reply);
}

}  // namespace

void HandleCancel(State& state, Effects& effects, const CallerRequested& asked,
                  const JobCancelled& body) {
  const auto job = state.view.jobs.find(body.job);

  if (job != state.view.jobs.end() && job->second.revision != 0 &&
      (job->second.cancelled || IsTerminal(job->second.phase))) {
    return Answer(effects, asked.call, CallerOutcome::kCancelled);
  }

  const auto [found, is_new] = state.cancels.try_emplace(body.job);
  PendingCancel& cancel = found->second;
  const Millis answer_deadline = state.now + std::min(kSettleTimeout, asked.caller_timeout);
  cancel.answer_deadline =
      cancel.calls.empty() ? answer_deadline : std::min(cancel.answer_deadline, answer_deadline);
  cancel.retry_deadline = state.now + kCancelRetryPeriod;
  cancel.calls.push_back(asked.call);
  if (is_new) SendCancel(state, effects, body.job, cancel);
}

void HandleCancelAnswered(State& state, Effects& effects, const JobId& id, RequestId request,
                          const StoreReply& reply) {
  const auto found = state.cancels.find(id);
  if (found == state.cancels.end() || found->second.request != request) return;

  PendingCancel& cancel = found->second;
  cancel.request = 0;

  switch (cancel.step) {
    case CancelStep::kReading:
      return HandleRead(state, effects, id, cancel, reply);
    case CancelStep::kWithdrawing:
      return HandleWithdrawn(state, effects, id, cancel, reply);
    case CancelStep::kCancelling:
      return HandleCancelled(state, effects, id, cancel, reply);
  }
}

bool HasUnansweredCancels(const State& state) {
  return std::ranges::any_of(state.cancels,
                             [](const auto& row) { return !row.second.calls.empty(); });
}

void UpdateCancels(State& state, Effects& effects) {
  for (auto row = state.cancels.begin(); row != state.cancels.end();) {
    PendingCancel& cancel = row->second;

    if (state.now >= cancel.answer_deadline) {
      AnswerAll(effects, cancel.calls, CallerOutcome::kUnknown);
      cancel.calls.clear();
    }

    if (state.now >= cancel.retry_deadline) {
      Log(effects, Severity::kWarning,
          "stopped retrying a cancellation; the store did not confirm it",
          {{"job", row->first.Text()}});
      row = state.cancels.erase(row);
      continue;
    }

    WakeAt(state, cancel.calls.empty() ? cancel.retry_deadline : cancel.answer_deadline);
    if (cancel.request == 0 && state.now >= cancel.retry_at) {
      SendCancel(state, effects, row->first, cancel);
    }
    if (cancel.request == 0) WakeAt(state, cancel.retry_at);
    ++row;
  }
}

}  // namespace currantpost::scheduler
