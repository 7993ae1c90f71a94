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

/// Whether a task is part of a service or a batch job.
enum class TaskClass { kService, kBatch };

inline constexpr EnumNames kTaskClassNames(std::to_array<EnumName<TaskClass>>({
    {TaskClass::kService, "service"},
    {TaskClass::kBatch, "batch"},
}));

/// Order in which work starts and, in reverse, is shed. Smaller values start first.
enum class Priority { kUrgent, kNormal, kLow };

inline constexpr EnumNames kPriorityNames(std::to_array<EnumName<Priority>>({
    {Priority::kUrgent, "urgent"},
    {Priority::kNormal, "normal"},
    {Priority::kLow, "low"},
}));

/// A job as submitted. All its tasks are alike.
struct JobSpec {
  JobId job;
  TeamId team;
  TaskClass task_class = TaskClass::kBatch;
  Priority priority = Priority::kNormal;
  /// Groups tasks that behave alike, such as "sediment-review"; sizes and slowdowns are estimated
  /// per kind.
  std::string kind;
  /// Declared resource need of one task; often inaccurate.
  Resources declared;
  int32_t task_count = 1;
  /// Declared run time of one task; often inaccurate. Zero for a service.
  Millis run_time;

  bool operator==(const JobSpec&) const = default;
};

/// A range of consecutive tasks of a job, assigned to one home rack.
struct JobPart {
  RackId home;
  int32_t first_task = 0;
  int32_t task_count = 0;

  bool operator==(const JobPart&) const = default;
};

/// A job as stored in the platform's key-value service, at "dc/<data centre>/jobs/<job>".
struct JobRecord {
  JobSpec spec;
  std::vector<JobPart> parts;
  bool cancelled = false;
  /// Identifies the write that made this version. If the answer to a write is lost, reading the
  /// record back shows whether the write took effect.
  std::string change_id;
};

/// The finished tasks of one part, stored at "parts/<data centre>/<rack>/<job>". Tasks are only
/// added.
struct PartRecord {
  JobId job;
  /// Indices of the completed tasks, in ascending order.
  std::vector<int32_t> completed;
  /// Indices of the tasks that had too many failed attempts, in ascending order.
  std::vector<int32_t> failed;
  std::string change_id;
};

/// Identifies one task.
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
