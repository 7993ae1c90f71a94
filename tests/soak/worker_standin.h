#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "currantpost/transport/http_server.h"
#include "job_plan.h"
#include "observer.h"
#include "store_standin.h"
#include "unanswered.h"

namespace currantpost::soak {

/// What stays the same through all lives of a worker.
struct WorkerProfile {
  std::string id;
  std::string service;
  std::string zone;
  std::string rack;
  /// Where entries reach the worker.
  Address address;
  int64_t cpu = 4'000;
  int64_t mem_mb = 4'096;
  bool guards_capacity = true;
  /// By how many percent the worker's clock is slow.
  int64_t clock_slow_percent = 0;
  /// Of 1,000 runs, this many fail.
  int64_t failing_permille = 0;
};

/// A worker: fencing, a lease on its own clock, runs, and the list of ended runs. It restarts under
/// its id with nothing of before.
class WorkerStandin {
 public:
  WorkerStandin(EventLoop& loop, const Clock& clock, WorkerProfile profile, const JobBook& jobs,
                StoreStandin& store, WorkerObserver& observer, uint64_t seed);

  /// Begins a life on a free port of the host. Fails if it cannot be bound.
  Error Start(const std::string& host);
  /// Ends the present life at once. The entry in the registry stays until it is silent for long.
  void Crash();
  /// Reports that the worker drains. Once the store has accepted that, the worker serves for the
  /// drain time and a little longer, and leaves.
  void Drain();

  /// Carries some orders out seconds later, without an answer.
  void SetLateOrders(bool late) { late_orders_ = late; }
  /// Answers some orders with 503 and does nothing for them.
  void SetUnhealthy(bool unhealthy) { unhealthy_ = unhealthy; }

  /// Ends runs and leases and answers polls that are due. To be called every few milliseconds.
  void Tick();

  [[nodiscard]] bool Up() const { return life_ != nullptr; }
  [[nodiscard]] bool Draining() const { return life_ != nullptr && life_->draining; }
  /// Returns the port of the present life, 0 if there is none.
  [[nodiscard]] int Port() const { return life_ == nullptr ? 0 : life_->server->port(); }
  [[nodiscard]] const WorkerProfile& profile() const { return profile_; }

 private:
  struct RunState {
    int64_t run = 0;
    StepPlan plan;
    Millis started_at;
    Millis saved;
    bool fails = false;
    /// When a stop that is under way is over, 0 if there is none.
    Millis stops_at;
  };

  struct EndedRun {
    int64_t number = 0;
    TaskKey task;
    int64_t run = 0;
    std::string how;
    std::string checkpoint;
  };

  struct Poll {
    Millis ends_at;
    Respond respond;
  };

  struct Life {
    int64_t number = 0;
    int64_t born = 0;
    Millis born_at;
    bool draining = false;
    /// When a draining worker leaves, 0 before the store has accepted its report.
    Millis leaves_at;
    int64_t token = 0;
    Millis lease_until;
    std::map<TaskKey, RunState> running;
    std::map<TaskKey, int64_t> closed_run;
    std::deque<EndedRun> ended;
    int64_t last_end = 0;
    int64_t lapsed_up_to = 0;
    std::vector<Poll> polls;
    std::unique_ptr<HttpServer> server;
  };

  [[nodiscard]] Millis WorkerClock() const;
  void Report();
  void Receive(const std::shared_ptr<Life>& life, const ReceivedRequest& request, Respond respond);
  void CarryOut(const ReceivedRequest& request, const Respond& respond, bool held_up);
  void StartRun(const TaskKey& task, const std::string& body, const Respond& respond, bool held_up);
  void StopRun(const TaskKey& task, int64_t run, const Respond& respond);
  void Hold(const std::string& body, const Respond& respond);
  void AnswerHold(const Respond& respond) const;
  void Reject(const char* reason, const Respond& respond) const;
  void ExtendLease(Millis until);
  void EndRun(const TaskKey& task, const std::string& how);
  void EndDueRuns();
  [[nodiscard]] bool Fits(const StepPlan& need) const;
  [[nodiscard]] RunKey KeyOf(const TaskKey& task, int64_t run) const;

  EventLoop& loop_;
  const Clock& clock_;
  WorkerProfile profile_;
  const JobBook& jobs_;
  StoreStandin& store_;
  WorkerObserver& observer_;
  Random random_;
  std::shared_ptr<Life> life_;
  /// Servers of former lives: their connections may still be ending.
  std::vector<std::unique_ptr<HttpServer>> former_servers_;
  Unanswered unanswered_;
  int64_t lives_ = 0;
  int64_t sequence_ = 0;
  Millis reported_at_;
  bool late_orders_ = false;
  bool unhealthy_ = false;
};

}  // namespace currantpost::soak
