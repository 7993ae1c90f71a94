#include "sim_worker.h"

#include <algorithm>

namespace currantpost::scheduler {

SimWorker::SimWorker(WorkerAnnouncement info, Planner planner)
    : info_(std::move(info)), planner_(std::move(planner)) {}

std::vector<TaskName> SimWorker::Running() const {
  std::vector<TaskName> tasks;
  for (const auto& [name, run] : running_) tasks.push_back(name);
  return tasks;
}

Resources SimWorker::Held() const {
  Resources held;
  for (const auto& [name, run] : running_) held += run.plan.need;
  return held;
}

Millis SimWorker::Clock(Millis now) const {
  const Millis span = now - born_at_;
  return span - span * clock_slow_percent / 100;
}

void SimWorker::Renew(Millis until, Millis now) {
  lease_until_ = std::max(lease_until_, std::min(until, Clock(now) + longest_lease));
}

WorkerReply SimWorker::Lists(Millis now) const {
  WorkerReply reply{.status = OrderStatus::kOk, .clock_ms = Clock(now).Count(), .born = info_.born};

  for (const auto& [name, run] : running_) {
    reply.running.push_back(RunningTask{name, run.run, run.checkpoint, 100, run.plan.recent});
  }

  reply.ended = ended_;
  return reply;
}

void SimWorker::Save(const TaskName& task, RunState& run, Millis now) {
  run.saved_at = now;
  run.checkpoint =
      info_.id.Text() + "-" + std::to_string(info_.born) + "-" + std::to_string(++last_checkpoint_);
  if (on_checkpoint) on_checkpoint(task, run.checkpoint);
}

void SimWorker::End(const TaskName& task, RunEnd end) {
  const auto run = running_.find(task);
  const bool saves = end == RunEnd::kStopped && run->second.plan.save_interval > Millis(0);
  if (saves) Save(task, run->second, run->second.saved_at);
  ended_.push_back(EndedTask{++last_number_, task, run->second.run, end, run->second.checkpoint});
  over_[task] = std::max(over_[task], run->second.run);
  running_.erase(run);
  if (on_end) on_end(task, end);
}

void SimWorker::Start(const StartTask& start, Millis now, const Reply& reply) {
  WorkerReply answer{
      .status = OrderStatus::kOk, .clock_ms = Clock(now).Count(), .born = info_.born};
  const auto present = running_.find(start.task);
  if (present != running_.end() && present->second.run == start.run) return reply(answer);

  const auto over = over_.find(start.task);
  const RunPlan plan = planner_(start.task);
  const Millis until(start.lease_until_ms);

  if (over != over_.end() && start.run <= over->second) {
    answer.status = OrderStatus::kOldRun;
  } else if (until <= Clock(now)) {
    answer.status = OrderStatus::kLate;
  } else if (!FitsWithin(Held() + plan.need, info_.capacity)) {
    answer.status = OrderStatus::kNoRoom;
  }

  if (answer.status != OrderStatus::kOk) return reply(answer);

  if (present != running_.end()) End(start.task, RunEnd::kStopped);
  Renew(until, now);
  running_[start.task] = RunState{start.run, plan, now, start.checkpoint, now};
  ++starts;
  if (on_start) on_start(start.task, start.run);
  reply(answer);
}

void SimWorker::Handle(FencingToken token, const WorkerOrder& order, Millis now,
                       const Reply& reply) {
  WorkerReply answer{
      .status = OrderStatus::kOk, .clock_ms = Clock(now).Count(), .born = info_.born};

  if (token < fence_) {
    answer.status = OrderStatus::kFenced;
    return reply(answer);
  }

  fence_ = token;
  if (const auto* start = std::get_if<StartTask>(&order)) return Start(*start, now, reply);

  if (const auto* stop = std::get_if<StopTask>(&order)) {
    const auto run = running_.find(stop->task);

    if (run == running_.end() || run->second.run != stop->run) {
      answer.status = OrderStatus::kOldRun;
      over_[stop->task] = std::max(over_[stop->task], stop->run);
    } else {
      End(stop->task, RunEnd::kStopped);
    }

    reply(answer);
    return Advance(now);
  }

  if (const auto* paced = std::get_if<PaceTask>(&order)) {
    pace[paced->task] = paced->percent;
    return reply(answer);
  }

  const auto& look = std::get<LookAtWorker>(order);
  if (look.lease_until_ms) Renew(Millis(*look.lease_until_ms), now);

  for (const EndedTask& end : ended_) {
    if (end.number > look.forget_up_to || !on_forget) continue;
    on_forget(end, end.number <= lapsed_number_);
  }

  std::erase_if(ended_, [&](const EndedTask& end) { return end.number <= look.forget_up_to; });

  if (!ended_.empty() || look.wait == Millis(0)) return reply(Lists(now));

  waiting_.push_back(Waiting{look, now + look.wait, reply});
}

void SimWorker::Advance(Millis now) {
  advanced_at_ = now;
  if (!up) return;

  const std::vector<TaskName> names = Running();
  const bool lapsed = Clock(now) >= lease_until_;
  if (lapsed) lapsed_number_ = last_number_;

  for (const TaskName& name : names) {
    RunState& run = running_.at(name);
    const Millis interval = run.plan.save_interval;
    if (interval > Millis(0) && now - run.saved_at >= interval) Save(name, run, now);

    if (lapsed) {
      End(name, RunEnd::kLapsed);
    } else if (!run.plan.lasts && now - run.began >= run.plan.duration) {
      End(name, run.plan.end);
    }
  }

  std::vector<Waiting> waiting = std::move(waiting_);
  waiting_.clear();

  for (Waiting& look : waiting) {
    if (!ended_.empty() || now >= look.until) {
      look.reply(Lists(now));
    } else {
      waiting_.push_back(std::move(look));
    }
  }
}

void SimWorker::Restart(int64_t born) {
  info_.born = born;
  if (clock_begins_anew) born_at_ = advanced_at_;
  up = true;
  fence_ = 0;
  lease_until_ = Millis(0);
  running_.clear();
  over_.clear();
  ended_.clear();
  last_number_ = 0;
  lapsed_number_ = 0;
  waiting_.clear();
}

}  // namespace currantpost::scheduler
