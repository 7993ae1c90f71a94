#include "job_plan.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <nlohmann/json.hpp>

namespace currantpost::soak {

using Json = nlohmann::json;

int64_t Draw(Random& random, int64_t low, int64_t high) {
  const auto span = static_cast<uint64_t>(high - low + 1);
  return low + static_cast<int64_t>(random() % span);
}

std::string JobPlan::Body() const {
  Json body{{"spec", spec}, {"steps", Json::array()}};

  for (const StepPlan& step : steps) {
    Json row{{"count", step.count}, {"cpu", step.cpu}, {"mem_mb", step.mem_mb}};
    if (step.long_running) row["long_running"] = true;
    if (!step.long_running) row["estimate_ms"] = step.duration.Count();
    if (step.checkpointing) row["checkpointing"] = true;
    if (!step.after.empty()) row["after"] = step.after;
    body["steps"].push_back(std::move(row));
  }

  return body.dump();
}

std::string TaskKey::Text() const {
  return absl::StrFormat("%s.%d.%d.%d", job, occurrence, step, index);
}

TaskKey TaskKey::Parse(const std::string& text) {
  const std::vector<std::string> parts = absl::StrSplit(text, '.');
  TaskKey key;
  const bool is_task = parts.size() == 4 && absl::SimpleAtoi(parts[1], &key.occurrence) &&
                       absl::SimpleAtoi(parts[2], &key.step) &&
                       absl::SimpleAtoi(parts[3], &key.index);
  if (is_task) key.job = parts[0];
  return key;
}

const JobPlan& JobBook::Add(JobPlan plan) {
  const std::string id = plan.id;
  return plans_.emplace(id, std::move(plan)).first->second;
}

const JobPlan* JobBook::Find(const std::string& job) const {
  const auto found = plans_.find(job);
  return found == plans_.end() ? nullptr : &found->second;
}

const StepPlan* JobBook::FindStep(const TaskKey& task) const {
  const JobPlan* plan = Find(task.job);
  if (plan == nullptr || task.occurrence != 0 || task.step < 0 || task.index < 0) return nullptr;
  if (task.step >= static_cast<int>(plan->steps.size())) return nullptr;

  const StepPlan& step = plan->steps[task.step];
  return task.index < step.count ? &step : nullptr;
}

std::string ConfigurationDocument(int64_t version) {
  Json document{{"version", version}, {"routes", Json::array()}, {"services", Json::array()}};

  for (const std::string_view service : kServices) {
    document["routes"].push_back({{"name", std::string(service) + "-queue"},
                                  {"host", kHost},
                                  {"prefix", "/" + std::string(service) + "/"},
                                  {"service", service},
                                  {"priority", 1},
                                  {"max_attempts", 100},
                                  {"stretch", 2.0},
                                  {"target_duration_ms", 2'000}});
    document["services"].push_back(
        {{"name", service}, {"rejects_overload", service == kServices[0]}});
  }

  return document.dump();
}

JobPlan DrawJob(Random& random, bool long_running) {
  const std::string service(kServices[Draw(random, 0, 1)]);
  JobPlan plan;
  plan.id = absl::StrFormat("%016x", random());
  plan.queue_prefix = "/" + service + "/";
  plan.service = service;
  plan.spec = "work of " + plan.id;

  if (long_running) {
    plan.steps.push_back(StepPlan{
        .count = static_cast<int>(Draw(random, 1, 2)), .cpu = 1'500, .long_running = true});
    return plan;
  }

  // Tasks that outlast the lease of a worker that is cut off.
  const bool outlasts = Draw(random, 0, 3) == 0;
  const int64_t steps = outlasts ? 1 : Draw(random, 1, 3);

  for (int64_t step = 0; step < steps; ++step) {
    StepPlan next{.count = static_cast<int>(Draw(random, 1, 4)),
                  .cpu = Draw(random, 1, 4) * 250,
                  .mem_mb = Draw(random, 1, 4) * 64,
                  .duration = Millis(outlasts ? Draw(random, 6'000, kLongestJob.Count())
                                              : Draw(random, 100, 1'500)),
                  .checkpointing = Draw(random, 0, 3) == 0};
    if (step > 0) next.after.push_back(static_cast<int>(step - 1));
    plan.steps.push_back(std::move(next));
  }

  return plan;
}

}  // namespace currantpost::soak
