#include "work.h"

/// Lists and watches the records of this entry's data centre.

namespace currantpost {
namespace {

/// Time after which an unanswered watch is sent again, as its connection may be permanently dead.
constexpr Millis kWatchTimeout = Millis(60'000);

void ApplyRackEntry(State& state, Effects& effects, const RackId& rack, const KvEntry& entry) {
  if (!entry.value) {
    ApplyRackRecord(state, effects, rack, RackRecord{}, entry.revision);
    return;
  }

  const Result<RackRecord> record = DecodeRackRecord(*entry.value);

  if (!record) {
    Log(effects, Severity::kError, LogComponent::kOwnership, "unreadable rack record",
        {{"key", entry.key}, {"error", record.error().detail}});
    return;
  }

  ApplyRackRecord(state, effects, rack, *record, entry.revision);
}

void ApplyJobEntry(State& state, Effects& effects, const JobId& job, const KvEntry& entry) {
  if (!entry.value) return;

  const Result<JobRecord> record = DecodeJobRecord(*entry.value);

  if (!record) {
    Log(effects, Severity::kError, LogComponent::kJobs, "unreadable job record",
        {{"key", entry.key}, {"error", record.error().detail}});
    return;
  }

  ApplyJobRecord(state, effects, job, *record, entry.revision);
}

void ApplyEntries(State& state, Effects& effects, const std::vector<KvEntry>& entries) {
  const std::string racks = DataCentrePrefix(state) + "racks/";
  const std::string jobs = DataCentrePrefix(state) + "jobs/";

  for (const KvEntry& entry : entries) {
    if (const auto rack = AfterPrefix(entry.key, racks)) {
      ApplyRackEntry(state, effects, RackId(*rack), entry);
    } else if (const auto job = AfterPrefix(entry.key, jobs)) {
      ApplyJobEntry(state, effects, JobId(*job), entry);
    }
  }
}

void SendWatch(State& state, Effects& effects) {
  WorkWatch& watch = state.work.watch;
  watch.request = NextRequest(state);
  watch.retry_at = state.now + kWatchTimeout;
  effects.emplace_back(KvWatch{watch.request, DataCentrePrefix(state), watch.after});
}

void SendList(State& state, Effects& effects) {
  WorkWatch& watch = state.work.watch;
  watch.request = CallKv(state, effects, PrefixListed{}, KvList{DataCentrePrefix(state)});
  watch.retry_at = state.now + kWatchTimeout;
}

}  // namespace

void UpdateWatch(State& state, Effects& effects) {
  if (state.now < state.work.watch.retry_at) return;

  if (state.work.watch.synced) {
    SendWatch(state, effects);
  } else {
    SendList(state, effects);
  }
}

void HandlePrefixListed(State& state, Effects& effects, const KvReply& reply) {
  WorkWatch& watch = state.work.watch;
  watch.request = 0;

  if (reply.status != KvStatus::kOk) {
    watch.retry_at = state.now + kKvRetryInterval;
    return;
  }

  ApplyEntries(state, effects, reply.entries);
  watch.synced = true;
  watch.after = std::max(watch.after, reply.revision);
  SendWatch(state, effects);
}

void HandleWatchAnswered(State& state, Effects& effects, const KvWatchAnswered& answer) {
  WorkWatch& watch = state.work.watch;
  if (watch.request == 0 || watch.request != answer.request) return;

  watch.request = 0;

  if (answer.reply.status != KvStatus::kOk) {
    // A malformed reply may hide changes, so all records are listed again.
    if (answer.reply.status == KvStatus::kMalformed) watch.synced = false;
    watch.retry_at = state.now + kKvRetryInterval;
    return;
  }

  ApplyEntries(state, effects, answer.reply.entries);
  watch.after = std::max(watch.after, answer.reply.revision);
  for (const KvEntry& entry : answer.reply.entries) {
    watch.after = std::max(watch.after, entry.revision);
  }
  SendWatch(state, effects);
}

}  // namespace currantpost
