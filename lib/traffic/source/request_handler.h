#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <variant>

#include "attempt_runner.h"
#include "currantpost/traffic/claim_store.h"
#include "currantpost/traffic/outcome.h"
#include "hedged_attempt.h"

namespace currantpost {

/// Carries a caller's request from its whole arrival to the answer. Usable from any thread.
class RequestHandler {
 public:
  RequestHandler(const TrafficSettings& settings, const Clock& clock, ClaimStore& claims,
                 uint64_t seed);

  /// Takes over a snapshot.
  void Publish(std::shared_ptr<const RoutingSnapshot> snapshot);

  /// Refuses all new requests from now on.
  void Drain();

  /// Says whether new requests are refused.
  [[nodiscard]] bool IsDraining() const;

  /// Answers a request. Blocks until the answer is there.
  Answer Handle(CallerRequest request);

  /// Answers a request that is refused before it was read whole.
  Answer Refuse(const HeaderList& headers, const RequestFailure& failure);

  std::vector<UpstreamObservation> TakeObservations();
  [[nodiscard]] TrafficMetrics Metrics() const;

 private:
  using Ending = std::variant<Answer, RequestFailure>;

  Ending HandlePlanned(std::shared_ptr<const CallerRequest> request,
                       std::shared_ptr<const RequestPlan> plan);
  std::optional<RequestFailure> Claim(const RequestPlan& plan);
  void ReleaseClaim(const RequestPlan& plan, RequestFailure& failure);
  Ending RunAttempts(const std::shared_ptr<const CallerRequest>& request,
                     const std::shared_ptr<const RequestPlan>& plan);
  Result<HeldSlot> AcquireSlot(const RequestPlan& plan, std::vector<VmId>& excluded);
  bool MayRetry(const AttemptResult& result, const RequestPlan& plan, int attempts);
  std::string RequestIdOf(const HeaderList& headers);
  Answer Conclude(Ending ending, const std::string& request_id, Millis start);
  std::shared_ptr<const RoutingSnapshot> Snapshot() const;

  const Clock& clock_;
  ClaimStore& claims_;
  TrafficCounters counters_;
  AttemptBudgets budgets_;
  SlotDispatcher dispatcher_;
  AttemptRunner runner_;
  // Joined before what its threads use is gone.
  HedgePool hedge_pool_;
  HedgedAttempt attempt_;
  mutable std::mutex mutex_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  bool is_draining_ = false;
};

}  // namespace currantpost
