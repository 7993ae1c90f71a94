#pragma once

#include <cstdint>
#include <string>

#include "job_plan.h"

namespace currantpost::soak {

/// One run of a task on one worker. `life` counts the starts of the worker.
struct RunKey {
  std::string worker;
  int64_t life = 0;
  TaskKey task;
  int64_t run = 0;

  auto operator<=>(const RunKey&) const = default;
};

/// Learns what happens on workers.
class WorkerObserver {
 public:
  virtual ~WorkerObserver() = default;

  /// `held_up` says that the order was carried out late.
  virtual void OnStart(const RunKey& run, bool held_up, bool over_capacity) = 0;
  /// `how` is the end as the worker lists it.
  virtual void OnEnd(const RunKey& run, const std::string& how) = 0;
  /// An end was taken note of. `lapsed` says that the worker's lease lapsed between the two.
  virtual void OnNoted(const RunKey& run, const std::string& how, bool lapsed) = 0;
  /// All runs of this life are gone, without ends.
  virtual void OnWorkerGone(const std::string& worker, int64_t life) = 0;
  /// An order was carried out.
  virtual void OnOrder(const std::string& worker, int64_t life, int64_t token) = 0;
};

/// Learns what callers send and receive.
class CallerObserver {
 public:
  virtual ~CallerObserver() = default;

  virtual void OnSubmitSent(const JobPlan& job) = 0;
  /// `status` is 0 if no complete answer came.
  virtual void OnSubmitAnswer(const std::string& job, int status) = 0;
  virtual void OnCancelSent(const std::string& job) = 0;
  virtual void OnCancelAnswer(const std::string& job, int status) = 0;
  /// `state` is empty unless the status is 200.
  virtual void OnState(const std::string& job, int status, const std::string& state) = 0;
};

}  // namespace currantpost::soak
