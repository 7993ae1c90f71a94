#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "currantpost/scheduler/worker.h"

namespace currantpost::scheduler {

/// What a run does, as the test decides when it begins.
struct RunPlan {
  Millis duration = Millis(500);
  RunEnd end = RunEnd::kDone;
  /// Never ends by itself.
  bool never_ends = false;
  int64_t last_measurement = 0;
  Resources need;
  /// A new checkpoint is saved so often, and at a stop; never if 0.
  Millis save_interval;
};

/// A worker in simulated time: fences, leases, runs and the list of ends, as the platform has them.
class SimWorker {
 public:
  using Reply = std::function<void(WorkerReply)>;
  using Planner = std::function<RunPlan(const TaskName&)>;

  SimWorker(WorkerAnnouncement info, Planner planner);

  /// Carries an order out. A look may be answered later, by `Advance`.
  void Handle(FencingToken token, const WorkerOrder& order, Millis now, const Reply& reply);

  /// Ends runs whose work is done or whose lease has lapsed, and looks that waited long enough.
  void Advance(Millis now);

  /// Everything that runs is gone, and a new life begins.
  void Restart(int64_t incarnation);

  [[nodiscard]] const WorkerAnnouncement& info() const { return info_; }
  WorkerAnnouncement& info() { return info_; }
  [[nodiscard]] std::vector<TaskName> Running() const;
  [[nodiscard]] Resources Held() const;

  bool up = true;
  /// How much slower than time its clock is, and whether each life's clock begins at 0.
  int64_t clock_slow_percent = 0;
  bool clock_resets_on_restart = false;
  /// Longer leases are shortened to this.
  Millis max_lease = Millis(10'000);
  /// Called for each run that begins or ends, and for each end that the worker is told to forget,
  /// with whether the worker's lease lapsed after that end.
  std::function<void(const TaskName&, Run)> on_start;
  std::function<void(const TaskName&, RunEnd)> on_end;
  std::function<void(const EndedTask&, bool)> on_forget;
  /// Called for each checkpoint that a run saves.
  std::function<void(const TaskName&, const std::string&)> on_checkpoint;
  int32_t starts = 0;
  std::map<TaskName, int32_t> speed;

 private:
  struct RunState {
    Run run = 0;
    RunPlan plan;
    Millis started_at;
    std::string checkpoint;
    Millis saved_at;
  };

  struct PendingPoll {
    PollWorker poll;
    Millis until;
    Reply reply;
  };

  [[nodiscard]] Millis Clock(Millis now) const;
  void ExtendLease(Millis until, Millis now);
  [[nodiscard]] WorkerReply MakePollReply(Millis now) const;
  void EndRun(const TaskName& task, RunEnd end);
  void SaveCheckpoint(const TaskName& task, RunState& run, Millis now);
  void Start(const StartTask& start, Millis now, const Reply& reply);

  WorkerAnnouncement info_;
  Planner planner_;
  FencingToken highest_token_ = 0;
  Millis advanced_at_;
  Millis clock_started_at_;
  Millis lease_until_;
  std::map<TaskName, RunState> running_;
  std::map<TaskName, Run> highest_closed_run_;
  std::vector<EndedTask> ended_;
  int64_t last_number_ = 0;
  int64_t last_checkpoint_ = 0;
  /// Last end that was listed when the lease lapsed.
  int64_t expired_up_to_ = 0;
  std::vector<PendingPoll> pending_polls_;
};

}  // namespace currantpost::scheduler
