#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "currantpost/base/time.h"
#include "currantpost/model/job.h"
#include "currantpost/model/resources.h"
#include "fleet_truth.h"
#include "request_model.h"

namespace currantpost::bench {

/// A batch task, waiting or running.
struct ModelTask {
  int64_t id = 0;
  int32_t job = 0;
  size_t kind = 0;
  size_t rack = 0;
  Priority priority = Priority::kNormal;
  bool never_runs = false;
  /// True use as a multiple of its kind's.
  double use_factor = 1.0;
  /// True run time at full speed.
  double run_seconds = 0.0;
  double progress_seconds = 0.0;
  double checkpoint_seconds = 0.0;
  int32_t failures = 0;

  /// The rest is for running tasks.
  size_t worker = 0;
  Resources held;
  Millis started_at;
  bool throttled = false;
  /// Fails at this time, if set.
  Millis fails_at;
};

/// A worker of the model.
struct ModelWorker {
  size_t rack = 0;
  size_t service = 0;
  std::list<ModelTask> tasks;
  /// Down until then.
  Millis down_until;
  /// Fails all it starts until then.
  Millis sick_until;
  Millis report_lag;
  /// True slowdown of the service now.
  double slowdown = 1.0;
  double noise = 1.0;
};

/// Use of one task, as measured.
struct ModelUsage {
  size_t kind = 0;
  Resources used;
  bool throttled = false;
};

/// What a worker measured, as it arrives later.
struct ModelReport {
  size_t worker = 0;
  Millis measured_at;
  Millis arrives_at;
  double slowdown = 1.0;
  /// Use of each task that ran when measured, by its number.
  std::map<int64_t, ModelUsage> used;
};

/// Something that happened to a task, as its owner learns of it.
enum class ModelTaskEvent { kFinished, kFailed, kLost, kKilled };

/// Counts over the measured part of a run.
struct ModelCounts {
  double useful_core_seconds = 0.0;
  double wasted_core_seconds = 0.0;
  double used_core_seconds = 0.0;
  double capacity_core_seconds = 0.0;
  /// Seconds of workers, and those of them in which tasks wanted more processors than there are.
  int64_t worker_seconds = 0;
  int64_t contended_seconds = 0;
  int64_t evictions = 0;
  /// Tasks killed because the VM ran out of memory.
  int64_t memory_kills = 0;
  int64_t finished = 0;
  int64_t failed = 0;
  int64_t lost = 0;
  int64_t starts = 0;
  /// Tasks that could run, but were given up after too many failures.
  int64_t given_up = 0;
};

class FleetPolicy;

/// A small seeded model of a fleet, in steps of a second: services with hidden interference from
/// batch, late reports, waves, wrong sizes and faults. It knows nothing of networks, leases or
/// stores; it is there to compare decisions.
class FleetModel {
 public:
  explicit FleetModel(const Scenario& scenario);

  /// Runs the whole scenario under a policy.
  void Run(FleetPolicy& policy);

  /// Starts a waiting task on a worker, which holds `size` for it.
  void Start(ModelTask task, size_t worker, const Resources& size);

  /// Evicts a running task, which goes back to the front of its rack's queue with its checkpoint.
  void Evict(size_t worker, int64_t task);

  /// Slows a running task down, or lets it run at full speed.
  void Throttle(size_t worker, int64_t task, bool throttled);

  [[nodiscard]] const Scenario& Settings() const { return scenario_; }
  [[nodiscard]] const FleetTruth& Truth() const { return truth_; }
  [[nodiscard]] const std::vector<ModelWorker>& Workers() const { return workers_; }
  [[nodiscard]] Millis Now() const { return now_; }
  [[nodiscard]] size_t Racks() const { return queues_.size(); }
  /// Waiting tasks of a rack, in the order in which they are to be tried.
  [[nodiscard]] std::deque<ModelTask>& Queue(size_t rack) { return queues_[rack]; }
  [[nodiscard]] const ModelCounts& Counts() const { return counts_; }
  [[nodiscard]] const LatencyHistogram& Latencies() const { return latencies_; }
  /// Says whether a worker can be reached now.
  [[nodiscard]] bool IsUp(size_t worker) const { return now_ >= workers_[worker].down_until; }

 private:
  void SubmitJobs();
  void SubmitJob();
  void UpdateWaves();
  void BreakThings();
  void LoseWorker(size_t worker, Millis outage);
  void RequeueLost(FleetPolicy& policy);
  void RunWorker(size_t worker, FleetPolicy& policy);
  void KillForMemory(size_t worker, FleetPolicy& policy);
  void EndTasks(size_t worker, FleetPolicy& policy);
  void RunRequests();
  void Measure();
  void Deliver(FleetPolicy& policy);
  void Requeue(ModelTask task);
  void RetryOrGiveUp(ModelTask task);
  void Waste(ModelTask& task);
  [[nodiscard]] double UseOf(const ModelTask& task) const;
  [[nodiscard]] int64_t MemoryOf(const ModelTask& task) const;
  [[nodiscard]] double ServiceLoad(size_t service) const;
  [[nodiscard]] bool Counted() const;
  [[nodiscard]] double Cores() const;

  Scenario scenario_;
  /// One source of randomness for each matter, so that a policy's choices shift no other.
  std::mt19937_64 jobs_random_;
  std::mt19937_64 waves_random_;
  std::mt19937_64 faults_random_;
  std::mt19937_64 reports_random_;
  FleetTruth truth_;
  Millis now_;
  std::vector<ModelWorker> workers_;
  std::vector<std::deque<ModelTask>> queues_;
  /// Tasks of lost workers, with the time at which their leases have surely lapsed.
  std::deque<std::pair<Millis, ModelTask>> lost_;
  std::deque<ModelReport> reports_;
  std::vector<Millis> kind_wave_until_;
  std::vector<Millis> surge_until_;
  std::vector<RequestModel> requests_;
  LatencyHistogram latencies_;
  ModelCounts counts_;
  int64_t next_task_ = 0;
  int32_t next_job_ = 0;
};

/// A policy under test.
class FleetPolicy {
 public:
  virtual ~FleetPolicy() = default;

  /// A report arrived.
  virtual void OnReport(FleetModel& model, const ModelReport& report) = 0;

  /// A task ended, or its worker was lost.
  virtual void OnTaskEvent(FleetModel& model, const ModelTask& task, ModelTaskEvent event) = 0;

  /// A second has passed: place what waits.
  virtual void OnTick(FleetModel& model) = 0;
};

}  // namespace currantpost::bench
