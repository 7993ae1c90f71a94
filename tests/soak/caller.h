#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "currantpost/transport/http_client.h"
#include "job_plan.h"
#include "observer.h"

namespace currantpost::soak {

/// Submits jobs, asks for their states and cancels some, over connections that are kept open for as
/// long as they work.
class Caller {
 public:
  /// `choose_entry` returns an entry that takes new connections.
  Caller(EventLoop& loop, const Clock& clock, JobBook& jobs, CallerObserver& observer,
         std::function<Address(Random&)> choose_entry, uint64_t seed);

  /// Hands in a new job, again and again until its outcome is known.
  void Submit(bool long_running);
  /// Cancels all accepted long-running jobs.
  void CancelLongRunning();

 private:
  struct Job {
    const JobPlan* plan = nullptr;
    int refusals = 0;
    bool accepted = false;
    bool cancelling = false;
  };

  void SendSubmit(const std::string& id);
  void OnSubmitReply(const std::string& id, const HttpReply& reply);
  void Accept(const std::string& id);
  void AskState(const std::string& id);
  void OnStateReply(const std::string& id, const HttpReply& reply);
  void Cancel(const std::string& id);
  void Send(const std::string& method, const Job& job, HttpClient::Callback callback);
  void After(int64_t low_ms, int64_t high_ms, std::function<void()> action);

  EventLoop& loop_;
  JobBook& jobs_;
  CallerObserver& observer_;
  std::function<Address(Random&)> choose_entry_;
  Random random_;
  HttpClient http_;
  Address entry_;
  std::map<std::string, Job> open_;
};

}  // namespace currantpost::soak
