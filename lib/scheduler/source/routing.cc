#include "currantpost/scheduler/routing.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace currantpost::scheduler {

QueueTable::QueueTable(const Routing& routing) {
  for (const Queue& queue : routing.queues) {
    by_host_[absl::AsciiStrToLower(queue.host)].push_back(queue);
    by_name_[queue.name] = queue;
  }

  for (auto& [host, queues] : by_host_) {
    std::ranges::stable_sort(queues, std::greater<>(),
                             [](const Queue& queue) { return queue.path_prefix.size(); });
  }
}

const Queue* QueueTable::Match(std::string_view host, std::string_view path) const {
  const auto found =
      by_host_.find(absl::AsciiStrToLower(std::string(host.substr(0, host.find(':')))));
  if (found == by_host_.end()) return nullptr;

  for (const Queue& queue : found->second) {
    if (path.starts_with(queue.path_prefix)) return &queue;
  }

  return nullptr;
}

const Queue* QueueTable::Find(std::string_view name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &found->second;
}

}  // namespace currantpost::scheduler
