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

/// Number of a run of a task. Increases with each start of the task and is never reused.
using Run = int32_t;
/// A worker ignores orders with a lower token than it has already seen.
using FencingToken = int64_t;

/// A worker's entry in the platform's registry.
struct WorkerAnnouncement {
  VmId id;
  /// Identifies an incarnation of the worker: the time of its start in Unix milliseconds.
  int64_t incarnation = 0;
  std::string service;
  Address address;
  DataCentreId data_centre;
  RackId rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  /// Minimum time for which it goes on while it drains, if it says so.
  std::optional<Millis> drain_remaining;
  /// When that time ends by this entry's clock, set when the registry entry is applied.
  Millis drain_ends_at;
};

/// Starts a run of a task.
struct StartTask {
  TaskName task;
  Run run = 0;
  std::string payload;
  /// Checkpoint to resume from, empty to start from the beginning.
  std::string checkpoint;
  /// Admission ticket issued by the advice service, empty where none is needed.
  std::string ticket;
  /// Time, by the worker's clock, at which all its runs are killed unless the lease is renewed.
  int64_t lease_until_ms = 0;
};

/// Stops a run. The worker then lists its end.
struct StopTask {
  TaskName task;
  Run run = 0;
};

/// Limits a run to a share of its full speed, so that it disturbs others less.
struct SetTaskSpeed {
  TaskName task;
  Run run = 0;
  int32_t percent = 100;
};

/// Renews the lease of all runs on a worker, reads the running and the ended runs, and lets the
/// worker discard ended runs.
struct PollWorker {
  /// Time, by the worker's clock, up to which all runs may continue; nothing to leave the lease as
  /// it is.
  std::optional<int64_t> lease_until_ms;
  /// The worker discards ended runs up to this number.
  int64_t forget_up_to = 0;
  /// The worker replies once a run ends, or after this time.
  Millis wait;
};

using WorkerOrder = std::variant<StartTask, StopTask, SetTaskSpeed, PollWorker>;

/// The outcome of an order.
enum class OrderStatus {
  kOk,
  /// The worker has seen a higher fencing token; nothing was done.
  kFenced,
  /// A run of the task with this number or a higher one has ended or was stopped there; nothing was
  /// done.
  kStaleRun,
  /// The lease that the order carried has expired; nothing was done.
  kLeaseExpired,
  /// There is no room for the task; nothing was done.
  kNoRoom,
  /// The ticket is missing or has expired; nothing was done.
  kNoTicket,
  /// Another incarnation of the worker answered; nothing was done. The reply to a poll may still
  /// contain the lists of the one that answered.
  kOtherIncarnation,
  /// The worker is unhealthy; nothing was done.
  kUnhealthy,
  /// The worker rejects the order itself; nothing was done.
  kInvalid,
  /// No connection could be made; nothing was done.
  kUnreachable,
  /// The order was sent and not answered: it may have been carried out, or may be later.
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
  /// It was stopped by an order.
  kStopped,
  /// Its lease was not renewed.
  kLeaseExpired,
  /// Another member of its gang ended.
  kGangMemberEnded,
  /// The other members of its gang did not start.
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

/// A run that is in progress on a worker.
struct RunningTask {
  TaskName task;
  Run run = 0;
  std::string checkpoint;
  /// Completed share of the work; a long-running task reports 100 once it is in service.
  int32_t percent = 0;
  /// Measured over about the last half second: the tail latency of a long-running task in
  /// milliseconds, or the processor use of any other task in thousandths of a core.
  int64_t last_measurement = 0;
};

/// An ended run. The worker lists it until a poll lets the worker discard it.
struct EndedTask {
  int64_t number = 0;
  TaskName task;
  Run run = 0;
  RunEnd end = RunEnd::kLeaseExpired;
  std::string checkpoint;
};

/// A worker's reply to an order. Only replies to `PollWorker` contain the lists.
struct WorkerReply {
  OrderStatus status = OrderStatus::kUnknown;
  std::optional<int64_t> clock_ms;
  /// Incarnation that answered, 0 if the reply does not contain it.
  int64_t incarnation = 0;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
};

}  // namespace currantpost::scheduler
