#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "currantpost/base/time.h"

namespace currantpost::soak {

using Random = std::mt19937_64;

/// Returns a whole number between `low` and `high`, both included, the same on every platform.
int64_t Draw(Random& random, int64_t low, int64_t high);

/// What a task needs and takes on a worker. `cpu` is in thousandths of a core.
struct StepPlan {
  int count = 1;
  int64_t cpu = 500;
  int64_t mem_mb = 64;
  Millis duration = Millis(500);
  std::vector<int> after;
  bool long_running = false;
  bool checkpointing = false;
};

/// A job as its caller hands it in.
struct JobPlan {
  std::string id;
  std::string queue_prefix;
  std::string service;
  std::string spec;
  std::vector<StepPlan> steps;

  [[nodiscard]] bool LongRunning() const { return steps.front().long_running; }
  /// Returns the body of the request that submits the job.
  [[nodiscard]] std::string Body() const;
};

/// A task, named ID.K.STEP.INDEX.
struct TaskKey {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  auto operator<=>(const TaskKey&) const = default;
  [[nodiscard]] std::string Text() const;
  /// Returns a key without a job if the text names no task.
  static TaskKey Parse(const std::string& text);
};

/// All jobs that were ever handed in, by id. Plans never change.
class JobBook {
 public:
  const JobPlan& Add(JobPlan plan);
  /// Returns nullptr for a job that was never handed in.
  [[nodiscard]] const JobPlan* Find(const std::string& job) const;
  /// Returns nullptr for a task that no job has.
  [[nodiscard]] const StepPlan* FindStep(const TaskKey& task) const;

 private:
  std::map<std::string, JobPlan> plans_;
};

/// The queues and services of the soak's configuration.
inline constexpr std::string_view kHost = "jobs.example";
inline constexpr std::string_view kServices[] = {"guarded", "unguarded"};

/// Returns the document under op/config.
std::string ConfigurationDocument(int64_t version);

/// No job takes longer once its tasks run, but for long-running ones.
inline constexpr Millis kLongestJob = Millis(10'000);
/// Draws a job: some chains of steps, some wide steps, and a long-running one if asked.
JobPlan DrawJob(Random& random, bool long_running);

}  // namespace currantpost::soak
