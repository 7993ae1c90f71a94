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

/// One run of one attempt, as recorded by the worker.
struct RunRecord {
  TaskKey task;
  int32_t attempt = 0;
  VmId worker;
  Millis started_at;
  /// Zero while the run is in progress.
  Millis ended_at;
  bool finished = false;
  /// Progress of the checkpoint from which the run resumed.
  Millis resumed_from;
};

/// In-memory fake of a worker. It executes every order under a current epoch, even one that breaks
/// an invariant, so that a test detects orders that should not have been sent.
class FakeWorker {
 public:
  explicit FakeWorker(VmRecord vm) : vm_(std::move(vm)) {}

  /// Executes an order at time `now` and returns the status and the task table.
  WorkerReply ExecuteOrder(const WorkerCall& call, Millis now);

  /// Ends the tasks whose lease has expired or that are done by `now`.
  void Advance(Millis now);

  /// Replaces the VM by a new incarnation without tasks. Running tasks stop.
  void Replace(Millis now);

  /// Sets whether tasks that end on this worker fail instead of finishing.
  void SetFailing(bool failing) { failing_ = failing; }

  /// Makes the worker report usage with this slowdown for services. 0 turns the reports off.
  void SetServiceSlowdown(double slowdown) { service_slowdown_ = slowdown; }

  /// Returns whether the running tasks hold more than the VM's capacity.
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
