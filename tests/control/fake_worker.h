#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "currantpost/base/time.h"
#include "currantpost/control/effects.h"
#include "currantpost/model/vm.h"
#include "currantpost/model/worker.h"

namespace currantpost {

/// One run of one attempt, as the worker itself saw it.
struct RunRecord {
  TaskKey task;
  int32_t attempt = 0;
  VmId worker;
  Millis started_at;
  /// Zero while the run goes on.
  Millis ended_at;
  bool finished = false;
  /// Progress that the run resumed from.
  Millis resumed_from;
};

/// A worker in memory. It runs whatever it is told under a current epoch, so that the observer
/// sees an order that should not have been given.
class FakeWorker {
 public:
  explicit FakeWorker(VmRecord vm) : vm_(std::move(vm)) {}

  /// Carries an order out at a point in time.
  WorkerReply ExecuteOrder(const WorkerCall& call, Millis now);

  /// Lets leases lapse and tasks finish.
  void Advance(Millis now);

  /// Replaces the VM: a new incarnation that has nothing.
  void Replace(Millis now);

  /// Every task that the worker runs ends badly from now on.
  void SetFailing(bool failing) { failing_ = failing; }

  /// Reports usage from now on, with this slowdown for services; 0 ends it.
  void SetServiceSlowdown(double slowdown) { service_slowdown_ = slowdown; }

  /// Says whether the running tasks hold more than the VM has.
  [[nodiscard]] bool IsOvercommitted() const;

  [[nodiscard]] const VmRecord& Vm() const { return vm_; }
  [[nodiscard]] const std::vector<RunRecord>& Runs() const { return runs_; }
  [[nodiscard]] const std::map<TaskKey, WorkerTask>& Rows() const { return rows_; }

 private:
  struct Running {
    Millis lease_until;
    Millis done_at;
    Millis started_at;
    Millis run_time;
    Millis resumed_from;
    size_t run = 0;
  };

  WorkerStatus Start(const StartTask& start, Millis now);
  WorkerStatus Checkpoint(const CheckpointTask& order, Millis now);
  WorkerStatus Stop(const StopTask& order, Millis now);
  WorkerStatus Acknowledge(const AcknowledgeTask& order);
  void Renew(const RenewLeases& order, Millis now);
  void End(const TaskKey& task, WorkerTaskState state, Millis now);
  WorkerTask* Find(const TaskKey& task, int32_t attempt);
  [[nodiscard]] WorkerTable Table() const;

  VmRecord vm_;
  Epoch epoch_ = 0;
  bool failing_ = false;
  double service_slowdown_ = 0.0;
  std::map<TaskKey, WorkerTask> rows_;
  std::map<TaskKey, Running> running_;
  std::vector<RunRecord> runs_;
};

}  // namespace currantpost
