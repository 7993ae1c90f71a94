#include "batch_job.h"

#include <algorithm>

namespace currantpost::testing_support {

using nlohmann::json;

namespace {

constexpr int kHttpOk = 200;
/// The answer to a job that an earlier try, whose answer was lost, has brought in.
constexpr int kHttpConflict = 409;
constexpr Millis kSubmitDeadline(30'000);
constexpr Millis kRunningDeadline(20'000);
constexpr Millis kJobDeadline(90'000);

}  // namespace

Answer Submit(const Address& operators, const BatchJob& job) {
  return Send(operators, "POST", "/v1/jobs",
              json{{"job", job.name},
                   {"team", "kitchen"},
                   {"class", "batch"},
                   {"kind", "pantry-order"},
                   {"declared", {{"millicores", 1'000}, {"memory_mib", 500}, {"accelerators", 0}}},
                   {"task_count", job.tasks},
                   {"run_time_ms", job.run_time.Count()}});
}

bool SubmitUntilAccepted(const Address& operators, const BatchJob& job) {
  return WaitUntil(
      [&] {
        const int status = Submit(operators, job).status;
        return status == kHttpOk || status == kHttpConflict;
      },
      kSubmitDeadline);
}

bool AwaitRunning(const Fleet& fleet, const BatchJob& job) {
  return WaitUntil([&] { return !ReadWorkers(fleet.Vms(), job.name).by_task.empty(); },
                   kRunningDeadline);
}

void ExpectFinishesOnce(const Fleet& fleet, const Address& operators, const BatchJob& job) {
  json answer;
  WaitUntil(
      [&] {
        answer = Ask(operators, "GET", "/v1/jobs/" + job.name);
        return answer.is_object() && answer.value("completed", 0) == job.tasks;
      },
      kJobDeadline);

  EXPECT_TRUE(answer.is_object() && answer.value("completed", 0) == job.tasks) << answer.dump();

  const WorkerRuns runs = ReadWorkers(fleet.Vms(), job.name);
  EXPECT_TRUE(runs.is_complete);
  EXPECT_EQ(CountFinishedOnce(runs), job.tasks);
  EXPECT_EQ(CountOverlaps(runs), 0);
  EXPECT_TRUE(runs.is_within_capacity) << runs.most_committed;
  EXPECT_EQ(runs.over_capacity, 0);
}

}  // namespace currantpost::testing_support
