#include "attempt_runner.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace currantpost {
namespace {

/// A connection answered this recently is taken to be alive. Requests that may not be repeated use
/// no older one.
constexpr Millis kProvenAge(1'000);

/// A reused connection is given up as silent after this multiple of the upstream's high latency,
/// but not before `kLeastSilence`.
constexpr int64_t kSilenceFactor = 4;
constexpr Millis kLeastSilence(250);

AttemptVerdict VerdictOf(const AttemptResult& result, const RequestPlan& plan, bool was_reused) {
  if (result.outcome == AttemptOutcome::kAnswered) return AttemptVerdict::kAnswered;
  if (result.outcome == AttemptOutcome::kNotRun) return AttemptVerdict::kNotCounted;
  if (result.abandoned) return AttemptVerdict::kNotCounted;

  const bool is_timeout = result.error.code == ErrorCode::kTimeout;
  if (is_timeout && plan.is_shortened) return AttemptVerdict::kNotCounted;

  // Not the upstream but something between the two ends may have lost track of the connection.
  if (was_reused && (result.silent || result.broken)) return AttemptVerdict::kNotCounted;

  return is_timeout ? AttemptVerdict::kTimedOut : AttemptVerdict::kFailed;
}

}  // namespace

/// Gives a reused connection up after a silence, if the budget allows another try.
class AttemptRunner::SilenceWatch final : public ReadWatch {
 public:
  SilenceWatch(ReadWatch& outer, AttemptBudgets& budgets, Millis silent_after)
      : outer_(outer), budgets_(budgets), silent_after_(silent_after) {}

  [[nodiscard]] Millis NextCheck() const override {
    return std::min(outer_.NextCheck(), silent_after_);
  }

  bool GivesUp() override {
    if (outer_.NextCheck() <= silent_after_) return outer_.GivesUp();

    silent_after_ = kNever;
    has_given_up_ = budgets_.TakeRetry();
    return has_given_up_;
  }

  [[nodiscard]] int AbandonSocket() const override { return outer_.AbandonSocket(); }

  [[nodiscard]] bool HasGivenUp() const { return has_given_up_; }

 private:
  ReadWatch& outer_;
  AttemptBudgets& budgets_;
  Millis silent_after_;
  bool has_given_up_ = false;
};

AttemptRunner::AttemptRunner(const TrafficSettings& settings, const Clock& clock,
                             SlotDispatcher& dispatcher, AttemptBudgets& budgets,
                             TrafficCounters& counters, uint64_t seed)
    : settings_(settings),
      clock_(clock),
      dispatcher_(dispatcher),
      budgets_(budgets),
      counters_(counters),
      id_prefix_(absl::StrCat(absl::Hex(seed))) {}

std::string AttemptRunner::MakeId() { return absl::StrCat(id_prefix_, "-", ++next_id_); }

AttemptResult AttemptRunner::Run(HeldSlot slot, const CallerRequest& request,
                                 const RequestPlan& plan, ReadWatch& watch) {
  Millis start = clock_.Now();
  const Millis idle_age = plan.is_repeatable ? settings_.idle_age_limit : kProvenAge;
  Connection connection = dispatcher_.TakeConnection(slot.Slot(), idle_age);

  if (connection != nullptr) {
    bool wants_fresh = false;
    AttemptResult result = RunReused(*connection, slot.Slot(), request, plan, watch, wants_fresh);

    if (!wants_fresh) {
      return Finish(std::move(slot), std::move(connection), std::move(result), plan, start);
    }
  }

  // The old one is closed first: there may be room for one only.
  connection.reset();

  // The time lost to a silent connection is not the upstream's.
  start = clock_.Now();
  const Millis connect_end = std::min(plan.deadline, start + settings_.connect_timeout);
  Result<Connection> fresh = UpstreamConnection::Connect(slot.Slot().address, clock_, connect_end);

  if (!fresh) {
    slot.Return({.verdict = AttemptVerdict::kRefused}, nullptr);
    return {.outcome = AttemptOutcome::kNotSent, .error = fresh.error()};
  }

  counters_.Count(&TrafficMetrics::connections_made);
  AttemptResult result = Exchange(**fresh, request, plan, watch);
  return Finish(std::move(slot), *std::move(fresh), std::move(result), plan, start);
}

AttemptResult AttemptRunner::RunReused(UpstreamConnection& connection, const ReservedSlot& slot,
                                       const CallerRequest& request, const RequestPlan& plan,
                                       ReadWatch& watch, bool& wants_fresh) {
  const Millis start = clock_.Now();
  const Millis silent_after = plan.is_repeatable ? SilentAfter(slot, plan) : ReadWatch::kNever;
  SilenceWatch silence(watch, budgets_, silent_after);
  AttemptResult result = Exchange(connection, request, plan, silence);

  if (result.silent) {
    counters_.Count(&TrafficMetrics::silent_connections);
    dispatcher_.DropUnusedConnections(slot.vm, start);
  }

  const bool is_unsent = result.outcome == AttemptOutcome::kNotSent;
  const bool is_broken = result.broken && plan.is_repeatable;
  wants_fresh = is_unsent || silence.HasGivenUp() || (is_broken && budgets_.TakeRetry());

  if (wants_fresh && !is_unsent) counters_.Count(&TrafficMetrics::retries);
  return result;
}

AttemptResult AttemptRunner::Exchange(UpstreamConnection& connection, const CallerRequest& request,
                                      const RequestPlan& plan, ReadWatch& watch) {
  const std::string attempt_id =
      absl::StrCat(HeaderValue(request.headers, kRequestIdHeader), ".", MakeId());
  AttemptResult result = connection.Exchange(
      request, attempt_id,
      {.deadline = plan.deadline, .watch = &watch, .largest_answer = settings_.largest_answer});

  if (result.outcome != AttemptOutcome::kNotSent) counters_.Count(&TrafficMetrics::attempts);
  if (result.error.code == ErrorCode::kMismatchedAnswer) {
    counters_.Count(&TrafficMetrics::crossed_answers);
  }

  return result;
}

AttemptResult AttemptRunner::Finish(HeldSlot slot, Connection connection, AttemptResult result,
                                    const RequestPlan& plan, Millis start) {
  const AttemptReport report = {
      .verdict = VerdictOf(result, plan, connection->Exchanges() > 1),
      .latency = clock_.Now() - start,
      .said_leaving = result.said_leaving,
  };

  if (!result.reusable) connection.reset();
  slot.Return(report, std::move(connection));
  return result;
}

Millis AttemptRunner::SilentAfter(const ReservedSlot& slot, const RequestPlan& plan) const {
  const Millis now = clock_.Now();
  const Millis half = (plan.deadline - now) / 2;
  const std::optional<Millis> high = dispatcher_.HighLatency(slot.vm);
  const Millis usual = high ? std::max(*high * kSilenceFactor, kLeastSilence) : half;

  return now + std::min(usual, half);
}

}  // namespace currantpost
