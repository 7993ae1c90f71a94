#include "work_world.h"

namespace currantpost {

KvReply WorkStore::Call(const KvCall& call) {
  KvReply reply{.status = KvStatus::kOk, .revision = revision_};

  if (const auto* put = std::get_if<KvPut>(&call.body)) return Put(*put);

  if (const auto* get = std::get_if<KvGet>(&call.body)) {
    if (const auto entry = entries_.find(get->key); entry != entries_.end()) {
      reply.entries.push_back(entry->second);
    }
  }

  if (const auto* list = std::get_if<KvList>(&call.body)) {
    for (const auto& [key, entry] : entries_) {
      if (key.starts_with(list->prefix)) reply.entries.push_back(entry);
    }
  }

  return reply;
}

KvReply WorkStore::Put(const KvPut& put) {
  const auto entry = entries_.find(put.key);
  const KvRevision present = entry == entries_.end() ? 0 : entry->second.revision;

  if (present != put.expected) {
    KvReply reply{.status = KvStatus::kConflict, .revision = revision_};
    if (present != 0) reply.entries.push_back(entry->second);
    return reply;
  }

  ++revision_;
  entries_[put.key] = KvEntry{put.key, put.value, revision_};
  return KvReply{.status = KvStatus::kOk, .revision = revision_};
}

KvReply WorkStore::Changes(const std::string& prefix, KvRevision after) const {
  KvReply reply{.status = KvStatus::kOk, .revision = revision_};

  for (const auto& [key, entry] : entries_) {
    if (key.starts_with(prefix) && entry.revision > after) reply.entries.push_back(entry);
  }

  return reply;
}

WorkerReply WorkWorker::Handle(const WorkerCall& call, Millis now) {
  Advance(now);

  WorkerReply reply;

  if (call.incarnation != vm_.incarnation) {
    reply.status = WorkerStatus::kRefused;
  } else if (call.epoch < epoch_) {
    reply.status = WorkerStatus::kStaleEpoch;
  } else {
    epoch_ = call.epoch;
    reply.status = Apply(call.order, now);
  }

  reply.table.incarnation = vm_.incarnation;
  reply.table.epoch = epoch_;
  reply.table.capacity = vm_.capacity;
  for (const auto& [key, row] : rows_) reply.table.tasks.push_back(row.task);
  return reply;
}

WorkerStatus WorkWorker::Start(const StartTask& start, Millis now) {
  if (const auto row = rows_.find(start.task); row != rows_.end()) {
    return row->second.task.attempt == start.attempt ? WorkerStatus::kOk : WorkerStatus::kRefused;
  }

  if (!FitsWithin(Held() + start.size, vm_.capacity)) return WorkerStatus::kRefused;

  Row& row = rows_[start.task];
  row.task = WorkerTask{.task = start.task, .attempt = start.attempt, .held = start.size};
  row.lease_until = now + start.lease;
  row.ends_at = now + start.run_time;
  ++*starts_;
  return WorkerStatus::kOk;
}

WorkerStatus WorkWorker::Apply(const WorkerOrder& order, Millis now) {
  if (const auto* start = std::get_if<StartTask>(&order)) return Start(*start, now);

  if (const auto* renew = std::get_if<RenewLeases>(&order)) {
    for (auto& [key, row] : rows_) row.lease_until = now + renew->lease;
    return WorkerStatus::kOk;
  }

  if (const auto* stop = std::get_if<StopTask>(&order)) {
    const auto row = rows_.find(stop->task);
    if (row == rows_.end() || row->second.task.attempt != stop->attempt) {
      return WorkerStatus::kRefused;
    }

    if (row->second.task.state == WorkerTaskState::kRunning) {
      row->second.task.state = WorkerTaskState::kStopped;
    }
    return WorkerStatus::kOk;
  }

  if (const auto* acknowledge = std::get_if<AcknowledgeTask>(&order)) {
    const auto row = rows_.find(acknowledge->task);
    if (row == rows_.end() || row->second.task.attempt != acknowledge->attempt ||
        row->second.task.state == WorkerTaskState::kRunning) {
      return WorkerStatus::kRefused;
    }

    rows_.erase(row);
  }

  return WorkerStatus::kOk;
}

void WorkWorker::Advance(Millis now) {
  if (dead) return;

  for (auto& [key, row] : rows_) {
    if (row.task.state != WorkerTaskState::kRunning) continue;

    if (row.ends_at <= now && row.ends_at <= row.lease_until) {
      row.task.state = fails_everything ? WorkerTaskState::kFailed : WorkerTaskState::kFinished;
    } else if (row.lease_until < now) {
      row.task.state = WorkerTaskState::kStopped;
    }
  }
}

void WorkWorker::Restart() {
  ++vm_.incarnation;
  epoch_ = 0;
  rows_.clear();
  dead = false;
}

std::vector<TaskKey> WorkWorker::Running() const {
  std::vector<TaskKey> running;
  if (dead) return running;

  for (const auto& [key, row] : rows_) {
    if (row.task.state == WorkerTaskState::kRunning) running.push_back(key);
  }

  return running;
}

Resources WorkWorker::Held() const {
  Resources held;

  for (const auto& [key, row] : rows_) {
    if (row.task.state == WorkerTaskState::kRunning) held += row.task.held;
  }

  return held;
}

}  // namespace currantpost
