#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "currantpost/base/error.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/scheduler/job_spec.h"
#include "currantpost/scheduler/records.h"

/// Messages between the owners of two cells about capacity for tasks that are to be lent or moved.
/// They are pushed to the peer and never stored.

namespace currantpost::scheduler {

/// Key prefixes of the messages, followed by the cell that has the capacity.
/// @{
inline constexpr std::string_view kReservationRequestPrefix = "reservation-request/";
inline constexpr std::string_view kReservationReplyPrefix = "reservation-reply/";
inline constexpr std::string_view kOfferRefusalPrefix = "offer-refusal/";
/// @}
/// The same, followed by the cell in which the task waits.
inline constexpr std::string_view kCapacityOfferPrefix = "capacity-offer/";

/// Asks the owner of a cell to hold capacity for tasks of a step for a short time.
struct ReservationRequest {
  StepName name;
  /// The requirements of a task. `task_count` is the number of tasks.
  StepSpec step;
  std::string service;
  /// The cell and the job in which the tasks wait. The job differs from that of `name` if the tasks
  /// are borrowed.
  CellId from;
  JobId job;
  /// When it was sent, by the sender's clock.
  Millis asked_at;
  /// How long the sender waits for the reply, 0 if it is an earlier version.
  Millis reply_timeout;
  /// How long the tasks have waited without a worker that is kept for them.
  Millis waited;
  /// They are long-running tasks that have run before, and how long the first one has been without
  /// a run.
  /// @{
  bool is_interrupted = false;
  Millis absent;
  /// @}
  /// How much longer they run at least, if they are on draining workers.
  Millis runs_for;
  /// Priority of their queue.
  int32_t priority = 0;
  /// Their job is overdue, see `Urgency`.
  bool is_overdue = false;
  /// When the owner that is asked has offered a worker, by its own clock, 0 if it has not.
  Millis offered_at;
  Address reply_to;
};

/// Says for how many tasks capacity is held.
struct ReservationReply {
  CellId from;
  JobId job;
  /// As in the request; 0 if an earlier version replied.
  Millis asked_at;
  std::string service;
  int32_t tasks = 0;
  /// No task fits now, but a worker is kept for one of them for a short time.
  bool keeps = false;
  /// Free capacity that is left in the cell, the largest task that fits, and the largest
  /// long-running task that fits once the short tasks have ended, in thousandths of a core.
  int64_t free = 0;
  int64_t largest_free = 0;
  int64_t largest_long_running = 0;
  /// The same for best-effort tasks.
  int64_t free_best_effort = 0;
};

/// How long an offer may be used at least and at most.
/// @{
inline constexpr Millis kMinOfferUsableTime = Millis(350);
inline constexpr Millis kMaxOfferUsableTime = Millis(950);
/// @}

/// Tells the owner of a cell that a worker of another one is kept for an interrupted task that
/// waits there. The task gets it if its owner asks that other cell for capacity.
struct CapacityOffer {
  /// The cell of the worker.
  CellId from;
  /// The job in which the task waits.
  JobId job;
  /// When it was sent, by the sender's clock, 0 if it is an earlier version.
  Millis offered_at;
  /// How long it may be used.
  Millis usable_time = kMinOfferUsableTime;
  Address reply_to;
};

/// Says that the task of an offer doesn't need the worker.
struct OfferRefusal {
  CellId waits_in;
  JobId job;
  /// As in the offer; 0 if an earlier version replied.
  Millis offered_at;
};

std::string Encode(const ReservationRequest& request);
std::string Encode(const ReservationReply& reply);
std::string Encode(const CapacityOffer& offer);
std::string Encode(const OfferRefusal& refusal);

/// Each fails with `kMalformed` if the value is not a message of that type.
/// @{
Result<ReservationRequest> DecodeReservationRequest(std::string_view value);
Result<ReservationReply> DecodeReservationReply(std::string_view value);
Result<CapacityOffer> DecodeCapacityOffer(std::string_view value);
Result<OfferRefusal> DecodeOfferRefusal(std::string_view value);
/// @}

}  // namespace currantpost::scheduler
