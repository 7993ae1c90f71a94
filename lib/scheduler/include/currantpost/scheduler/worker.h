#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/resources.h"
#include "currantpost/model/vm.h"
#include "currantpost/scheduler/job_spec.h"

namespace currantpost::scheduler {

/// Number of a task's start. Rises with each start of the task and is never used twice.
using Run = int32_t;
/// Orders with a lower token than a worker has seen are void there.
using FencingToken = int64_t;

/// What a worker says of itself in the platform's registry.
struct WorkerAnnouncement {
  VmId id;
  /// Tells two lives of a worker apart: Unix milliseconds of its start.
  int64_t incarnation = 0;
  std::string service;
  Address address;
  DataCentreId data_centre;
  RackId rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
};

/// Starts a run of a task.
struct StartTask {
  TaskName task;
  Run run = 0;
  std::string payload;
  /// Checkpoint to resume from, empty to begin anew.
  std::string checkpoint;
  /// Permission of the advice service, empty where none is needed.
  std::string ticket;
  /// Worker's clock at which everything on it is killed unless it is renewed.
  int64_t lease_until_ms = 0;
};

/// Stops a run; its end is then listed.
struct StopTask {
  TaskName task;
  Run run = 0;
};

/// Lets a run work, and disturb others, at a share of its speed.
struct SetTaskSpeed {
  TaskName task;
  Run run = 0;
  int32_t percent = 100;
};

/// Renews the lease of all that runs, reads what runs and what has ended, and lets the worker
/// forget ends.
struct PollWorker {
  /// Worker's clock up to which everything may run; nothing to leave the lease as it is.
  std::optional<int64_t> lease_until_ms;
  /// The worker forgets ends up to this number.
  int64_t forget_up_to = 0;
  /// The worker answers once a task ends, or after this span.
  Millis wait;
};

using WorkerOrder = std::variant<StartTask, StopTask, SetTaskSpeed, PollWorker>;

/// How an order ended.
enum class OrderStatus {
  kOk,
  /// The worker has seen a higher fencing token; nothing was done.
  kFenced,
  /// A run that is not lower has ended or was stopped there; nothing was done.
  kStaleRun,
  /// The lease that the order carried is over; nothing was done.
  kLeaseExpired,
  /// There is no room for the task; nothing was done.
  kNoRoom,
  /// The ticket is missing or over; nothing was done.
  kNoTicket,
  /// Another life of the worker answered; nothing was done.
  kOtherIncarnation,
  /// The worker is unhealthy; nothing was done.
  kUnhealthy,
  /// The worker rejects the order itself; nothing was done.
  kInvalid,
  /// No connection could be made; nothing was done.
  kUnreachable,
  /// Sent, and not answered: it may have been carried out, or may be later.
  kUnknown,
};

inline constexpr EnumNames kOrderStatusNames(std::to_array<EnumName<OrderStatus>>({
    {OrderStatus::kOk, "ok"},
    {OrderStatus::kFenced, "fenced"},
    {OrderStatus::kStaleRun, "old_run"},
    {OrderStatus::kLeaseExpired, "late"},
    {OrderStatus::kNoRoom, "no_room"},
    {OrderStatus::kNoTicket, "no_ticket"},
    {OrderStatus::kOtherIncarnation, "other_life"},
    {OrderStatus::kUnhealthy, "unhealthy"},
    {OrderStatus::kInvalid, "invalid"},
    {OrderStatus::kUnreachable, "unreachable"},
    {OrderStatus::kUnknown, "unknown"},
}));

/// How a run ended.
enum class RunEnd {
  kDone,
  kFailed,
  /// By an order.
  kStopped,
  /// Its lease was not renewed.
  kLeaseExpired,
  /// Another member of its gang ended.
  kGangMemberEnded,
  /// The other members of its gang did not come.
  kGangIncomplete,
};

inline constexpr EnumNames kRunEndNames(std::to_array<EnumName<RunEnd>>({
    {RunEnd::kDone, "done"},
    {RunEnd::kFailed, "failed"},
    {RunEnd::kStopped, "stopped"},
    {RunEnd::kLeaseExpired, "lapsed"},
    {RunEnd::kGangMemberEnded, "broken"},
    {RunEnd::kGangIncomplete, "alone"},
}));

/// A run that a worker works on.
struct RunningTask {
  TaskName task;
  Run run = 0;
  std::string checkpoint;
  /// Share of its work that is done; a lasting task is at work at 100.
  int32_t percent = 0;
  /// Over about the last half second: a lasting task's response time tail in milliseconds, any
  /// other task's processor use in thousandths of a core.
  int64_t last_measurement = 0;
};

/// A run that has ended, listed until the worker is told to forget it.
struct EndedTask {
  int64_t number = 0;
  TaskName task;
  Run run = 0;
  RunEnd end = RunEnd::kLeaseExpired;
  std::string checkpoint;
};

/// A worker's answer. The lists come with `LookAtWorker` only.
struct WorkerReply {
  OrderStatus status = OrderStatus::kUnknown;
  std::optional<int64_t> clock_ms;
  /// Life that answered, 0 if it did not say.
  int64_t incarnation = 0;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
};

}  // namespace currantpost::scheduler
