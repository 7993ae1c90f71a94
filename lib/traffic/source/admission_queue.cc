#include "currantpost/traffic/admission_queue.h"

#include <algorithm>

namespace currantpost {
namespace {

size_t Rank(Priority priority) { return static_cast<size_t>(priority); }

}  // namespace

AdmissionQueue::AdmissionQueue(int32_t largest_size) : largest_size_(largest_size) {}

bool AdmissionQueue::HasRoom(Priority priority) const {
  if (Size() < largest_size_) return true;

  for (size_t rank = Rank(priority) + 1; rank < lists_.size(); ++rank) {
    if (!lists_[rank].empty()) return true;
  }

  return false;
}

QueuedRequest* AdmissionQueue::Push(QueuedRequest& request) {
  if (!HasRoom(request.priority)) return &request;

  const bool is_full = Size() >= largest_size_;
  lists_[Rank(request.priority)].push_back(request);
  if (!is_full) return nullptr;

  const auto lowest =
      std::find_if(lists_.rbegin(), lists_.rend(), [](const List& list) { return !list.empty(); });
  QueuedRequest& displaced = lowest->back();
  displaced.unlink();
  return &displaced;
}

void AdmissionQueue::ForEach(const std::function<bool(QueuedRequest&)>& visit) {
  for (List& list : lists_) {
    for (auto next = list.begin(); next != list.end();) {
      QueuedRequest& request = *next++;
      if (!visit(request)) return;
    }
  }
}

bool AdmissionQueue::HasAhead(Priority priority) const {
  for (size_t rank = 0; rank <= Rank(priority); ++rank) {
    if (!lists_[rank].empty()) return true;
  }

  return false;
}

int32_t AdmissionQueue::Size() const {
  size_t size = 0;
  for (const List& list : lists_) size += list.size();

  return static_cast<int32_t>(size);
}

}  // namespace currantpost
