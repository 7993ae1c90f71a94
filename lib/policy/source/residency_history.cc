#include "currantpost/policy/residency_history.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace currantpost {

void ResidencyHistory::Record(Millis now, std::vector<KindLoad> batch) {
  if (!changes_.empty() && changes_.back().batch == batch) return;

  if (!changes_.empty() && now <= changes_.back().since) {
    changes_.back().batch = std::move(batch);
    return;
  }

  changes_.push_back(Change{.since = now, .batch = std::move(batch)});
  if (changes_.size() > max_changes_) changes_.pop_front();
}

const std::vector<KindLoad>* ResidencyHistory::At(Millis time) const {
  const auto later =
      std::upper_bound(changes_.begin(), changes_.end(), time,
                       [](Millis value, const Change& change) { return value < change.since; });

  if (later == changes_.begin()) return nullptr;
  return &std::prev(later)->batch;
}

bool ResidencyHistory::UnchangedBetween(Millis from, Millis to) const {
  const std::vector<KindLoad>* first = At(from);
  return first != nullptr && first == At(to);
}

}  // namespace currantpost
