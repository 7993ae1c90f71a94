#include "request_handler.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace currantpost {
namespace {

constexpr int32_t kHedgeThreads = 8;
/// Upstreams that one request may be given to, one after another.
constexpr int kMostAttempts = 3;
constexpr size_t kLongestRequestId = 128;

/// Returns the status for a request that was sent and got no whole answer.
int UnknownStatus(const Error& error) { return error.code == ErrorCode::kTimeout ? 504 : 502; }

/// Returns the status for a request that got no slot.
int RefusedStatus(const Error& error) { return error.code == ErrorCode::kTimeout ? 504 : 503; }

RequestFailure FailureOf(bool is_unknown, Error error) {
  if (is_unknown) {
    const int status = UnknownStatus(error);
    return {.outcome = Outcome::kUnknown, .error = std::move(error), .status = status};
  }

  const int status = RefusedStatus(error);
  return {.outcome = Outcome::kNotRun, .error = std::move(error), .status = status};
}

Answer AnswerOf(const RequestFailure& failure, const std::string& request_id) {
  constexpr int kServiceUnavailable = 503;
  constexpr std::string_view kRetryAfterSeconds = "1";

  const nlohmann::json body = {
      {"outcome", kOutcomeNames.Name(failure.outcome)},
      {"error", ErrorName(failure.error.code)},
      {"request_id", request_id},
      {"detail", failure.error.detail},
  };

  Answer answer;
  answer.status = failure.status;
  answer.headers.push_back({"Content-Type", "application/json"});
  answer.body = body.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);

  if (failure.status == kServiceUnavailable) {
    answer.headers.push_back({"Retry-After", std::string(kRetryAfterSeconds)});
  }

  return answer;
}

}  // namespace

RequestHandler::RequestHandler(const TrafficSettings& settings, const Clock& clock,
                               ClaimStore& claims, uint64_t seed)
    : clock_(clock),
      claims_(claims),
      dispatcher_(settings, clock, seed),
      runner_(settings, clock, dispatcher_, budgets_, counters_, seed),
      hedge_pool_(kHedgeThreads),
      attempt_(clock, runner_, dispatcher_, budgets_, counters_, hedge_pool_) {}

void RequestHandler::Publish(std::shared_ptr<const RoutingSnapshot> snapshot) {
  dispatcher_.Publish(*snapshot);

  const std::lock_guard lock(mutex_);
  snapshot_ = std::move(snapshot);
}

void RequestHandler::Drain() {
  const std::lock_guard lock(mutex_);
  is_draining_ = true;
}

bool RequestHandler::IsDraining() const {
  const std::lock_guard lock(mutex_);
  return is_draining_ || (snapshot_ != nullptr && snapshot_->draining);
}

Answer RequestHandler::Handle(CallerRequest request) {
  const Millis start = clock_.Now();
  const std::string request_id = RequestIdOf(request.headers);
  SetHeader(request.headers, kRequestIdHeader, request_id);
  counters_.Add(&TrafficMetrics::requests_in_flight, 1);

  Ending ending = [&]() -> Ending {
    if (IsDraining()) return NotRun(ErrorCode::kShuttingDown, 503, "entry shuts down");

    tl::expected<RequestPlan, RequestFailure> plan = PlanRequest(request, Snapshot(), start);
    if (!plan) return plan.error();

    budgets_.OnRequest(plan->snapshot->preset);
    return HandlePlanned(std::make_shared<const CallerRequest>(std::move(request)),
                         std::make_shared<const RequestPlan>(*std::move(plan)));
  }();

  counters_.Add(&TrafficMetrics::requests_in_flight, -1);
  return Conclude(std::move(ending), request_id, start);
}

Answer RequestHandler::Refuse(const HeaderList& headers, const RequestFailure& failure) {
  return Conclude(failure, RequestIdOf(headers), clock_.Now());
}

std::vector<UpstreamObservation> RequestHandler::TakeObservations() {
  return dispatcher_.TakeObservations();
}

TrafficMetrics RequestHandler::Metrics() const {
  TrafficMetrics metrics = counters_.Read();
  metrics.queue_length = dispatcher_.QueueLength();
  return metrics;
}

RequestHandler::Ending RequestHandler::HandlePlanned(std::shared_ptr<const CallerRequest> request,
                                                     std::shared_ptr<const RequestPlan> plan) {
  const bool needs_claim = !plan->is_repeatable && !plan->idempotency_key.empty();

  if (needs_claim) {
    // A request that is shed anyway must not cost the store a write.
    if (dispatcher_.MustShed(plan->rule->priority)) {
      return NotRun(ErrorCode::kOverloaded, 503, "queue is full");
    }

    std::optional<RequestFailure> refusal = Claim(*plan);
    if (refusal) return *std::move(refusal);
  }

  Ending ending = RunAttempts(request, plan);
  auto* failure = std::get_if<RequestFailure>(&ending);

  if (needs_claim && failure != nullptr && failure->outcome == Outcome::kNotRun) {
    ReleaseClaim(*plan, *failure);
  }

  return ending;
}

std::optional<RequestFailure> RequestHandler::Claim(const RequestPlan& plan) {
  switch (claims_.Claim(plan.rule->prefix, plan.idempotency_key)) {
    case ClaimOutcome::kClaimed:
      return std::nullopt;
    case ClaimOutcome::kAlreadyClaimed:
      return NotRun(ErrorCode::kAlreadyClaimed, 409,
                    "this submission was not run; an earlier one claimed the idempotency key");
    case ClaimOutcome::kUnavailable:
      return NotRun(ErrorCode::kUnavailable, 503, "idempotency key cannot be claimed now");
    case ClaimOutcome::kUnknown:
      return NotRun(ErrorCode::kUnavailable, 503,
                    "nothing was sent, but the idempotency key may stay claimed");
  }

  return NotRun(ErrorCode::kInternal, 500, "claim outcome without a name");
}

void RequestHandler::ReleaseClaim(const RequestPlan& plan, RequestFailure& failure) {
  if (claims_.Release(plan.rule->prefix, plan.idempotency_key)) return;

  failure.error.detail += "; the idempotency key may stay claimed";
}

RequestHandler::Ending RequestHandler::RunAttempts(
    const std::shared_ptr<const CallerRequest>& request,
    const std::shared_ptr<const RequestPlan>& plan) {
  std::vector<VmId> excluded;
  bool is_unknown = false;

  for (int attempts = 1;; ++attempts) {
    Result<HeldSlot> slot = AcquireSlot(*plan, excluded);
    if (!slot) return FailureOf(is_unknown, slot.error());

    excluded.push_back(slot->Slot().vm);
    AttemptResult result = attempt_.Run(*std::move(slot), request, plan);

    if (result.outcome == AttemptOutcome::kAnswered) return std::move(result.answer);

    is_unknown = is_unknown || result.outcome == AttemptOutcome::kUnknown;
    if (!MayRetry(result, *plan, attempts)) return FailureOf(is_unknown, std::move(result.error));

    counters_.Count(&TrafficMetrics::retries);
  }
}

Result<HeldSlot> RequestHandler::AcquireSlot(const RequestPlan& plan, std::vector<VmId>& excluded) {
  Result<HeldSlot> slot = dispatcher_.Acquire(plan.rule->priority, plan.deadline, excluded);
  const bool tried_all = !slot && slot.error().code == ErrorCode::kUnavailable && !excluded.empty();

  if (!tried_all) return slot;

  // One that failed before is better than none.
  excluded.clear();
  return dispatcher_.Acquire(plan.rule->priority, plan.deadline, excluded);
}

bool RequestHandler::MayRetry(const AttemptResult& result, const RequestPlan& plan, int attempts) {
  if (result.outcome == AttemptOutcome::kUnknown && !plan.is_repeatable) return false;
  if (attempts >= kMostAttempts || clock_.Now() >= plan.deadline) return false;
  if (budgets_.TakeRetry()) return true;

  counters_.Count(&TrafficMetrics::budget_refusals);
  return false;
}

std::string RequestHandler::RequestIdOf(const HeaderList& headers) {
  std::string id = HeaderValue(headers, kRequestIdHeader);
  const bool is_usable =
      !id.empty() && id.size() <= kLongestRequestId && std::ranges::all_of(id, absl::ascii_isgraph);

  return is_usable ? id : runner_.MakeId();
}

Answer RequestHandler::Conclude(Ending ending, const std::string& request_id, Millis start) {
  Outcome outcome = Outcome::kCompleted;
  Answer answer;

  if (auto* failure = std::get_if<RequestFailure>(&ending)) {
    outcome = failure->outcome;
    answer = AnswerOf(*failure, request_id);
    if (failure->error.code == ErrorCode::kOverloaded) counters_.Count(&TrafficMetrics::shed);
  } else {
    answer = std::get<Answer>(std::move(ending));
    answer.headers = EndToEndHeaders(answer.headers);
    counters_.CountLatency(clock_.Now() - start);
  }

  switch (outcome) {
    case Outcome::kNotRun:
      counters_.Count(&TrafficMetrics::not_run);
      break;
    case Outcome::kCompleted:
      counters_.Count(&TrafficMetrics::completed);
      break;
    case Outcome::kUnknown:
      counters_.Count(&TrafficMetrics::unknown);
      break;
  }

  SetHeader(answer.headers, kRequestIdHeader, request_id);
  SetHeader(answer.headers, kOutcomeHeader, std::string(kOutcomeNames.Name(outcome)));
  return answer;
}

std::shared_ptr<const RoutingSnapshot> RequestHandler::Snapshot() const {
  const std::lock_guard lock(mutex_);
  return snapshot_;
}

}  // namespace currantpost
