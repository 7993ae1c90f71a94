#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "attempt_budgets.h"
#include "currantpost/traffic/attempt.h"
#include "request_plan.h"
#include "slot_dispatcher.h"
#include "traffic_counters.h"

namespace currantpost {

/// Runs one attempt at one upstream: finds a connection, sends, reads, and reports what was learnt.
/// Usable from any thread.
class AttemptRunner {
 public:
  AttemptRunner(const TrafficSettings& settings, const Clock& clock, SlotDispatcher& dispatcher,
                AttemptBudgets& budgets, TrafficCounters& counters, uint64_t seed);

  /// Runs an attempt and gives the slot back. A reused connection that proves silent or broken is
  /// replaced once by a fresh one, if the request may be repeated.
  AttemptResult Run(HeldSlot slot, const CallerRequest& request, const RequestPlan& plan,
                    ReadWatch& watch);

  /// Makes an id that no other request or attempt of this entry has.
  std::string MakeId();

 private:
  using Connection = std::unique_ptr<UpstreamConnection>;

  class SilenceWatch;

  AttemptResult RunReused(UpstreamConnection& connection, const ReservedSlot& slot,
                          const CallerRequest& request, const RequestPlan& plan, ReadWatch& watch,
                          bool& wants_fresh);
  AttemptResult Exchange(UpstreamConnection& connection, const CallerRequest& request,
                         const RequestPlan& plan, ReadWatch& watch);
  AttemptResult Finish(HeldSlot slot, Connection connection, AttemptResult result,
                       const RequestPlan& plan, Millis start);
  [[nodiscard]] Millis SilentAfter(const ReservedSlot& slot, const RequestPlan& plan) const;

  const TrafficSettings settings_;
  const Clock& clock_;
  SlotDispatcher& dispatcher_;
  AttemptBudgets& budgets_;
  TrafficCounters& counters_;
  const std::string id_prefix_;
  std::atomic<uint64_t> next_id_ = 0;
};

}  // namespace currantpost
