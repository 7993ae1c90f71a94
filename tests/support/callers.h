#pragma once

#include <httplib.h>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"

namespace currantpost::testing_support {

/// What a caller got for one request.
enum class CallerOutcome {
  /// The whole answer to this very request.
  kWhole,
  /// The system said that it was surely not run.
  kNotRun,
  /// The system said that it cannot tell.
  kUnknown,
  /// No connection to the entry could be made, so nothing was sent.
  kNoConnection,
  /// No whole answer came from the entry, which may have been killed.
  kNoAnswer,
  /// An answer that is not the one to this request; breaks a promise.
  kWrong,
};

inline constexpr EnumNames kCallerOutcomeNames(std::to_array<EnumName<CallerOutcome>>({
    {CallerOutcome::kWhole, "whole"},
    {CallerOutcome::kNotRun, "not_run"},
    {CallerOutcome::kUnknown, "unknown"},
    {CallerOutcome::kNoConnection, "no_connection"},
    {CallerOutcome::kNoAnswer, "no_answer"},
    {CallerOutcome::kWrong, "wrong"},
}));

/// One request and what became of it.
struct CallRecord {
  /// Number of the entry that it was sent to.
  size_t entry = 0;
  std::string method;
  std::string request_id;
  /// `Idempotency-Key`, empty for none.
  std::string key;
  CallerOutcome outcome = CallerOutcome::kNoAnswer;
};

/// One request of a caller.
struct CallerRequest {
  std::string method;
  /// Names the request's path and body.
  std::string name;
  /// Names this try of it.
  std::string request_id;
  /// `Idempotency-Key`, empty for none.
  std::string key;
};

/// Returns how long the client of `SendRequest` should wait for an answer.
inline constexpr Millis kCallerTimeout(8'000);

/// Sends one request over a caller's connection and judges the answer.
CallerOutcome SendRequest(httplib::Client& client, const CallerRequest& request);

/// Sends one request over a connection of its own and judges the answer.
CallerOutcome SendRequest(const Address& entry, const CallerRequest& request);

/// Callers that send requests through all entries, each to its own, until they are stopped. A
/// caller whose entry does not answer goes to the next, as behind a balancer, and sends an order
/// without a whole answer again under the same key.
class Callers {
 public:
  /// Makes `callers_per_entry` callers for each entry.
  explicit Callers(std::vector<Address> entries, size_t callers_per_entry = 1);
  ~Callers() { Stop(); }

  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Start();
  void Stop();

  /// Returns all records. Call after `Stop`.
  const std::vector<CallRecord>& Records() const { return records_; }

 private:
  void Run(size_t caller);

  std::vector<Address> entries_;
  size_t callers_per_entry_;
  std::atomic<bool> stopping_ = false;
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::vector<CallRecord> records_;
};

}  // namespace currantpost::testing_support
