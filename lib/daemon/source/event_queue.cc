#include "currantpost/daemon/event_queue.h"

#include <absl/time/time.h>

#include <limits>
#include <utility>

namespace currantpost {
namespace {

constexpr size_t kUnbounded = std::numeric_limits<size_t>::max();
constexpr size_t kMostVmLists = 2;
constexpr size_t kMostHeartbeats = 1'024;
constexpr size_t kMostTrafficReports = 16;
constexpr size_t kMostCommands = 256;

/// Gives the most events of one kind that may wait.
struct BoundOf {
  size_t operator()(const VmListRead& /*event*/) const { return kMostVmLists; }
  size_t operator()(const HeartbeatReceived& /*event*/) const { return kMostHeartbeats; }
  size_t operator()(const TrafficReported& /*event*/) const { return kMostTrafficReports; }
  size_t operator()(const CommandReceived& /*event*/) const { return kMostCommands; }

  template <typename Answer>
  size_t operator()(const Answer& /*event*/) const {
    return kUnbounded;
  }
};

}  // namespace

bool EventQueue::Push(EventBody body) {
  absl::MutexLock lock(&mutex_);
  size_t& count = counts_[body.index()];

  if (closed_ || count >= std::visit(BoundOf{}, body)) {
    ++dropped_;
    return false;
  }

  ++count;
  events_.push_back(std::move(body));

  return true;
}

std::optional<EventBody> EventQueue::Pop(Millis longest_wait) {
  absl::MutexLock lock(&mutex_);
  mutex_.AwaitWithTimeout(absl::Condition(this, &EventQueue::IsReady),
                          absl::Milliseconds(longest_wait.Count()));

  if (events_.empty()) return std::nullopt;

  EventBody body = std::move(events_.front());
  events_.pop_front();
  --counts_[body.index()];

  return body;
}

void EventQueue::Close() {
  absl::MutexLock lock(&mutex_);
  closed_ = true;
}

size_t EventQueue::Size() const {
  absl::MutexLock lock(&mutex_);
  return events_.size();
}

int64_t EventQueue::Dropped() const {
  absl::MutexLock lock(&mutex_);
  return dropped_;
}

bool EventQueue::IsReady() const { return closed_ || !events_.empty(); }

}  // namespace currantpost
