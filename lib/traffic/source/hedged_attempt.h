#pragma once

#include <memory>

#include "attempt_runner.h"
#include "hedge_pool.h"

namespace currantpost {

/// Runs an attempt, with a second one at another upstream if the first is late. The first whole
/// answer wins; the other attempt is abandoned and its connection closed. Usable from any thread.
class HedgedAttempt {
 public:
  HedgedAttempt(const Clock& clock, AttemptRunner& runner, SlotDispatcher& dispatcher,
                AttemptBudgets& budgets, TrafficCounters& counters, HedgePool& pool);

  /// Runs an attempt in the held slot. The result is unknown if either attempt is, and neither was
  /// answered.
  AttemptResult Run(HeldSlot slot, std::shared_ptr<const CallerRequest> request,
                    std::shared_ptr<const RequestPlan> plan);

 private:
  class Race;
  class FirstWatch;
  class SecondWatch;

  const Clock& clock_;
  AttemptRunner& runner_;
  SlotDispatcher& dispatcher_;
  AttemptBudgets& budgets_;
  TrafficCounters& counters_;
  HedgePool& pool_;
};

}  // namespace currantpost
