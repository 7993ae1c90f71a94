#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/resources.h"

namespace currantpost {

/// What kind of work a task does.
enum class TaskClass { kService, kBatch };

inline constexpr EnumNames kTaskClassNames(std::to_array<EnumName<TaskClass>>({
    {TaskClass::kService, "service"},
    {TaskClass::kBatch, "batch"},
}));

/// How soon work must start and how late it is shed. Smaller values go first.
enum class Priority { kUrgent, kNormal, kLow };

inline constexpr EnumNames kPriorityNames(std::to_array<EnumName<Priority>>({
    {Priority::kUrgent, "urgent"},
    {Priority::kNormal, "normal"},
    {Priority::kLow, "low"},
}));

/// What the submitter of a job asks for. All its tasks are alike.
struct JobSpec {
  JobId job;
  TeamId team;
  TaskClass task_class = TaskClass::kBatch;
  Priority priority = Priority::kNormal;
  /// Groups tasks that behave alike, such as "sediment-review"; sizes and slowdowns are learned by
  /// it.
  std::string kind;
  /// Declared need of one task; often far off.
  Resources declared;
  int32_t task_count = 1;
  /// Declared run time of one task; often far off. Zero for a service.
  Millis run_time;

  bool operator==(const JobSpec&) const = default;
};

/// A run of consecutive tasks of a job that has one rack as its home.
struct JobPart {
  RackId home;
  int32_t first_task = 0;
  int32_t task_count = 0;

  bool operator==(const JobPart&) const = default;
};

/// A job as the platform's key-value service keeps it, at "dc/<data centre>/jobs/<job>".
struct JobRecord {
  JobSpec spec;
  std::vector<JobPart> parts;
  bool cancelled = false;
  /// Names the write that made this version, so that a lost answer can be settled by reading it
  /// back.
  std::string change_id;
};

/// What is finished of one part, at "parts/<data centre>/<rack>/<job>". Only ever grows.
struct PartRecord {
  JobId job;
  /// Numbers of the tasks that finished, in rising order.
  std::vector<int32_t> completed;
  /// Numbers of the tasks given up after too many failed attempts, in rising order.
  std::vector<int32_t> failed;
  std::string change_id;
};

/// Names one task.
struct TaskKey {
  JobId job;
  int32_t index = 0;

  auto operator<=>(const TaskKey&) const = default;

  template <typename Hash>
  friend Hash AbslHashValue(Hash state, const TaskKey& key) {
    return Hash::combine(std::move(state), key.job, key.index);
  }
};

}  // namespace currantpost
