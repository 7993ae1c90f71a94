#include "currantpost/scheduler/reservation.h"

#include <algorithm>
#include <limits>

#include "currantpost/model/json_integer.h"
#include "currantpost/scheduler/limits.h"
#include "record_json.h"

namespace currantpost::scheduler {
namespace {

/// Upper bound of the wait in a request. Sums with it do not overflow.
constexpr Millis kMaxWaited = Millis(86'400'000);
/// Priority of a request without one. Nothing is stopped for it.
constexpr int32_t kLastPriority = std::numeric_limits<int32_t>::max();

}  // namespace

std::string Encode(const ReservationRequest& request) {
  return Dump(Json{{"job", request.name.job.Text()},
                   {"occurrence", request.name.occurrence},
                   {"step", request.name.step},
                   {"spec", StepJson(request.step)},
                   {"service", request.service},
                   {"from", request.from.Text()},
                   {"waiting", request.job.Text()},
                   {"asked", request.asked_at.Count()},
                   {"timeout", request.reply_timeout.Count()},
                   {"waited", request.waited.Count()},
                   {"interrupted", request.is_interrupted},
                   {"absent", request.absent.Count()},
                   {"runs_for", request.runs_for.Count()},
                   {"priority", request.priority},
                   {"overdue", request.is_overdue},
                   {"offered", request.offered_at.Count()},
                   {"peer", AddressJson(request.reply_to)}});
}

Result<ReservationRequest> DecodeReservationRequest(std::string_view value) {
  Result<ReservationRequest> request =
      Decode<ReservationRequest>(value, "reservation request", [](const Json& json) {
        return ReservationRequest{
            .name = StepName{.job = JobId(json.at("job").get<std::string>()),
                             .occurrence = json.at("occurrence").get<int>(),
                             .step = json.at("step").get<int>()},
            .step = StepOf(json.at("spec")),
            .service = json.at("service").get<std::string>(),
            .from = CellId(json.at("from").get<std::string>()),
            .job = JobId(json.at("waiting").get<std::string>()),
            .asked_at = Millis(json.value("asked", int64_t{0})),
            .reply_timeout = ReadDurationOr(json, "timeout", Millis(0)),
            .waited = Millis(json.value("waited", int64_t{0})),
            .is_interrupted = json.value("interrupted", false),
            .absent = ReadDurationOr(json, "absent", Millis(json.value("waited", int64_t{0}))),
            .runs_for = ReadDurationOr(json, "runs_for", Millis(0)),
            .priority = ReadIntegerOr(json, "priority", kLastPriority),
            .is_overdue = json.value("overdue", false),
            .offered_at = ReadDurationOr(json, "offered", Millis(0)),
            .reply_to = AddressOf(json.at("peer"))};
      });
  if (!request) return request;

  const StepSpec& step = request->step;
  const bool is_valid = step.task_count > 0 && step.task_count <= kMaxTasksPerStep &&
                        request->waited >= Millis(0) && request->waited <= kMaxWaited;
  if (!is_valid) return Fail(ErrorCode::kMalformed, "reservation request: out of range");

  return request;
}

std::string Encode(const ReservationReply& reply) {
  return Dump(Json{{"from", reply.from.Text()},
                   {"waiting", reply.job.Text()},
                   {"asked", reply.asked_at.Count()},
                   {"service", reply.service},
                   {"tasks", reply.tasks},
                   {"keeps", reply.keeps},
                   {"free", reply.free},
                   {"largest", reply.largest_free},
                   {"largest_long", reply.largest_long_running},
                   {"filling", reply.free_best_effort}});
}

Result<ReservationReply> DecodeReservationReply(std::string_view value) {
  return Decode<ReservationReply>(value, "reservation reply", [](const Json& json) {
    return ReservationReply{
        .from = CellId(json.at("from").get<std::string>()),
        .job = JobId(json.at("waiting").get<std::string>()),
        .asked_at = Millis(json.value("asked", int64_t{0})),
        .service = json.at("service").get<std::string>(),
        .tasks = json.at("tasks").get<int32_t>(),
        .keeps = json.value("keeps", false),
        .free = json.at("free").get<int64_t>(),
        .largest_free = json.at("largest").get<int64_t>(),
        .largest_long_running = json.value("largest_long", json.at("largest").get<int64_t>()),
        .free_best_effort = json.value("filling", int64_t{0})};
  });
}

std::string Encode(const CapacityOffer& offer) {
  return Dump(Json{{"from", offer.from.Text()},
                   {"waiting", offer.job.Text()},
                   {"offered", offer.offered_at.Count()},
                   {"usable", offer.usable_time.Count()},
                   {"peer", AddressJson(offer.reply_to)}});
}

Result<CapacityOffer> DecodeCapacityOffer(std::string_view value) {
  return Decode<CapacityOffer>(value, "capacity offer", [](const Json& json) {
    const Millis usable_time = ReadDurationOr(json, "usable", kMinOfferUsableTime);
    return CapacityOffer{
        .from = CellId(json.at("from").get<std::string>()),
        .job = JobId(json.at("waiting").get<std::string>()),
        .offered_at = ReadDurationOr(json, "offered", Millis(0)),
        .usable_time = std::clamp(usable_time, kMinOfferUsableTime, kMaxOfferUsableTime),
        .reply_to = AddressOf(json.at("peer"))};
  });
}

std::string Encode(const OfferRefusal& refusal) {
  return Dump(Json{{"from", refusal.waits_in.Text()},
                   {"waiting", refusal.job.Text()},
                   {"offered", refusal.offered_at.Count()}});
}

Result<OfferRefusal> DecodeOfferRefusal(std::string_view value) {
  return Decode<OfferRefusal>(value, "refusal of a capacity offer", [](const Json& json) {
    return OfferRefusal{.waits_in = CellId(json.at("from").get<std::string>()),
                        .job = JobId(json.at("waiting").get<std::string>()),
                        .offered_at = ReadDurationOr(json, "offered", Millis(0))};
  });
}

}  // namespace currantpost::scheduler
