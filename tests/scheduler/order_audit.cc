#include "order_audit.h"

#include <algorithm>
#include <utility>

namespace currantpost::scheduler {
namespace {

/// Bounds of a deployment. A task of a cancelled job starts no later than this after the
/// cancellation was acknowledged.
constexpr Millis kMaxCancelTime = Millis(4'000);
/// A run is stopped within this time after `kMaxCancelTime`.
constexpr Millis kMaxStopTime = Millis(900);
/// An entry that was undisturbed for this time counts as connected.
constexpr Millis kMinUndisturbedTime = Millis(4'000);
/// A cancel request that was pending for this time without a disruption counts as acknowledged.
constexpr Millis kAckTimeout = Millis(6'000);
/// Time that callers wait for an answer.
constexpr Millis kCallerTimeout = Millis(3'000);

std::string Text(const TaskName& name) {
  return name.job.Text() + "." + std::to_string(name.step) + "." + std::to_string(name.index);
}

std::string Text(Millis span) { return std::to_string(span.Count()); }

}  // namespace

OrderAudit::OrderAudit(World& world, Fail fail) : world_(world), fail_(std::move(fail)) {
  world_.on_start_order = [this](const ObservedStart& start) { CheckContent(start); };
  world_.on_start = [this](const ObservedStart& start) { CheckTime(start); };
}

void OrderAudit::RecordAnswer(const ObservedAnswer& observed) {
  const JobId job(observed.subject);
  if (observed.answer.outcome == CallerOutcome::kAccepted) {
    accepted_at_.try_emplace(job, world_.now());
  }

  if (!observed.is_cancel || world_.now() - observed.requested_at > kCallerTimeout) return;

  const auto accepted = accepted_at_.find(job);
  const bool was_accepted =
      accepted != accepted_at_.end() && accepted->second <= observed.requested_at;
  const bool was_removed = observed.answer.outcome == CallerOutcome::kNoSuchJob && was_accepted;
  if (was_removed || observed.answer.outcome == CallerOutcome::kCancelled) {
    acknowledged_at_.try_emplace(job, world_.now());
  }
}

std::string OrderAudit::Describe(const ObservedStart& start) const {
  const std::string age = start.records_age ? Text(*start.records_age) : "never listed";
  return Text(start.order.task) + " run " + std::to_string(start.order.run) + " at " +
         start.worker + ", sent by " + start.entry + " at " + Text(start.sent_at) +
         ", its records " + age + " ms old";
}

void OrderAudit::CheckContent(const ObservedStart& start) {
  ++orders;
  const StartTask& order = start.order;
  const auto job = world_.submitted.find(order.task.job);
  if (job == world_.submitted.end())
    return fail_("start of a job that was not submitted", Describe(start));

  if (order.payload != job->second.payload) {
    fail_("start with the wrong payload", Describe(start) + ": " + order.payload);
  }

  if (!order.checkpoint.empty()) ++resumes;
  const auto saved = world_.checkpoints.find(order.task);
  const bool saved_by_task =
      saved != world_.checkpoints.end() && saved->second.contains(order.checkpoint);
  if (!order.checkpoint.empty() && !saved_by_task) {
    fail_("start with a checkpoint that the task did not save",
          Describe(start) + ": " + order.checkpoint);
  }
}

void OrderAudit::CheckTime(const ObservedStart& start) {
  const TaskName& name = start.order.task;
  started_runs_[{start.worker, name}] =
      StartedRun{start.entry, world_.now(), Describe(start), start.delayed};

  const auto acknowledged = acknowledged_at_.find(name.job);
  if (acknowledged == acknowledged_at_.end()) return;

  ++starts_after_cancel;
  if (start.delayed || world_.now() - acknowledged->second <= kMaxCancelTime) return;

  const bool in_touch = world_.WasConnected(start.entry, kMinUndisturbedTime) &&
                        !world_.WasStopped(start.entry, kMinUndisturbedTime);
  if (!in_touch) return;

  const std::string check = world_.HadDelayedReplies(start.entry, kMinUndisturbedTime)
                                ? "start after a cancel, late store answers"
                                : "start after a cancel";
  fail_(check, Describe(start) + ", cancel acknowledged at " + Text(acknowledged->second));
}

void OrderAudit::CheckRun(const std::string& worker, const TaskName& name) {
  const auto acknowledged = acknowledged_at_.find(name.job);
  const auto started = started_runs_.find({worker, name});
  if (acknowledged == acknowledged_at_.end() || started == started_runs_.end()) return;

  const StartedRun& run = started->second;
  Millis since = acknowledged->second;
  // A task whose start order was delayed has to stop too; its time counts from its start.
  if (run.delayed) since = std::max(since, run.started_at);
  if (world_.now() - since < kMaxCancelTime + kMaxStopTime ||
      world_.UndisruptedTime() < kMinUndisturbedTime)
    return;
  if (!reported_.emplace(worker, name, run.started_at).second) return;

  // Distinguishes runs that outlast the whole bound without a disruption from those where the last
  // disruption is more recent than that.
  const std::string check = world_.UndisruptedTime() >= kMaxCancelTime + kMaxStopTime
                                ? "runs on after a cancel"
                                : "runs on after a cancel, disrupted within the last 4.9 s";
  fail_(check, run.text + ", started at " + Text(run.started_at) + (run.delayed ? " (late)" : "") +
                   ", cancel acknowledged at " + Text(acknowledged->second) +
                   ", no disruption for " + Text(world_.UndisruptedTime()));
}

void OrderAudit::TreatUnansweredAsAcknowledged() {
  for (const auto& [job, sent_at] : world_.cancel_sent_at) {
    const auto accepted = accepted_at_.find(job);
    if (acknowledged_at_.contains(job) || accepted == accepted_at_.end()) continue;

    const Millis pending_since =
        std::max({sent_at, accepted->second, world_.now() - world_.UndisruptedTime()});
    if (world_.now() - pending_since >= kAckTimeout) acknowledged_at_.emplace(job, world_.now());
  }
}

void OrderAudit::Check() {
  TreatUnansweredAsAcknowledged();

  for (const std::string& worker : world_.Workers()) {
    if (!world_.worker(worker).up) continue;
    for (const TaskName& name : world_.worker(worker).Running()) CheckRun(worker, name);
  }
}

}  // namespace currantpost::scheduler
