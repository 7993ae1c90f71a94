#include "currantpost/traffic/retry_budget.h"

#include <algorithm>

namespace currantpost {

void RetryBudget::OnRequest(double share) {
  tokens_ = std::min(tokens_ + std::max(share, 0.0), kBurst);
}

bool RetryBudget::Take() {
  if (tokens_ < 1.0) return false;

  tokens_ -= 1.0;
  return true;
}

}  // namespace currantpost
