#include <cmath>
#include <limits>

#include "callers.h"
#include "currantpost/scheduler/limits.h"

/// Callers' requests: submissions and counts of pending jobs.

namespace currantpost::scheduler {
namespace {

/// Retry delay in responses that are not final.
constexpr Millis kRetryAfter = Millis(1'000);
/// Revision limit that includes all jobs.
constexpr KvRevision kAllRevisions = std::numeric_limits<KvRevision>::max();
/// Maximum age of a count of pending jobs, on top of the time until an accepted job is visible.
constexpr Millis kMaxCountAge = Millis(2'000);

void Refuse(const State& state, Effects& effects, RequestId call, const JobId& job,
            Refusal reason) {
  state.counts.refusals.Add(reason);
  Log(effects, Severity::kInfo, "refused job",
      {{"job", job.Text()}, {"reason", std::string(kRefusalNames.Name(reason))}});
  Answer(effects, call, CallerOutcome::kRefused);
}

/// Returns why a job is not supported yet, or nothing if it is.
std::optional<Refusal> UnservedFeature(const Queue& queue, const JobSpec& spec) {
  if (queue.needs_advice) return Refusal::kNeedsAdvice;

  for (const StepSpec& step : spec.steps) {
    if (step.gang) return Refusal::kHasGang;
  }

  return std::nullopt;
}

/// Returns the latency objective of a job from its estimates, or 0 if it has none.
Millis ObjectiveOf(const Queue& queue, const JobSpec& spec) {
  std::vector<int64_t> done_after;
  int64_t chain = 0;

  for (const StepSpec& step : spec.steps) {
    if (step.is_long_running || spec.occurrences > 0) return Millis(0);

    int64_t begin = 0;
    for (const int32_t before : step.after) {
      const bool known = before >= 0 && static_cast<size_t>(before) < done_after.size();
      if (known) begin = std::max(begin, done_after[static_cast<size_t>(before)]);
    }

    done_after.push_back(begin + step.estimate.Count());
    chain = std::max(chain, done_after.back());
  }

  const double longest = std::min(queue.stretch * static_cast<double>(chain),
                                  static_cast<double>(kMaxDuration.Count()));
  const Millis objective = Millis(std::llround(std::max(longest, 0.0))) + queue.allowance;
  return std::min(objective, kMaxDuration);
}

void SendSubmit(State& state, Effects& effects, PendingSubmit& submit) {
  WriteRecords write;
  const std::string key = JobKey(submit.record.spec.job);
  write.expected.push_back(ExpectedRecord{key, 0});
  // No caller may have been told meanwhile that there is no such job.
  write.expected.push_back(ExpectedRecord{WithdrawnKey(submit.record.spec.job), 0});
  // The queue must not have been removed meanwhile, whatever this entry's copy says.
  write.expected_configuration = state.configuration_revision;
  write.puts.push_back(RecordPut{key, submit.value, 0});
  submit.request =
      CallStore(state, effects, SubmitWritten{submit.record.spec.job}, std::move(write));
}

/// Sets the parts of a job record that the configuration of its queue determines.
void ApplyQueue(const Queue& queue, JobRecord& record) {
  record.queue = queue.name;
  record.service = queue.service;
  record.priority = queue.priority;
  record.max_attempts = queue.max_attempts;
  record.objective = ObjectiveOf(queue, record.spec);
}

void HandleSubmit(State& state, Effects& effects, const CallerRequested& asked,
                  const JobSubmitted& submitted) {
  const JobId& id = submitted.spec.job;
  const auto known = state.view.jobs.find(id);

  if (known != state.view.jobs.end() && known->second.revision != 0) {
    Answer(effects, asked.call, CallerOutcome::kAccepted);
    return;
  }

  const auto pending = state.submits.find(id);

  if (pending != state.submits.end()) {
    pending->second.calls.push_back(asked.call);
    return;
  }

  const Queue* queue = state.queues.Find(submitted.queue);
  if (queue == nullptr) return Answer(effects, asked.call, CallerOutcome::kNoSuchQueue);

  const std::optional<Refusal> unserved = UnservedFeature(*queue, submitted.spec);
  if (unserved) return Refuse(state, effects, asked.call, id, *unserved);

  if (state.stopping && state.exit_announced) {
    return Refuse(state, effects, asked.call, id, Refusal::kStopping);
  }

  if (!state.feeds[Feed::kRecords].synced) {
    return Refuse(state, effects, asked.call, id, Refusal::kRecordsUnknown);
  }

  const std::optional<CellId> cell = ChooseCell(state, queue->service, submitted.spec);
  if (!cell) return Refuse(state, effects, asked.call, id, Refusal::kNoWorkerKnown);

  AddSentDemand(state, *cell, InitialDemand(submitted.spec));

  PendingSubmit& submit = state.submits[id];
  submit.calls.push_back(asked.call);
  submit.record =
      JobRecord{.cell = *cell, .accepted_unix_ms = state.unix_ms, .spec = submitted.spec};
  ApplyQueue(*queue, submit.record);
  submit.value = Encode(submit.record);
  submit.retry_deadline = state.now + std::min(kSettleTimeout, asked.caller_timeout);
  SendSubmit(state, effects, submit);
}

/// Number of pending jobs of a queue, by source.
struct PendingCount {
  /// In cells that this entry owns.
  int64_t own = 0;
  /// In cells of other entries, by their owners' last load records.
  int64_t reported = 0;
  /// Recorded after those load records, or in cells without a load record. Some may have started.
  int64_t unreported = 0;

  [[nodiscard]] int64_t Total() const { return own + reported + unreported; }
};

int64_t CountOf(const PendingJobs& waiting, const std::string& queue) {
  const auto row = waiting.by_queue.find(queue);
  return row == waiting.by_queue.end() ? 0 : row->second;
}

/// Returns the revision up to which the load records of all cells count jobs.
KvRevision MinReportedRevision(const State& state) {
  const std::set<CellId> cells = AllCells(state);
  KvRevision least = cells.empty() ? 0 : kAllRevisions;

  for (const CellId& id : cells) {
    const auto report = state.view.waiting.find(id);
    least = std::min(least, report == state.view.waiting.end() ? 0 : report->second.up_to);
  }

  return least;
}

/// Returns whether neither this entry's own count nor an owner's load record covers the job.
bool IsUnreported(State& state, const JobView& job) {
  if (FindOpenCell(state, job.head.cell) != nullptr) return false;

  const auto report = state.view.waiting.find(job.head.cell);
  return report == state.view.waiting.end() || job.revision > report->second.up_to;
}

PendingCount CountPendingJobs(State& state, const std::string& queue) {
  PendingCount count;

  for (const auto& [id, waiting] : state.view.waiting) {
    if (FindOpenCell(state, id) == nullptr) count.reported += CountOf(waiting, queue);
  }

  for (const auto& [id, cell] : state.cells) {
    if (cell.open) count.own += CountOf(CountCellPendingJobs(state, cell, kAllRevisions), queue);
  }

  const KvRevision least = MinReportedRevision(state);

  for (const auto& [id, job] : state.view.jobs) {
    if (job.revision <= least) continue;

    const bool is_pending = job.revision != 0 && job.head.immediate && !job.head.ended &&
                            !job.cancelled && job.head.queue == queue;
    if (is_pending && IsUnreported(state, job)) ++count.unreported;
  }

  return count;
}

/// Returns whether this entry's copy of the records is recent enough to count pending jobs.
bool HasRecentPendingJobs(const State& state, const FeedState& records) {
  if (!records.known_at) return false;

  return state.now - *records.known_at <= state.settings.visibility_limit + kMaxCountAge;
}

void HandlePendingCount(State& state, Effects& effects, RequestId call,
                        const PendingCountRequested& body) {
  const FeedState& records = state.feeds[Feed::kRecords];

  if (!HasRecentPendingJobs(state, records)) {
    Log(effects, Severity::kInfo,
        "cannot count pending jobs; the copy of the records is missing or stale",
        {{"queue", body.queue}, {"known_ms", RecordsAgeText(state)}});
    return Answer(effects, call, CallerOutcome::kUnavailable);
  }

  const PendingCount count = CountPendingJobs(state, body.queue);
  Log(effects, Severity::kInfo, "counted pending jobs",
      {{"queue", body.queue},
       {"pending", std::to_string(count.Total())},
       {"own", std::to_string(count.own)},
       {"reported", std::to_string(count.reported)},
       {"unreported", std::to_string(count.unreported)},
       {"revision", std::to_string(records.revision)},
       {"known_ms", RecordsAgeText(state)}});
  effects.emplace_back(
      AnswerCaller{.call = call, .outcome = CallerOutcome::kPending, .pending = count.Total()});
}

bool ContainsRecord(const StoreReply& reply, const std::string& key) {
  return std::ranges::any_of(
      reply.items, [&](const StoreItem& item) { return item.key == key && !item.removed; });
}

/// Submits a job again after the store has rejected the write because the configuration changed.
/// No earlier write of the job can take effect any more, as each expects a former configuration.
void RetryWithNewConfiguration(State& state, Effects& effects, const JobId& id,
                               const StoreReply& reply) {
  for (const StoreItem& item : reply.items) {
    const bool is_condition = item.key == JobKey(id) || item.key == WithdrawnKey(id);
    if (!is_condition) ApplyConfiguration(state, effects, item);
  }

  const auto found = state.submits.find(id);
  PendingSubmit& submit = found->second;
  const Queue* queue = state.queues.Find(submit.record.queue);

  if (queue == nullptr) {
    Log(effects, Severity::kInfo, "the queue of a submitted job was removed",
        {{"job", id.Text()}, {"queue", submit.record.queue}});
    AnswerAll(effects, submit.calls, CallerOutcome::kNoSuchQueue);
    state.submits.erase(found);
    return;
  }

  submit.maybe_applied = false;
  ApplyQueue(*queue, submit.record);
  submit.value = Encode(submit.record);
  SendSubmit(state, effects, submit);
}

/// Answers a submission that the store has rejected because the job was withdrawn. An earlier write
/// of the same submission without an answer may still take effect once the withdrawal is removed.
void AnswerWithdrawn(State& state, Effects& effects, const JobId& id) {
  const auto found = state.submits.find(id);

  for (const RequestId call : found->second.calls) {
    if (found->second.maybe_applied) {
      Answer(effects, call, CallerOutcome::kUnknown);
    } else {
      Refuse(state, effects, call, id, Refusal::kWithdrawn);
    }
  }

  state.submits.erase(found);
}

}  // namespace

void Answer(Effects& effects, RequestId call, CallerOutcome outcome) {
  effects.emplace_back(AnswerCaller{.call = call, .outcome = outcome, .retry_after = kRetryAfter});
}

void AnswerAll(Effects& effects, const std::vector<RequestId>& calls, CallerOutcome outcome) {
  for (const RequestId call : calls) Answer(effects, call, outcome);
}

void HandleCallerRequest(State& state, Effects& effects, const CallerRequested& asked) {
  if (const auto* body = std::get_if<JobSubmitted>(&asked.body)) {
    HandleSubmit(state, effects, asked, *body);
  } else if (const auto* body = std::get_if<JobStatusRequested>(&asked.body)) {
    HandleJobStatus(state, effects, asked, *body);
  } else if (const auto* body = std::get_if<JobCancelled>(&asked.body)) {
    HandleCancel(state, effects, asked, *body);
  } else if (const auto* body = std::get_if<PendingCountRequested>(&asked.body)) {
    HandlePendingCount(state, effects, asked.call, *body);
  }
}

void HandleSubmitWritten(State& state, Effects& effects, const JobId& id, RequestId request,
                         const StoreReply& reply) {
  const auto found = state.submits.find(id);
  if (found == state.submits.end() || found->second.request != request) return;

  PendingSubmit& submit = found->second;
  submit.request = 0;

  switch (reply.status) {
    case StoreStatus::kOk: {
      const StoreItem item{.key = JobKey(id), .revision = reply.revision, .value = submit.value};
      const CellId cell = submit.record.cell;
      Log(effects, Severity::kInfo, "accepted job",
          {{"job", id.Text()},
           {"queue", submit.record.queue},
           {"cell", cell.Text()},
           {"steps", std::to_string(submit.record.spec.steps.size())},
           {"objective_ms", std::to_string(submit.record.objective.Count())},
           {"revision", std::to_string(reply.revision)}});
      AnswerAll(effects, submit.calls, CallerOutcome::kAccepted);
      state.submits.erase(found);
      PushToOwner(state, effects, cell, item);
      ApplyRecord(state, effects, item);
      return;
    }
    case StoreStatus::kConflict: {
      const bool exists = ContainsRecord(reply, JobKey(id));
      if (!exists && ContainsRecord(reply, WithdrawnKey(id))) {
        return AnswerWithdrawn(state, effects, id);
      }

      if (!exists) {
        RetryWithNewConfiguration(state, effects, id, reply);
        return;
      }

      // The job exists already, by an earlier write of this entry or by another entry.
      AnswerAll(effects, submit.calls, CallerOutcome::kAccepted);
      state.submits.erase(found);

      for (const StoreItem& item : reply.items) {
        if (item.removed || item.value.empty()) continue;

        ApplyRecord(state, effects, item);
        const auto job = state.view.jobs.find(id);
        if (job != state.view.jobs.end()) PushToOwner(state, effects, job->second.head.cell, item);
      }
      return;
    }
    case StoreStatus::kUnavailable:
      if (!submit.maybe_applied && state.now + kStoreRetryDelay >= submit.retry_deadline) {
        for (const RequestId call : submit.calls) {
          Refuse(state, effects, call, id, Refusal::kStoreSilent);
        }
        state.submits.erase(found);
        return;
      }
      break;
    default:
      submit.maybe_applied = true;
      break;
  }

  submit.retry_at = state.now + kStoreRetryDelay;
}

void UpdateCalls(State& state, Effects& effects) {
  for (auto row = state.submits.begin(); row != state.submits.end();) {
    PendingSubmit& submit = row->second;

    if (state.now >= submit.retry_deadline) {
      // The write may still take effect, so the caller must not assume that the job was refused.
      AnswerAll(effects, submit.calls, CallerOutcome::kUnknown);
      row = state.submits.erase(row);
      continue;
    }

    WakeAt(state, submit.retry_deadline);
    if (submit.request == 0 && state.now >= submit.retry_at) SendSubmit(state, effects, submit);
    if (submit.request == 0) WakeAt(state, submit.retry_at);
    ++row;
  }

  UpdateCancels(state, effects);
}

}  // namespace currantpost::scheduler
