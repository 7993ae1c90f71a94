#include "run_audit.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace currantpost::scheduler {
namespace {

/// A long-running task is lost if nothing was disrupted for `kMinUndisruptedTime`, the task has not
/// run for `kMinAbsence` and there is room for it, and all this holds for `kMinLostTime` without
/// interruption.
constexpr Millis kMinUndisruptedTime = Millis(4'000);
constexpr Millis kMinAbsence = Millis(6'000);
constexpr Millis kMinLostTime = Millis(3'000);
/// There is room for a task if this number of copies fits.
constexpr int64_t kMinCopies = 2;

std::string Text(const TaskName& name) {
  return name.job.Text() + "." + std::to_string(name.step) + "." + std::to_string(name.index);
}

int64_t CopiesIn(const Resources& room, const Resources& need) {
  int64_t copies = kMinCopies;
  if (need.millicores > 0) copies = std::min(copies, room.millicores / need.millicores);
  if (need.memory_mib > 0) copies = std::min(copies, room.memory_mib / need.memory_mib);
  return std::max<int64_t>(copies, 0);
}

}  // namespace

void RunAudit::RecordAnswer(const ObservedAnswer& observed) {
  if (observed.answer.outcome != CallerOutcome::kAccepted) return;
  accepted_at_.try_emplace(JobId(observed.subject), world_.now());
}

template <typename Visit>
void RunAudit::ForEachLongRunning(Visit visit) const {
  for (const auto& [job, accepted_at] : accepted_at_) {
    if (world_.cancel_sent_at.contains(job)) continue;

    const std::vector<StepSpec>& steps = world_.submitted.at(job).steps;
    for (size_t step = 0; step < steps.size(); ++step) {
      if (!steps[step].is_long_running) continue;
      for (int32_t index = 0; index < steps[step].task_count; ++index) {
        visit(TaskName{job, 0, static_cast<int32_t>(step), index}, steps[step].need);
      }
    }
  }
}

int64_t RunAudit::CopiesThatFit(const Resources& need) const {
  int64_t copies = 0;

  for (const std::string& id : world_.Workers()) {
    const SimWorker& worker = world_.worker(id);
    if (!worker.up || worker.info().draining || !world_.IsListed(id)) continue;

    Resources room = worker.info().capacity;
    room -= worker.Held();
    copies += CopiesIn(room, need);
  }

  return copies;
}

std::map<TaskName, std::string> RunAudit::Running() const {
  std::map<TaskName, std::string> running;

  for (const std::string& id : world_.Workers()) {
    const SimWorker& worker = world_.worker(id);
    if (!worker.up) continue;
    for (const TaskName& name : worker.Running()) running[name] = id;
  }

  return running;
}

/// `worker` is the worker that the task runs on, empty if it does not run.
void RunAudit::CheckTask(const TaskName& name, const Resources& need, const std::string& worker) {
  TaskHistory& task =
      histories_.try_emplace(name, TaskHistory{.ran_at = world_.now()}).first->second;
  const bool undisrupted = world_.UndisruptedTime() >= kMinUndisruptedTime;
  if (undisrupted) ++checks;

  if (!worker.empty()) {
    if (std::exchange(task.is_absent, false) && !task.ran_on.empty()) {
      ++restarts;
      max_absence = std::max(max_absence, world_.now() - task.ran_at);
    }
    task = TaskHistory{.ran_at = world_.now(), .ran_on = worker};
    return;
  }

  task.is_absent = true;
  const bool lost =
      undisrupted && world_.now() - task.ran_at >= kMinAbsence && CopiesThatFit(need) >= kMinCopies;
  if (!lost) {
    task.lost_since.reset();
    return;
  }

  if (!task.lost_since) task.lost_since = world_.now();
  if (world_.now() - *task.lost_since < kMinLostTime || std::exchange(task.reported, true)) return;
  fail_("LOST", Describe(name, need));
}

void RunAudit::Check() {
  const std::map<TaskName, std::string> running = Running();
  ForEachLongRunning([&](const TaskName& name, const Resources& need) {
    const auto run = running.find(name);
    CheckTask(name, need, run == running.end() ? "" : run->second);
  });
}

bool RunAudit::IsSettled() const {
  bool settled = true;
  const std::map<TaskName, std::string> running = Running();
  ForEachLongRunning([&](const TaskName& name, const Resources&) {
    if (!running.contains(name)) settled = false;
  });
  return settled && std::ranges::all_of(accepted_at_, [this](const auto& row) {
           const bool is_long_running = world_.submitted.at(row.first).steps[0].is_long_running;
           return is_long_running || world_.Phase(row.first.Text()) == JobPhase::kCompleted;
         });
}

void RunAudit::CheckEnd() {
  const std::map<TaskName, std::string> running = Running();
  ForEachLongRunning([&](const TaskName& name, const Resources& need) {
    if (!running.contains(name)) fail_("doesn't run at the end", Describe(name, need));
  });

  for (const auto& [job, accepted_at] : accepted_at_) {
    const bool is_long_running = world_.submitted.at(job).steps[0].is_long_running;
    const JobPhase phase = world_.Phase(job.Text());
    if (is_long_running || phase == JobPhase::kCompleted) continue;

    std::string text = job.Text() + ", accepted at " + std::to_string(accepted_at.Count()) +
                       ", is " + std::string(kJobPhaseNames.Name(phase)) + ":";
    const std::vector<StepSpec>& steps = world_.submitted.at(job).steps;
    for (size_t step = 0; step < steps.size(); ++step) {
      for (int32_t index = 0; index < steps[step].task_count; ++index) {
        const TaskName name{job, 0, static_cast<int32_t>(step), index};
        if (!world_.done.contains(name)) text += "\n    " + Describe(name, steps[step].need);
      }
    }
    fail_("not completed at the end", text);
  }
}

std::string RunAudit::Describe(const TaskName& name, const Resources& need) const {
  std::ostringstream text;
  text << Text(name) << " of " << need.millicores << " millicores";

  if (const auto found = histories_.find(name); found != histories_.end()) {
    const TaskHistory& task = found->second;
    text << " absent since " << task.ran_at.Count();
    if (!task.ran_on.empty()) {
      const SimWorker& worker = world_.worker(task.ran_on);
      text << ", ran on " << task.ran_on << " (" << (worker.up ? "up" : "down")
           << (worker.info().draining ? ", draining" : "") << ", incarnation "
           << worker.info().incarnation << ")";
    }
  }

  text << "; no disruption for " << world_.UndisruptedTime().Count() << ", room for "
       << CopiesThatFit(need) << " copies";

  for (const auto& [entry, data_centre] : world_.DataCentres()) {
    if (!world_.IsUp(entry)) continue;
    for (const auto& [cell_id, cell] : world_.state(entry).cells) {
      const auto borrowed = cell.borrowed_tasks.find(name);
      const TaskRef ref = borrowed != cell.borrowed_tasks.end()
                              ? borrowed->second
                              : TaskRef{name.job, 0, name.step, name.index};
      const auto job = cell.jobs.find(ref.job);
      if (job == cell.jobs.end()) continue;

      const TaskState& task = job->second.occurrences.at(static_cast<size_t>(ref.occurrence))
                                  .steps.at(static_cast<size_t>(ref.step))
                                  .tasks.at(static_cast<size_t>(ref.index));
      text << "; " << entry << " has it in " << cell_id.Text() << " as "
           << kTaskPhaseNames.Name(task.phase) << ", run " << task.run << " on "
           << task.worker.Text() << (borrowed != cell.borrowed_tasks.end() ? ", borrowed" : "")
           << (task.not_borrowed ? ", not borrowed" : "");
      if (!task.lent_to.Text().empty()) text << ", lent to " << task.lent_to.Text();
      const auto worker = cell.workers.find(task.worker);
      if (worker != cell.workers.end()) {
        text << ", lease expires at " << worker->second.lease.Expiry().Count();
      }
    }
  }

  return text.str();
}

}  // namespace currantpost::scheduler
