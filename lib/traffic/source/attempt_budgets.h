#pragma once

#include <mutex>

#include "currantpost/model/configuration.h"
#include "currantpost/traffic/retry_budget.h"

namespace currantpost {

/// The budgets of extra attempts that all requests share. Usable from any thread.
class AttemptBudgets {
 public:
  /// Counts a request that came in.
  void OnRequest(const Preset& preset) {
    const std::lock_guard lock(mutex_);
    retries_.OnRequest(preset.retry_budget);
    hedges_.OnRequest(preset.hedge_budget);
  }

  /// Takes one retry. False if none is left.
  bool TakeRetry() {
    const std::lock_guard lock(mutex_);
    return retries_.Take();
  }

  /// Takes one hedge. False if none is left.
  bool TakeHedge() {
    const std::lock_guard lock(mutex_);
    return hedges_.Take();
  }

 private:
  std::mutex mutex_;
  RetryBudget retries_;
  RetryBudget hedges_;
};

}  // namespace currantpost
