#include "worker_model.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "currantpost/model/json.h"

namespace currantpost::standins {

using nlohmann::json;

namespace {

/// Share of its full speed at which a throttled task runs.
constexpr double kThrottledSpeed = 0.5;
/// Run time after which a task of a worker that fails all ends badly.
constexpr Millis kDoomedRunTime(10);
constexpr Millis kUsageInterval(100);

Millis Scaled(Millis span, double factor) {
  return Millis(static_cast<int64_t>(static_cast<double>(span.Count()) * factor));
}

Resources Scaled(const Resources& size, double factor) {
  return Resources{static_cast<int64_t>(static_cast<double>(size.millicores) * factor),
                   static_cast<int64_t>(static_cast<double>(size.memory_mib) * factor),
                   size.accelerators};
}

bool IsRunning(const WorkerTask& task) { return task.state == WorkerTaskState::kRunning; }

}  // namespace

std::string CheckpointName(const TaskKey& task, Millis work_done) {
  return task.job.Text() + "/" + std::to_string(task.index) + "@" +
         std::to_string(work_done.Count());
}

std::optional<Millis> CheckpointProgress(const TaskKey& task, const std::string& name) {
  if (name.empty()) return Millis(0);

  const std::string prefix = task.job.Text() + "/" + std::to_string(task.index) + "@";
  if (!name.starts_with(prefix)) return std::nullopt;

  int64_t count = 0;
  const char* const end = name.data() + name.size();
  const auto parsed = std::from_chars(name.data() + prefix.size(), end, count);
  if (parsed.ec != std::errc() || parsed.ptr != end || count < 0) return std::nullopt;

  return Millis(count);
}

WorkerModel::WorkerModel(WorkerOptions options) : options_(std::move(options)) {}

WorkerReply WorkerModel::Order(Millis now, const worker_protocol::AddressedOrder& order) {
  Advance(now);
  ++records_.orders;

  if (order.worker != options_.vm || order.incarnation != options_.incarnation) {
    return WorkerReply{WorkerStatus::kRefused, Table(now)};
  }

  if (order.epoch < epoch_) {
    ++records_.stale_orders;
    return WorkerReply{WorkerStatus::kStaleEpoch, Table(now)};
  }

  // Only the order made for it raises the epoch; any other must come with the present one.
  const bool raises = std::holds_alternative<RaiseEpoch>(order.order);
  if (!raises && order.epoch != epoch_) return WorkerReply{WorkerStatus::kRefused, Table(now)};

  epoch_ = order.epoch;
  const WorkerStatus status =
      std::visit([&](const auto& each) { return Do(now, each); }, order.order);
  return WorkerReply{status, Table(now)};
}

void WorkerModel::Restart(Millis now) {
  Advance(now);

  for (auto& [key, row] : rows_) {
    if (IsRunning(row.task)) End(row, now, WorkerTaskState::kStopped, RunEnd::kRestarted);
  }

  ++options_.incarnation;
  epoch_ = 0;
  rows_.clear();
  seen_attempts_.clear();
  samples_.clear();
}

void WorkerModel::SetBehaviour(const std::string& kind, const KindBehaviour& behaviour) {
  behaviours_[kind] = behaviour;
}

const WorkerRecords& WorkerModel::Records(Millis now) {
  Advance(now);
  return records_;
}

void WorkerModel::Advance(Millis now) {
  for (auto& [key, row] : rows_) AdvanceRow(row, now);
  MeasureUsage(now);
}

void WorkerModel::AdvanceRow(Row& row, Millis now) {
  if (!IsRunning(row.task)) return;

  const bool is_endless = row.run_time == Millis(0) && !row.is_doomed;
  const Millis end = row.anchor + Scaled(row.run_time - row.anchor_work, 1 / Speed(row));

  if (!is_endless && end <= std::min(now, row.lease_end)) {
    if (row.is_doomed) return End(row, end, WorkerTaskState::kFailed, RunEnd::kFailed);

    row.task.progress = row.run_time;
    return End(row, end, WorkerTaskState::kFinished, RunEnd::kFinished);
  }

  if (now >= row.lease_end) End(row, row.lease_end, WorkerTaskState::kStopped, RunEnd::kLapsed);
}

double WorkerModel::Speed(const Row& row) {
  return (row.task.throttled ? kThrottledSpeed : 1.0) / row.behaviour.slowdown;
}

Millis WorkerModel::WorkAt(const Row& row, Millis when) {
  return row.anchor_work + Scaled(when - row.anchor, Speed(row));
}

void WorkerModel::End(Row& row, Millis when, WorkerTaskState state, RunEnd how) {
  row.task.state = state;

  TaskRun& run = records_.runs[row.run];
  run.end = when;
  run.how = how;
}

void WorkerModel::MeasureUsage(Millis now) {
  if (!samples_.empty() && now - samples_.back().measured < kUsageInterval) return;

  UsageSample sample{now, {}};

  for (const auto& [key, row] : rows_) {
    if (!IsRunning(row.task)) continue;
    sample.usage.push_back(TaskUsage{key, row.task.attempt,
                                     Scaled(row.task.held, row.behaviour.usage_factor),
                                     row.behaviour.slowdown});
  }

  samples_.push_back(std::move(sample));

  // The oldest kept sample is the newest that is old enough to be told.
  while (samples_.size() > 1 && samples_[1].measured <= now - options_.usage_lag) {
    samples_.pop_front();
  }
}

WorkerTable WorkerModel::Table(Millis now) const {
  WorkerTable table{options_.incarnation, epoch_, options_.capacity};
  for (const auto& [key, row] : rows_) table.tasks.push_back(row.task);

  if (!samples_.empty() && samples_.front().measured <= now - options_.usage_lag) {
    table.usage_age = now - samples_.front().measured;
    table.usage = samples_.front().usage;
  }

  return table;
}

Resources WorkerModel::Committed() const {
  Resources sum;

  for (const auto& [key, row] : rows_) {
    if (IsRunning(row.task)) sum += row.task.held;
  }

  return sum;
}

WorkerModel::Row* WorkerModel::Find(const TaskKey& task, int32_t attempt) {
  const auto found = rows_.find(task);
  if (found == rows_.end() || found->second.task.attempt != attempt) return nullptr;
  return &found->second;
}

WorkerStatus WorkerModel::Do(Millis /*now*/, const RaiseEpoch& /*order*/) {
  return WorkerStatus::kOk;
}

WorkerStatus WorkerModel::Do(Millis now, const RenewLeases& order) {
  for (auto& [key, row] : rows_) {
    if (IsRunning(row.task)) row.lease_end = now + order.lease;
  }

  return WorkerStatus::kOk;
}

WorkerStatus WorkerModel::Do(Millis now, const StartTask& order) {
  if (Find(order.task, order.attempt) != nullptr) return WorkerStatus::kOk;

  const auto seen = seen_attempts_.find(order.task);
  const bool is_repeated = seen != seen_attempts_.end() && order.attempt <= seen->second;

  if (is_repeated || rows_.contains(order.task)) {
    ++records_.repeated_starts;
    return WorkerStatus::kRefused;
  }

  const std::optional<Millis> progress = CheckpointProgress(order.task, order.checkpoint);
  if (!progress) return WorkerStatus::kRefused;

  const Resources committed = Committed() + order.size;

  if (!FitsWithin(committed, options_.capacity)) {
    ++records_.over_capacity;
    return WorkerStatus::kRefused;
  }

  records_.most_committed = ComponentMax(records_.most_committed, committed);
  records_.runs.push_back(
      TaskRun{order.task, order.attempt, order.task_class, now, now, RunEnd::kRunning, *progress});
  seen_attempts_[order.task] = order.attempt;

  Row& row = rows_[order.task];
  row.task =
      WorkerTask{order.task, order.attempt, WorkerTaskState::kRunning, order.size, order.checkpoint,
                 *progress,  false};
  row.behaviour = behaviours_[order.kind];
  row.run_time = Scaled(order.run_time, row.behaviour.run_time_factor);
  row.anchor_work = *progress;
  row.anchor = now;
  row.lease_end = now + order.lease;
  row.is_doomed = fails_every_task_;
  if (row.is_doomed) row.run_time = *progress + kDoomedRunTime;
  row.run = records_.runs.size() - 1;

  return WorkerStatus::kOk;
}

WorkerStatus WorkerModel::Do(Millis now, const CheckpointTask& order) {
  Row* const row = Find(order.task, order.attempt);
  if (row == nullptr || !IsRunning(row->task)) return WorkerStatus::kRefused;

  row->task.progress = WorkAt(*row, now);
  row->task.checkpoint = CheckpointName(order.task, row->task.progress);
  return WorkerStatus::kOk;
}

WorkerStatus WorkerModel::Do(Millis now, const StopTask& order) {
  Row* const row = Find(order.task, order.attempt);
  if (row == nullptr) return WorkerStatus::kRefused;

  if (IsRunning(row->task)) End(*row, now, WorkerTaskState::kStopped, RunEnd::kStopped);
  return WorkerStatus::kOk;
}

WorkerStatus WorkerModel::Do(Millis now, const ThrottleTask& order) {
  Row* const row = Find(order.task, order.attempt);
  if (row == nullptr || !IsRunning(row->task)) return WorkerStatus::kRefused;

  row->anchor_work = WorkAt(*row, now);
  row->anchor = now;
  row->task.throttled = order.throttled;
  return WorkerStatus::kOk;
}

WorkerStatus WorkerModel::Do(Millis /*now*/, const AcknowledgeTask& order) {
  const auto found = rows_.find(order.task);
  if (found == rows_.end()) return WorkerStatus::kOk;

  const WorkerTask& task = found->second.task;
  if (task.attempt != order.attempt || IsRunning(task)) return WorkerStatus::kRefused;

  rows_.erase(found);
  return WorkerStatus::kOk;
}

json RecordsJson(const VmId& vm, const WorkerRecords& records) {
  json runs = json::array();

  for (const TaskRun& run : records.runs) {
    runs.push_back(json{{"task", run.task},
                        {"attempt", run.attempt},
                        {"class", kTaskClassNames.Name(run.task_class)},
                        {"start_ms", run.start},
                        {"end_ms", run.end},
                        {"how", kRunEndNames.Name(run.how)},
                        {"resumed_at_ms", run.resumed_at}});
  }

  return json{{"vm", vm},
              {"runs", std::move(runs)},
              {"most_committed", records.most_committed},
              {"orders", records.orders},
              {"stale_orders", records.stale_orders},
              {"over_capacity", records.over_capacity},
              {"repeated_starts", records.repeated_starts}};
}

}  // namespace currantpost::standins
