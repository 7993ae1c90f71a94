#include "fake_worker.h"

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <variant>

namespace currantpost {
namespace {

/// Parses the progress from a checkpoint's name, which ends in `@` and the milliseconds.
Millis ProgressOf(const std::string& checkpoint) {
  const size_t at = checkpoint.find('@');
  if (at == std::string::npos) return Millis(0);

  return Millis(std::strtoll(checkpoint.c_str() + at + 1, nullptr, 10));
}

}  // namespace

WorkerReply FakeWorker::ExecuteOrder(const WorkerCall& call, Millis now) {
  Advance(now);

  if (call.incarnation != vm_.incarnation) return {WorkerStatus::kRefused, Table()};
  if (call.epoch < epoch_) return {WorkerStatus::kStaleEpoch, Table()};

  // Only `RaiseEpoch` raises the epoch. Every other order must carry the current epoch.
  const bool raises = std::holds_alternative<RaiseEpoch>(call.order);
  if (!raises && call.epoch != epoch_) return {WorkerStatus::kRefused, Table()};

  epoch_ = call.epoch;
  WorkerStatus status = WorkerStatus::kOk;

  if (const auto* renew = std::get_if<RenewLeases>(&call.order)) {
    Renew(*renew, now);
  } else if (const auto* start = std::get_if<StartTask>(&call.order)) {
    status = Start(*start, now);
  } else if (const auto* checkpoint = std::get_if<CheckpointTask>(&call.order)) {
    status = Checkpoint(*checkpoint, now);
  } else if (const auto* stop = std::get_if<StopTask>(&call.order)) {
    status = Stop(*stop, now);
  } else if (const auto* throttle = std::get_if<ThrottleTask>(&call.order)) {
    WorkerTask* row = Find(throttle->task, throttle->attempt);
    if (row != nullptr) row->throttled = throttle->throttled;
  } else if (const auto* acknowledge = std::get_if<AcknowledgeTask>(&call.order)) {
    status = Acknowledge(*acknowledge);
  }

  return {status, Table()};
}

void FakeWorker::Advance(Millis now) {
  std::vector<std::pair<TaskKey, WorkerTaskState>> ended;

  for (const auto& [task, running] : running_) {
    const bool is_done = running.done_at <= now && running.done_at < running.lease_until;

    if (is_done) {
      ended.emplace_back(task, failing_ ? WorkerTaskState::kFailed : WorkerTaskState::kFinished);
    } else if (running.lease_until <= now) {
      ended.emplace_back(task, WorkerTaskState::kStopped);
    }
  }

  for (const auto& [task, state] : ended) {
    const Running& running = running_.at(task);
    End(task, state, std::min(running.done_at, running.lease_until));
  }
}

void FakeWorker::Replace(Millis now) {
  Advance(now);
  while (!running_.empty()) End(running_.begin()->first, WorkerTaskState::kStopped, now);

  rows_.clear();
  epoch_ = 0;
  ++vm_.incarnation;
}

bool FakeWorker::IsOvercommitted() const {
  Resources held;
  for (const auto& [task, running] : running_) held += rows_.at(task).held;

  return !FitsWithin(held, vm_.capacity);
}

WorkerStatus FakeWorker::Start(const StartTask& start, Millis now) {
  const auto row = rows_.find(start.task);

  if (row != rows_.end()) {
    return row->second.attempt == start.attempt ? WorkerStatus::kOk : WorkerStatus::kRefused;
  }

  const Millis resumed_from = ProgressOf(start.checkpoint);
  rows_[start.task] = WorkerTask{.task = start.task,
                                 .attempt = start.attempt,
                                 .held = start.size,
                                 .checkpoint = start.checkpoint,
                                 .progress = resumed_from};

  const bool is_service = start.task_class == TaskClass::kService;
  const Millis left = std::max(Millis(1), start.run_time - resumed_from);

  runs_.push_back(RunRecord{.task = start.task,
                            .attempt = start.attempt,
                            .worker = vm_.vm,
                            .started_at = now,
                            .resumed_from = resumed_from});
  running_[start.task] = Running{.lease_until = now + start.lease,
                                 .done_at = is_service ? Millis(INT64_MAX) : now + left,
                                 .started_at = now,
                                 .run_time = start.run_time,
                                 .resumed_from = resumed_from,
                                 .run = runs_.size() - 1};
  return WorkerStatus::kOk;
}

WorkerStatus FakeWorker::Checkpoint(const CheckpointTask& order, Millis now) {
  WorkerTask* row = Find(order.task, order.attempt);
  if (row == nullptr || row->state != WorkerTaskState::kRunning) return WorkerStatus::kRefused;

  const Running& running = running_.at(order.task);
  row->progress = running.resumed_from + (now - running.started_at);
  row->checkpoint = order.task.job.Text() + "/" + std::to_string(order.task.index) + "@" +
                    std::to_string(row->progress.Count());
  return WorkerStatus::kOk;
}

WorkerStatus FakeWorker::Stop(const StopTask& order, Millis now) {
  const WorkerTask* row = Find(order.task, order.attempt);
  if (row == nullptr) return WorkerStatus::kRefused;
  if (row->state == WorkerTaskState::kRunning) End(order.task, WorkerTaskState::kStopped, now);

  return WorkerStatus::kOk;
}

WorkerStatus FakeWorker::Acknowledge(const AcknowledgeTask& order) {
  const WorkerTask* row = Find(order.task, order.attempt);
  if (row == nullptr) return WorkerStatus::kOk;
  if (row->state == WorkerTaskState::kRunning) return WorkerStatus::kRefused;

  rows_.erase(order.task);
  return WorkerStatus::kOk;
}

void FakeWorker::Renew(const RenewLeases& order, Millis now) {
  for (auto& [task, running] : running_) running.lease_until = now + order.lease;
}

void FakeWorker::End(const TaskKey& task, WorkerTaskState state, Millis now) {
  RunRecord& run = runs_[running_.at(task).run];
  run.ended_at = now;
  run.finished = state == WorkerTaskState::kFinished;

  rows_.at(task).state = state;
  running_.erase(task);
}

WorkerTask* FakeWorker::Find(const TaskKey& task, int32_t attempt) {
  const auto row = rows_.find(task);
  if (row == rows_.end() || row->second.attempt != attempt) return nullptr;

  return &row->second;
}

WorkerTable FakeWorker::Table() const {
  WorkerTable table{
      .incarnation = vm_.incarnation, .epoch = epoch_, .capacity = vm_.capacity, .tasks = {}};

  for (const auto& [task, row] : rows_) table.tasks.push_back(row);
  if (service_slowdown_ == 0.0) return table;

  for (const auto& [task, running] : running_) {
    const WorkerTask& row = rows_.at(task);
    table.usage.push_back(TaskUsage{task, row.attempt, row.held, service_slowdown_});
  }

  return table;
}

}  // namespace currantpost
