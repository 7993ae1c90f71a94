#include <algorithm>
#include <array>

#include "world.h"

/// What was disrupted in a world, and when.

namespace currantpost::scheduler {

void World::RecordDisturbances() {
  if (loss > 0.0) disturbed_at_["store"] = now_;
  if (IsDisrupted()) RecordDisruption();

  for (const auto& [entry, data_centre] : data_centre_of_) {
    const bool disturbed =
        !IsUp(entry) || paused_.contains(entry) || IsCut(entry, "store") || slowed_.contains(entry);
    if (disturbed) disturbed_at_[entry] = now_;
    if (delayed_replies_[entry] > 0) last_delayed_reply_at_[entry] = now_;
  }
}

bool World::IsDisrupted() const {
  const auto is_positive = [](const auto& row) { return row.second > decltype(row.second)(0); };
  const bool faults = loss > 0.0 || !paused_.empty() || !cuts_.empty() || !answers_lost_.empty() ||
                      !stops_lost_.empty() || !slowed_.empty();
  if (faults || std::ranges::any_of(start_delays_, is_positive) ||
      std::ranges::any_of(write_delays_, is_positive))
    return true;
  if (std::ranges::any_of(slow_lists_, is_positive) ||
      std::ranges::any_of(slow_watches_, is_positive) ||
      std::ranges::any_of(slow_records_, is_positive))
    return true;

  const auto is_down = [this](const auto& row) {
    return !IsUp(row.first) && !permanently_down_.contains(row.first);
  };
  return std::ranges::any_of(delayed_replies_, [](const auto& row) { return row.second > 0; }) ||
         std::ranges::any_of(data_centre_of_, is_down) ||
         std::ranges::any_of(workers_, [this](const auto& row) {
           return !row.second->up && !permanently_down_.contains(row.first);
         });
}

bool World::WasStopped(const std::string& entry, Millis span) const {
  const auto at = stopped_at_.find(entry);
  return at != stopped_at_.end() && now_ - at->second < span;
}

bool World::HadDelayedReplies(const std::string& entry, Millis span) const {
  const auto at = last_delayed_reply_at_.find(entry);
  return at != last_delayed_reply_at_.end() && now_ - at->second < span;
}

bool World::WasConnected(const std::string& entry, Millis span) const {
  return std::ranges::all_of(std::to_array<std::string>({entry, "store"}), [&](const auto& name) {
    const auto at = disturbed_at_.find(name);
    return at == disturbed_at_.end() || now_ - at->second >= span;
  });
}

}  // namespace currantpost::scheduler
