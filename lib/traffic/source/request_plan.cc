#include "request_plan.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <utility>

namespace currantpost {
namespace {

constexpr size_t kLongestIdempotencyKey = 256;

const RouteRule* FindRoute(const Preset& preset, const std::string& path) {
  const RouteRule* longest = nullptr;

  for (const RouteRule& rule : preset.routes) {
    if (!path.starts_with(rule.prefix)) continue;
    if (longest == nullptr || rule.prefix.size() > longest->prefix.size()) longest = &rule;
  }

  return longest;
}

tl::unexpected<RequestFailure> Refuse(ErrorCode code, int status, std::string detail) {
  return tl::unexpected(NotRun(code, status, std::move(detail)));
}

}  // namespace

tl::expected<RequestPlan, RequestFailure> PlanRequest(
    const CallerRequest& request, std::shared_ptr<const RoutingSnapshot> snapshot, Millis now) {
  if (snapshot == nullptr) return Refuse(ErrorCode::kUnavailable, 503, "no routes are known yet");

  RequestPlan plan;
  plan.rule = FindRoute(snapshot->preset, request.path);
  if (plan.rule == nullptr) return Refuse(ErrorCode::kNotFound, 404, "no route for this path");

  plan.start = now;
  Millis timeout = plan.rule->timeout;

  if (CountHeaders(request.headers, kDeadlineHeader) > 0) {
    int64_t millis = 0;
    const bool is_number = absl::SimpleAtoi(HeaderValue(request.headers, kDeadlineHeader), &millis);

    if (!is_number || millis <= 0) {
      return Refuse(ErrorCode::kOutOfRange, 400, "X-Deadline-Ms is not a positive number");
    }

    plan.is_shortened = Millis(millis) < timeout;
    timeout = std::min(timeout, Millis(millis));
  }

  plan.deadline = now + timeout;
  plan.is_repeatable = std::ranges::find(plan.rule->repeatable_methods, request.method) !=
                       plan.rule->repeatable_methods.end();

  const int keys = CountHeaders(request.headers, kIdempotencyKeyHeader);
  plan.idempotency_key = HeaderValue(request.headers, kIdempotencyKeyHeader);

  if (keys > 1 || (keys == 1 && plan.idempotency_key.empty()) ||
      plan.idempotency_key.size() > kLongestIdempotencyKey) {
    return Refuse(ErrorCode::kInvalidArgument, 400, "Idempotency-Key is not one short text");
  }

  plan.snapshot = std::move(snapshot);
  return plan;
}

}  // namespace currantpost
