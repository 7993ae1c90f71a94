#include "callers.h"
#include "overdue_request.h"

/// Requests for the state of a job, by callers and by peers.

namespace currantpost::scheduler {
namespace {

/// Timeout of a query to a peer; peers answer in a few milliseconds.
constexpr Millis kPeerTimeout = Millis(250);

void AnswerPhase(Effects& effects, RequestId call, JobPhase phase) {
  effects.emplace_back(
      AnswerCaller{.call = call, .outcome = CallerOutcome::kPhase, .phase = phase});
}

void ReadPhase(State& state, Effects& effects, RequestId call, const JobId& id,
               const CellId& cell) {
  CallStore(state, effects, PhaseRead{call, id, cell}, ReadRecord{ProgressKey(cell, id)});
}

void ReadJob(State& state, Effects& effects, const JobRead& read) {
  CallStore(state, effects, read, ReadRecord{JobKey(read.job)});
}

/// Gets the phase of a known job from the owner of its cell, or else from the store.
void FindPhase(State& state, Effects& effects, RequestId call, const JobId& id) {
  const JobView& job = state.view.jobs.at(id);
  const CellId& cell = job.head.cell;

  if (const OwnedCell* own = FindOpenCell(state, cell)) {
    return AnswerPhase(effects, call, ReportablePhase(*own, id, job));
  }

  const auto owner = OwnerAddress(state, cell);
  if (!owner) return ReadPhase(state, effects, call, id, cell);

  const RequestId request = NextRequest(state);
  state.peer_queries[request] = PendingPeerQuery{.call = call, .job = id};
  effects.emplace_back(QueryPeer{request, *owner, id, kPeerTimeout});
}

/// Answers a request for the state of a job that the store did not have when it was read.
void AnswerAbsentJob(State& state, Effects& effects, const JobRead& read) {
  // The job was accepted while the read was in flight.
  if (read.unrecorded.Empty() && IsKnown(state, read.job)) {
    return FindPhase(state, effects, read.call, read.job);
  }

  const bool may_be_stored = state.submits.contains(read.job);
  Answer(effects, read.call,
         may_be_stored ? CallerOutcome::kUnavailable : CallerOutcome::kNoSuchJob);
}

}  // namespace

bool IsKnown(const State& state, const JobId& id) {
  const auto job = state.view.jobs.find(id);
  return job != state.view.jobs.end() && job->second.revision != 0;
}

void HandleJobStatus(State& state, Effects& effects, const CallerRequested& asked,
                     const JobStatusRequested& body) {
  if (!IsKnown(state, body.job)) {
    return ReadJob(state, effects, JobRead{asked.call, body.job, CellId()});
  }

  FindPhase(state, effects, asked.call, body.job);
}

void HandleJobRead(State& state, Effects& effects, const JobRead& read, const StoreReply& reply) {
  if (reply.status == StoreStatus::kNotFound) return AnswerAbsentJob(state, effects, read);

  if (reply.status != StoreStatus::kOk) {
    return Answer(effects, read.call, CallerOutcome::kUnavailable);
  }

  for (const StoreItem& item : reply.items) ApplyRecord(state, effects, item);
  const auto job = state.view.jobs.find(read.job);
  if (job == state.view.jobs.end() || job->second.revision == 0) {
    return Answer(effects, read.call, CallerOutcome::kUnavailable);
  }

  if (job->second.head.cell == read.unrecorded) {
    const bool cancelled = job->second.cancelled;
    return AnswerPhase(effects, read.call, cancelled ? JobPhase::kCancelled : JobPhase::kQueued);
  }

  FindPhase(state, effects, read.call, read.job);
}

void HandlePhaseRead(State& state, Effects& effects, const PhaseRead& read,
                     const StoreReply& reply) {
  // The job has no progress record yet, or it was moved or removed and this entry's copy is behind.
  if (reply.status == StoreStatus::kNotFound) {
    return ReadJob(state, effects, JobRead{read.call, read.job, read.cell});
  }

  if (reply.status != StoreStatus::kOk || reply.items.empty()) {
    return Answer(effects, read.call, CallerOutcome::kUnavailable);
  }

  const Result<JobPhase> phase = DecodePhase(reply.items.front().value);

  if (!phase) {
    LogUnreadable(effects, reply.items.front(), phase.error());
    return Answer(effects, read.call, CallerOutcome::kUnavailable);
  }

  const auto job = state.view.jobs.find(read.job);
  const bool cancelled = job != state.view.jobs.end() && job->second.cancelled;
  const bool over = cancelled && !IsTerminal(*phase);
  AnswerPhase(effects, read.call, over ? JobPhase::kCancelled : *phase);
}

void HandlePeerQuery(State& state, Effects& effects, const PeerQueried& asked) {
  if (IsOverdue(state, asked.timeout)) {
    effects.emplace_back(AnswerPeer{.call = asked.call});
    return;
  }

  const auto job = state.view.jobs.find(asked.job);
  const bool known = job != state.view.jobs.end() && job->second.revision != 0;
  const OwnedCell* cell = known ? FindOpenCell(state, job->second.head.cell) : nullptr;
  AnswerPeer answer{.call = asked.call};
  if (cell != nullptr) answer.phase = ReportablePhase(*cell, asked.job, job->second);

  effects.emplace_back(answer);
}

void HandlePeerAnswered(State& state, Effects& effects, const PeerAnswered& answered) {
  const auto found = state.peer_queries.find(answered.request);
  if (found == state.peer_queries.end()) return;

  const PendingPeerQuery question = found->second;
  state.peer_queries.erase(found);

  if (!question.lender.Empty()) {
    if (answered.phase) {
      ApplyBorrowedJobPhase(state, effects, question.lender, question.job, *answered.phase);
    }
    return;
  }

  if (answered.phase) return AnswerPhase(effects, question.call, *answered.phase);

  const auto job = state.view.jobs.find(question.job);
  if (job == state.view.jobs.end()) {
    return Answer(effects, question.call, CallerOutcome::kUnavailable);
  }

  ReadPhase(state, effects, question.call, question.job, job->second.head.cell);
}

}  // namespace currantpost::scheduler
