#include "slot_dispatcher.h"

#include <algorithm>
#include <chrono>

namespace currantpost {
namespace {

/// Returns how many requests may wait. A quarter of the threads is kept for requests that are not
/// yet read, or nobody could tell that an urgent one has come.
int32_t LargestQueue(const TrafficSettings& settings) {
  constexpr int32_t kQuarters = 4;
  return std::min(settings.queue_length, settings.threads - settings.threads / kQuarters);
}

std::chrono::milliseconds Duration(Millis span) {
  return std::chrono::milliseconds(std::max<int64_t>(span.Count(), 0));
}

}  // namespace

/// Lives on the stack of the waiting thread.
struct SlotDispatcher::Waiter : QueuedRequest {
  enum class State { kWaiting, kGranted, kShed, kNoCandidate };

  const std::vector<VmId>* excluded = nullptr;
  State state = State::kWaiting;
  ReservedSlot slot;
  std::condition_variable changed;
};

HeldSlot::HeldSlot(SlotDispatcher& dispatcher, ReservedSlot slot)
    : dispatcher_(&dispatcher), slot_(std::move(slot)) {}

HeldSlot::HeldSlot(HeldSlot&& other) noexcept
    : dispatcher_(std::exchange(other.dispatcher_, nullptr)), slot_(std::move(other.slot_)) {}

HeldSlot::~HeldSlot() {
  if (dispatcher_ != nullptr) dispatcher_->Return(slot_, AttemptReport(), nullptr);
}

void HeldSlot::Return(const AttemptReport& report, std::unique_ptr<UpstreamConnection> connection) {
  std::exchange(dispatcher_, nullptr)->Return(slot_, report, std::move(connection));
}

SlotDispatcher::SlotDispatcher(const TrafficSettings& settings, const Clock& clock, uint64_t seed)
    : settings_(settings), clock_(clock), table_(seed), queue_(LargestQueue(settings)) {}

void SlotDispatcher::Publish(const RoutingSnapshot& snapshot) {
  const std::lock_guard lock(mutex_);
  table_.Apply(snapshot);

  for (const VmId& vm : pool_.Vms()) TrimConnections(vm);
  GrantWaiters();
}

bool SlotDispatcher::MustShed(Priority priority) const {
  const std::lock_guard lock(mutex_);
  return !queue_.HasRoom(priority);
}

Result<HeldSlot> SlotDispatcher::Acquire(Priority priority, Millis deadline,
                                         const std::vector<VmId>& excluded) {
  std::unique_lock lock(mutex_);

  if (clock_.Now() >= deadline) return Fail(ErrorCode::kTimeout, "deadline passed");
  if (!table_.HasCandidate(excluded)) return Fail(ErrorCode::kUnavailable, "no usable upstream");

  if (!queue_.HasAhead(priority)) {
    std::optional<ReservedSlot> slot = table_.Reserve(excluded);
    if (slot) return HeldSlot(*this, *std::move(slot));
  }

  Waiter waiter;
  waiter.priority = priority;
  waiter.excluded = &excluded;
  QueuedRequest* displaced = queue_.Push(waiter);

  if (displaced == &waiter) return Fail(ErrorCode::kOverloaded, "queue is full");

  if (displaced != nullptr) {
    auto& shed = static_cast<Waiter&>(*displaced);
    shed.state = Waiter::State::kShed;
    shed.changed.notify_one();
  }

  // Those ahead may be waiting for other upstreams than those that are free.
  GrantWaiters();

  const Millis queue_end = clock_.Now() + settings_.queue_timeout;
  const Millis end = std::min(deadline, queue_end);
  const auto is_settled = [&waiter] { return waiter.state != Waiter::State::kWaiting; };
  waiter.changed.wait_for(lock, Duration(end - clock_.Now()), is_settled);

  switch (waiter.state) {
    case Waiter::State::kGranted:
      return HeldSlot(*this, std::move(waiter.slot));
    case Waiter::State::kShed:
      return Fail(ErrorCode::kOverloaded, "gave way to more urgent requests");
    case Waiter::State::kNoCandidate:
      return Fail(ErrorCode::kUnavailable, "no usable upstream is left");
    case Waiter::State::kWaiting:
      break;
  }

  if (deadline <= queue_end) return Fail(ErrorCode::kTimeout, "no free slot until the deadline");
  return Fail(ErrorCode::kOverloaded, "no free slot in time");
}

std::optional<HeldSlot> SlotDispatcher::TryAcquire(const std::vector<VmId>& excluded) {
  const std::lock_guard lock(mutex_);
  if (queue_.Size() > 0) return std::nullopt;

  std::optional<ReservedSlot> slot = table_.Reserve(excluded);
  if (!slot) return std::nullopt;

  return HeldSlot(*this, *std::move(slot));
}

std::unique_ptr<UpstreamConnection> SlotDispatcher::TakeConnection(const ReservedSlot& slot,
                                                                   Millis largest_idle_age) {
  const std::lock_guard lock(mutex_);
  const Millis now = clock_.Now();
  pool_.DropUnused(slot.vm, now - settings_.idle_age_limit);

  while (true) {
    std::unique_ptr<UpstreamConnection> connection =
        pool_.Take(slot.vm, slot.incarnation, now - largest_idle_age);

    if (connection == nullptr) {
      TrimConnections(slot.vm);
      return nullptr;
    }

    if (!connection->IsStale()) return connection;
  }
}

void SlotDispatcher::DropUnusedConnections(const VmId& vm, Millis since) {
  const std::lock_guard lock(mutex_);
  pool_.DropUnused(vm, since);
}

std::optional<Millis> SlotDispatcher::HighLatency(const VmId& vm) const {
  const std::lock_guard lock(mutex_);
  return table_.HighLatency(vm);
}

std::vector<UpstreamObservation> SlotDispatcher::TakeObservations() {
  const std::lock_guard lock(mutex_);
  return table_.TakeObservations();
}

int32_t SlotDispatcher::QueueLength() const {
  const std::lock_guard lock(mutex_);
  return queue_.Size();
}

void SlotDispatcher::Return(const ReservedSlot& slot, const AttemptReport& report,
                            std::unique_ptr<UpstreamConnection> connection) {
  const std::lock_guard lock(mutex_);
  table_.Release(slot, report);

  const bool may_keep =
      connection != nullptr && table_.UsableIncarnation(slot.vm) == slot.incarnation;

  if (may_keep) pool_.Put(slot.vm, slot.incarnation, std::move(connection));

  // Closed before anyone can take its place.
  connection.reset();
  TrimConnections(slot.vm);
  GrantWaiters();
}

void SlotDispatcher::GrantWaiters() {
  queue_.ForEach([this](QueuedRequest& request) {
    auto& waiter = static_cast<Waiter&>(request);
    std::optional<ReservedSlot> slot = table_.Reserve(*waiter.excluded);

    if (slot) {
      waiter.slot = *std::move(slot);
      waiter.state = Waiter::State::kGranted;
    } else if (!table_.HasCandidate(*waiter.excluded)) {
      waiter.state = Waiter::State::kNoCandidate;
    } else {
      // A request without exclusions could have taken any free slot, so there is none.
      return !waiter.excluded->empty();
    }

    waiter.unlink();
    waiter.changed.notify_one();
    return true;
  });
}

void SlotDispatcher::TrimConnections(const VmId& vm) {
  const bool is_usable = table_.UsableIncarnation(vm).has_value();
  pool_.Trim(vm, is_usable ? table_.IdleRoom(vm) : 0);
}

}  // namespace currantpost
