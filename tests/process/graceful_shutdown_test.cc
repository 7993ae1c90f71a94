#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

#include "running_fleet.h"

namespace currantpost::testing_support {
namespace {

/// Long enough that every entry has requests in flight at any time.
constexpr Millis kServiceTime(100);
constexpr Millis kSteadyTime(1'500);
constexpr Millis kExitDeadline(20'000);
constexpr size_t kStopped = 0;
constexpr int kPerKind = 4;

/// Callers of an entry that is stopped, each kind with habits of its own.
class StopCallers {
 public:
  explicit StopCallers(const Fleet& fleet) : fleet_(fleet) {}
  ~StopCallers() { Stop(); }

  StopCallers(const StopCallers&) = delete;
  StopCallers& operator=(const StopCallers&) = delete;

  void Start() {
    for (int number = 0; number < kPerKind; ++number) {
      threads_.emplace_back([this, number] { GoWhereReady("balanced" + std::to_string(number)); });
      threads_.emplace_back(
          [this, number] { StayUntilClosed("new" + std::to_string(number), false); });
      threads_.emplace_back(
          [this, number] { StayUntilClosed("kept" + std::to_string(number), true); });
    }
  }

  void Stop() {
    stopping_ = true;
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
  }

  const std::vector<CallRecord>& Records() const { return records_; }

 private:
  static CallerRequest Request(const std::string& caller, int number) {
    const std::string name = caller + "-" + std::to_string(number);
    const bool is_order = number % 2 == 1;
    return CallerRequest{is_order ? "POST" : "GET", name, name, is_order ? name : ""};
  }

  CallerOutcome Record(size_t entry, const CallerRequest& request, CallerOutcome outcome) {
    const std::lock_guard lock(mutex_);
    records_.push_back(CallRecord{entry, request.method, request.request_id, request.key, outcome});
    return outcome;
  }

  /// Goes to the next entry once its own is not ready, as the balancer would send it.
  void GoWhereReady(const std::string& caller) {
    size_t entry = kStopped;

    for (int number = 0; !stopping_; ++number) {
      if (!IsReady(fleet_.Entries()[entry].operators))
        entry = (entry + 1) % fleet_.Entries().size();

      const CallerRequest request = Request(caller, number);
      Record(entry, request, SendRequest(fleet_.Entries()[entry].callers, request));
    }
  }

  /// Goes on sending to the one entry until no connection to it can be made.
  void StayUntilClosed(const std::string& caller, bool keeps_connection) {
    const Address& address = fleet_.Entries()[kStopped].callers;
    httplib::Client client(address.host, address.port);
    client.set_keep_alive(keeps_connection);

    for (int number = 0; !stopping_; ++number) {
      const CallerRequest request = Request(caller, number);
      const CallerOutcome outcome = Record(kStopped, request, SendRequest(client, request));
      if (outcome == CallerOutcome::kNoConnection) return;
    }
  }

  const Fleet& fleet_;
  std::atomic<bool> stopping_ = false;
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::vector<CallRecord> records_;
};

TEST(GracefulShutdown, ProcessUnderLoadCutsOffNoRequest) {
  RunningFleet fleet({.service_time = kServiceTime});
  StopCallers callers(fleet);
  callers.Start();
  Sleep(kSteadyTime);

  Process& entry = *fleet.Entries()[kStopped].process;
  entry.Signal(SIGTERM);
  EXPECT_EQ(entry.WaitForExit(kExitDeadline), 0);

  // Whoever follows the balancer is served elsewhere afterwards.
  Sleep(kSteadyTime);
  callers.Stop();

  const std::vector<CallRecord>& records = callers.Records();
  EXPECT_GT(CountOutcomes(records, CallerOutcome::kWhole), 0);
  EXPECT_GT(CountOutcomes(records, CallerOutcome::kNoConnection), 0);
  EXPECT_EQ(CountOutcomes(records, CallerOutcome::kUnknown), 0);

  for (const CallRecord& record : records) {
    EXPECT_NE(record.outcome, CallerOutcome::kNoAnswer) << record.request_id << " was cut off";
  }

  ExpectCallersWereToldTheTruth(records, fleet.Vms());
}

}  // namespace
}  // namespace currantpost::testing_support
